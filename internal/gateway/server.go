package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gentiankeel/internal/detour"
	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/errkind"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/respbuf"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/upclient"
	"gentiankeel/internal/wire"
)

// Server is an entry that serves callers' requests. It can be started once.
type Server struct {
	o           Options
	log         *slog.Logger
	m           *metrics
	started     time.Time
	pool        *upclient.Pool
	detour      *detour.Dialer // for upstreams
	responses   *respbuf.Pool
	server      *httpserver.Server
	readyServer *httpserver.Server
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	table        atomic.Pointer[routing.Table] // nil before the first configuration
	heldRouting  *wire.RoutingRecord           // last configuration received, with its full document; owned by followCoordinator
	inForceSince time.Duration                 // when the configuration came into force; owned by followCoordinator
	configReady  chan struct{}                 // closed when an update was applied and a configuration is in force; guarded by configReadyMu
	attachedAt   atomic.Int64                  // when the stream of the coordinator began, since the server's start
	lastUpdate   atomic.Int64                  // time of the last applied update, in ns since started

	entryCount       atomic.Uint32 // entries attached to the coordinator, as published; 0: unknown
	hasQuotas        atomic.Bool   // an organisation has a limit
	reportIntervalMs atomic.Uint32 // report interval set by the coordinator; 0: none yet
	draining         atomic.Bool   // the probe reports that this entry is not ready
	refusing         atomic.Bool   // new requests are refused
	stopped          atomic.Bool   // attempts end, since the time for the stop runs out
	pathUnreported   atomic.Bool   // the path to upstreams was lost or found since the last report
	reportSignal     chan struct{} // has a value while changes may have to be reported
	refusalLog       lineLimiter
	nextRequestID    atomic.Uint64
	retryBudgetsMu   sync.Mutex
	retryBudgets     map[string]*retry.RatioBudget

	configReadyMu sync.Mutex

	mu    sync.Mutex // guards the fields below
	core  *dispatch.Core
	gate  *ratelimit.Gate                        // of organisations with a limit
	units map[uint64]chan ratelimit.UnitDecision // undecided requests for units, by id
	watch *suspect.Watch
	// tableChanged is closed and replaced when another table is put in force.
	tableChanged chan struct{}
	// lastTick is when tickLoop last ran, so that a suspension of the process can be told.
	lastTick time.Duration
	// resumedAt is when tickLoop last ran after a suspension of the process.
	resumedAt    time.Duration
	prefillWaits uint64 // counted in the metric so far
	origins      origins
	pending      map[uint64]chan dispatch.Decision  // undecided slot requests, by id
	cancels      map[uint64]context.CancelCauseFunc // of the running attempts, by the id of their slot request
}

// New returns a server that is not started.
func New(o Options) (*Server, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	s := &Server{
		o:            o,
		log:          o.Logger.With("part", "gateway"),
		m:            m,
		started:      time.Now(),
		responses:    respbuf.NewPool(maxResponses(o.MemoryBytes)),
		reportSignal: make(chan struct{}, 1),
		configReady:  make(chan struct{}),
		retryBudgets: map[string]*retry.RatioBudget{},
		tableChanged: make(chan struct{}),
		core:         dispatch.New(dispatch.Options{Settings: o.DispatchSettings, Zone: o.Zone, Seed: xxhash.Sum64String(o.InstanceID)}),
		gate:         ratelimit.NewGate(),
		units:        map[uint64]chan ratelimit.UnitDecision{},
		watch:        suspect.NewWatch(o.InstanceID),
		origins:      newOrigins(),
		pending:      map[uint64]chan dispatch.Decision{},
		cancels:      map[uint64]context.CancelCauseFunc{},
	}
	if s.detour, err = s.newDetour(); err != nil {
		return nil, err
	}
	s.pool = upclient.New(upclient.Options{IsResponseTo: s.isResponseTo, MaxIdle: o.MaxIdleUpstreams, Dial: s.detour.Dial})
	callers := httpserver.Options{
		Listen:         o.Listen,
		Handler:        http.HandlerFunc(s.serve),
		MaxBodyBytes:   o.MaxBodyBytes,
		MaxHeaderBytes: o.MaxHeaderBytes,
		MaxWriteBuffer: o.MaxUnsentBytes,
		MaxPipelined:   o.MaxPipelined,
		MaxConnections: o.MaxConnections,
		HeaderTimeout:  o.HeaderTimeout,
		BodyTimeout:    o.BodyTimeout,
		WriteTimeout:   o.WriteTimeout,
		IdleTimeout:    o.IdleTimeout,
		MaxInFlight:    o.MaxInFlight,
		Pollers:        1,
		Budget:         o.Budget,
		Refuse:         s.refusal,
		Logger:         o.Logger,
	}
	probes := callers
	probes.Listen, probes.Handler = o.ReadyAddress, http.HandlerFunc(s.serveReady)
	probes.MaxBodyBytes, probes.MaxConnections, probes.MaxInFlight, probes.IdleTimeout = maxProbeBytes, o.MaxReadyConns, 0, 0
	if s.server, err = httpserver.New(callers); err != nil {
		return nil, errors.WithMessage(err, "gateway")
	}
	s.readyServer, err = httpserver.New(probes)
	return s, errors.WithMessage(err, "gateway")
}

