package replica

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/rafttransport"
	"gentiankeel/internal/wire"
)

// newLoopbackGroup returns a group whose replicas are connected by gRPC.
func newLoopbackGroup(t testing.TB, names ...string) *group {
	g := newGroup(t, names...)
	g.overGRPC = true
	g.addresses = map[string]string{}
	g.listeners = map[string]net.Listener{}
	for _, m := range g.members {
		m.Address = g.reserveAddress(m.Name)
	}
	return g
}

// reserveAddress opens a listener on a free port for a replica and returns its address.
func (g *group) reserveAddress(name string) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	g.listeners[name] = lis
	g.addresses[name] = lis.Addr().String()
	return g.addresses[name]
}

func (g *group) newGRPCTransport(name string) Transport {
	lis := g.listeners[name]
	delete(g.listeners, name)
	if lis == nil { // the replica restarts
		var err error
		if lis, err = net.Listen("tcp", g.addresses[name]); err != nil {
			g.t.Fatal(err)
		}
	}
	tr := rafttransport.New(rafttransport.Options{Address: g.addresses[name]})
	go tr.Serve(lis)
	m := &meteredTransport{Transport: tr, oneWayDelay: g.oneWayDelay, sentBytes: &g.sentBytes, delayed: make(chan delayedMessages, 4096)}
	go m.run()
	return m
}

type delayedMessages struct {
	due  time.Time
	msgs []*wire.RaftMessage
}

// meteredTransport counts the bytes sent and delays messages by a simulated latency
// between availability zones.
type meteredTransport struct {
	Transport
	oneWayDelay time.Duration
	sentBytes   *atomic.Int64
	delayed     chan delayedMessages
}

// run sends delayed messages in order when they are due.
func (m *meteredTransport) run() {
	for batch := range m.delayed {
		time.Sleep(time.Until(batch.due))
		m.Transport.Send(batch.msgs)
	}
}

func (m *meteredTransport) Close() error {
	close(m.delayed)
	return m.Transport.Close()
}

func (m *meteredTransport) Send(msgs []*wire.RaftMessage) {
	for _, msg := range msgs {
		m.sentBytes.Add(int64(proto.Size(msg)))
	}
	if m.oneWayDelay == 0 {
		m.Transport.Send(msgs)
		return
	}
	m.delayed <- delayedMessages{due: time.Now().Add(m.oneWayDelay), msgs: msgs}
}

// cpuTime returns the user and system CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func TestReplica_GroupOverGRPC_LostVM(t *testing.T) {
	is := is.New(t)
	g := newLoopbackGroup(t, "a", "b", "c").startAll()
	is.True(g.propose("one"))
	lost := g.nodes["c"].Status().ID
	g.stopIsolated("c")
	g.loseDisk("c")
	is.True(g.propose("two"))
	g.reserveAddress("d")
	d := g.start("d", nil)
	member := &wire.Member{Id: d.Status().ID, Name: "d", Address: g.addresses["d"]}
	is.NoErr(g.leader().Replace(context.Background(), lost, member, nil))
	g.waitForItems("d", []string{"one", "two"})
}

