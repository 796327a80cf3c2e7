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

	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/errkind"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/upclient"
	"gentiankeel/internal/wire"
)

// Server is the entry. Start it once.
type Server struct {
	o      Options
	log    *slog.Logger
	m      *metrics
	begin  time.Time
	pool   *upclient.Pool
	front  *httpserver.Server
	probe  *httpserver.Server
	cancel context.CancelFunc
	duties sync.WaitGroup

	table atomic.Pointer[routing.Table] // nil before the first configuration
	held  *wire.RoutingRecord           // the configuration last taken, with its document; owned by follow
	fresh chan struct{}                 // closed while a configuration is in force; guarded by freshMu
	heard atomic.Int64                  // when a coordinator was heard last, since begin

	reportMs  atomic.Uint32 // pause between calm reports that the coordinator asks for
	draining  atomic.Bool   // the probe answers that this entry is not ready
	refusing  atomic.Bool   // new requests are refused
	kick      chan struct{}
	nextAsk   atomic.Uint64
	budgetsMu sync.Mutex
	budgets   map[string]*retry.RatioBudget

	freshMu sync.Mutex

	mu      sync.Mutex // guards what follows
	core    *dispatch.Core
	waiting map[uint64]chan dispatch.Decision
}

// New returns a server that does not listen yet.
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
		o:       o,
		log:     o.Logger.With("part", "gateway"),
		m:       m,
		begin:   time.Now(),
		pool:    upclient.New(upclient.Options{Answers: o.Dialect.Answers}),
		kick:    make(chan struct{}, 1),
		fresh:   make(chan struct{}),
		budgets: map[string]*retry.RatioBudget{},
		core:    dispatch.New(dispatch.Options{Settings: o.Dispatch, Zone: o.Zone, Seed: xxhash.Sum64String(o.Node)}),
		waiting: map[uint64]chan dispatch.Decision{},
	}
	s.front, err = httpserver.New(httpserver.Options{
		Listen:       o.Listen,
		Handler:      http.HandlerFunc(s.serve),
		MaxBodyBytes: o.MaxBodyBytes,
		IdleTimeout:  o.IdleTimeout,
		MaxInFlight:  o.MaxInFlight,
		Pollers:      1,
		Refuse:       s.refuse,
		Logger:       o.Logger,
	})
	if err != nil {
		return nil, errors.WithMessage(err, "gateway")
	}
	s.probe, err = httpserver.New(httpserver.Options{
		Listen:  o.Ready,
		Handler: http.HandlerFunc(s.ready),
		Pollers: 1,
		Refuse:  s.refuse,
		Logger:  o.Logger,
	})
	return s, errors.WithMessage(err, "gateway")
}

// Start listens and follows the coordinator.
func (s *Server) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.front.Start(); err != nil {
		return errors.WithMessage(err, "gateway")
	}
	if err := s.probe.Start(); err != nil {
		return errors.WithMessage(err, "gateway")
	}
	s.duties.Go(func() { s.follow(ctx) })
	s.duties.Go(func() { s.tick(ctx) })
	s.log.Info("Entry listens.", "address", s.front.Addr(), "ready", s.probe.Addr())
	return nil
}

// Addr and ReadyAddr return the addresses listened on, known after Start.
func (s *Server) Addr() string { return s.front.Addr() }

// ReadyAddr returns the address of the readiness probe.
func (s *Server) ReadyAddr() string { return s.probe.Addr() }

// Shutdown drains: the probe fails at once, requests go on being served until the
// balancer has noticed, new ones are then refused, and those in progress finish.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.log.Info("Entry drains.", "announce", s.o.DrainAnnounce, "limit", s.o.DrainLimit)
	ctx, cancel := context.WithTimeout(ctx, s.o.DrainLimit)
	defer cancel()
	s.mu.Lock()
	s.decided(s.core.Drain(s.now(), s.now()+min(drainPatience, s.o.DrainAnnounce)))
	s.mu.Unlock()
	_ = pause.For(ctx, s.o.DrainAnnounce)
	s.refusing.Store(true)
	err := s.front.Shutdown(ctx)
	s.cancel()
	s.duties.Wait()
	if perr := s.probe.Shutdown(ctx); err == nil {
		err = perr
	}
	return errors.WithMessage(err, "gateway")
}

