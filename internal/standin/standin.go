package standin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/pause"
	"gentiankeel/internal/upstream"
)

// Debug paths of the stand-in, which real upstreams don't serve.
const (
	PathRuns  = "/debug/runs"  // runs per Idempotency-Key, as a JSON object
	PathStats = "/debug/stats" // Stats
)

const (
	readHeaderTimeout = 5 * time.Second
	drainTimeout      = 10 * time.Minute
)

// Server is a simulated upstream.
type Server struct {
	opts         Options
	ctx          context.Context
	cancel       context.CancelFunc
	listener     net.Listener
	http         *http.Server
	accelerator  *accelerator
	slots        *slots
	cache        *prefixCache
	attempts     *attempts
	announcer    *announcer
	faults       faults
	phases       slowPhases
	runCounter   runCounter
	reportedLoad delayedLoad
	leaving      atomic.Bool
	killOnce     sync.Once
	wg           sync.WaitGroup
}

// New starts an upstream, which serves until it is stopped.
func New(o Options) (*Server, error) {
	o = o.withDefaults()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "upstream %s", o.ID)
	}
	s := &Server{
		opts:       o,
		listener:   listener,
		slots:      &slots{capacity: o.Slots, maxQueued: o.QueueMax},
		attempts:   &attempts{cancelFuncs: map[string]context.CancelFunc{}},
		runCounter: runCounter{byKey: map[string]int{}},
		cache:      newPrefixCache(o.Latency, rand.New(rand.NewPCG(o.Seed, 1))),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.announcer = newAnnouncer(s)
	s.accelerator = newAccelerator(s.ctx, &s.opts, rand.New(rand.NewPCG(o.Seed, 2)), s.announcer.notify)
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	s.start()
	return s, nil
}

func (s *Server) start() {
	s.wg.Go(func() { _ = s.http.Serve(s.listener) }) // returns after Close
	s.wg.Go(func() { s.phases.run(s.ctx, s.opts.Latency, rand.New(rand.NewPCG(s.opts.Seed, 3))) })
	s.wg.Go(func() { s.reportedLoad.run(s.ctx, s.opts.Latency.ReportLag, s.slots) })
	if len(s.opts.Entries) > 0 {
		s.wg.Go(func() { s.announcer.run(s.ctx) })
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStats, s.handleStats)
	mux.HandleFunc("GET "+upstream.PathState, s.handleState)
	if s.opts.Service != "" {
		mux.HandleFunc("GET "+PathRuns, s.handleRuns)
		mux.HandleFunc("/", s.handleService)
		return mux
	}
	mux.HandleFunc("POST "+upstream.PathCompletions, s.handleGenerate)
	mux.HandleFunc("POST "+upstream.PathChatCompletions, s.handleGenerate)
	mux.HandleFunc("POST "+upstream.PathOrders, s.handleOrder)
	mux.HandleFunc("POST "+upstream.PathCancel, s.handleCancel)
	return mux
}

// Addr returns the IP:port that the upstream serves.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// ID returns the upstream's ID.
func (s *Server) ID() string { return s.opts.ID }

// Incarnation returns the upstream's incarnation.
func (s *Server) Incarnation() uint64 { return s.opts.Incarnation }

// Stats returns the counters since the start.
func (s *Server) Stats() Stats { return s.accelerator.snapshotStats() }

// Runs returns the number of runs by Idempotency-Key.
func (s *Server) Runs() map[string]int { return s.runCounter.copy() }

// State returns the state that the upstream reports.
func (s *Server) State() upstream.State {
	st := s.accelerator.state()
	st.Running, st.Queued = s.reportedLoad.get()
	return st
}

// Announcement returns the full announcement that the upstream would send with the
// sequence number. The cache events in it are not announced again.
func (s *Server) Announcement(sequence uint64) upstream.Announcement {
	return s.announcement(sequence)
}

// Leave shuts the upstream down gracefully: it announces that it is leaving, waits for
// its requests and closes. If ctx or drainTimeout ends during the wait, it returns an
// error and the upstream goes on running.
func (s *Server) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	s.announcer.notify()
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for s.hasRequests() {
		if err := pause.For(ctx, s.opts.Latency.Heartbeat/4); err != nil {
			return err
		}
	}
	if err := pause.For(ctx, s.opts.Latency.Heartbeat); err != nil { // gives the announcement time to arrive
		return err
	}
	err := s.http.Shutdown(ctx)
	s.Close()
	return err
}

func (s *Server) hasRequests() bool {
	running, queued := s.slots.counts()
	return running+queued > 0
}

// Close stops the upstream immediately and waits for its goroutines.
func (s *Server) Close() {
	s.Kill()
	s.wg.Wait()
}

// Kill stops the upstream like a crash: connections are cut and nothing is announced.
func (s *Server) Kill() {
	s.killOnce.Do(func() {
		s.cancel()
		_ = s.http.Close()
	})
}

// crashOnRequest stops the upstream on behalf of a request that holds the crash marker.
func (s *Server) crashOnRequest() {
	s.opts.Log.Warn("Upstream crashes on a request with the crash marker.", "upstream", s.opts.ID)
	s.opts.Exit()
	s.Kill()
}

// refusalReason returns why a call can't be run now, or an empty string.
func (s *Server) refusalReason(r *http.Request) string {
	if s.leaving.Load() {
		return "the upstream is leaving"
	}
	fence := r.Header.Get(upstream.HeaderFence)
	if fence != "" && !s.accelerator.acceptFence(parseFence(fence)) {
		return "old fencing number"
	}
	return ""
}

// refuse answers a call that was not run, and marks the answer as such.
func (s *Server) refuse(w http.ResponseWriter, attempt, reason string) {
	s.accelerator.updateStats(func(t *Stats) { t.Refused++ })
	w.Header().Set(upstream.HeaderAttempt, attempt)
	w.Header().Set(upstream.HeaderNotRun, "true")
	writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: errorDetail{Message: reason, Type: "not_run"}})
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o upstream.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := s.accelerator.startOrder(o)
	if s.faults.consumeDroppedOrderReply() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.State())
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var c upstream.CancelRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.attempts.cancel(c.Attempt)
	w.WriteHeader(http.StatusNoContent)
}
