package replica

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/raftstore/raftstoretest"
)

const (
	slowDiskElectionTimeout = 200 * time.Millisecond
	slowSync                = 3 * slowDiskElectionTimeout / 2
	// slowProposal is the time in which a proposal is acknowledged: at a replica, a sync may be running when
	// it arrives, and its own follows. As much again is left for everything else.
	slowProposal = 4 * slowSync
)

// newSlowDiskGroup starts a group of three replicas that has acknowledged the item "first". Their disks, by replica, are
// slow once they are told a delay.
func newSlowDiskGroup(t *testing.T) (*group, map[string]*raftstoretest.SlowStore) {
	t.Helper()
	g, disks := newGroup(t, "a", "b", "c"), map[string]*raftstoretest.SlowStore{}
	g.configure = func(o *Options) {
		o.ElectionTimeout = slowDiskElectionTimeout
		disks[o.Name] = raftstoretest.OpenSlow(g.t, o.Dir)
		o.Storage = disks[o.Name]
	}
	g.startAll()
	is.New(t).True(g.propose("first"))
	return g, disks
}

// Guards against a group that keeps no leader while syncs take longer than the election timeout.
func TestReplica_SyncsLongerThanElectionTimeout(t *testing.T) {
	is := is.New(t)
	g, disks := newSlowDiskGroup(t)
	lead := g.leader()
	term := lead.Status().Term
	for _, d := range disks {
		d.SetDelay(slowSync)
	}
	acked := []string{"first"}
	for begin := time.Now(); time.Since(begin) < 20*slowDiskElectionTimeout; {
		data := fmt.Sprint(len(acked))
		ctx, cancel := context.WithTimeout(context.Background(), slowProposal)
		_, _, err := lead.Propose(ctx, []byte(data))
		cancel()
		is.NoErr(err)
		s := lead.Status()
		is.True(s.IsLeader)
		is.Equal(s.Term, term)
		acked = append(acked, data)
	}
	for _, m := range g.members {
		g.waitForItems(m.Name, acked)
	}
}

// slowChange is the time in which a proposal is acknowledged after the loss of the leader or of its disk: the 4 s in which a
// configuration has to be in force, in election timeouts of 300 ms.
const slowChange = 13 * slowDiskElectionTimeout

// Guards against elections that start again and again while syncs take longer than the election timeout.
func TestReplica_LeaderLostWhileSyncsAreSlow(t *testing.T) {
	is := is.New(t)
	g, disks := newSlowDiskGroup(t)
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

// hungSync is longer than any test.
const hungSync = time.Hour

// Guards against a voter that is taken for active, and so not replaced, while its disk hangs for good.
func TestReplica_FollowerWithHungDiskInactive(t *testing.T) {
	is := is.New(t)
	g, disks := newSlowDiskGroup(t)
	lead := g.leader()
	name := "a"
	if g.nameOf(lead) == name {
		name = "b"
	}
	id := g.nodes[name].Status().ID
	g.waitUntil("all voters active", func() bool { return lead.Status().Repaired })
	disks[name].SetDelay(hungSync)
	defer disks[name].SetDelay(0)
	begin := time.Now()
	is.True(g.propose("second")) // the other two are a quorum
	g.waitUntil("the voter to be inactive", func() bool { return !lead.Status().Active[id] })
	is.True(time.Since(begin) <= slowChange)
	for begin = time.Now(); time.Since(begin) < 5*slowDiskElectionTimeout; time.Sleep(time.Millisecond) {
		is.True(!lead.Status().Active[id]) // until it is replaced
	}
	is.True(lead.Status().IsLeader)
	disks[name].SetDelay(0)
	g.waitUntil("the voter to be active again", func() bool { return lead.Status().Repaired })
}

// Guards against a leader that stays, and keeps its proposers waiting, while its disk hangs for good.
func TestReplica_LeaderWithHungDiskReplaced(t *testing.T) {
	is := is.New(t)
	g, disks := newSlowDiskGroup(t)
	name := g.nameOf(g.leader())
	disks[name].SetDelay(hungSync)
	defer disks[name].SetDelay(0)
	begin := time.Now()
	g.proposeUntilAcked("second")
	is.True(time.Since(begin) <= slowChange)
	is.True(!g.nodes[name].Status().IsLeader)
	disks[name].SetDelay(0)
	g.waitForItems(name, []string{"first", "second"})
}
