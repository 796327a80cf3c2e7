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

// newLoopbackGroup returns a group whose replicas talk over gRPC.
func newLoopbackGroup(t testing.TB, names ...string) *group {
	g := newGroup(t, names...)
	g.wire = true
	g.address = map[string]string{}
	g.listen = map[string]net.Listener{}
	for _, m := range g.members {
		m.Address = g.reserve(m.Name)
	}
	return g
}

// reserve picks a free address for a replica.
func (g *group) reserve(name string) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	g.listen[name] = lis
	g.address[name] = lis.Addr().String()
	return g.address[name]
}

func (g *group) serve(name string) Transport {
	lis := g.listen[name]
	delete(g.listen, name)
	if lis == nil { // a restart
		var err error
		if lis, err = net.Listen("tcp", g.address[name]); err != nil {
			g.t.Fatal(err)
		}
	}
	tr := rafttransport.New(rafttransport.Options{Address: g.address[name]})
	go tr.Serve(lis)
	m := &meteredTransport{Transport: tr, delay: g.delay, bytes: &g.bytes, late: make(chan lateMessages, 4096)}
	go m.run()
	return m
}

type lateMessages struct {
	due  time.Time
	msgs []*wire.RaftMessage
}

// meteredTransport counts what is sent and adds the latency between availability zones.
type meteredTransport struct {
	Transport
	delay time.Duration
	bytes *atomic.Int64
	late  chan lateMessages
}

// run passes delayed messages on in their order.
func (m *meteredTransport) run() {
	for l := range m.late {
		time.Sleep(time.Until(l.due))
		m.Transport.Send(l.msgs)
	}
}

func (m *meteredTransport) Close() error {
	close(m.late)
	return m.Transport.Close()
}

func (m *meteredTransport) Send(msgs []*wire.RaftMessage) {
	for _, msg := range msgs {
		m.bytes.Add(int64(proto.Size(msg)))
	}
	if m.delay == 0 {
		m.Transport.Send(msgs)
		return
	}
	m.late <- lateMessages{due: time.Now().Add(m.delay), msgs: msgs}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func TestReplica_GroupOverGRPCReplacesALostVM(t *testing.T) {
	is := is.New(t)
	g := newLoopbackGroup(t, "a", "b", "c").startAll()
	is.True(g.propose("one"))
	lost := g.nodes["c"].Status().ID
	g.kill("c")
	g.loseDisk("c")
	is.True(g.propose("two"))
	g.reserve("d")
	d := g.start("d", nil)
	member := &wire.Member{Id: d.Status().ID, Name: "d", Address: g.address["d"]}
	is.NoErr(g.leader().Replace(context.Background(), lost, member, nil))
	g.awaitState("d", []string{"one", "two"})
}

// commitMany commits n entries from several proposers and records the times.
func commitMany(g *group, proposers, n int) *hdrhistogram.Histogram {
	lead := g.leader()
	var mu sync.Mutex
	all := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	next := make(chan int)
	var failed atomic.Int64
	var wg sync.WaitGroup
	data := make([]byte, 300)
	for range proposers {
		wg.Go(func() {
			own := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for range next {
				begin := time.Now()
				if _, _, err := lead.Propose(context.Background(), data); err != nil {
					failed.Add(1)
				}
				own.RecordValue(time.Since(begin).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
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
	return all
}

// discardMachine keeps nothing, so that only the log is measured.
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
			g.delay = tc.oneWay
			g.tune = func(o *Options) {
				o.Machine = discardMachine{}
				o.ElectionTimeout = defaultElectionTimeout
			}
			g.startAll()
			commitMany(g, proposers, 100)
			b.ResetTimer()
			cpu, bytes := cpuTime(), g.bytes.Load()
			h := commitMany(g, proposers, b.N)
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(g.bytes.Load()-bytes)/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-ms")
			b.ReportMetric(float64(g.leader().Status().Term), "term")
		})
	}
}

// BenchmarkReplica_LeaderLoss measures from the kill of the leader to the next commit.
func BenchmarkReplica_LeaderLoss(b *testing.B) {
	for _, timeout := range []time.Duration{150 * time.Millisecond, defaultElectionTimeout, 600 * time.Millisecond} {
		b.Run("election-timeout="+timeout.String(), func(b *testing.B) {
			h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			for range b.N {
				h.RecordValue(loseLeader(b, timeout).Microseconds())
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-ms")
			b.ReportMetric(float64(h.Max())/1e3, "max-ms")
		})
	}
}

func loseLeader(b *testing.B, timeout time.Duration) time.Duration {
	g := newLoopbackGroup(b, "a", "b", "c")
	g.tune = func(o *Options) {
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
	for !committed(g) {
		time.Sleep(time.Millisecond)
	}
	return time.Since(begin)
}

// BenchmarkReplica_Idle measures what three replicas in one process spend at rest.
func BenchmarkReplica_Idle(b *testing.B) {
	g := newLoopbackGroup(b, "a", "b", "c")
	g.tune = func(o *Options) { o.ElectionTimeout = defaultElectionTimeout }
	g.startAll()
	commitMany(g, 1, 10)
	b.ResetTimer()
	cpu, bytes := cpuTime(), g.bytes.Load()
	for range b.N {
		time.Sleep(time.Second)
	}
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(100*(cpuTime()-cpu).Seconds()/seconds/3, "%core/replica")
	b.ReportMetric(float64(g.bytes.Load()-bytes)/seconds/3, "wire-B/s/replica")
}

// BenchmarkReplica_Read compares reads under the lease with a heartbeat round for each.
func BenchmarkReplica_Read(b *testing.B) {
	for _, lease := range []bool{true, false} {
		b.Run(fmt.Sprintf("lease=%v", lease), func(b *testing.B) {
			g := newLoopbackGroup(b, "a", "b", "c")
			g.tune = func(o *Options) {
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

func committed(g *group) bool {
	for _, n := range g.nodes {
		if n.Status().IsLeader {
			_, _, err := n.Propose(context.Background(), []byte("x"))
			return err == nil
		}
	}
	return false
}

// BenchmarkReplica_CatchUp measures from the start of a replica that missed 500 entries
// to the moment when it has applied them.
func BenchmarkReplica_CatchUp(b *testing.B) {
	const missed = 500
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for range b.N {
		b.StopTimer()
		g := newLoopbackGroup(b, "a", "b", "c")
		g.tune = func(o *Options) {
			o.Machine = discardMachine{}
			o.ElectionTimeout = defaultElectionTimeout
		}
		g.startAll()
		commitMany(g, 1, 10)
		var away string
		for name, n := range g.nodes {
			if n != g.leader() {
				away = name
			}
		}
		g.kill(away)
		commitMany(g, 16, missed)
		want := g.leader().Status().Commit
		b.StartTimer()
		begin := time.Now()
		n := g.start(away, g.members)
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
