package coordinator

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/group"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/replica"
	"gentiankeel/internal/turns"
	"gentiankeel/internal/wire"
)

// Server is the coordinator of a control VM. It implements wire.CoordinatorServer.
type Server struct {
	wire.UnimplementedCoordinatorServer
	o       Options
	log     *slog.Logger
	m       *metrics
	started time.Time

	mu         sync.Mutex
	term       *term // nil unless this node is the acting coordinator
	reconciler *group.Reconciler
	turns      *turns.Keeper
	handOver   handOver // the last one

	confirming sync.Map // addresses that are being asked for their identity

	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a running server.
func New(o Options) (*Server, error) {
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		o:          o,
		log:        o.Logger.With("part", "coordinator"),
		m:          m,
		started:    time.Now(),
		reconciler: group.New(o.Membership),
		turns:      turns.New(o.Address, o.TurnInterval, 0),
		ctx:        ctx,
		cancel:     cancel,
	}
	s.wg.Add(2)
	go s.watchLeadership(ctx)
	go s.joinLoop(ctx)
	return s, nil
}

// Register registers the service at the gRPC server for nodes.
func (s *Server) Register(g grpc.ServiceRegistrar) { wire.RegisterCoordinatorServer(g, s) }

// Close ends the current term and stops the server's goroutines.
func (s *Server) Close() {
	s.cancel()
	s.wg.Wait()
}

func (s *Server) now() time.Duration { return time.Since(s.started) }

// holdsLeaderLease reports whether this replica leads and its leader lease excludes any
// other leader.
func holdsLeaderLease(st replica.Status) bool {
	return st.IsLeader && st.Verified && time.Now().Before(st.LeaseExpiry)
}

// watchLeadership begins and ends terms as the replica gains and loses the leader lease,
// and reconciles the membership while it holds the lease.
func (s *Server) watchLeadership(ctx context.Context) {
	defer s.wg.Done()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var changes sync.WaitGroup
	defer changes.Wait()
	changeSlot := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			s.endTerm("the process stops")
			return
		case <-tick.C:
		}
		st := s.o.Control.Status()
		s.updateTerm(st)
		s.retryHandOver(ctx, st)
		if !holdsLeaderLease(st) {
			continue
		}
		select {
		case changeSlot <- struct{}{}:
			changes.Go(func() {
				defer func() { <-changeSlot }()
				s.reconcileMembership(ctx, st)
			})
		default: // a membership change is in progress
		}
	}
}

// updateTerm begins or ends a term by the replica's status.
func (s *Server) updateTerm(st replica.Status) {
	s.mu.Lock()
	cur := s.term
	s.mu.Unlock()
	switch {
	case !holdsLeaderLease(st) && cur != nil:
		s.endTerm("the leader lease has run out")
	case holdsLeaderLease(st) && cur != nil && cur.token != st.Term:
		s.endTerm("a newer term has begun")
	case holdsLeaderLease(st) && cur == nil:
		s.beginTerm(st)
	}
}

// beginTerm makes this node the acting coordinator. If the barrier fails, it does nothing;
// watchLeadership tries again. If this node may not send orders soon and another one may, it hands
// the leadership over instead, once a term.
func (s *Server) beginTerm(st replica.Status) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// The term must start from all that was committed under earlier leaders.
	if err := s.o.Control.ReadBarrier(ctx); err != nil {
		return
	}
	holders := s.o.Control.Holders()
	wait := s.waitForTurn(holders)
	if wait > handOverAbove && !s.handedOver(st.Term) && s.handOverTo(ctx, st, holders) {
		return
	}
	t := newTerm(s, st.Term)
	s.mu.Lock()
	s.term = t
	s.mu.Unlock()
	s.log.Info("Acting as coordinator.", "token", st.Term, "orders_wait_ms", wait.Milliseconds())
	s.m.acting.Set(1)
	t.start()
	if s.turns.Interval() > 0 {
		t.wg.Go(func() { t.takeTurn(wait, holders) })
	}
}

func (s *Server) endTerm(reason string) {
	s.mu.Lock()
	t := s.term
	s.term = nil
	s.mu.Unlock()
	if t == nil {
		return
	}
	t.stop()
	s.m.acting.Set(0)
	s.m.withoutPath.Set(0)
	s.m.resetSummaries()
	s.log.Info("Acting as coordinator ended.", "token", t.token, "reason", reason)
}

