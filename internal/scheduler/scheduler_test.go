package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/grant"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/session"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/standin"
	"gentiankeel/internal/state"
	"gentiankeel/internal/wire"
)

const leaseName = "scheduler/tay"

// fakeGroup is a control group with a single state machine.
type fakeGroup struct {
	mu    sync.Mutex
	state *state.Machine
	index uint64
}

func (g *fakeGroup) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index++
	cmd = proto.CloneOf(cmd)
	cmd.AtUnixMs = time.Now().UnixMilli()
	res := g.state.Apply(g.index, cmd)
	if err := g.state.Check(); err != nil {
		panic(err)
	}
	return res, nil
}

func (g *fakeGroup) Placements(_ context.Context, cell string) (*wire.PlacementsResponse, error) {
	return g.state.Placements(cell), nil
}

// testCell is a scheduler with its control group and its upstreams.
type testCell struct {
	t           testing.TB
	group       *fakeGroup
	server      *Server
	leaseValid  atomic.Bool
	fence       atomic.Uint64
	addr        string
	fatalErrors chan error
}

const fileFormat = `
name = "t"
version = %d
[[models]]
name = "m"
version = "1"
replicas = 2
min_replicas = %d
memory_mib = 100
`

func newTestCell(t testing.TB) *testCell {
	t.Helper()
	c := &testCell{t: t, group: &fakeGroup{state: state.New(state.Options{})}, fatalErrors: make(chan error, 1)}
	c.server = New(Options{
		Cell: "tay", LeaseName: leaseName, Group: c.group,
		LeaseValid: func() (uint64, bool) { return c.fence.Load(), c.leaseValid.Load() },
		LeaseTTL:   100 * time.Millisecond, OrderLife: 100 * time.Millisecond,
		SuspectAfter: time.Second, LostAfter: 3 * time.Second, PlanInterval: 10 * time.Millisecond,
		Grant: grant.DefaultSettings(), Placement: placement.DefaultSettings(),
		Store:  StoreLimits{LoadsPerSecond: 100, Concurrency: 4, AdapterInFlight: 32},
		Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
		OnFatal: func(err error) { c.fatalErrors <- err },
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	c.server.Register(g)
	go func() { _ = g.Serve(ln) }()
	c.addr = ln.Addr().String()
	t.Cleanup(func() {
		c.server.LeaseLost()
		g.Stop()
		select {
		case err := <-c.fatalErrors:
			t.Errorf("the scheduler reported a fatal error: %v", err)
		default:
		}
	})
	return c
}

// takeLease grants the lease to the node and starts a term. It returns the fencing number.
func (c *testCell) takeLease() uint64 {
	c.t.Helper()
	res, err := c.group.Propose(context.Background(), &wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{
		Name: leaseName, Holder: fmt.Sprintf("n%d", c.fence.Load()), Address: c.addr, TtlMs: 100}}})
	if err != nil || res.Code != wire.ResultCode_RESULT_OK {
		c.t.Fatalf("lease: %v, %v", res, err)
	}
	c.fence.Store(res.Lease.Fence)
	c.leaseValid.Store(true)
	c.server.LeaseHeld(res.Lease.Fence)
	return res.Lease.Fence
}

// loseLease ends the term and the lease.
func (c *testCell) loseLease() {
	c.leaseValid.Store(false)
	c.server.LeaseLost()
	_, _ = c.group.Propose(context.Background(), &wire.Command{Op: &wire.Command_EndLease{EndLease: &wire.EndLease{
		Name: leaseName, Fence: c.fence.Load()}}})
}

func (c *testCell) applyFile(version, minReplicas int) {
	c.t.Helper()
	f := fmt.Appendf(nil, fileFormat, version, minReplicas)
	res, err := c.group.Propose(context.Background(), &wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{
		File: f, Version: uint64(version), Digest: spec.Digest(f), Who: "t"}}})
	if err != nil || res.File.GetOutcome() != wire.ApplyOutcome_APPLY_ACCEPTED {
		c.t.Fatalf("apply: %v, %v", res, err)
	}
	c.server.SpecChanged(c.group.state.Spec())
}

