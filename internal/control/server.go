// Package control implements the control role of a node: it serves the replicated state
// to the other nodes and to operators, and expires leases while its replica leads.
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

// Replica is the replica of the control group that a Server uses.
type Replica interface {
	replica.Log
	// Replace replaces a lost replica by a new member. It returns once the group
	// tolerates the loss of one more replica without losing data.
	Replace(ctx context.Context, lost uint64, member *wire.Member, report func(replica.ReplaceStep)) error
	// Done returns a channel that is closed when the replica has stopped.
	Done() <-chan struct{}
	// Err returns the error that stopped the replica, or nil if Stop was called.
	Err() error
}

// Options configures a Server. NodeID, LeaseTTL, Logger, Registerer and OpenReplica are
// required.
type Options struct {
	NodeID  string
	Address string // gRPC address of this node
	Zone    string
	// LeaseTTL is the timeout of the proposal that ends an expired lease, and of the barrier
	// at the start of a term as leader.
	LeaseTTL   time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// OpenReplica starts the replica that applies the log to the given state machine.
	OpenReplica func(replica.StateMachine) (Replica, error)
	// Dial holds the dial options for connections to other nodes.
	Dial []grpc.DialOption
	// OnFatal is called when the replica stops with an error or the state violates an
	// invariant; the process must then exit.
	OnFatal func(error)
	// State is the replicated state to use; nil creates an empty one.
	State *state.Machine
}

// Server is the control role of a node. It implements wire.ControlServer.
type Server struct {
	wire.UnimplementedControlServer

	nodeID       string
	address      string
	zone         string
	onFatal      func(error)
	leaseTTL     time.Duration
	log          *slog.Logger
	metrics      *metrics
	stateMachine *stateMachine
	state        *state.Machine
	replica      Replica
	start        time.Time
	dialOptions  []grpc.DialOption

	mu          sync.Mutex
	keeper      *lease.Keeper
	lastReports map[string]*receivedReport // by node id; filled at the leader only
	draining    map[string]bool            // nodes to be drained, by node id

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// receivedReport is the last report of a node, with the time of its arrival.
type receivedReport struct {
	report     *wire.NodeReport
	reportedAt time.Time
}

// leaseCheckInterval is the time between two checks for expired leases.
const leaseCheckInterval = 100 * time.Millisecond

// New opens the replica and starts the background goroutines, which Close stops.
func New(o Options) (*Server, error) {
	st := o.State
	if st == nil {
		st = state.New(state.Options{})
	}
	s := &Server{
		nodeID:       o.NodeID,
		address:      o.Address,
		zone:         o.Zone,
		onFatal:      o.OnFatal,
		leaseTTL:     o.LeaseTTL,
		log:          o.Logger.With("part", "control"),
		metrics:      newMetrics(o.Registerer),
		stateMachine: newStateMachine(st),
		state:        st,
		start:        time.Now(),
		dialOptions:  o.Dial,
		keeper:       lease.NewKeeper(),
		lastReports:  map[string]*receivedReport{},
		draining:     map[string]bool{},
	}
	s.stateMachine.onApply = s.onApplied
	if o.OnFatal != nil {
		s.stateMachine.onViolation = o.OnFatal
	}
	replicaLog, err := o.OpenReplica(s.stateMachine)
	if err != nil {
		return nil, errors.Wrap(err, "open replica")
	}
	s.replica = replicaLog
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Add(2)
	go s.runLeaseLoop(ctx)
	go s.watchReplica(ctx)
	return s, nil
}

// watchReplica calls onFatal when the replica stops with an error. After a violated
// invariant or a disk failure the process must end instead of serving stale state.
func (s *Server) watchReplica(ctx context.Context) {
	defer s.wg.Done()
	select {
	case <-ctx.Done():
	case <-s.replica.Done():
		if err := s.replica.Err(); err != nil && s.onFatal != nil {
			s.onFatal(errors.Wrap(err, "replica stopped"))
		}
	}
}

// Register registers the control service on the gRPC server for nodes.
func (s *Server) Register(g grpc.ServiceRegistrar) { wire.RegisterControlServer(g, s) }

// Close stops the background goroutines and the replica.
func (s *Server) Close() error {
	s.cancel()
	s.wg.Wait()
	return s.replica.Stop()
}

// Ready reports whether a leader of the group is known to the replica.
func (s *Server) Ready() bool { return s.replica.Status().Leader != 0 }

// uptime is the monotonic clock of the lease keeper.
func (s *Server) uptime() time.Duration { return time.Since(s.start) }

// onApplied runs on the apply goroutine after each command.
func (s *Server) onApplied(cmd *wire.Command, res *wire.Result) {
	s.metrics.applied.Inc()
	if res.File != nil {
		s.log.Info("Applied file processed.", "version", res.File.Version, "digest", res.File.Digest,
			"outcome", res.File.Outcome.String(), "index", res.Index)
	}
	s.trackLeases(cmd, res)
}

// trackLeases updates the keeper with the leases that a command has granted or ended.
func (s *Server) trackLeases(cmd *wire.Command, res *wire.Result) {
	if res.Code != wire.ResultCode_RESULT_OK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch op := cmd.Op.(type) {
	case *wire.Command_GrantLease:
		if res.Lease != nil {
			s.keeper.RecordGrant(s.uptime(), res.Lease)
		}
	case *wire.Command_EndLease:
		s.keeper.RecordEnd(op.EndLease.Name, op.EndLease.Fence)
	case *wire.Command_Batch:
		for i, sub := range op.Batch.Commands {
			if endLease := sub.GetEndLease(); endLease != nil && i < len(res.Batch) {
				s.keeper.RecordEnd(endLease.Name, endLease.Fence)
			}
		}
	}
}

// runLeaseLoop tracks leadership and, as the leader, ends expired leases.
func (s *Server) runLeaseLoop(ctx context.Context) {
	defer s.wg.Done()
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.syncLeases(ctx)
		}
	}
}