// commitMany commits n entries from concurrent proposers and returns a histogram of the
// commit times in microseconds.
func commitMany(g *group, proposers, n int) *hdrhistogram.Histogram {
	lead := g.leader()
	var mu sync.Mutex
	merged := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	next := make(chan int)
	var failed atomic.Int64
	var wg sync.WaitGroup
	data := make([]byte, 300)
	for range proposers {
		wg.Go(func() {
			histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for range next {
				begin := time.Now()
				if _, _, err := lead.Propose(context.Background(), data); err != nil {
					failed.Add(1)
				}
				histogram.RecordValue(time.Since(begin).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			merged.Merge(histogram)
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
	if failed.Load() > 0 {
		g.t.Errorf("%d of %d proposals failed", failed.Load(), n)
	}
	return merged
}

// discardMachine is a state machine without state, so that only the log is measured.
type discardMachine struct{}

func (discardMachine) Apply(uint64, []byte) []byte  { return nil }
func (discardMachine) Snapshot() ([]byte, error)    { return nil, nil }
func (discardMachine) Restore(uint64, []byte) error { return nil }

func BenchmarkReplica_Commit(b *testing.B) {
	for _, tc := range []struct {
		proposers int
		oneWay    time.Duration
	}{{1, 0}, {64, 0}, {1, 1250 * time.Microsecond}, {64, 1250 * time.Microsecond}} {
		proposers := tc.proposers
		b.Run(fmt.Sprintf("proposers=%d/one-way=%v", proposers, tc.oneWay), func(b *testing.B) {
			g := newLoopbackGroup(b, "a", "b", "c")
			g.oneWayDelay = tc.oneWay
			g.configure = func(o *Options) {
				o.Machine = discardMachine{}
				o.ElectionTimeout = defaultElectionTimeout
			}
			g.startAll()
			commitMany(g, proposers, 100)
			b.ResetTimer()
			cpu, bytes := cpuTime(), g.sentBytes.Load()
			h := commitMany(g, proposers, b.N)
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(g.sentBytes.Load()-bytes)/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-ms")
			b.ReportMetric(float64(g.leader().Status().Term), "term")
		})
	}
}

// BenchmarkReplica_LeaderLoss measures the time from the loss of the leader to the next
// commit.
func BenchmarkReplica_LeaderLoss(b *testing.B) {
	for _, timeout := range []time.Duration{150 * time.Millisecond, defaultElectionTimeout, 600 * time.Millisecond} {
		b.Run("election-timeout="+timeout.String(), func(b *testing.B) {
			h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for range b.N {
				h.RecordValue(timeLeaderLoss(b, timeout).Microseconds())
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-ms")
			b.ReportMetric(float64(h.Max())/1e3, "max-ms")
		})
	}
}

func timeLeaderLoss(b *testing.B, timeout time.Duration) time.Duration {
	g := newLoopbackGroup(b, "a", "b", "c")
	g.configure = func(o *Options) {
		o.Machine = discardMachine{}
		o.ElectionTimeout = timeout
		o.Seed = 0
	}
	g.startAll()
	defer g.stopAll()
	commitMany(g, 1, 10)
	lead := g.leader()
	for name, n := range g.nodes {
		if n == lead {
			delete(g.nodes, name)
		}
	}
	defer lead.Stop()
	begin := time.Now()
	lead.opts.Transport.Close()
	for !commitsOnLeader(g) {
		time.Sleep(time.Millisecond)
	}
	return time.Since(begin)
}

// BenchmarkReplica_Idle measures the CPU time and traffic of three idle replicas.
func BenchmarkReplica_Idle(b *testing.B) {
	g := newLoopbackGroup(b, "a", "b", "c")
	g.configure = func(o *Options) { o.ElectionTimeout = defaultElectionTimeout }
	g.startAll()
	commitMany(g, 1, 10)
	b.ResetTimer()
	cpu, bytes := cpuTime(), g.sentBytes.Load()
	for range b.N {
		time.Sleep(time.Second)
	}
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(100*(cpuTime()-cpu).Seconds()/seconds/3, "%core/replica")
	b.ReportMetric(float64(g.sentBytes.Load()-bytes)/seconds/3, "wire-B/s/replica")
}

// BenchmarkReplica_Read compares reads under the leader lease with reads that need a
// heartbeat round.
func BenchmarkReplica_Read(b *testing.B) {
	for _, lease := range []bool{true, false} {
		b.Run(fmt.Sprintf("lease=%v", lease), func(b *testing.B) {
			g := newLoopbackGroup(b, "a", "b", "c")
			g.configure = func(o *Options) {
				o.Machine = discardMachine{}
				o.DisableLeaseReads = !lease
			}
			g.startAll()
			commitMany(g, 1, 100)
			lead := g.leader()
			h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for b.Loop() {
				begin := time.Now()
				if err := lead.ReadBarrier(context.Background()); err != nil {
					b.Fatal(err)
				}
				h.RecordValue(time.Since(begin).Microseconds())
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-ms")
		})
	}
}

func commitsOnLeader(g *group) bool {
	for _, n := range g.nodes {
		if n.Status().IsLeader {
			_, _, err := n.Propose(context.Background(), []byte("x"))
			return err == nil
		}
	}
	return false
}

// BenchmarkReplica_CatchUp measures the time from the start of a replica that lacks 500
// entries until it has applied them.
func BenchmarkReplica_CatchUp(b *testing.B) {
	const missed = 500
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for range b.N {
		b.StopTimer()
		g := newLoopbackGroup(b, "a", "b", "c")
		g.configure = func(o *Options) {
			o.Machine = discardMachine{}
			o.ElectionTimeout = defaultElectionTimeout
		}
		g.startAll()
		commitMany(g, 1, 10)
		var stopped string
		for name, n := range g.nodes {
			if n != g.leader() {
				stopped = name
			}
		}
		g.stopIsolated(stopped)
		commitMany(g, 16, missed)
		want := g.leader().Status().Commit
		b.StartTimer()
		begin := time.Now()
		n := g.start(stopped, g.members)
		for n.Status().Applied < want {
			time.Sleep(time.Millisecond)
		}
		h.RecordValue(time.Since(begin).Microseconds())
		b.StopTimer()
		g.stopAll()
		b.StartTimer()
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-ms")
	b.ReportMetric(float64(h.Max())/1e3, "max-ms")
}
