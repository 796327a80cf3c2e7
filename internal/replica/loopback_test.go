package replica

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"gentiankeel/internal/rafttransport"
	"gentiankeel/internal/wire"
)

// newLoopbackGroup returns a group whose replicas talk over gRPC.
func newLoopbackGroup(t testing.TB, names ...string) *group {
	g := newGroup(t, names...)
	g.wire = true
	g.address = map[string]string{}
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
	defer lis.Close()
	g.address[name] = lis.Addr().String()
	return g.address[name]
}

func (g *group) serve(name string) Transport {
	lis, err := net.Listen("tcp", g.address[name])
	if err != nil {
		g.t.Fatal(err)
	}
	tr := rafttransport.New(rafttransport.Options{Address: g.address[name]})
	go tr.Serve(lis)
	return tr
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
	for _, proposers := range []int{1, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			g := newLoopbackGroup(b, "a", "b", "c")
			g.tune = func(o *Options) {
				o.Machine = discardMachine{}
				o.ElectionTimeout = defaultElectionTimeout
			}
			g.startAll()
			commitMany(g, proposers, 100)
			b.ResetTimer()
			h := commitMany(g, proposers, b.N)
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
