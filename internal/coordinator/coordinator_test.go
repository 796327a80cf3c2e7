package coordinator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"gentiankeel/internal/control"
	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/fleet"
	"gentiankeel/internal/group"
	"gentiankeel/internal/raftstore/raftstoretest"
	"gentiankeel/internal/rafttransport"
	"gentiankeel/internal/replica"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/wire"
)

// eventually waits until ok returns true, and fails the test after 30 s.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting: %s", what)
}

// fakeRunners records and accepts every order.
type fakeRunners struct {
	mu     sync.Mutex
	tokens []uint64
	orders []fleet.Order
	models []*wire.HeldModel // that each runner reports
}

func (f *fakeRunners) SendOrder(_ context.Context, _ Runner, token uint64, o fleet.Order) (fleet.OrderResult, fleet.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens = append(f.tokens, token)
	f.orders = append(f.orders, o)
	return fleet.OrderAccepted, fleet.Answer{}, nil
}

func (f *fakeRunners) ReadReport(context.Context, Runner) (fleet.Report, fleet.Answer, error) {
	return fleet.Report{Models: f.models, OnDisk: []string{"m1"}}, fleet.Answer{}, nil
}

func (f *fakeRunners) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

func decode(doc []byte) (*routing.Config, error) {
	var version uint64
	if _, err := fmt.Sscanf(string(doc), "version %d", &version); err != nil {
		return nil, errors.Wrap(err, "document")
	}
	var organisations []routing.Organisation
	if strings.HasSuffix(string(doc), " quota") {
		organisations = []routing.Organisation{{Name: "o", Quota: routing.Quota{PerSecond: 100, Burst: 100}}}
	}
	return &routing.Config{Version: version, Organisations: organisations, Services: []routing.Service{{Name: "s", Engine: &routing.Engine{
		WeightMemoryMB: 300, StoreLoadsPerSecond: 3, AdapterSlots: 1, Models: []routing.Model{{Name: "m1", WeightsMB: 100, StoreLoadTime: time.Second}}}}}}, nil
}

// node is a control VM in the test process.
type node struct {
	addr    string
	server  *Server
	control *control.Server
	grpc    *grpc.Server
	group   *ctlclient.Client
	replica *replica.Node
	runners *fakeRunners
	stopped bool
}

func (n *node) stop() {
	if n.stopped {
		return
	}
	n.stopped = true
	n.server.Close()
	n.grpc.Stop()
	_ = n.control.Close()
	_ = n.group.Close()
}

var dialOptions = []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}

