package replica

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

// replaceMember runs a replacement at the current leader and retries it after a change of
// leader.
func (g *group) replaceMember(lostID uint64, member *wire.Member, report func(ReplaceStep)) {
	g.t.Helper()
	g.waitUntil("the replacement", func() bool {
		err := g.leader().Replace(context.Background(), lostID, member, report)
		if err != nil && !errors.Is(err, ErrNotLeader) && !errors.Is(err, ErrUnknownOutcome) && !errors.Is(err, ErrStopped) {
			g.t.Fatal(err)
		}
		return err == nil
	})
}

func (g *group) nameOf(n *Node) string {
	for name, o := range g.nodes {
		if o == n {
			return name
		}
	}
	return ""
}

func TestReplica_ReplacementWithLeaderRestarts(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c").startAll()
	is.True(g.propose("one"))
	lost := g.nodes["c"].Status().ID
	g.stopIsolated("c")
	g.loseDisk("c")
	d := g.start("d", nil)
	member := &wire.Member{Id: d.Status().ID, Name: "d", Address: "d"}
	restarted := 0
	g.replaceMember(lost, member, func(s ReplaceStep) {
		// The leader is restarted after each of the first three steps.
		if restarted < 3 && (s == ReplaceLearnerAdded || s == ReplaceRemoved || s == ReplacePromoted) {
			restarted++
			name := g.nameOf(g.leader())
			g.stopIsolated(name)
			g.start(name, g.members)
		}
	})
	is.Equal(restarted, 3)
	st := g.leader().Status()
	is.Equal(len(st.Members), 3)
	is.True(st.Repaired)
	g.waitForItems("d", []string{"one"})
}

// Guards against a replacement that a leader reports as complete after it was stopped.
func TestReplica_ReplacementAtStoppedLeader(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a")
	g.configure = func(o *Options) { o.Voters = 1 }
	g.startAll()
	is.True(g.propose("one"))
	lead := g.leader()
	is.True(lead.Status().Repaired)
	is.NoErr(lead.Stop())
	member := &wire.Member{Id: lead.Status().ID, Name: "a", Address: "a"}
	err := lead.Replace(context.Background(), 99, member, nil)
	is.True(errors.Is(err, ErrStopped))
}

func TestReplica_DifferentInitialMembers(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.start("a", g.members)
	n := g.start("b", g.members[:2])
	<-n.Done()
	var refused *raft.BootstrapRefusedError
	is.True(errors.As(n.Err(), &refused))
}

func TestReplica_LearnerLostBeforePromotion(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c").startAll()
	is.True(g.propose("one"))
	lost := g.nodes["c"].Status().ID
	g.stopIsolated("c")
	g.loseDisk("c")
	d := g.start("d", nil)
	first := &wire.Member{Id: d.Status().ID, Name: "d", Address: "d"}
	is.NoErr(g.leader().ChangeMembership(context.Background(), &wire.ConfChange{Type: wire.ConfChangeType_CONF_ADD_LEARNER, Member: first}))
	g.stopIsolated("d")
	is.True(g.propose("two")) // a dead learner doesn't block commits

	e := g.start("e", nil)
	second := &wire.Member{Id: e.Status().ID, Name: "e", Address: "e"}
	g.replaceMember(lost, second, nil)
	lead := g.leader()
	is.True(errors.Is(lead.Replace(context.Background(), first.Id, &wire.Member{Id: 99}, nil), ErrGroupFull))
	is.NoErr(lead.ChangeMembership(context.Background(), &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: first}))
	is.Equal(len(g.leader().Status().Members), 3)
	g.waitForItems("e", []string{"one", "two"})
}

func TestReplica_ReplacementOfLiveLeader(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c").startAll()
	is.True(g.propose("one"))
	old := g.leader()
	d := g.start("d", nil)
	member := &wire.Member{Id: d.Status().ID, Name: "d", Address: "d"}
	var steps []ReplaceStep
	g.replaceMember(old.Status().ID, member, func(s ReplaceStep) { steps = append(steps, s) })
	is.True(g.leader() != old)
	is.Equal(len(g.leader().Status().Members), 3)
	is.True(g.propose("two"))
	g.waitForItems("d", []string{"one", "two"})
	for i, s := range steps {
		if s == ReplaceRemoved {
			is.Equal(steps[i-1], ReplacePromoted) // so that the group always has three live voters
		}
	}
}