const (
	// maxProbeBytes bounds the body of a readiness probe, which needs none.
	maxProbeBytes = 64 << 10
	// responseShare is the inverse of the share of the process's memory for upstreams' responses.
	responseShare = 6
)

// maxResponses returns the bound on the bytes of upstreams' responses that are held whole.
func maxResponses(memory int64) int {
	if memory <= 0 {
		return respbuf.MaxHeldBytes
	}
	return int(min(respbuf.MaxHeldBytes, memory/responseShare))
}

// isResponseTo reports whether a response belongs to the request, and counts those that do
// not.
func (s *Server) isResponseTo(req *http.Request, res *http.Response, isFirst bool) bool {
	if s.o.Dialect.IsResponseTo(req, res, isFirst) {
		return true
	}
	s.m.strayResponses.Inc()
	return false
}

// Start listens for callers and probes and attaches to the coordinator.
func (s *Server) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.server.Start(); err != nil {
		return errors.WithMessage(err, "gateway")
	}
	if err := s.readyServer.Start(); err != nil {
		return errors.WithMessage(err, "gateway")
	}
	s.wg.Go(func() { s.followCoordinator(ctx) })
	s.wg.Go(func() { s.tickLoop(ctx) })
	s.log.Info("Entry listens.", "address", s.server.Addr(), "ready", s.readyServer.Addr())
	return nil
}

// Addr returns the address for callers. It is valid after Start.
func (s *Server) Addr() string { return s.server.Addr() }

// ReadyAddr returns the address of the readiness probe. It is valid after Start.
func (s *Server) ReadyAddr() string { return s.readyServer.Addr() }

// Shutdown drains the entry: the readiness probe fails at once, and requests are still served
// for DrainAnnounce, so that the load balancer can remove the entry first. After that, new
// requests are refused and those in progress finish. Those that do not by shortly before DrainLimit are
// answered with an error, unless they have begun to answer; these are cut off when DrainLimit or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.pathUnreported.Store(true)
	s.signalReport()
	s.log.Info("Entry drains.", "announce", s.o.DrainAnnounce, "limit", s.o.DrainLimit)
	ctx, cancel := context.WithTimeout(ctx, s.o.DrainLimit)
	defer cancel()
	s.mu.Lock()
	s.deliver(s.core.Drain(s.now(), s.now()+min(maxDrainWait, s.o.DrainAnnounce)))
	s.mu.Unlock()
	lastAnswers := time.AfterFunc(s.o.DrainLimit-min(answerMargin, s.o.DrainLimit/4), s.endAttempts)
	defer lastAnswers.Stop()
	_ = pause.For(ctx, s.o.DrainAnnounce)
	s.refusing.Store(true)
	err := s.server.Shutdown(ctx)
	s.cancel()
	s.wg.Wait()
	if perr := s.readyServer.Shutdown(ctx); err == nil {
		err = perr
	}
	return errors.WithMessage(err, "gateway")
}

// answerMargin is the part of DrainLimit that is left to answer the requests whose attempts have not ended.
const answerMargin = 250 * time.Millisecond

// endAttempts ends all attempts in progress and to come, so that their callers get an answer.
func (s *Server) endAttempts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped.Store(true)
	for _, cancel := range s.cancels {
		cancel(errEntryStops)
	}
	if n := len(s.cancels); n > 0 {
		s.log.Warn("The time for the stop runs out; requests in progress are ended.", "attempts", n)
	}
}

func (s *Server) now() time.Duration { return time.Since(s.started) }

// serveReady responds to the load balancer's readiness probe.
func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != s.o.Dialect.ReadyPath() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if reason := s.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns why the entry is not ready for requests; empty: it is ready.
func (s *Server) notReadyReason() string {
	switch {
	case s.draining.Load():
		return "draining"
	case s.table.Load() == nil:
		return "no configuration is known"
	case s.isStale():
		return "no coordinator was heard for too long"
	}
	return ""
}

// isStale reports whether the last update is older than Options.MaxStale, so that no
// requests may be served by it.
func (s *Server) isStale() bool {
	return s.coordinatorAge() > s.o.MaxStale
}

// coordinatorAge returns the time since the last applied update of a coordinator, or since
// the server's start if there was none.
func (s *Server) coordinatorAge() time.Duration { return s.now() - time.Duration(s.lastUpdate.Load()) }

// recordUpdate records the time of an applied update. If a configuration is in force, it
// wakes the requests that wait for one.
func (s *Server) recordUpdate() {
	s.lastUpdate.Store(int64(s.now()))
	if s.table.Load() == nil {
		return
	}
	s.configReadyMu.Lock()
	defer s.configReadyMu.Unlock()
	select {
	case <-s.configReady:
	default:
		close(s.configReady)
	}
}

