package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/group"
	"gentiankeel/internal/replica"
	"gentiankeel/internal/wire"
)

// Server runs on every control VM. It implements wire.CoordinatorServer.
type Server struct {
	wire.UnimplementedCoordinatorServer
	o     Options
	log   *slog.Logger
	m     *metrics
	start time.Time

	mu     sync.Mutex
	term   *term // nil unless this node acts
	keeper *group.Reconciler

	stop context.CancelFunc
	done sync.WaitGroup
}

// New starts the duties of a control VM.
func New(o Options) (*Server, error) {
	m, err := newMetrics(o.Registerer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		o:      o,
		log:    o.Logger.With("part", "coordinator"),
		m:      m,
		start:  time.Now(),
		keeper: group.New(o.Keeper),
		stop:   cancel,
	}
	s.done.Add(2)
	go s.followLeadership(ctx)
	go s.join(ctx)
	return s, nil
}

// Register adds the server to a gRPC server for nodes.
func (s *Server) Register(g grpc.ServiceRegistrar) { wire.RegisterCoordinatorServer(g, s) }

// Close ends the duties.
func (s *Server) Close() {
	s.stop()
	s.done.Wait()
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// acts reports whether this replica leads and no other can: the leader lease holds.
func acts(st replica.Status) bool {
	return st.IsLeader && st.Verified && time.Now().Before(st.LeaseExpiry)
}

// followLeadership begins and ends terms as the replica's role changes.
func (s *Server) followLeadership(ctx context.Context) {
	defer s.done.Done()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var changing sync.WaitGroup
	defer changing.Wait()
	busy := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			s.endTerm("the process stops")
			return
		case <-tick.C:
		}
		st := s.o.Control.Status()
		s.followTerm(st)
		if !acts(st) {
			continue
		}
		select {
		case busy <- struct{}{}:
			changing.Go(func() {
				defer func() { <-busy }()
				s.keepGroup(ctx, st)
			})
		default: // a change is under way
		}
	}
}

func (s *Server) followTerm(st replica.Status) {
	s.mu.Lock()
	cur := s.term
	s.mu.Unlock()
	switch {
	case !acts(st) && cur != nil:
		s.endTerm("the leader lease has run out")
	case acts(st) && cur != nil && cur.token != st.Term:
		s.endTerm("a newer term has begun")
	case acts(st) && cur == nil:
		s.beginTerm(st.Term)
	}
}

func (s *Server) beginTerm(token uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// What was committed under the leader before must be in force here.
	if err := s.o.Control.Barrier(ctx); err != nil {
		return
	}
	t := newTerm(s, token)
	s.mu.Lock()
	s.term = t
	s.mu.Unlock()
	s.log.Info("Acting begins.", "token", token)
	s.m.acting.Set(1)
	t.run()
}

func (s *Server) endTerm(why string) {
	s.mu.Lock()
	t := s.term
	s.term = nil
	s.mu.Unlock()
	if t == nil {
		return
	}
	t.stop()
	s.m.acting.Set(0)
	s.log.Info("Acting ends.", "token", t.token, "reason", why)
}

// keepGroup makes the change that the group needs now.
func (s *Server) keepGroup(ctx context.Context, st replica.Status) {
	s.mu.Lock()
	cc := s.keeper.NextChange(s.now(), st)
	s.mu.Unlock()
	if cc == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := s.o.Control.ChangeMembership(ctx, cc)
	s.log.Info("Membership change proposed.", "change", cc.Type.String(), "member", cc.Member.Address,
		"id", cc.Member.Id, "voters", len(st.Members), "error", errText(err))
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// join offers this replica to the group while it is no member.
func (s *Server) join(ctx context.Context) {
	defer s.done.Done()
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		st := s.o.Control.Status()
		if isMember(st) && st.Leader != 0 {
			continue
		}
		s.offer(ctx, st)
	}
}

func isMember(st replica.Status) bool {
	m := st.Member(st.ID)
	return m != nil && !m.Learner
}

func (s *Server) offer(ctx context.Context, st replica.Status) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := s.o.Group.Refresh(ctx); err != nil {
		return
	}
	if isMember(st) {
		return
	}
	member := &wire.Member{Id: st.ID, Name: s.o.Node, Address: s.o.Address, Zone: s.o.Zone}
	if _, err := s.o.Group.Join(ctx, member); err != nil {
		s.log.Warn("Offer to join got no answer.", "error", err)
	}
}

// Join implements wire.CoordinatorServer.
func (s *Server) Join(_ context.Context, req *wire.JoinRequest) (*wire.JoinResponse, error) {
	st := s.o.Control.Status()
	if !acts(st) {
		return nil, s.notActing()
	}
	if req.Member.GetId() == 0 || req.Member.GetAddress() == "" {
		return nil, status.Error(codes.InvalidArgument, "a member needs an id and an address")
	}
	s.mu.Lock()
	s.keeper.AddJoinRequest(s.now(), req.Member)
	s.mu.Unlock()
	return &wire.JoinResponse{Member: st.Member(req.Member.Id) != nil}, nil
}

// Members implements wire.CoordinatorServer.
func (s *Server) Members(context.Context, *wire.MembersRequest) (*wire.MembersResponse, error) {
	st := s.o.Control.Status()
	return &wire.MembersResponse{Members: st.Members, Leader: st.Member(st.Leader).GetAddress()}, nil
}

func (s *Server) notActing() error {
	st := s.o.Control.Status()
	if st.IsLeader {
		// It leads, but can't know that nobody else does: try again soon.
		return status.Error(codes.Unavailable, "the leader is not acting")
	}
	return s.o.Control.ToStatus(replica.ErrNotLeader)
}

func (s *Server) acting() (*term, error) {
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	if t == nil {
		return nil, s.notActing()
	}
	return t, nil
}

// Heartbeat implements wire.CoordinatorServer.
func (s *Server) Heartbeat(ctx context.Context, st *wire.UpstreamState) (*wire.HeartbeatAck, error) {
	t, err := s.acting()
	if err != nil {
		return nil, err
	}
	if st.Id == "" {
		return nil, status.Error(codes.InvalidArgument, "a heartbeat needs an id")
	}
	if err := t.heard(ctx, st); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &wire.HeartbeatAck{}, nil
}

// PutRouting implements wire.CoordinatorServer.
func (s *Server) PutRouting(ctx context.Context, req *wire.PutRoutingRequest) (*wire.PutRoutingResponse, error) {
	if _, err := s.acting(); err != nil {
		return nil, err
	}
	if s.o.Control.Routing() == nil && !s.awaitFull(ctx) {
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
	if t, err := s.acting(); err == nil {
		t.routingChanged()
	}
	return &wire.PutRoutingResponse{Outcome: res.RoutingOutcome, Version: res.Routing.GetVersion()}, nil
}

// awaitFull waits until the group bears the losses that it is made for: before that, an
// acknowledgement could be lost with fewer disks than promised.
func (s *Server) awaitFull(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	tick := time.NewTicker(pollInterval / 2)
	defer tick.Stop()
	for {
		s.mu.Lock()
		full := s.keeper.HasAllVoters(s.o.Control.Status())
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
	if _, err := s.acting(); err != nil {
		return nil, err
	}
	if err := s.o.Control.Barrier(ctx); err != nil {
		return nil, s.o.Control.ToStatus(err)
	}
	rec := s.o.Control.Routing()
	if rec == nil {
		return nil, status.Error(codes.NotFound, "no routing configuration was accepted yet")
	}
	return rec, nil
}

// errTermEnded tells that this node stopped acting while a call waited.
var errTermEnded = errors.New("this node does not act any more")
