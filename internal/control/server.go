// Package control is the shell of a control VM: it serves the replicated state to the
// other nodes and to operators, and keeps leases while its replica leads.
package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/lease"
	"gentiankeel/internal/replica"
	"gentiankeel/internal/state"
	"gentiankeel/internal/wire"
)

// Log is what the server needs of its replica.
type Log interface {
	replica.Log
	// Replace puts a member in the place of a lost replica; it returns once another
	// single loss would lose nothing.
	Replace(ctx context.Context, lost uint64, member *wire.Member, report func(replica.ReplaceStep)) error
	// Done is closed when the replica has stopped, for any cause.
	Done() <-chan struct{}
	// Err returns why the replica stopped; nil after a wanted stop.
	Err() error
}

// Options of a Server.
type Options struct {
	NodeID     string
	Address    string // gRPC address of this node
	Zone       string
	LeaseTTL   time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// OpenLog starts the replica that drives the state machine.
	OpenLog func(replica.StateMachine) (Log, error)
	// Dial holds the options of connections to other nodes.
	Dial []grpc.DialOption
	// OnBroken is called when the replica stops by itself.
	OnBroken func(error)
	// State is the machine to drive; nil makes a new one.
	State *state.Machine
}

// Server serves the control role. It implements wire.ControlServer.
type Server struct {
	wire.UnimplementedControlServer

	nodeID  string
	address string
	zone    string
	broken  func(error)
	ttl     time.Duration
	log     *slog.Logger
	metrics *metrics
	machine *machine
	state   *state.Machine
	replica Log
	start   time.Time
	dial    []grpc.DialOption

	mu     sync.Mutex
	keeper *lease.Keeper
	nodes  map[string]*nodeEntry
	drains map[string]bool

	stop context.CancelFunc
	done sync.WaitGroup
}

type nodeEntry struct {
	report *wire.NodeReport
	seen   time.Time
}

// leaseCheckInterval is the time between two looks at the leases that may have run out.
const leaseCheckInterval = 100 * time.Millisecond

// New opens the replica and starts the lease duty.
func New(o Options) (*Server, error) {
	st := o.State
	if st == nil {
		st = state.New(state.Options{})
	}
	s := &Server{
		nodeID:  o.NodeID,
		address: o.Address,
		zone:    o.Zone,
		broken:  o.OnBroken,
		ttl:     o.LeaseTTL,
		log:     o.Logger.With("part", "control"),
		metrics: newMetrics(o.Registerer),
		machine: newMachine(st),
		state:   st,
		start:   time.Now(),
		dial:    o.Dial,
		keeper:  lease.NewKeeper(),
		nodes:   map[string]*nodeEntry{},
		drains:  map[string]bool{},
	}
	s.machine.onApply = s.observe
	if o.OnBroken != nil {
		s.machine.onBroken = o.OnBroken
	}
	log, err := o.OpenLog(s.machine)
	if err != nil {
		return nil, errors.Wrap(err, "opening the replica")
	}
	s.replica = log
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.done.Add(2)
	go s.keepLeases(ctx)
	go s.watchReplica(ctx)
	return s, nil
}

// watchReplica reports a replica that stops by itself: a broken invariant or a failing
// disk must end the process, not leave it serving an old state.
func (s *Server) watchReplica(ctx context.Context) {
	defer s.done.Done()
	select {
	case <-ctx.Done():
	case <-s.replica.Done():
		if err := s.replica.Err(); err != nil && s.broken != nil {
			s.broken(errors.Wrap(err, "the replica stopped"))
		}
	}
}

// Register adds the server to a gRPC server for nodes.
func (s *Server) Register(g grpc.ServiceRegistrar) { wire.RegisterControlServer(g, s) }

// Close stops the duties and the replica.
func (s *Server) Close() error {
	s.stop()
	s.done.Wait()
	return s.replica.Stop()
}

// Ready reports whether this replica knows a leader.
func (s *Server) Ready() bool { return s.replica.Status().Leader != 0 }

func (s *Server) now() time.Duration { return time.Since(s.start) }

// observe runs on the apply goroutine after each command.
func (s *Server) observe(cmd *wire.Command, res *wire.Result) {
	s.metrics.applied.Inc()
	if res.File != nil {
		s.log.Info("Applied file decided.", "version", res.File.Version, "digest", res.File.Digest,
			"outcome", res.File.Outcome.String(), "index", res.Index)
	}
	s.observeLease(cmd, res)
}

func (s *Server) observeLease(cmd *wire.Command, res *wire.Result) {
	if res.Code != wire.ResultCode_RESULT_OK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch op := cmd.Op.(type) {
	case *wire.Command_GrantLease:
		if res.Lease != nil {
			s.keeper.Granted(s.now(), res.Lease)
		}
	case *wire.Command_EndLease:
		s.keeper.Ended(op.EndLease.Name, op.EndLease.Fence)
	case *wire.Command_Batch:
		for i, sub := range op.Batch.Commands {
			if end := sub.GetEndLease(); end != nil && i < len(res.Batch) {
				s.keeper.Ended(end.Name, end.Fence)
			}
		}
	}
}

// keepLeases follows leadership and ends the leases that ran out.
func (s *Server) keepLeases(ctx context.Context) {
	defer s.done.Done()
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.checkLeases(ctx)
		}
	}
}