// reconcileMembership makes the membership changes of the reconciler until none is needed. The
// next one follows at once: between the removal of a voter and the promotion of its successor
// the group lacks a voter.
func (s *Server) reconcileMembership(ctx context.Context, st replica.Status) {
	for ; holdsLeaderLease(st); st = s.o.Control.Status() {
		s.mu.Lock()
		cc := s.reconciler.NextChange(s.now(), st)
		s.mu.Unlock()
		if cc == nil || !s.changeMembership(ctx, cc) || pause.For(ctx, followUpDelay) != nil {
			return
		}
	}
}

// changeMembership proposes a membership change and reports whether it was committed.
func (s *Server) changeMembership(ctx context.Context, cc *wire.ConfChange) bool {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	err := s.o.Control.ChangeMembership(ctx, cc)
	s.log.Info("Membership change proposed.", "change", cc.Type.String(), "member", cc.Member.Address,
		"id", cc.Member.Id, "members", len(s.o.Control.Status().Members), "error", errText(err))
	return err == nil
}

// errText returns the error's text, empty for nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// joinLoop calls requestJoin while this replica is no voter or the leader is unknown.
func (s *Server) joinLoop(ctx context.Context) {
	defer s.wg.Done()
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		st := s.o.Control.Status()
		if isVoter(st) && st.Leader != 0 {
			continue
		}
		s.requestJoin(ctx, st)
	}
}

// isVoter reports whether the replica is a voting member of its own group.
func isVoter(st replica.Status) bool {
	m := st.Member(st.ID)
	return m != nil && !m.Learner
}

// requestJoin refreshes the addresses of the group and, if this replica is no voter, sends
// the leader a request to join.
func (s *Server) requestJoin(ctx context.Context, st replica.Status) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := s.o.Group.RefreshMembers(ctx); err != nil {
		return
	}
	if isVoter(st) {
		return
	}
	member := &wire.Member{Id: st.ID, Name: s.o.NodeID, Address: s.o.Address, Zone: s.o.Zone}
	res, err := s.o.Group.Join(ctx, member)
	switch {
	case err != nil:
		s.log.Warn("Request to join the control group failed.", "error", err)
	case res.Removed:
		s.log.Warn("This replica was removed from the control group.", "id", st.ID)
		if err := s.o.Control.LeaveRemoved(ctx); err != nil {
			s.log.Warn("The removed replica could not be stopped.", "error", err)
		}
	}
}

// Join implements wire.CoordinatorServer.
func (s *Server) Join(_ context.Context, req *wire.JoinRequest) (*wire.JoinResponse, error) {
	st := s.o.Control.Status()
	if !holdsLeaderLease(st) {
		return nil, s.notActingError()
	}
	m := req.Member
	if m.GetId() == 0 || m.GetAddress() == "" {
		return nil, status.Error(codes.InvalidArgument, "a member needs an id and an address")
	}
	if slices.Contains(st.Removed, m.Id) {
		s.countJoinRequest(m, joinRemoved)
		return &wire.JoinResponse{Removed: true}, nil
	}
	if group.NeedsConfirmation(st, m) {
		go func() { s.countJoinRequest(m, s.confirmJoinRequest(m)) }()
	}
	return &wire.JoinResponse{Member: st.Member(m.Id) != nil}, nil
}

// joinResult is what became of a request to join, used as a log value and metric label.
type joinResult string

const (
	joinConfirmed   joinResult = "confirmed"   // the address answered with the identity that asks
	joinOutdated    joinResult = "outdated"    // the address answered with another identity
	joinUnconfirmed joinResult = "unconfirmed" // the address did not answer, or is being asked
	joinRemoved     joinResult = "removed"     // the identity was removed from the group
)

