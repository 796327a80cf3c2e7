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

// Paths that only the stand-in serves.
const (
	PathRuns  = "/debug/runs"  // runs per Idempotency-Key, as a JSON object
	PathStats = "/debug/stats" // Stats
)

const (
	readHeaderTimeout = 5 * time.Second
	drainTimeout      = 10 * time.Minute
)

// Server is one running upstream.
type Server struct {
	o           Options
	ctx         context.Context
	cancel      context.CancelFunc
	listener    net.Listener
	http        *http.Server
	accelerator *accelerator
	slots       *slots
	cache       *prefixCache
	attempts    *attempts
	announcer   *announcer
	faults      faults
	phases      slowPhases
	runs        runs
	load        lateLoad
	leaving     atomic.Bool
	dead        sync.Once
	wg          sync.WaitGroup
}

// New listens and serves until Close, Leave or Die.
func New(o Options) (*Server, error) {
	o = o.withDefaults()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "upstream %s", o.ID)
	}
	s := &Server{
		o:        o,
		listener: listener,
		slots:    &slots{size: o.Slots, queueMax: o.QueueMax},
		attempts: &attempts{cancel: map[string]context.CancelFunc{}},
		runs:     runs{byKey: map[string]int{}},
		cache:    newPrefixCache(o.Latency, rand.New(rand.NewPCG(o.Seed, 1))),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.announcer = newAnnouncer(s)
	s.accelerator = newAccelerator(s.ctx, &s.o, rand.New(rand.NewPCG(o.Seed, 2)), s.announcer.changed)
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	s.start()
	return s, nil
}

func (s *Server) start() {
	s.wg.Go(func() { _ = s.http.Serve(s.listener) }) // ends with Close
	s.wg.Go(func() { s.phases.run(s.ctx, s.o.Latency, rand.New(rand.NewPCG(s.o.Seed, 3))) })
	s.wg.Go(func() { s.load.run(s.ctx, s.o.Latency.ReportLag, s.slots) })
	if len(s.o.Entries) > 0 {
		s.wg.Go(func() { s.announcer.run(s.ctx) })
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStats, s.handleStats)
	mux.HandleFunc("GET "+upstream.PathState, s.handleState)
	if s.o.Service != "" {
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

// ID returns the upstream's name.
func (s *Server) ID() string { return s.o.ID }

// Incarnation returns the number of this start.
func (s *Server) Incarnation() uint64 { return s.o.Incarnation }

// Stats returns the counts since the start.
func (s *Server) Stats() Stats { return s.accelerator.snapshotStats() }

// Runs returns how often each Idempotency-Key was run.
func (s *Server) Runs() map[string]int { return s.runs.copy() }

// State returns what the upstream reports of itself.
func (s *Server) State() upstream.State {
	st := s.accelerator.state()
	st.Running, st.Queued = s.load.get()
	return st
}

// Announcement returns the announcement that the upstream would send with the
// sequence number; it takes the due cache events with it.
func (s *Server) Announcement(sequence uint64) upstream.Announcement {
	return s.announcement(sequence)
}

// Leave announces that the upstream goes, lets its requests end and closes it.
func (s *Server) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	s.announcer.changed()
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for s.isBusy() {
		if err := pause.For(ctx, s.o.Latency.Heartbeat/4); err != nil {
			return err
		}
	}
	if err := pause.For(ctx, s.o.Latency.Heartbeat); err != nil { // the entries have heard of it
		return err
	}
	err := s.http.Shutdown(ctx)
	s.Close()
	return err
}

func (s *Server) isBusy() bool {
	running, queued := s.slots.load()
	return running+queued > 0
}

// Close ends the upstream at once and waits for its goroutines.
func (s *Server) Close() {
	s.Die()
	s.wg.Wait()
}

// Die ends the upstream as a crash does: connections are cut, nothing is announced.
func (s *Server) Die() {
	s.dead.Do(func() {
		s.cancel()
		_ = s.http.Close()
	})
}

// crash ends the upstream for a request that no upstream survives.
func (s *Server) crash() {
	s.o.Log.Warn("A request crashes the upstream.", "upstream", s.o.ID)
	s.o.Exit()
	s.Die()
}

// refusal returns why no call can be run now, or nothing.
func (s *Server) refusal(r *http.Request) string {
	if s.leaving.Load() {
		return "the upstream is leaving"
	}
	fence := r.Header.Get(upstream.HeaderFence)
	if fence != "" && !s.accelerator.admitsFence(parseUint(fence)) {
		return "old fencing number"
	}
	return ""
}

// refuse answers a call that was not run.
func (s *Server) refuse(w http.ResponseWriter, attempt, why string) {
	s.accelerator.count(func(t *Stats) { t.Refused++ })
	w.Header().Set(upstream.HeaderAttempt, attempt)
	w.Header().Set(upstream.HeaderNotRun, "true")
	writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: errorDetail{Message: why, Type: "not_run"}})
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
	reply := s.accelerator.order(o)
	if s.faults.takeLostOrder() {
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
	s.attempts.stop(c.Attempt)
	w.WriteHeader(http.StatusNoContent)
}
