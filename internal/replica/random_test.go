package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// outcomes collects the results of proposals.
type outcomes struct {
	mu          sync.Mutex
	acked       []string
	notProposed []string
	reads       int
	stale       []string // acknowledged, but missing in a subsequent read
}

func (o *outcomes) record(data string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.acked = append(o.acked, data)
	case errors.Is(err, ErrNotLeader), errors.Is(err, ErrStopped):
		o.notProposed = append(o.notProposed, data)
	}
}

// checkRead reads at replica n and records data as stale if the read misses it.
func (o *outcomes) checkRead(ctx context.Context, data string, n *Node) {
	if n.ReadBarrier(ctx) != nil {
		return
	}
	found := slices.Contains(n.opts.Machine.(*listMachine).list(), data)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	if !found {
		o.stale = append(o.stale, data)
	}
}

// startProposers starts goroutines that propose at random replicas until stop is closed.
func (g *group) startProposers(count int, seed uint64, stop chan struct{}, o *outcomes, node func(int) *Node) *sync.WaitGroup {
	wg := &sync.WaitGroup{}
	for i := range count {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				data := fmt.Sprintf("%d/%d", i, k)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(200))*time.Millisecond)
				_, _, err := node(rng.IntN(len(g.members))).Propose(ctx, []byte(data))
				o.record(data, err)
				if err != nil {
					time.Sleep(time.Millisecond)
				} else if k%10 == 0 {
					o.checkRead(ctx, data, node(rng.IntN(len(g.members))))
				}
				cancel()
			}
		})
	}
	return wg
}

func TestReplica_RandomKills(t *testing.T) {
	is := is.New(t)
	const seed = 20
	g := newGroup(t, "a", "b", "c")
	g.configure = func(o *Options) { o.SnapshotEntries = 300 }
	g.startAll()
	var mu sync.Mutex // guards g.nodes
	node := func(i int) *Node {
		mu.Lock()
		defer mu.Unlock()
		return g.nodes[g.members[i].Name]
	}
	stop := make(chan struct{})
	var o outcomes
	wg := g.startProposers(8, seed, stop, &o, node)
	rng := rand.New(rand.NewPCG(seed, 99))
	for range 12 {
		name := g.members[rng.IntN(len(g.members))].Name
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		if rng.IntN(3) == 0 { // a graceful stop
			is.NoErr(g.nodes[name].Stop())
		} else {
			g.net.setIsolated(name, true)
			g.nodes[name].Stop()
			g.net.setIsolated(name, false)
		}
		mu.Lock()
		g.start(name, g.members)
		mu.Unlock()
	}
	close(stop)
	wg.Wait()
	is.True(g.propose("last"))
	is.True(len(o.acked) > 100)
	is.True(o.reads > 10)
	is.Equal(len(o.stale), 0)
	first := g.machines["a"]
	for _, m := range g.members {
		g.waitForItems(m.Name, []string{"last"})
		is.Equal(g.machines[m.Name].list(), first.list())
	}
	applied := map[string]int{}
	for _, item := range first.list() {
		applied[item]++
	}
	for _, item := range o.acked {
		is.Equal(applied[item], 1) // acknowledged entries are applied exactly once
	}
	for _, item := range o.notProposed {
		is.Equal(applied[item], 0) // rejected entries are never applied
	}
	is.True(!slices.ContainsFunc(o.notProposed, func(s string) bool { return slices.Contains(o.acked, s) }))
}