// confirmJoinRequest asks the address of m for its identity and, if it is that of m, records the
// request. A late request of an identity whose disk is gone must not displace its successor at
// the address. An address is asked once at a time, so that the order of its answers is known.
func (s *Server) confirmJoinRequest(m *wire.Member) joinResult {
	if _, asking := s.confirming.LoadOrStore(m.Address, true); asking {
		return joinUnconfirmed
	}
	defer s.confirming.Delete(m.Address)
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	asked := s.now()
	current, err := s.o.Control.IdentityAt(ctx, m.Address)
	switch {
	case err != nil:
		return joinUnconfirmed
	case current.Id != m.Id:
		return joinOutdated
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reconciler.AddJoinRequest(asked, m)
	return joinConfirmed
}

func (s *Server) countJoinRequest(m *wire.Member, result joinResult) {
	s.m.joinRequests.WithLabelValues(string(result)).Inc()
	s.log.Info("Request to join the control group.", "id", m.Id, "address", m.Address, "result", string(result))
}

// Members implements wire.CoordinatorServer.
func (s *Server) Members(context.Context, *wire.MembersRequest) (*wire.MembersResponse, error) {
	st := s.o.Control.Status()
	return &wire.MembersResponse{Members: st.Members, Leader: st.Member(st.Leader).GetAddress()}, nil
}

// notActingError returns the error of a call that only the acting coordinator serves. It
// carries the leader's address if another node leads and is known.
func (s *Server) notActingError() error {
	st := s.o.Control.Status()
	if st.IsLeader {
		// Either the term has not begun yet, or the lease has run out and another replica
		// may lead already. The caller may retry soon.
		return status.Error(codes.Unavailable, "the leader is not acting")
	}
	return s.o.Control.ToStatus(replica.ErrNotLeader)
}

// currentTerm returns the current term, or an error if this node is not acting.
func (s *Server) currentTerm() (*term, error) {
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	if t == nil {
		return nil, s.notActingError()
	}
	return t, nil
}

// Heartbeat implements wire.CoordinatorServer.
func (s *Server) Heartbeat(ctx context.Context, st *wire.UpstreamState) (*wire.HeartbeatAck, error) {
	t, err := s.currentTerm()
	if err != nil {
		return nil, err
	}
	if st.Id == "" {
		return nil, status.Error(codes.InvalidArgument, "a heartbeat needs an id")
	}
	if !st.Leaves && !(&wire.ServiceSoftware{Service: st.Service, Version: st.Software}).IsRecordable() {
		return nil, status.Error(codes.InvalidArgument, "a heartbeat needs a service, and names of it and of its software that can be stored")
	}
	if err := t.heartbeat(ctx, st); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &wire.HeartbeatAck{}, nil
}

// PutRouting implements wire.CoordinatorServer.
func (s *Server) PutRouting(ctx context.Context, req *wire.PutRoutingRequest) (*wire.PutRoutingResponse, error) {
	if _, err := s.currentTerm(); err != nil {
		return nil, err
	}
	if s.o.Control.Routing() == nil && !s.awaitFullGroup(ctx) {
		return nil, status.Error(codes.Unavailable, "the control group is not complete yet")
	}
	res, err := s.o.Control.PutRouting(ctx, &wire.RoutingRecord{
		Version: req.Version, Digest: req.Digest, Document: req.Document,
	})
	if err != nil {
		return nil, s.o.Control.ToStatus(err)
	}
	if res.Code != wire.ResultCode_RESULT_OK {
		return nil, status.Error(codes.InvalidArgument, res.Detail)
	}
	s.log.Info("Routing configuration decided.", "version", req.Version, "digest", req.Digest,
		"outcome", res.RoutingOutcome.String(), "in_force", res.Routing.GetVersion(), "index", res.Index)
	if t, err := s.currentTerm(); err == nil {
		t.routingChanged()
	}
	return &wire.PutRoutingResponse{Outcome: res.RoutingOutcome, Version: res.Routing.GetVersion()}, nil
}

// awaitFullGroup waits up to fullGroupTimeout until the group has its full membership, and
// reports whether it has. Before that, the loss of fewer disks than the group is to
// tolerate could lose an acknowledged write.
func (s *Server) awaitFullGroup(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fullGroupTimeout)
	defer cancel()
	tick := time.NewTicker(pollInterval / 2)
	defer tick.Stop()
	for {
		s.mu.Lock()
		full := s.reconciler.HasAllVoters(s.o.Control.Status())
		s.mu.Unlock()
		if full {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
}

// GetRouting implements wire.CoordinatorServer.
func (s *Server) GetRouting(ctx context.Context, _ *wire.GetRoutingRequest) (*wire.RoutingRecord, error) {
	if _, err := s.currentTerm(); err != nil {
		return nil, err
	}
	if err := s.o.Control.ReadBarrier(ctx); err != nil {
		return nil, s.o.Control.ToStatus(err)
	}
	rec := s.o.Control.Routing()
	if rec == nil {
		return nil, status.Error(codes.NotFound, "no routing configuration was accepted yet")
	}
	return rec, nil
}

// errUnknownUpstream is returned for the notice of an upstream that it leaves which names no incarnation,
// if none is known. The notice can't be kept to; once entries or a heartbeat have told of the upstream, it can.
var errUnknownUpstream = errors.New("no incarnation of the upstream is known")

// errTermEnded is returned if this node stops acting while a call waits.
var errTermEnded = errors.New("this node does not act any more")
