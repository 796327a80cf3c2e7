// Package scheduler is the shell of a cell's scheduler: it feeds the decision cores of
// packages grant, orders and placement with events and carries their actions out, for
// as long as this node holds the cell's lease.
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
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// Group is what the scheduler needs of the control group.
type Group interface {
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
	Placements(ctx context.Context, cell string) (*wire.PlacementsResponse, error)
}

// Options of a Server.
type Options struct {
	Cell      string
	LeaseName string
	Group     Group
	// Valid returns the fence number of the cell's lease and whether this node may act
	// on it now.
	Valid      func() (fence uint64, ok bool)
	LeaseTTL   time.Duration
	OrderLife  time.Duration // longest life of an order that ignores fencing numbers
	Suspect    time.Duration // silence after which an upstream gets no new orders
	Lost       time.Duration // silence after which an upstream is looked at as lost
	Plan       time.Duration // time between two plans
	Grant      grant.Settings
	Placement  placement.Settings
	Store      StoreLimits
	Seed       uint64
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// OnBroken is called when a core finds one of its invariants broken.
	OnBroken func(error)
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

	o       Options
	log     *slog.Logger
	metrics *metrics

	mu       sync.Mutex
	active   *active
	spec     *wire.Spec
	suspects []*wire.Suspect
}

// New returns a server that waits for the lease.
func New(o Options) *Server {
	return &Server{o: o, log: o.Logger.With("part", "scheduler"), metrics: newMetrics(o.Registerer)}
}

// Register adds the server to a gRPC server for nodes.
func (s *Server) Register(g grpc.ServiceRegistrar) { wire.RegisterSchedulerServer(g, s) }

// Held starts deciding under a fence number.
func (s *Server) Held(fence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
	s.startLocked(fence)
}

func (s *Server) startLocked(fence uint64) {
	s.active = newActive(s, fence)
	if s.spec != nil {
		s.active.offer(specChanged{s.spec})
	}
	if s.suspects != nil {
		s.active.offer(suspectsChanged{s.suspects})
	}
	s.active.start()
}

// LeaseLost stops deciding.
func (s *Server) LeaseLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
}

func (s *Server) stopLocked() {
	if s.active == nil {
		return
	}
	s.active.stop()
	s.active = nil
}

// restartPause is the time before a term that ended by itself begins again.
const restartPause = 500 * time.Millisecond

// ended notes a term that ended by itself. While the node holds the lease, nobody else
// decides for the cell, so the term begins again from what the log holds.
func (s *Server) ended(a *active) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active != a {
		return
	}
	s.stopLocked()
	if a.broken.Load() {
		return
	}
	time.AfterFunc(restartPause, func() { s.restart(a.fence) })
}

func (s *Server) restart(fence uint64) {
	held, ok := s.o.Valid()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active != nil || !ok || held != fence {
		return
	}
	s.log.Warn("The term begins again.", "fence", fence)
	s.startLocked(fence)
}

// SpecChanged passes on a newly applied file.
func (s *Server) SpecChanged(spec *wire.Spec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
	if s.active != nil {
		s.active.offer(specChanged{spec})
	}
}

// SuspectsChanged passes on the bodies that were running when upstreams died.
func (s *Server) SuspectsChanged(suspects []*wire.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects = suspects
	if s.active != nil {
		s.active.offer(suspectsChanged{suspects})
	}
}

func (s *Server) current() *active {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

var errNotScheduler = status.Error(codes.Unavailable, "this node does not hold the cell's scheduler lease")

// Announce implements wire.SchedulerServer.
func (s *Server) Announce(ctx context.Context, req *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	a := s.current()
	if a == nil {
		return nil, errNotScheduler
	}
	var ann upstream.Announcement
	if err := json.Unmarshal(req.Announcement, &ann); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "announcement: %v", err)
	}
	if ann.ID == "" || ann.Incarnation == 0 || ann.Address == "" {
		return nil, status.Error(codes.InvalidArgument, "announcement: id, incarnation and address are needed")
	}
	if ann.Cell != s.o.Cell {
		return nil, status.Errorf(codes.InvalidArgument, "announcement: cell %q is not %q", ann.Cell, s.o.Cell)
	}
	in := announced{&ann, make(chan *wire.AnnounceResponse, 1)}
	if !a.submit(ctx, in) {
		return nil, errNotScheduler
	}
	s.metrics.announcements.Inc()
	select {
	case resp := <-in.answer:
		return resp, nil
	case <-a.ctx.Done():
		return nil, errNotScheduler
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// Explain returns what the scheduler knows of a model or "model:adapter".
func (s *Server) Explain(ctx context.Context, subject string) []string {
	a := s.current()
	if a == nil {
		return nil
	}
	q := question{subject: subject, answer: make(chan []string, 1)}
	if !a.submit(ctx, q) {
		return nil
	}
	select {
	case lines := <-q.answer:
		return lines
	case <-a.ctx.Done():
		return nil
	case <-ctx.Done():
		return nil
	}
}
