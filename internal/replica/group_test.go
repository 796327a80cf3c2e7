package replica

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/raftstore/raftstoretest"
	"gentiankeel/internal/wire"
)

// listMachine is a state machine that stores all entries in order.
type listMachine struct {
	mu    sync.Mutex
	items []string
}

func (l *listMachine) Apply(index uint64, data []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, string(data))
	return binary.BigEndian.AppendUint64(nil, uint64(len(l.items)))
}

func (l *listMachine) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []byte
	for _, s := range l.items {
		out = binary.AppendUvarint(out, uint64(len(s)))
		out = append(out, s...)
	}
	return out, nil
}

func (l *listMachine) Restore(_ uint64, b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = nil
	for len(b) > 0 {
		n, k := binary.Uvarint(b)
		l.items = append(l.items, string(b[k:k+int(n)]))
		b = b[k+int(n):]
	}
	return nil
}

func (l *listMachine) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.items)
}

// memNet connects the in-memory transports of a group.
type memNet struct {
	mu         sync.Mutex
	transports map[string]*memTransport
	isolated   map[string]bool // addresses that neither send nor receive
}

func newMemNet() *memNet {
	return &memNet{transports: map[string]*memTransport{}, isolated: map[string]bool{}}
}

func (n *memNet) setIsolated(address string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = isolated
}

type memTransport struct {
	net     *memNet
	address string

	mu      sync.Mutex
	self    uint64
	receive func(*wire.RaftMessage)
	members map[uint64]string
	closed  bool
}

func (n *memNet) transport(address string) *memTransport {
	t := &memTransport{net: n, address: address, members: map[uint64]string{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transports[address] = t
	return t
}

func (t *memTransport) Start(self uint64, receive func(*wire.RaftMessage)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self, t.receive = self, receive
}

func (t *memTransport) SetPeers(members []*wire.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		t.members[m.Id] = m.Address
	}
}

func (t *memTransport) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return nil
}

func (t *memTransport) Send(msgs []*wire.RaftMessage) {
	for _, m := range msgs {
		m.Address = t.address
		t.mu.Lock()
		address, closed := t.members[m.To], t.closed
		t.mu.Unlock()
		t.net.mu.Lock()
		to, isolated := t.net.transports[address], t.net.isolated[address] || t.net.isolated[t.address]
		t.net.mu.Unlock()
		if to == nil || isolated || closed {
			continue
		}
		to.deliver(m)
	}
}

func (t *memTransport) deliver(m *wire.RaftMessage) {
	t.mu.Lock()
	if t.closed || t.receive == nil || m.To != t.self {
		t.mu.Unlock()
		return
	}
	if _, ok := t.members[m.From]; !ok {
		t.members[m.From] = m.Address
	}
	receive := t.receive
	t.mu.Unlock()
	go receive(m)
}

// group is a group of replicas in one process.
type group struct {
	t           testing.TB
	net         *memNet
	members     []*wire.Member
	dirs        map[string]string
	addresses   map[string]string // by replica; only with overGRPC
	listeners   map[string]net.Listener
	nodes       map[string]*Node
	machines    map[string]*listMachine
	configure   func(*Options)
	overGRPC    bool // connect the replicas by gRPC on the loopback interface
	oneWayDelay time.Duration
	sentBytes   atomic.Int64
}

func newGroup(t testing.TB, names ...string) *group {
	g := &group{
		t: t, net: newMemNet(), dirs: map[string]string{},
		nodes: map[string]*Node{}, machines: map[string]*listMachine{},
	}
	for _, name := range names {
		g.members = append(g.members, &wire.Member{Name: name, Address: name, Zone: "tay-" + name})
	}
	t.Cleanup(g.stopAll)
	return g
}

func (g *group) startAll() *group {
	for _, m := range g.members {
		g.start(m.Name, g.members)
	}
	return g
}

func (g *group) options(name string, members []*wire.Member) Options {
	if g.dirs[name] == "" {
		g.dirs[name] = g.t.TempDir()
	}
	g.machines[name] = &listMachine{}
	o := Options{
		Name: name, Address: name, Cluster: "test", Dir: g.dirs[name], Members: members,
		Machine: g.machines[name], Seed: 7, ElectionTimeout: 200 * time.Millisecond,
		Logger: slog.New(slog.NewTextHandler(g.t.Output(), nil)).With("replica", name),
	}
	if g.overGRPC {
		o.Address = g.addresses[name]
		o.Transport = g.newGRPCTransport(name)
	} else {
		o.Transport = g.net.transport(name)
	}
	if g.configure != nil {
		g.configure(&o)
	}
	if o.Storage == nil {
		o.Storage = raftstoretest.Open(g.t, o.Dir)
	}
	return o
}

func (g *group) start(name string, members []*wire.Member) *Node {
	g.t.Helper()
	n, err := Start(g.options(name, members))
	if err != nil {
		g.t.Fatal(err)
	}
	g.nodes[name] = n
	return n
}

// stopIsolated cuts a replica off from the others and stops it, so that it can't transfer
// its leadership. The network link is restored afterwards.
func (g *group) stopIsolated(name string) {
	n := g.nodes[name]
	delete(g.nodes, name)
	g.net.setIsolated(name, true)
	n.Stop()
	g.net.setIsolated(name, false)
}

func (g *group) loseDisk(name string) { delete(g.dirs, name) }

func (g *group) stopAll() {
	for _, n := range g.nodes {
		n.Stop()
	}
}

const waitTimeout = 60 * time.Second

