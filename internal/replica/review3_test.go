package replica

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The leader's disk alone is slow: each write takes less than the stall limit. Another replica has a good disk.
// The bound is the 4 s in which a configuration has to be in force, at the default election timeout of 600 ms.
func TestReview3_OnlyLeaderDiskSlow(t *testing.T) {
	is := is.New(t)
	const et = 600 * time.Millisecond
	g := newGroup(t, "a", "b", "c")
	disks := g.useSlowDisks()
	inner := g.configure
	g.configure = func(o *Options) { inner(o); o.ElectionTimeout = et }
	g.startAll()
	is.True(g.propose("first"))
	name := g.nameOf(g.leader())
	disks[name].SetDelay(7 * et / 2)
	defer disks[name].SetDelay(0)
	go g.propose("earlier") // its write is running when the next arrives
	time.Sleep(100 * time.Millisecond)
	begin := time.Now()
	for acked := false; !acked && time.Since(begin) < 30*time.Second; time.Sleep(5 * time.Millisecond) {
		for _, n := range g.nodes {
			if n.Status().IsLeader && !acked {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				_, _, err := n.Propose(ctx, []byte("second"))
				cancel()
				acked = err == nil
			}
		}
	}
	took := time.Since(begin)
	t.Log("acknowledged after", took, "leader moved:", !g.nodes[name].Status().IsLeader)
	is.True(took <= 4*time.Second)
}

// As TestReplica_LeaderLostWhileSyncsAreSlow, with five voters.
func TestReview3_LeaderLostOfFiveWhileSyncsAreSlow(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c", "d", "e")
	disks := g.useSlowDisks()
	g.startAll()
	is.True(g.propose("first"))
	for _, d := range disks {
		d.SetDelay(slowSync)
	}
	g.stopIsolated(g.nameOf(g.leader()))
	begin := time.Now()
	g.proposeUntilAcked("second")
	took := time.Since(begin)
	t.Log("acknowledged after", took)
	is.True(took <= slowChange)
}

// The leader's disk hangs while the syncs of the others take 1.5 election timeouts.
func TestReview3_LeaderDiskHangsWhileOthersSlow(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	disks := g.useSlowDisks()
	g.startAll()
	is.True(g.propose("first"))
	name := g.nameOf(g.leader())
	for _, d := range disks {
		d.SetDelay(slowSync)
	}
	disks[name].SetDelay(hungSync)
	defer disks[name].SetDelay(0)
	begin := time.Now()
	g.proposeUntilAcked("second")
	took := time.Since(begin)
	t.Log("acknowledged after", took)
	is.True(took <= slowChange)
}