// startRunner starts a stand-in for a runner; announceRepeatedly announces it.
func (c *testCell) startRunner(id string, slots int) *standin.Server {
	c.t.Helper()
	s, err := standin.New(standin.Options{
		ID: id, Zone: "tay-a", Cell: "tay", MemoryMiB: 1000, Slots: slots, ChecksFencing: true,
		Latency: standin.FastLatency(), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(s.Close)
	return s
}

// announceRepeatedly announces runners through the session until stop is called or the test
// ends.
func (c *testCell) announceRepeatedly(cl *session.Client, runners ...*standin.Server) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	stop = func() { cancel(); <-done }
	c.t.Cleanup(stop)
	go func() {
		defer close(done)
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			for _, r := range runners {
				announceOnce(ctx, cl, r, seq)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return stop
}

func (c *testCell) newSession(entry string) *session.Client {
	c.t.Helper()
	cl, err := session.New(session.Options{EntryID: entry, Incarnation: 1})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = cl.Close(ctx)
	})
	cl.SetScheduler(session.Target{Address: c.addr, Fence: c.fence.Load()})
	return cl
}

func newAsk(id string) *wire.Ask {
	return &wire.Ask{Attempt: id, Request: id, Model: "m", Class: wire.Class_CLASS_NORMAL, DeadlineMs: 30_000, MaxTokens: 10}
}

// Many requests for a model that is not loaded cause one load.
func TestScheduler_BurstForColdModel(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t)
	c.takeLease()
	c.applyFile(1, 0)
	r := c.startRunner("r1", 4)
	cl := c.newSession("e1")
	c.announceRepeatedly(cl, r)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			id := fmt.Sprintf("a%d", i)
			g, err := cl.Acquire(t.Context(), newAsk(id), nil)
			if err != nil {
				t.Error(err)
				return
			}
			if g.Fence != c.fence.Load() || g.Upstream != "r1" || g.SpecIndex == 0 {
				t.Errorf("grant %v", g)
			}
			cl.Release(&wire.Release{Attempt: id, Outcome: wire.Outcome_OUTCOME_OK, Tokens: 10, DurationMs: 5})
		})
	}
	wg.Wait()
	is.Equal(r.Stats().Loads, uint64(1))
	is.Equal(r.Stats().DoubleLoads, uint64(0))
	lines := c.server.Explain(t.Context(), "m")
	is.True(len(lines) > 0)
}

func TestScheduler_LeaseNotHeld(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t)
	cl := c.newSession("e1")
	ask := newAsk("a1")
	ask.DeadlineMs = 200
	_, err := cl.Acquire(t.Context(), ask, nil)
	is.Equal(errkind.From(err).Kind, errkind.NoScheduler)
	is.Equal(errkind.From(err).Response().Ran, errkind.RanNo)
}

// A takeover must neither load a loaded model again nor grant a slot twice.
func TestScheduler_TakeoverWithLoadedModelAndRunningAttempt(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t)
	c.takeLease()
	c.applyFile(1, 1)
	r := c.startRunner("r1", 1)
	cl := c.newSession("e1")
	c.announceRepeatedly(cl, r)
	_, err := cl.Acquire(t.Context(), newAsk("running"), nil)
	is.NoErr(err)
	c.loseLease()
	c.takeLease()
	cl.SetScheduler(session.Target{Address: c.addr, Fence: c.fence.Load()})
	granted := make(chan error, 1)
	go func() {
		_, err := cl.Acquire(t.Context(), newAsk("waiting"), nil)
		granted <- err
	}()
	// The only slot is held by the attempt that the entry reported, so the other attempt waits.
	eventually(t, func() bool {
		return testutil.ToFloat64(c.server.metrics.running) == 1 && testutil.ToFloat64(c.server.metrics.waiting) == 1
	})
	cl.Release(&wire.Release{Attempt: "running", Outcome: wire.Outcome_OUTCOME_OK})
	is.NoErr(<-granted)
	is.Equal(r.Stats().Loads, uint64(1)) // no second load
}

// A term that ends by itself restarts while the node holds the lease, without a second load.
func TestScheduler_TermEndsWhileLeaseHeld(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t)
	c.takeLease()
	c.applyFile(1, 1)
	r := c.startRunner("r1", 2)
	cl := c.newSession("e1")
	c.announceRepeatedly(cl, r)
	_, err := cl.Acquire(t.Context(), newAsk("a1"), nil)
	is.NoErr(err)
	c.server.currentTerm().cancel()
	_, err = cl.Acquire(t.Context(), newAsk("a2"), nil)
	is.NoErr(err)
	is.Equal(r.Stats().Loads, uint64(1))
}