// startNode starts a control VM on ln. It is an initial member if its address is a seed.
func startNode(t *testing.T, ln net.Listener, seeds []string, dir string, voters int) *node {
	t.Helper()
	n := &node{addr: ln.Addr().String(), runners: &fakeRunners{}}
	log := slog.New(slog.DiscardHandler)
	reg := prometheus.NewRegistry()
	n.grpc = grpc.NewServer(rafttransport.ServerOptions()...)
	n.group = ctlclient.New(ctlclient.Options{Addresses: seeds, Dial: dialOptions, Logger: log})
	transport := rafttransport.New(rafttransport.Options{Address: n.addr, Dial: dialOptions, Logger: log, Registerer: reg})
	transport.Register(n.grpc)
	var members []*wire.Member
	for _, s := range seeds {
		if s == n.addr {
			for _, m := range seeds {
				members = append(members, &wire.Member{Name: m, Address: m})
			}
		}
	}
	var err error
	n.control, err = control.New(control.Options{
		NodeID: n.addr, Address: n.addr, LeaseTTL: 3 * time.Second, Logger: log, Registerer: reg, Dial: dialOptions,
		OpenReplica: func(sm replica.StateMachine) (control.Replica, error) {
			var err error
			n.replica, err = replica.Start(replica.Options{
				Name: n.addr, Address: n.addr, Cluster: "c", Storage: raftstoretest.Open(t, dir), Members: members, Voters: voters,
				ElectionTimeout: 300 * time.Millisecond, DisableLeaseReads: true, Machine: sm, Transport: transport,
				Logger: log, Registerer: reg})
			return n.replica, err
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.server, err = New(Options{
		NodeID: n.addr, Address: n.addr, Control: n.control, Group: n.group, Membership: group.Options{Voters: voters, LostAfter: time.Second},
		FleetSettings: fleet.DefaultSettings(), Runners: n.runners, Decode: decode, Logger: log, Registerer: reg,
	})
	if err != nil {
		t.Fatal(err)
	}
	n.server.Register(n.grpc)
	n.control.Register(n.grpc)
	go func() { _ = n.grpc.Serve(ln) }()
	t.Cleanup(n.stop)
	return n
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// startGroup starts five control VMs, three of them seeds, and waits until all of them
// vote.
func startGroup(t *testing.T) []*node {
	t.Helper()
	var lns []net.Listener
	for range 5 {
		lns = append(lns, listen(t))
	}
	seeds := []string{lns[0].Addr().String(), lns[1].Addr().String(), lns[2].Addr().String()}
	var nodes []*node
	for _, ln := range lns {
		nodes = append(nodes, startNode(t, ln, seeds, t.TempDir(), 5))
	}
	eventually(t, "five voters", func() bool { return voterCount(actingNode(nodes)) == 5 })
	return nodes
}

func actingNode(nodes []*node) *node {
	for _, n := range nodes {
		if n.stopped {
			continue
		}
		if _, err := n.server.currentTerm(); err == nil {
			return n
		}
	}
	return nil
}

// awaitActing returns the acting node. Leadership may move at any time on a busy machine, so
// that for a moment no node acts.
func awaitActing(t *testing.T, nodes []*node) *node {
	t.Helper()
	var acting *node
	eventually(t, "a node is acting", func() bool {
		acting = actingNode(nodes)
		return acting != nil
	})
	return acting
}

func voterCount(n *node) int {
	if n == nil {
		return 0
	}
	count := 0
	for _, m := range n.control.Status().Members {
		if !m.Learner {
			count++
		}
	}
	return count
}

func follower(nodes []*node) *node {
	leader := actingNode(nodes)
	for _, n := range nodes {
		if n != leader && !n.stopped {
			return n
		}
	}
	return nil
}

func putRouting(n *node, version uint64) (wire.ApplyOutcome, error) {
	return n.server.API().PutRouting(context.Background(), version, fmt.Appendf(nil, "version %d", version))
}

func mustPutRouting(t *testing.T, n *node, version uint64) {
	t.Helper()
	eventually(t, "the configuration is acknowledged", func() bool {
		out, err := putRouting(n, version)
		return err == nil && (out == wire.ApplyOutcome_APPLY_ACCEPTED || out == wire.ApplyOutcome_APPLY_SAME)
	})
}

func readRouting(t *testing.T, n *node) string {
	t.Helper()
	var doc []byte
	eventually(t, "the configuration is read", func() bool {
		var err error
		doc, err = n.server.API().Routing(context.Background())
		return err == nil
	})
	return string(doc)
}

func TestGroup_ThreeSeedsOfFive(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	mustPutRouting(t, follower(nodes), 7)
	for _, n := range nodes {
		is.Equal(readRouting(t, n), "version 7")
	}
	out, err := nodes[4].server.API().PutRouting(context.Background(), 7, []byte("version 7 other"))
	is.NoErr(err)
	is.Equal(out, wire.ApplyOutcome_APPLY_REFUSED_CONFLICT)
}

func TestGroup_TwoVMsLostWithLeader(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	mustPutRouting(t, nodes[0], 7)
	awaitActing(t, nodes).stop()
	follower(nodes).stop()
	eventually(t, "another node is acting", func() bool { return actingNode(nodes) != nil })
	is.Equal(readRouting(t, awaitActing(t, nodes)), "version 7")
	mustPutRouting(t, awaitActing(t, nodes), 9)
}

func TestGroup_DiskWiped(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	mustPutRouting(t, nodes[0], 7)
	lost := follower(nodes)
	oldID := lost.control.Status().ID
	lost.stop()
	var ln net.Listener
	eventually(t, "the address can be listened on again", func() bool {
		var err error
		ln, err = net.Listen("tcp", lost.addr)
		return err == nil
	})
	seeds := []string{awaitActing(t, nodes).addr}
	restarted := startNode(t, ln, seeds, t.TempDir(), 5)
	is.True(restarted.control.Status().ID != oldID)
	eventually(t, "the restarted VM votes and its old identity is removed", func() bool {
		st := awaitActing(t, nodes).control.Status()
		found := false
		for _, m := range st.Members {
			if m.Id == oldID {
				return false
			}
			found = found || m.Id == restarted.control.Status().ID && !m.Learner
		}
		return found && len(st.Members) == 5
	})
	is.Equal(readRouting(t, restarted), "version 7")
}

func TestGroup_VMReplaced(t *testing.T) {
	nodes := startGroup(t)
	mustPutRouting(t, nodes[0], 7)
	lost := follower(nodes)
	lost.stop()
	replacement := startNode(t, listen(t), []string{awaitActing(t, nodes).addr}, t.TempDir(), 5)
	eventually(t, "the replacement votes", func() bool {
		leader := actingNode(nodes)
		return leader != nil && voterCount(leader) == 5 && isVoter(replacement.control.Status())
	})
}

// joinAs sends the acting node a request to join.
func joinAs(t *testing.T, nodes []*node, m *wire.Member) *wire.JoinResponse {
	t.Helper()
	var res *wire.JoinResponse
	eventually(t, "a request to join is answered", func() bool {
		var err error
		res, err = awaitActing(t, nodes).server.Join(t.Context(), &wire.JoinRequest{Member: m})
		return err == nil
	})
	return res
}

// Guards against a late request of an identity whose disk was lost: it must not become a member
// beside or in place of the identity that has followed it.
func TestJoin_AddressAnswersWithAnotherIdentity(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	const outdated = 77
	voter := follower(nodes)
	for range 5 {
		joinAs(t, nodes, &wire.Member{Id: outdated, Name: voter.addr, Address: voter.addr})
		time.Sleep(joinInterval)
	}
	st := awaitActing(t, nodes).control.Status()
	is.Equal(st.Member(outdated), nil)
	is.True(st.Member(voter.control.Status().ID) != nil)
	is.Equal(len(st.Members), 5)
}

// Guards against a learner that missed its own removal and asks on under its removed identity.
func TestJoin_RemovedLearnerTakesANewIdentity(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	spare := startNode(t, listen(t), []string{nodes[0].addr}, t.TempDir(), 5)
	id := spare.control.Status().ID
	isMember := func() bool { return awaitActing(t, nodes).control.Status().Member(id) != nil }
	eventually(t, "the added VM is a learner", isMember)
	eventually(t, "the learner is removed", func() bool {
		cc := &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: &wire.Member{Id: id}}
		_ = awaitActing(t, nodes).control.ChangeMembership(t.Context(), cc)
		return !isMember()
	})
	select {
	case <-spare.replica.Done():
	case <-time.After(30 * time.Second):
		t.Fatal("the removed replica goes on asking")
	}
	is.True(replica.NeedsNewIdentity(spare.replica.Err()))
}

// Guards against a leader that has given up its lease to hand the lead over and never acts again, because the VM that it
// chose is lost at that moment.
func TestHandOver_SuccessorLostMeanwhile(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	acting := awaitActing(t, nodes)
	st := acting.control.Status()
	// Of the voters only one has sent no orders lately.
	chosen := follower(nodes)
	var holders []*wire.Holder
	for _, n := range nodes {
		if n != chosen {
			holders = append(holders, &wire.Holder{Address: n.addr})
		}
	}
	chosen.grpc.Stop()
	is.True(acting.server.handOverTo(t.Context(), st, holders))
	eventually(t, "a node acts in a later term", func() bool {
		n := actingNode(nodes)
		return n != nil && n.control.Status().Term > st.Term
	})
}

// attach attaches an entry to a node and returns its stream.
func attach(t *testing.T, n *node, report *wire.EntryReport) ctlclient.AttachStream {
	t.Helper()
	conn, err := grpc.NewClient(n.addr, dialOptions...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); conn.Close() })
	stream, err := wire.NewCoordinatorClient(conn).Attach(ctx)
	if err != nil {
		t.Fatal(err)
	}
	// io.EOF says that the node has ended the stream before the report was sent; Recv returns its error.
	if err := stream.Send(report); err != nil && !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	return stream
}

// attachActing attaches an entry to the acting node and returns its stream and the first update. Another
// node may take over before the stream begins.
func attachActing(t *testing.T, nodes []*node, report *wire.EntryReport) (s ctlclient.AttachStream, first *wire.FleetUpdate) {
	t.Helper()
	eventually(t, "the acting node accepts the entry", func() bool {
		s = attach(t, awaitActing(t, nodes), report)
		var err error
		first, err = s.Recv()
		return err == nil && first.Snapshot
	})
	return s, first
}

// nextUpdate returns the next wanted update and skips others.
func nextUpdate(t *testing.T, s ctlclient.AttachStream, wanted func(*wire.FleetUpdate) bool) *wire.FleetUpdate {
	t.Helper()
	for range 1000 {
		up, err := s.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if wanted(up) {
			return up
		}
	}
	t.Fatal("no wanted update among 1000")
	return nil
}

func upstreamState(id string, phase wire.UpstreamPhase) *wire.UpstreamState {
	return &wire.UpstreamState{Id: id, BornUnixMs: 1, Sequence: 1, Service: "s", Address: "127.0.0.1:1", Phase: phase}
}

func TestHeartbeat_SentToFollower(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	for _, n := range nodes { // the report may be read before the software is committed and the upstream published
		n.runners.models = []*wire.HeldModel{{Name: "m1"}}
	}
	mustPutRouting(t, nodes[0], 7)
	s, first := attachActing(t, nodes, &wire.EntryReport{Entry: "e1", Demand: demandFor("m1", "")})
	is.Equal(first.Routing.Version, uint64(7))
	is.NoErr(follower(nodes).server.API().Heartbeat(context.Background(), upstreamHolding("u1", &wire.HeldModel{Name: "m1"})))
	up := nextUpdate(t, s, func(up *wire.FleetUpdate) bool { return len(up.Upstreams) > 0 })
	is.Equal(up.Upstreams[0].Id, "u1")
	is.Equal(up.Upstreams[0].Models[0].Name, "m1")
	draining := upstreamState("u1", wire.UpstreamPhase_PHASE_DRAINING)
	draining.Sequence = 2
	is.NoErr(awaitActing(t, nodes).server.API().Heartbeat(context.Background(), draining))
	// Between the two, the runner's report may have changed its models.
	up = nextUpdate(t, s, func(up *wire.FleetUpdate) bool {
		return len(up.Upstreams) > 0 && up.Upstreams[0].Phase == wire.UpstreamPhase_PHASE_DRAINING
	})
	is.Equal(up.Upstreams[0].Id, "u1")
}

func TestAttach_Follower(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	s := attach(t, follower(nodes), &wire.EntryReport{Entry: "e1"})
	_, err := s.Recv()
	is.True(err != nil)
	c := ctlclient.New(ctlclient.Options{Addresses: []string{follower(nodes).addr}, Dial: dialOptions, Logger: slog.New(slog.DiscardHandler)})
	defer c.Close()
	is.NoErr(c.RefreshMembers(context.Background()))
	is.Equal(c.Leader(), awaitActing(t, nodes).addr)
}

func TestTakeover_RequestWaiting(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	mustPutRouting(t, nodes[0], 7)
	leader := awaitActing(t, nodes)
	token := leader.control.Status().Term
	is.NoErr(leader.server.API().Heartbeat(context.Background(), upstreamState("r1", wire.UpstreamPhase_PHASE_READY)))
	report := &wire.EntryReport{Entry: "e1", Changed: true, Demand: []*wire.ModelDemand{{Service: "s", Model: "m1", Waiting: 1, Asked: 1}}}
	attach(t, leader, report)
	eventually(t, "the model is ordered", func() bool { return leader.runners.orderCount() > 0 })
	is.Equal(leader.runners.tokens[0], token)
	leader.stop()
	eventually(t, "another node is acting", func() bool { return actingNode(nodes) != nil })
	successor := awaitActing(t, nodes)
	report.Known = []*wire.UpstreamState{upstreamState("r1", wire.UpstreamPhase_PHASE_READY)} // the entry's state of the fleet
	attach(t, successor, report)
	eventually(t, "the model is ordered again", func() bool { return successor.runners.orderCount() > 0 })
	is.True(successor.runners.tokens[0] > token)
}

// The losses of a quarantined request reach the log, so that a new coordinator knows them
// even if no entry remembers any.
func TestTakeover_RequestInQuarantine(t *testing.T) {
	nodes := startGroup(t)
	mustPutRouting(t, nodes[0], 7)
	leader := awaitActing(t, nodes)
	trait := suspect.NewRequest("POST", "h", "/x", "", nil, "", nil).Whole()
	held := suspect.OnSoftware(trait, "v1")
	lostOn := func(upstream string, age time.Duration) []*wire.LostRun {
		return []*wire.LostRun{{Traits: [][]byte{trait.Bytes()}, Upstream: upstream, BornUnixMs: 1, Software: "v1", AgeMs: uint32(age.Milliseconds())}}
	}
	watcher := attach(t, leader, &wire.EntryReport{Entry: "e0"})
	for i, upstream := range []string{"u1", "u2", "u3"} { // each entry has seen one end
		attach(t, leader, &wire.EntryReport{Entry: fmt.Sprint("e", i+1), LostRuns: lostOn(upstream, time.Duration(3-i)*time.Second)})
	}
	inQuarantine := func(up *wire.FleetUpdate) bool {
		return slices.ContainsFunc(up.Suspects, func(s *wire.SuspectTrait) bool { return s.Trait == string(held) && s.QuarantineMs > 0 })
	}
	nextUpdate(t, watcher, inQuarantine)
	eventually(t, "the losses are committed", func() bool {
		rows := leader.control.Suspects()
		return len(rows) == 1 && len(rows[0].Upstreams) == 3
	})
	leader.stop()
	eventually(t, "another node is acting", func() bool { return actingNode(nodes) != nil })
	s := attach(t, awaitActing(t, nodes), &wire.EntryReport{Entry: "e4"})
	nextUpdate(t, s, func(up *wire.FleetUpdate) bool { return up.Snapshot && inQuarantine(up) })
}

// listsUpstream reports whether a snapshot lists an upstream in any phase but the given one.
func listsUpstream(up *wire.FleetUpdate, id string, except wire.UpstreamPhase) bool {
	return slices.ContainsFunc(up.Upstreams, func(s *wire.UpstreamState) bool { return s.Id == id && s.Phase != except })
}

// Guards against an upstream that has left, or drains, being in use again after the leader of control was
// killed: its last heartbeat from before comes late, and no entry remembers it.
func TestTakeover_LateHeartbeatOfUpstreamThatLeft(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	for _, n := range nodes {
		n.runners.models = []*wire.HeldModel{{Name: "m1"}}
	}
	mustPutRouting(t, nodes[0], 7)
	send := func(n *node, s *wire.UpstreamState) {
		t.Helper()
		eventually(t, "the heartbeat is acknowledged", func() bool {
			return n.server.API().Heartbeat(context.Background(), s) == nil
		})
	}
	ready := func(id string, sequence uint64) *wire.UpstreamState {
		s := upstreamHolding(id, &wire.HeldModel{Name: "m1"})
		s.Address, s.Sequence = id+":1", sequence
		return s
	}
	send(nodes[0], ready("leaves", 1))
	send(nodes[0], ready("drains", 1))
	send(follower(nodes), &wire.UpstreamState{Id: "leaves", Leaves: true})
	draining := ready("drains", 3)
	draining.Phase = wire.UpstreamPhase_PHASE_DRAINING
	send(follower(nodes), draining)

	awaitActing(t, nodes).stop()
	eventually(t, "another node is acting", func() bool { return actingNode(nodes) != nil })
	successor := awaitActing(t, nodes)
	send(successor, ready("leaves", 2))
	send(successor, ready("drains", 2))
	_, first := attachActing(t, nodes, &wire.EntryReport{Entry: "e1", Demand: demandFor("m1", "")})
	is.True(!listsUpstream(first, "leaves", wire.UpstreamPhase_PHASE_GONE))
	is.True(!listsUpstream(first, "drains", wire.UpstreamPhase_PHASE_DRAINING))
}
