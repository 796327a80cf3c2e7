package group

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/wire"
)

func member(id uint64, addr string, learner bool) *wire.Member {
	return &wire.Member{Id: id, Address: addr, Learner: learner}
}

// view is a leader's status: replica 1 leads, everyone is active and caught up.
func view(members ...*wire.Member) replica.Status {
	s := replica.Status{ID: 1, Term: 2, IsLeader: true, Commit: 10, Members: members,
		Match: map[uint64]uint64{}, Active: map[uint64]bool{}}
	for _, m := range members {
		s.Match[m.Id], s.Active[m.Id] = 10, true
	}
	return s
}

func three() []*wire.Member {
	return []*wire.Member{member(1, "a", false), member(2, "b", false), member(3, "c", false)}
}

func TestKeeper_GrowsToItsFullNumberOfVoters(t *testing.T) {
	is := is.New(t)
	k := New(Options{Voters: 5})
	is.Equal(k.Next(0, view(three()...)), nil)
	is.True(!k.Full(view(three()...)))
	k.Offer(0, member(4, "d", false))
	cc := k.Next(0, view(three()...))
	is.Equal(cc.Type, wire.ConfChangeType_CONF_ADD_LEARNER)
	is.Equal(cc.Member.Id, uint64(4))
	cc = k.Next(0, view(append(three(), member(4, "d", true))...))
	is.Equal(cc.Type, wire.ConfChangeType_CONF_PROMOTE)
	is.Equal(cc.Member.Id, uint64(4))
}

func TestKeeper_LearnerThatLagsIsNotPromoted(t *testing.T) {
	is := is.New(t)
	k := New(Options{Voters: 5})
	s := view(append(three(), member(4, "d", true))...)
	s.Match[4] = 9
	is.Equal(k.Next(0, s), nil)
	s.Match[4], s.Active[4] = 10, false
	is.Equal(k.Next(0, s), nil)
}

func TestKeeper_WipedVoterLeavesBeforeItsSuccessorVotes(t *testing.T) {
	is := is.New(t)
	k := New(Options{Voters: 3})
	k.Offer(0, member(9, "c", false))
	cc := k.Next(0, view(three()...))
	is.Equal(cc.Type, wire.ConfChangeType_CONF_ADD_LEARNER)
	cc = k.Next(0, view(append(three(), member(9, "c", true))...))
	is.Equal(cc.Type, wire.ConfChangeType_CONF_REMOVE)
	is.Equal(cc.Member.Id, uint64(3)) // the identity whose disk is gone
	cc = k.Next(0, view(member(1, "a", false), member(2, "b", false), member(9, "c", true)))
	is.Equal(cc.Type, wire.ConfChangeType_CONF_PROMOTE)
}

func TestKeeper_SilentVoterGivesItsPlaceToALearnerOnly(t *testing.T) {
	is := is.New(t)
	k := New(Options{Voters: 3})
	s := view(three()...)
	is.Equal(k.Next(0, s), nil)
	s.Active[3] = false
	is.Equal(k.Next(time.Minute, s), nil) // nobody waits for its place
	s = view(append(three(), member(4, "d", true))...)
	s.Active[3] = false
	k = New(Options{Voters: 3})
	is.Equal(k.Next(0, s), nil)
	is.Equal(k.Next(DefaultLostAfter-1, s), nil) // it may be back
	cc := k.Next(DefaultLostAfter, s)
	is.Equal(cc.Type, wire.ConfChangeType_CONF_REMOVE)
	is.Equal(cc.Member.Id, uint64(3))
}

func TestKeeper_NewLeaderCountsSilenceFromItsTerm(t *testing.T) {
	is := is.New(t)
	k := New(Options{Voters: 3})
	s := view(append(three(), member(4, "d", true))...)
	s.Active[3] = false
	is.Equal(k.Next(0, s), nil)
	s.Term = 3
	is.Equal(k.Next(time.Minute, s), nil)
	is.True(k.Next(time.Minute+DefaultLostAfter, s) != nil)
}

func TestKeeper_SilentLearnerIsRemoved(t *testing.T) {
	is := is.New(t)
	k := New(Options{Voters: 3})
	s := view(append(three(), member(4, "d", true))...)
	s.Active[4] = false
	is.Equal(k.Next(0, s), nil)
	cc := k.Next(DefaultLearnerLife, s)
	is.Equal(cc.Type, wire.ConfChangeType_CONF_REMOVE)
	is.Equal(cc.Member.Id, uint64(4))
}

func TestKeeper_OfferThatIsNotRepeatedLapses(t *testing.T) {
	is := is.New(t)
	k := New(Options{Voters: 5})
	k.Offer(0, member(4, "d", false))
	is.Equal(k.Next(DefaultJoinerLife, view(three()...)), nil)
}
