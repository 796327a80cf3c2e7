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

// outcomes collects what proposers were told.
type outcomes struct {
	mu     sync.Mutex
	acked  []string
	notRun []string
	reads  int
	stale  []string // acknowledged, but missing in a later read
}

func (o *outcomes) add(data string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.acked = append(o.acked, data)
	case errors.Is(err, ErrNotLeader), errors.Is(err, ErrStopped):
		o.notRun = append(o.notRun, data)
	}
}

// readBack reads at any replica after an acknowledgement.
func (o *outcomes) readBack(ctx context.Context, data string, n *Node) {
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

// proposers propose at random replicas until stop is closed.
func (g *group) proposers(count int, seed uint64, stop chan struct{}, o *outcomes, node func(int) *Node) *sync.WaitGroup {
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
				o.add(data, err)
				if err != nil {
					time.Sleep(time.Millisecond)
				} else if k%10 == 0 {
					o.readBack(ctx, data, node(rng.IntN(len(g.members))))
				}
				cancel()
			}
		})
	}
	return wg
}

func TestReplica_RandomKillsKeepOutcomesTruthful(t *testing.T) {
	is := is.New(t)
	const seed = 20
	g := newGroup(t, "a", "b", "c")
	g.tune = func(o *Options) { o.SnapshotEntries = 300 }
	g.startAll()
	var mu sync.Mutex // guards the nodes against the proposers
	node := func(i int) *Node {
		mu.Lock()
		defer mu.Unlock()
		return g.nodes[g.members[i].Name]
	}
	stop := make(chan struct{})
	var o outcomes
	wg := g.proposers(8, seed, stop, &o, node)
	rng := rand.New(rand.NewPCG(seed, 99))
	for range 12 {
		name := g.members[rng.IntN(len(g.members))].Name
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		if rng.IntN(3) == 0 { // a graceful stop
			is.NoErr(g.nodes[name].Stop())
		} else {
			g.net.setCut(name, true)
			g.nodes[name].Stop()
			g.net.setCut(name, false)
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
	first := g.states["a"]
	for _, m := range g.members {
		g.awaitState(m.Name, []string{"last"})
		is.Equal(g.states[m.Name].list(), first.list())
	}
	applied := map[string]int{}
	for _, item := range first.list() {
		applied[item]++
	}
	for _, item := range o.acked {
		is.Equal(applied[item], 1) // acknowledged: applied, and once
	}
	for _, item := range o.notRun {
		is.Equal(applied[item], 0) // refused: never in the log
	}
	is.True(!slices.ContainsFunc(o.notRun, func(s string) bool { return slices.Contains(o.acked, s) }))
}