func (s *Server) checkLeases(ctx context.Context) {
	leading := s.replica.Status().IsLeader
	s.metrics.setLeading(leading)
	s.mu.Lock()
	if leading && !s.keeper.Leading() {
		s.mu.Unlock()
		s.lead(ctx)
		return
	}
	if !leading && s.keeper.Leading() {
		s.keeper.StopLeading()
		s.log.Info("Leadership lost.")
	}
	expired := s.keeper.ExpiredLeases(s.now())
	s.mu.Unlock()
	for _, e := range expired {
		s.endLease(ctx, e)
	}
}

// lead begins a term of leadership. The barrier makes sure that every lease committed
// under the former leader has been applied before its spans are counted.
func (s *Server) lead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.ttl)
	defer cancel()
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.StartLeading(s.now(), s.state.Leases())
	s.log.Info("Leadership gained.", "term", s.replica.Status().Term)
}

func (s *Server) endLease(ctx context.Context, e lease.Expired) {
	ctx, cancel := context.WithTimeout(ctx, s.ttl)
	defer cancel()
	cmd := &wire.Command{Op: &wire.Command_Batch{Batch: &wire.Batch{Commands: endCommands(e)}}}
	if _, err := s.propose(ctx, cmd); err != nil {
		s.log.Warn("Ending a lease failed.", "lease", e.Name, "fence", e.Fence, "error", err)
		return
	}
	s.metrics.leasesEnded.Inc()
	s.log.Info("Lease ran out.", "lease", e.Name, "fence", e.Fence)
}

// endCommands ends the lease and, for an entry's session, marks its open calls as of
// unknown outcome.
func endCommands(e lease.Expired) []*wire.Command {
	end := &wire.EndLease{Name: e.Name, Fence: e.Fence, Why: "not renewed in time"}
	out := []*wire.Command{{Op: &wire.Command_EndLease{EndLease: end}}}
	if entry, ok := EntryOfSession(e.Name); ok {
		abandon := &wire.LedgerAbandon{Entry: entry}
		out = append(out, &wire.Command{Op: &wire.Command_LedgerAbandon{LedgerAbandon: abandon}})
	}
	return out
}

// propose stamps the command, commits it and decodes the state machine's answer.
func (s *Server) propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	cmd.AtUnixMs = time.Now().UnixMilli()
	data, err := EncodeCommand(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a command")
	}
	begin := time.Now()
	answer, _, err := s.replica.Propose(ctx, data)
	if err != nil {
		s.metrics.proposeFailed.Inc()
		return nil, err
	}
	s.metrics.commitSeconds.Observe(time.Since(begin).Seconds())
	var res wire.Result
	if err := proto.Unmarshal(answer, &res); err != nil {
		return nil, errors.Wrap(err, "decoding a result")
	}
	return &res, nil
}

// leaderBarrier returns once a read here is linearizable, at the leader only: what is
// kept beside the log, such as renewals and reports of nodes, lives there.
func (s *Server) leaderBarrier(ctx context.Context) error {
	if !s.replica.Status().IsLeader {
		return s.toStatus(replica.ErrNotLeader)
	}
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return s.toStatus(err)
	}
	return nil
}

// toStatus maps a replica's error to a gRPC status. FailedPrecondition means that
// nothing was proposed and carries the leader that this replica knows; Unknown means
// that the proposal may still commit.
func (s *Server) toStatus(err error) error {
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		st := status.New(codes.FailedPrecondition, err.Error())
		if hint := s.leaderHint(); hint != nil {
			if with, derr := st.WithDetails(hint); derr == nil {
				st = with
			}
		}
		return st.Err()
	case errors.Is(err, replica.ErrStopped):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return status.Error(codes.Unknown, err.Error())
	default:
		return status.Error(codes.Unknown, err.Error())
	}
}

func (s *Server) leaderHint() *wire.LeaderHint {
	st := s.replica.Status()
	m := st.Member(st.Leader)
	if m == nil {
		return nil
	}
	return &wire.LeaderHint{Id: m.Name, Address: m.Address}
}

// Status returns the replica's view of the control group.
func (s *Server) Status() replica.Status { return s.replica.Status() }

// ChangeMembership proposes one change of the control group and waits for its commit.
func (s *Server) ChangeMembership(ctx context.Context, cc *wire.ConfChange) error {
	return s.replica.ChangeMembership(ctx, cc)
}

// PutRouting commits a routing configuration that was checked. After an
// error it may be in force or not.
func (s *Server) PutRouting(ctx context.Context, rec *wire.RoutingRecord) (*wire.Result, error) {
	cmd := &wire.Command{Op: &wire.Command_PutRouting{PutRouting: &wire.PutRouting{Routing: rec}}}
	return s.propose(ctx, cmd)
}

// Barrier returns once a read of the state is linearizable.
func (s *Server) Barrier(ctx context.Context) error { return s.replica.ReadBarrier(ctx) }

// Routing returns the routing configuration as applied here; call Barrier before for a
// linearizable read.
func (s *Server) Routing() *wire.RoutingRecord { return s.state.Routing() }

// ToStatus maps an error of the replica to a gRPC status with a hint at the leader.
func (s *Server) ToStatus(err error) error { return s.toStatus(err) }