// The entry learns it although its connection to the first incarnation stays open.
func TestScheduler_UpstreamRestartsDuringAttempt(t *testing.T) {
	is := is.New(t)
	c := newTestCell(t)
	c.takeLease()
	c.applyFile(1, 1)
	first := c.startRunner("r1", 1)
	cl := c.newSession("e1")
	stopFirst := c.announceRepeatedly(cl, first)
	lost := make(chan struct{})
	_, err := cl.Acquire(t.Context(), newAsk("a1"), func() { close(lost) })
	is.NoErr(err)
	stopFirst()
	c.announceRepeatedly(cl, c.startRunner("r1", 1))
	select {
	case <-lost:
	case <-time.After(10 * time.Second):
		t.Fatal("the entry was not told that the upstream restarted")
	}

	// An entry that was not connected then learns it when its session opens.
	conn, err := grpc.NewClient(c.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	defer conn.Close()
	str, err := wire.NewSchedulerClient(conn).Session(t.Context())
	is.NoErr(err)
	is.NoErr(str.Send(&wire.EntryMessage{Msg: &wire.EntryMessage_Hello{Hello: &wire.Hello{
		Entry: "e2", Incarnation: 1, Held: []*wire.HeldGrant{{Model: "m", Grant: &wire.Grant{
			Attempt: "a2", Upstream: "r1", Incarnation: first.Incarnation(), Fence: c.fence.Load()}}}}}}))
	for {
		m, err := str.Recv()
		is.NoErr(err)
		if r := m.GetUpstreamRestarted(); r != nil {
			is.Equal(r.GetUpstream(), "r1")
			is.True(r.GetIncarnation() > first.Incarnation())
			return
		}
	}
}

func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatal("the condition was not met within 30 s")
}

func announceOnce(ctx context.Context, cl *session.Client, r *standin.Server, seq uint64) {
	data, err := json.Marshal(r.Announcement(seq))
	if err != nil {
		return
	}
	_, _ = cl.Announce(ctx, data)
}

// BenchmarkGrant measures one ask, grant and release between an entry and the scheduler in
// one process.
func BenchmarkGrant(b *testing.B) {
	c := newTestCell(b)
	c.takeLease()
	c.applyFile(1, 1)
	r := c.startRunner("r1", 64)
	cl := c.newSession("e1")
	c.announceRepeatedly(cl, r)
	if _, err := cl.Acquire(b.Context(), newAsk("first"), nil); err != nil {
		b.Fatal(err)
	}
	var n atomic.Uint64
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := fmt.Sprintf("a%d", n.Add(1))
			if _, err := cl.Acquire(context.Background(), newAsk(id), nil); err != nil {
				b.Error(err)
				return
			}
			cl.Release(&wire.Release{Attempt: id, Outcome: wire.Outcome_OUTCOME_OK, Tokens: 10, DurationMs: 5, FirstTokenMs: 1})
		}
	})
	b.StopTimer()
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	used := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(used)/1000/float64(n.Load()), "cpu-us/grant")
	b.ReportMetric(float64(messageBytes()), "B/grant")
}

// messageBytes returns the size of the messages of one grant on a session, without framing.
func messageBytes() int {
	ask := newAsk("e1-ABCDEFGHIJKLMNOPQRSTUVWXYZ-0")
	ask.Request, ask.Model, ask.Adapter, ask.BodyDigest = "e1-ABCDEFGHIJKLMNOPQRSTUVWXYZ", "model-0001", "adapter-00001", strings.Repeat("d", 64)
	g := &wire.Grant{Attempt: ask.Attempt, Upstream: "runner-0001", Incarnation: 1796354108766000618,
		Address: "10.0.0.1:8000", Fence: 7, UseByMs: 1000, SpecIndex: 1000, ModelVersion: "1", AdapterVersion: "1", HedgeAfterMs: 400}
	r := &wire.Release{Attempt: ask.Attempt, Outcome: wire.Outcome_OUTCOME_OK, FirstTokenMs: 400, Tokens: 200,
		DurationMs: 9000, MaxGapMs: 80, Upstream: g.Upstream, Incarnation: g.Incarnation}
	return proto.Size(&wire.EntryMessage{Msg: &wire.EntryMessage_Ask{Ask: ask}}) +
		proto.Size(&wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Grant{Grant: g}}) +
		proto.Size(&wire.EntryMessage{Msg: &wire.EntryMessage_Release{Release: r}})
}