func (s *Server) now() time.Duration { return time.Since(s.begin) }

// ready answers the balancer's probe.
func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != s.o.Dialect.ReadyPath() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if why := s.unready(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unready returns why the entry takes no new connections; empty: it does.
func (s *Server) unready() string {
	switch {
	case s.draining.Load():
		return "draining"
	case s.table.Load() == nil:
		return "no configuration is known"
	case s.stale():
		return "no coordinator was heard for too long"
	}
	return ""
}

func (s *Server) stale() bool {
	return s.now()-time.Duration(s.heard.Load()) > s.o.MaxStale
}

// heardNow notes word from a coordinator; requests that waited for it go on.
func (s *Server) heardNow() {
	s.heard.Store(int64(s.now()))
	if s.table.Load() == nil {
		return
	}
	s.freshMu.Lock()
	defer s.freshMu.Unlock()
	select {
	case <-s.fresh:
	default:
		close(s.fresh)
	}
}

// awaitConfig waits for a configuration, at most as long as the entry may still expect
// one: after a restart a coordinator is found within seconds.
func (s *Server) awaitConfig(ctx context.Context, wait time.Duration) *routing.Table {
	if t := s.table.Load(); t != nil && !s.stale() {
		return t
	}
	s.freshMu.Lock()
	if s.stale() {
		select {
		case <-s.fresh:
			s.fresh = make(chan struct{})
		default:
		}
	}
	fresh := s.fresh
	s.freshMu.Unlock()
	timer := time.NewTimer(min(wait, s.o.ConfigWait))
	defer timer.Stop()
	select {
	case <-fresh:
		return s.table.Load()
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// drainPatience is how long a request may still wait for an upstream at an entry that
// leaves: at another one it loses less.
const drainPatience = time.Second

const (
	// tickInterval is the time between two looks at waiting requests.
	tickInterval = 50 * time.Millisecond
	// sweepTicks is the number of ticks between two looks at idle connections.
	sweepTicks = 10
)

// tick lets time pass for waiting requests.
func (s *Server) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.mu.Lock()
		if len(s.waiting) > 0 {
			s.decided(s.core.Tick(s.now()))
		}
		s.mu.Unlock()
		if n%sweepTicks == 0 {
			s.pool.Sweep()
		}
	}
}

// decided hands decisions to the requests that wait for them; it needs mu.
func (s *Server) decided(list []dispatch.Decision) {
	for _, d := range list {
		if ch := s.waiting[d.Ask]; ch != nil {
			delete(s.waiting, d.Ask)
			ch <- d
		}
	}
}

// ask enters an ask; the channel brings its one decision.
func (s *Server) ask(a dispatch.Ask) <-chan dispatch.Decision {
	ch := make(chan dispatch.Decision, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[a.ID] = ch
	s.decided(s.core.Ask(s.now(), a))
	s.wakeReport()
	return ch
}

// withdraw takes an ask back. When its decision came meanwhile, the place is given back.
func (s *Server) withdraw(id uint64, ch <-chan dispatch.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
	s.decided(s.core.Cancel(s.now(), id))
	select {
	case d := <-ch:
		if d.Target != nil {
			s.decided(s.core.Ended(s.now(), id, dispatch.Left))
		}
	default:
	}
	s.wakeReport()
}

func (s *Server) ended(id uint64, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decided(s.core.Ended(s.now(), id, o))
	s.wakeReport()
}

func (s *Server) wakeReport() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// budget bounds the attempts beyond the first of each request to one service.
func (s *Server) budget(service string) *retry.RatioBudget {
	s.budgetsMu.Lock()
	defer s.budgetsMu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = retry.NewRatioBudget(s.o.RetryPercent, s.o.RetryBurst)
		s.budgets[service] = b
	}
	return b
}

// refuse builds the answer to a request that never reaches the handler.
func (s *Server) refuse(k errkind.Kind, detail string) httpserver.Refusal {
	s.log.Info("Request refused before it was read.", "kind", string(k), "detail", detail)
	status, h, body := answerOf(errkind.New(k, "%s", detail).WithRan(errkind.RanNo))
	return httpserver.Refusal{Status: status, Header: h, Body: body}
}