// syncLeases starts and stops the keeper with the replica's leadership and ends the leases
// that have expired.
func (s *Server) syncLeases(ctx context.Context) {
	leading := s.replica.Status().IsLeader
	s.metrics.setLeading(leading)
	s.mu.Lock()
	if leading && !s.keeper.Leading() {
		s.mu.Unlock()
		s.takeLeadership(ctx)
		return
	}
	if !leading && s.keeper.Leading() {
		s.keeper.StopLeading()
		s.log.Info("Leadership lost.")
	}
	expired := s.keeper.ExpiredLeases(s.uptime())
	s.mu.Unlock()
	for _, e := range expired {
		s.endLease(ctx, e)
	}
}

// takeLeadership starts the lease timers at the start of a term as leader. The barrier
// ensures that every lease committed under the previous leader has been applied before.
func (s *Server) takeLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.leaseTTL)
	defer cancel()
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.StartLeading(s.uptime(), s.state.Leases())
	s.log.Info("Leadership gained.", "term", s.replica.Status().Term)
}

func (s *Server) endLease(ctx context.Context, e lease.Expired) {
	ctx, cancel := context.WithTimeout(ctx, s.leaseTTL)
	defer cancel()
	cmd := &wire.Command{Op: &wire.Command_Batch{Batch: &wire.Batch{Commands: endLeaseCommands(e)}}}
	if _, err := s.propose(ctx, cmd); err != nil {
		s.log.Warn("Expired lease could not be ended.", "lease", e.Name, "fence", e.Fence, "error", err)
		return
	}
	s.metrics.leasesEnded.Inc()
	s.log.Info("Lease expired.", "lease", e.Name, "fence", e.Fence)
}

// endLeaseCommands returns the commands that end the lease and, if it is the session of
// an entry, mark the entry's open calls as having an unknown outcome.
func endLeaseCommands(e lease.Expired) []*wire.Command {
	endLease := &wire.EndLease{Name: e.Name, Fence: e.Fence, Why: "not renewed in time"}
	cmds := []*wire.Command{{Op: &wire.Command_EndLease{EndLease: endLease}}}
	if entry, ok := EntryOfSessionLease(e.Name); ok {
		abandon := &wire.LedgerAbandon{Entry: entry}
		cmds = append(cmds, &wire.Command{Op: &wire.Command_LedgerAbandon{LedgerAbandon: abandon}})
	}
	return cmds
}

// propose sets the time of the command, commits it and returns the state machine's
// result. After an error of the replica the command may still commit, except after
// replica.ErrNotLeader, ErrStopped and ErrTooLarge.
func (s *Server) propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	cmd.AtUnixMs = time.Now().UnixMilli()
	data, err := EncodeCommand(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a command")
	}
	start := time.Now()
	answer, _, err := s.replica.Propose(ctx, data)
	if err != nil {
		s.metrics.proposeFailed.Inc()
		return nil, err
	}
	s.metrics.commitSeconds.Observe(time.Since(start).Seconds())
	var res wire.Result
	if err := proto.Unmarshal(answer, &res); err != nil {
		return nil, errors.Wrap(err, "decoding a result")
	}
	return &res, nil
}

// leaderBarrier returns once a read at this replica is linearizable, and fails if the
// replica is not the leader: lease renewals and node reports are not in the log and exist
// at the leader only.
func (s *Server) leaderBarrier(ctx context.Context) error {
	if !s.replica.Status().IsLeader {
		return s.toStatus(replica.ErrNotLeader)
	}
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return s.toStatus(err)
	}
	return nil
}