// awaitConfig returns the current configuration. If there is none, or the last update is
// older than maxAge, it waits for an update, for the shorter of wait and Options.ConfigWait,
// and returns nil without one. The wait covers a restart of the entry, which finds a
// coordinator within seconds.
func (s *Server) awaitConfig(ctx context.Context, wait, maxAge time.Duration) *routing.Table {
	if t := s.table.Load(); t != nil && s.coordinatorAge() <= maxAge {
		return t
	}
	s.configReadyMu.Lock()
	if s.coordinatorAge() > maxAge {
		select {
		case <-s.configReady:
			s.configReady = make(chan struct{})
		default:
		}
	}
	ready := s.configReady
	s.configReadyMu.Unlock()
	timer := time.NewTimer(min(wait, s.o.ConfigWait))
	defer timer.Stop()
	select {
	case <-ready:
		return s.table.Load()
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// tableChange returns a channel that is closed when another configuration comes into force.
func (s *Server) tableChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableChanged
}

// maxDrainWait bounds the wait for an upstream at a draining entry, after which the caller
// is better served by a retry at another entry.
const maxDrainWait = time.Second

const (
	// tickInterval is the interval at which waiting requests are re-evaluated.
	tickInterval = 50 * time.Millisecond
	// sweepTicks is the number of ticks between sweeps of idle connections and refuted losses.
	sweepTicks = 10
)

// tickLoop re-evaluates waiting requests and looks after idle connections periodically.
func (s *Server) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		now := s.now()
		if now-s.lastTick > suspensionTicks*tickInterval {
			s.resumedAt = now
			s.noteSuspension(now)
		}
		s.lastTick = now
		if len(s.pending) > 0 {
			s.deliver(s.core.Tick(s.now()))
		}
		s.tickQuotas()
		if n%sweepTicks == 0 {
			s.dropRefutedLosses()
			s.observePaces()
		}
		s.mu.Unlock()
		s.pool.ReportClosed()
		if n%sweepTicks == 0 {
			s.pool.CloseExpired()
		}
	}
}

// deliver sends decisions to the requests that wait for them. mu must be held.
func (s *Server) deliver(list []dispatch.Decision) {
	for _, d := range list {
		if ch := s.pending[d.RequestID]; ch != nil {
			delete(s.pending, d.RequestID)
			ch <- d
		}
	}
}

// requestSlot submits a request for a slot. The channel receives its one decision.
func (s *Server) requestSlot(req dispatch.SlotRequest) <-chan dispatch.Decision {
	ch := make(chan dispatch.Decision, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[req.ID] = ch
	s.deliver(s.core.Submit(s.now(), req))
	s.signalReport()
	return ch
}

// cancelSlotRequest cancels a request for a slot. If a slot was granted meanwhile, it is
// released.
func (s *Server) cancelSlotRequest(id uint64, ch <-chan dispatch.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
	s.deliver(s.core.Cancel(s.now(), id))
	select {
	case d := <-ch:
		if d.Target != nil {
			s.deliver(s.core.Release(s.now(), id, dispatch.Cancelled))
		}
	default:
	}
	s.signalReport()
}

func (s *Server) releaseSlot(id uint64, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.noteSuspension(now)
	s.deliver(s.core.Release(now, id, o))
	s.signalReport()
}

// signalReport wakes sendReports.
func (s *Server) signalReport() {
	select {
	case s.reportSignal <- struct{}{}:
	default:
	}
}

// retryBudget returns the retry budget of a service.
func (s *Server) retryBudget(service string) *retry.RatioBudget {
	s.retryBudgetsMu.Lock()
	defer s.retryBudgetsMu.Unlock()
	b := s.retryBudgets[service]
	if b == nil {
		b = retry.NewRatioBudget(s.o.RetryPercent, s.retryBurst())
		s.retryBudgets[service] = b
	}
	b.SetBurst(s.retryBurst())
	return b
}

// retryBurst returns this entry's bound on saved-up retries: its share of those that all
// entries together may save up, at most RetryBurst.
func (s *Server) retryBurst() float64 {
	burst := float64(s.o.RetryBurst)
	if entries := s.entryCount.Load(); entries > 0 && s.o.RetrySlack != nil {
		burst = min(burst, *s.o.RetrySlack/float64(entries))
	}
	return burst
}

// maxRefusalLines bounds the lines about refused requests in one second; the limits that callers meet
// are counted in metrics.
const maxRefusalLines = 20

// lineLimiter bounds the log lines of one kind. It is safe for concurrent use.
type lineLimiter struct {
	second atomic.Int64
	lines  atomic.Int64
}

// allow reports whether another line may be logged.
func (l *lineLimiter) allow(now time.Duration) bool {
	second := int64(now / time.Second)
	if l.second.Swap(second) != second {
		l.lines.Store(0)
	}
	return l.lines.Add(1) <= maxRefusalLines
}

// refusal builds the response to a request that never reaches the handler.
func (s *Server) refusal(k errkind.Kind, detail string) httpserver.Refusal {
	if s.refusalLog.allow(s.now()) {
		s.log.Info("Request refused before it reached the handler.", "kind", string(k), "detail", detail)
	}
	status, h, body := errorResponse(errkind.New(k, "%s", detail).WithRan(errkind.RanNo))
	return httpserver.Refusal{Status: status, Header: h, Body: body}
}