func (g *group) waitUntil(what string, cond func() bool) {
	g.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			g.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// leader waits for a leader that serves reads and returns it.
func (g *group) leader() *Node {
	g.t.Helper()
	var lead *Node
	g.waitUntil("a leader", func() bool {
		for _, n := range g.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := n.ReadBarrier(ctx)
			cancel()
			if n.Status().IsLeader && err == nil {
				lead = n
				return true
			}
		}
		return false
	})
	return lead
}

// propose proposes one entry at the current leader and reports whether it committed. It
// retries if nothing was proposed, but not after an unknown outcome.
func (g *group) propose(data string) bool {
	g.t.Helper()
	committed := false
	g.waitUntil("a commit of "+data, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, _, err := g.leader().Propose(ctx, []byte(data))
		committed = err == nil
		return !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrStopped)
	})
	return committed
}

func (g *group) waitForItems(name string, want []string) {
	g.t.Helper()
	g.waitUntil(name+" to hold all acknowledged entries", func() bool {
		have := g.machines[name].list()
		for _, w := range want {
			if !slices.Contains(have, w) {
				return false
			}
		}
		return true
	})
}

func TestReplica_ThreeReplicas(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c").startAll()
	is.True(g.propose("one"))
	is.True(g.propose("two"))
	for _, m := range g.members {
		g.waitForItems(m.Name, []string{"one", "two"})
	}
	is.NoErr(g.leader().ReadBarrier(context.Background()))
}

func TestReplica_ReadBarrierOnFollower(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c").startAll()
	is.True(g.propose("one"))
	lead := g.leader()
	for name, n := range g.nodes {
		if n == lead {
			continue
		}
		is.NoErr(n.ReadBarrier(context.Background()))
		is.Equal(g.machines[name].list(), []string{"one"})
	}
}

func TestReplica_RestartOfAllReplicas(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c").startAll()
	is.True(g.propose("one"))
	for _, m := range g.members {
		g.stopIsolated(m.Name)
	}
	for _, m := range g.members {
		g.start(m.Name, g.members)
	}
	is.True(g.propose("two"))
	for _, m := range g.members {
		g.waitForItems(m.Name, []string{"one", "two"})
	}
}

func TestReplica_EmptiedDiskUnderOldName(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c").startAll()
	is.True(g.propose("one"))
	g.stopIsolated("c")
	g.loseDisk("c")
	n := g.start("c", g.members)
	<-n.Done()
	var refused *raft.BootstrapRefusedError
	is.True(errors.As(n.Err(), &refused))
	_, _, err := n.Propose(context.Background(), []byte("x"))
	is.True(errors.Is(err, ErrStopped))
	is.True(g.propose("two"))
}

func TestReplica_SecondLossAfterRepair(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c").startAll()
	var acked []string
	put := func(s string) {
		if g.propose(s) {
			acked = append(acked, s)
		}
	}
	for _, s := range []string{"1", "2", "3"} {
		put(s)
	}
	lost := g.nodes["c"].Status().ID
	g.stopIsolated("c")
	g.loseDisk("c")
	put("4")

	d := g.start("d", nil)
	member := &wire.Member{Id: d.Status().ID, Name: "d", Address: "d", Zone: "tay-d"}
	var steps []ReplaceStep
	lead := g.leader()
	is.NoErr(lead.Replace(context.Background(), lost, member, func(s ReplaceStep) { steps = append(steps, s) }))
	is.Equal(steps[len(steps)-1], ReplaceRepaired)
	is.Equal(len(lead.Status().Members), 3)

	// The second loss hits the leader, which is the worst case.
	for name, n := range g.nodes {
		if n == lead {
			g.stopIsolated(name)
		}
	}
	put("5")
	g.waitForItems("d", acked)
}

func TestReplica_GracefulStopOfLeader(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c").startAll()
	is.True(g.propose("one"))
	lead := g.leader()
	term := lead.Status().Term
	for name, n := range g.nodes {
		if n == lead {
			is.NoErr(n.Stop())
			delete(g.nodes, name)
		}
	}
	is.Equal(g.leader().Status().Term, term+1) // one election, requested by the old leader
}

func TestReplica_SnapshotCatchesUpLaggingReplica(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.configure = func(o *Options) { o.SnapshotEntries = 50 }
	g.startAll()
	is.True(g.propose("first"))
	g.stopIsolated("c")
	lead := g.leader()
	for range retainedEntries + 200 {
		_, _, err := lead.Propose(context.Background(), []byte("x"))
		is.NoErr(err)
	}
	is.True(g.propose("last"))
	g.start("c", g.members)
	g.waitForItems("c", []string{"first", "last"})
}

// failingStorage fails all writes after startFailing, with an error other than ENOSPC.
type failingStorage struct {
	Storage
	mu      sync.Mutex
	failing bool
}

var errDiskWrite = errors.New("disk write failed")

func (f *failingStorage) Save(rd *raft.Ready) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing {
		return errDiskWrite
	}
	return f.Storage.Save(rd)
}

func (f *failingStorage) startFailing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = true
}

func TestReplica_FailedDiskWrite(t *testing.T) {
	is := is.New(t)
	disks := map[string]*failingStorage{}
	g := newGroup(t, "a", "b", "c")
	g.configure = func(o *Options) {
		disks[o.Name] = &failingStorage{Storage: raftstoretest.Open(t, o.Dir)}
		o.Storage = disks[o.Name]
	}
	g.startAll()
	is.True(g.propose("one"))
	lead := g.leader()
	for name, n := range g.nodes {
		if n != lead {
			continue
		}
		disks[name].startFailing()
		_, _, err := n.Propose(context.Background(), []byte("lost"))
		is.True(errors.Is(err, ErrUnknownOutcome))
		<-n.Done()
		is.True(errors.Is(n.Err(), errStorage))
		is.NoErr(n.Stop())
		delete(g.nodes, name)
	}
	is.True(g.propose("two"))
}