// toStatus implements ToStatus.
func (s *Server) toStatus(err error) error {
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		st := status.New(codes.FailedPrecondition, err.Error())
		if hint := s.leaderHint(); hint != nil {
			if withHint, detailErr := st.WithDetails(hint); detailErr == nil {
				st = withHint
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

// ChangeMembership proposes one membership change of the control group and waits until
// it is committed.
func (s *Server) ChangeMembership(ctx context.Context, cc *wire.ConfChange) error {
	return s.replica.ChangeMembership(ctx, cc)
}

// LeaveRemoved stops the replica after a leader has told it that its removal from the group is
// committed. The process then ends by Options.OnFatal.
func (s *Server) LeaveRemoved(ctx context.Context) error { return s.replica.LeaveRemoved(ctx) }

// PutRouting commits a routing configuration, which must have been validated. After an
// error the configuration may or may not have been committed.
func (s *Server) PutRouting(ctx context.Context, rec *wire.RoutingRecord) (*wire.Result, error) {
	cmd := &wire.Command{Op: &wire.Command_PutRouting{PutRouting: &wire.PutRouting{Routing: rec}}}
	return s.propose(ctx, cmd)
}

// ReportDeath commits the end of an incarnation that was running a request. After an error
// it may or may not have been committed.
func (s *Server) ReportDeath(ctx context.Context, d *wire.ReportDeath) (*wire.Result, error) {
	return s.propose(ctx, &wire.Command{Op: &wire.Command_ReportDeath{ReportDeath: d}})
}

// RecordDeparture commits the announcement of an upstream's incarnation that it leaves. After an error
// it may or may not have been committed; the call is idempotent.
func (s *Server) RecordDeparture(ctx context.Context, d *wire.Departure) (*wire.Result, error) {
	return s.propose(ctx, &wire.Command{Op: &wire.Command_RecordDeparture{RecordDeparture: &wire.RecordDeparture{Departure: d}}})
}

// RecordHolder commits that a control VM sends orders from now on. After an error it may or may not
// have been committed; the call is idempotent.
func (s *Server) RecordHolder(ctx context.Context, r *wire.RecordHolder) (*wire.Result, error) {
	return s.propose(ctx, &wire.Command{Op: &wire.Command_RecordHolder{RecordHolder: r}})
}

// Holders returns the control VMs that sent orders lately, in the order of their tokens, as applied
// by this replica. The read is linearizable only after a barrier.
func (s *Server) Holders() []*wire.Holder { return s.state.Holders() }

// RecordSoftware commits which versions of software run or ran lately. After an error it may or may not have been
// committed; the call is idempotent.
func (s *Server) RecordSoftware(ctx context.Context, r *wire.SoftwareRecord) (*wire.Result, error) {
	return s.propose(ctx, &wire.Command{Op: &wire.Command_RecordSoftware{RecordSoftware: &wire.RecordSoftware{Record: r}}})
}

// Software returns the record of the versions of software as applied by this replica, nil if there is none. The read is
// linearizable only after a barrier.
func (s *Server) Software() *wire.SoftwareRecord { return s.state.Software() }

// RecordOrigins commits which versions began streams. After an error it may or may not have been committed; the call is
// idempotent.
func (s *Server) RecordOrigins(ctx context.Context, r *wire.RecordOrigins) (*wire.Result, error) {
	return s.propose(ctx, &wire.Command{Op: &wire.Command_RecordOrigins{RecordOrigins: r}})
}

// Origins returns the recorded origins of streams as applied by this replica. The read is linearizable only after a barrier.
func (s *Server) Origins() *wire.OriginList { return s.state.Origins() }

// TransferLeadership starts a transfer of the leadership to a voter, or to the most advanced one if
// to is 0.
func (s *Server) TransferLeadership(ctx context.Context, to uint64) error {
	return s.replica.TransferLeadership(ctx, to)
}

// Departures returns the announcements of upstreams that they leave, as applied by this replica,
// oldest first. The read is linearizable only after a barrier.
func (s *Server) Departures() []*wire.Departure { return s.state.Departures() }

// Departure returns the announcement of an incarnation that it leaves, as applied by this replica, or nil.
func (s *Server) Departure(upstream string, bornUnixMs int64) *wire.Departure {
	return s.state.Departure(upstream, bornUnixMs)
}

// Suspects returns the requests that were running when upstreams ended, as applied by this
// replica. The read is linearizable only after a barrier.
func (s *Server) Suspects() []*wire.Suspect { return s.state.Suspects() }

// ReadBarrier returns once a read of the state at this replica is linearizable.
func (s *Server) ReadBarrier(ctx context.Context) error { return s.replica.ReadBarrier(ctx) }

// Routing returns the routing configuration as applied by this replica. The read is
// linearizable only after a barrier.
func (s *Server) Routing() *wire.RoutingRecord { return s.state.Routing() }

// ToStatus maps an error of the replica to a gRPC status. FailedPrecondition means that
// nothing was proposed, and carries a LeaderHint if the leader is known; Unknown means
// that the proposal may still commit.
func (s *Server) ToStatus(err error) error { return s.toStatus(err) }
