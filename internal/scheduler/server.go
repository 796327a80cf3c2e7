// Package scheduler runs a cell's scheduler: it feeds events to the decision cores of packages
// grant, orders and placement and executes their actions, as long as this node holds the
// cell's lease.
package scheduler

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/respbuf"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// Group is the scheduler's client of the control group.
type Group interface {
	// Propose commits a command and returns its result. After an error the command may still
	// have been committed, unless the error has the code InvalidArgument.
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
	// Placements reads the state of a cell from the log.
	Placements(ctx context.Context, cell string) (*wire.PlacementsResponse, error)
}

// Options are the parameters of New.
type Options struct {
	Cell      string
	LeaseName string
	Group     Group
	// LeaseValid returns the fencing number of the cell's lease and whether this node may act
	// on it now.
	LeaseValid   func() (fence uint64, ok bool)
	LeaseTTL     time.Duration
	OrderLife    time.Duration // longest time in which a sent order may still arrive
	SuspectAfter time.Duration // silence after which an upstream is probed; if it does not answer, it gets no new orders
	LostAfter    time.Duration // silence after which an upstream may be dropped as dead
	PlanInterval time.Duration // shortest time between two plans
	Grant        grant.Settings
	Placement    placement.Settings
	Store        StoreLimits
	Seed         uint64
	Logger       *slog.Logger
	Registerer   prometheus.Registerer
	// OnFatal is called with the violated invariant of a core, or another panic of the
	// decision goroutine. The process must stop then.
	OnFatal func(error)
}

// StoreLimits are the limits of the weight store and of adapter loads.
type StoreLimits struct {
	LoadsPerSecond  float64
	Concurrency     int
	AdapterInFlight int
}

// Server serves the scheduler role. It implements wire.SchedulerServer. While the node
// does not hold the lease, every call is refused.
type Server struct {
	wire.UnimplementedSchedulerServer

	opts      Options
	log       *slog.Logger
	metrics   *metrics
	responses *respbuf.Pool // of upstreams

	mu       sync.Mutex
	term     *term
	spec     *wire.Spec
	suspects []*wire.Suspect
}

// New returns a server that does not hold the lease.
func New(o Options) *Server {
	return &Server{opts: o, log: o.Logger.With("part", "scheduler"), metrics: newMetrics(o.Registerer), responses: respbuf.NewPool(maxHeldBytes)}
}

// Register adds the server to a gRPC server for nodes.
func (s *Server) Register(g grpc.ServiceRegistrar) { wire.RegisterSchedulerServer(g, s) }

// LeaseHeld starts a term under a fencing number. A term that still runs is stopped.
func (s *Server) LeaseHeld(fence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
	s.startLocked(fence)
}

func (s *Server) startLocked(fence uint64) {
	s.term = newTerm(s, fence)
	if s.spec != nil {
		s.term.enqueue(specChanged{s.spec})
	}
	if s.suspects != nil {
		s.term.enqueue(suspectsChanged{s.suspects})
	}
	s.term.start()
}

// LeaseLost ends the term.
func (s *Server) LeaseLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
}

func (s *Server) stopLocked() {
	if s.term == nil {
		return
	}
	s.term.stop()
	s.term = nil
}

// restartDelay is the time before a term that ended by itself restarts.
const restartDelay = 500 * time.Millisecond

// handleTermEnd restarts a term that ended by itself. While the node holds the lease, no
// other node decides for the cell, so the term restarts from the log.
func (s *Server) handleTermEnd(t *term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != t {
		return
	}
	s.stopLocked()
	if t.panicked.Load() {
		return
	}
	time.AfterFunc(restartDelay, func() { s.restart(t.fence) })
}

// restart starts a new term unless another one has started or the lease has been lost since.
func (s *Server) restart(fence uint64) {
	held, ok := s.opts.LeaseValid()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != nil || !ok || held != fence {
		return
	}
	s.log.Warn("The scheduler's term restarts.", "fence", fence)
	s.startLocked(fence)
}

// SpecChanged passes on a newly applied file.
func (s *Server) SpecChanged(spec *wire.Spec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
	if s.term != nil {
		s.term.enqueue(specChanged{spec})
	}
}

// SuspectsChanged passes on the replicated list of bodies that were running when upstreams
// failed.
func (s *Server) SuspectsChanged(suspects []*wire.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects = suspects
	if s.term != nil {
		s.term.enqueue(suspectsChanged{suspects})
	}
}

func (s *Server) currentTerm() *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

var errLeaseNotHeld = status.Error(codes.Unavailable, "this node does not hold the cell's scheduler lease")

// Announce implements wire.SchedulerServer.
func (s *Server) Announce(ctx context.Context, req *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	t := s.currentTerm()
	if t == nil {
		return nil, errLeaseNotHeld
	}
	var ann upstream.Announcement
	if err := json.Unmarshal(req.Announcement, &ann); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "announcement: %v", err)
	}
	if ann.ID == "" || ann.Incarnation == 0 || ann.Address == "" {
		return nil, status.Error(codes.InvalidArgument, "announcement: id, incarnation and address are needed")
	}
	if ann.Cell != s.opts.Cell {
		return nil, status.Errorf(codes.InvalidArgument, "announcement: cell %q is not %q", ann.Cell, s.opts.Cell)
	}
	in := announcementInput{&ann, make(chan *wire.AnnounceResponse, 1)}
	if !t.enqueueContext(ctx, in) {
		return nil, errLeaseNotHeld
	}
	s.metrics.announcements.Inc()
	select {
	case resp := <-in.reply:
		return resp, nil
	case <-t.ctx.Done():
		return nil, errLeaseNotHeld
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// Explain returns the reasons of the last plan for a model or "model:adapter"; nil if the node
// does not hold the lease or ctx ends first.
func (s *Server) Explain(ctx context.Context, subject string) []string {
	t := s.currentTerm()
	if t == nil {
		return nil
	}
	q := explainRequest{subject: subject, reply: make(chan []string, 1)}
	if !t.enqueueContext(ctx, q) {
		return nil
	}
	select {
	case lines := <-q.reply:
		return lines
	case <-t.ctx.Done():
		return nil
	case <-ctx.Done():
		return nil
	}
}
