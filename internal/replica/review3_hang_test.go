package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A follower each of whose writes hangs for 1.5 times the 2.5 s of internal/group's LostAfter, at the default
// election timeout: it should be inactive for LostAfter on end, since that is what its replacement goes by.
func TestReview3_FollowerDiskHangsAgainAndAgain(t *testing.T) {
	is := is.New(t)
	const et, lostAfter = 600 * time.Millisecond, 2500 * time.Millisecond
	g := newGroup(t, "a", "b", "c")
	disks := g.useSlowDisks()
	inner := g.configure
	g.configure = func(o *Options) { inner(o); o.ElectionTimeout = et }
	g.startAll()
	is.True(g.propose("first"))
	lead := g.leader()
	name := "a"
	if g.nameOf(lead) == name {
		name = "b"
	}
	id := g.nodes[name].Status().ID
	g.waitUntil("all voters active", func() bool { return lead.Status().Repaired })
	disks[name].SetDelay(lostAfter * 3 / 2)
	defer disks[name].SetDelay(0)
	var longest time.Duration
	last, next := time.Now(), time.Now()
	for begin := time.Now(); time.Since(begin) < 12*time.Second; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(next) {
			is.True(g.propose("x"))
			next = time.Now().Add(200 * time.Millisecond)
		}
		if lead.Status().Active[id] {
			last = time.Now()
		}
		longest = max(longest, time.Since(last))
	}
	t.Log("longest inactive", longest)
	is.True(longest >= lostAfter)
}
