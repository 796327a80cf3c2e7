package group

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/wire"
)

func member(id uint64, addr string, learner bool) *wire.Member {
	return &wire.Member{Id: id, Address: addr, Learner: learner}
}

// leaderStatus returns the status of replica 1 as leader, with all members active and
// caught up.
func leaderStatus(members ...*wire.Member) replica.Status {
	s := replica.Status{ID: 1, Term: 2, IsLeader: true, Commit: 10, Members: members,
		Match: map[uint64]uint64{}, Active: map[uint64]bool{}}
	for _, m := range members {
		s.Match[m.Id], s.Active[m.Id] = 10, true
	}
	return s
}

func threeVoters() []*wire.Member {
	return []*wire.Member{member(1, "a", false), member(2, "b", false), member(3, "c", false)}
}

func TestNextChange_GroupBelowFullSize(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 5})
	is.Equal(r.NextChange(0, leaderStatus(threeVoters()...)), nil)
	is.True(!r.HasAllVoters(leaderStatus(threeVoters()...)))
	r.AddJoinRequest(0, member(4, "d", false))
	cc := r.NextChange(0, leaderStatus(threeVoters()...))
	is.Equal(cc.Type, wire.ConfChangeType_CONF_ADD_LEARNER)
	is.Equal(cc.Member.Id, uint64(4))
	cc = r.NextChange(0, leaderStatus(append(threeVoters(), member(4, "d", true))...))
	is.Equal(cc.Type, wire.ConfChangeType_CONF_PROMOTE)
	is.Equal(cc.Member.Id, uint64(4))
}

func TestNextChange_LaggingLearner(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 5})
	s := leaderStatus(append(threeVoters(), member(4, "d", true))...)
	s.Match[4] = 9
	is.Equal(r.NextChange(0, s), nil)
	s.Match[4], s.Active[4] = 10, false
	is.Equal(r.NextChange(0, s), nil)
}

func TestNextChange_VoterWithLostDisk(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 3})
	r.AddJoinRequest(0, member(9, "c", false))
	cc := r.NextChange(0, leaderStatus(threeVoters()...))
	is.Equal(cc.Type, wire.ConfChangeType_CONF_ADD_LEARNER)
	cc = r.NextChange(0, leaderStatus(append(threeVoters(), member(9, "c", true))...))
	is.Equal(cc.Type, wire.ConfChangeType_CONF_REMOVE)
	is.Equal(cc.Member.Id, uint64(3)) // the identity whose disk was lost
	cc = r.NextChange(0, leaderStatus(member(1, "a", false), member(2, "b", false), member(9, "c", true)))
	is.Equal(cc.Type, wire.ConfChangeType_CONF_PROMOTE)
}

func TestNextChange_InactiveVoter(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 3})
	s := leaderStatus(threeVoters()...)
	is.Equal(r.NextChange(0, s), nil)
	s.Active[3] = false
	is.Equal(r.NextChange(time.Minute, s), nil) // no learner can replace it
	s = leaderStatus(append(threeVoters(), member(4, "d", true))...)
	s.Active[3] = false
	r = New(Options{Voters: 3})
	is.Equal(r.NextChange(0, s), nil)
	is.Equal(r.NextChange(DefaultLostAfter-1, s), nil) // it may only be restarting
	cc := r.NextChange(DefaultLostAfter, s)
	is.Equal(cc.Type, wire.ConfChangeType_CONF_REMOVE)
	is.Equal(cc.Member.Id, uint64(3))
}

func TestNextChange_InactiveVoterAfterLeaderChange(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 3})
	s := leaderStatus(append(threeVoters(), member(4, "d", true))...)
	s.Active[3] = false
	is.Equal(r.NextChange(0, s), nil)
	s.Term = 3
	is.Equal(r.NextChange(time.Minute, s), nil)
	is.True(r.NextChange(time.Minute+DefaultLostAfter, s) != nil)
}

func TestNextChange_InactiveLearner(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 3})
	s := leaderStatus(append(threeVoters(), member(4, "d", true))...)
	s.Active[4] = false
	is.Equal(r.NextChange(0, s), nil)
	cc := r.NextChange(DefaultLearnerTimeout, s)
	is.Equal(cc.Type, wire.ConfChangeType_CONF_REMOVE)
	is.Equal(cc.Member.Id, uint64(4))
}

func TestNextChange_ExpiredJoinRequest(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 5})
	r.AddJoinRequest(0, member(4, "d", false))
	is.Equal(r.NextChange(DefaultJoinRequestTTL, leaderStatus(threeVoters()...)), nil)
}

// changed returns s after a membership change.
func changed(s replica.Status, cc *wire.ConfChange) replica.Status {
	members := slices.DeleteFunc(slices.Clone(s.Members), func(m *wire.Member) bool { return m.Id == cc.Member.Id })
	switch cc.Type {
	case wire.ConfChangeType_CONF_ADD_LEARNER:
		members = append(members, member(cc.Member.Id, cc.Member.Address, true))
	case wire.ConfChangeType_CONF_PROMOTE:
		members = append(members, member(cc.Member.Id, cc.Member.Address, false))
	}
	next := leaderStatus(members...)
	next.Removed = s.Removed
	if cc.Type == wire.ConfChangeType_CONF_REMOVE {
		next.Removed = append(slices.Clone(s.Removed), cc.Member.Id)
	}
	return next
}

// Guards against identities of lost disks that fill the places of learners, so that a voter
// whose disk is lost can't come back.
func TestNextChange_AddedVMLosesItsDiskAgainAndAgain(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 3})
	s := leaderStatus(threeVoters()...)
	now := Time(0)
	join := func(m *wire.Member) {
		for range 4 {
			now += time.Second
			r.AddJoinRequest(now, m)
			if cc := r.NextChange(now, s); cc != nil {
				s = changed(s, cc)
			}
		}
	}
	for id := range uint64(6) {
		join(member(10+id, "d", false))
		for lost := range id {
			s.Active[10+lost] = false
		}
	}
	is.True(s.Member(15) != nil) // the newest identity of the added VM
	is.Equal(len(s.Members), 4)  // and no other one
	join(member(20, "b", false))
	is.True(s.Member(20) != nil)
	is.Equal(s.Member(2), nil) // the identity whose disk was lost
	is.True(r.HasAllVoters(s))
}

// Guards against the removal of a live voter by a late request of the identity before it.
func TestNextChange_RequestConfirmedBeforeTheMemberWasKnown(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 3})
	s := leaderStatus(append(threeVoters(), member(9, "c", true))...)
	is.Equal(r.NextChange(time.Second, s), nil)
	r.AddJoinRequest(time.Second-1, member(9, "c", false))
	is.Equal(r.NextChange(time.Second, s), nil)
	r.AddJoinRequest(time.Second, member(9, "c", false))
	is.Equal(r.NextChange(time.Second, s).Member.Id, uint64(3))
}

// Guards against two voters of one VM, whose disk holds only one of them.
func TestNextChange_LearnerBesideAVoterAtItsAddress(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 5})
	s := leaderStatus(append(threeVoters(), member(9, "c", true))...)
	is.Equal(r.NextChange(0, s), nil) // the group lacks voters, but the VM has one
}

// Guards against a removed identity that keeps asking and so keeps all other changes waiting.
func TestNextChange_RemovedLearnerAsksOn(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 3})
	s := leaderStatus(append(threeVoters(), member(9, "c", true))...)
	s.Removed = []uint64{4}
	r.AddJoinRequest(0, member(4, "d", false))
	r.AddJoinRequest(0, member(9, "c", false))
	is.Equal(r.NextChange(0, s).Type, wire.ConfChangeType_CONF_REMOVE) // of the voter at c
}

// Guards against a group that loses a second voter before the successor of the first one votes.
func TestNextChange_TwoVotersWithLostDisks(t *testing.T) {
	is := is.New(t)
	r := New(Options{Voters: 3})
	s := leaderStatus(member(1, "a", false), member(2, "b", false), member(8, "b", true), member(9, "c", true))
	r.AddJoinRequest(0, member(8, "b", false))
	cc := r.NextChange(0, s)
	is.Equal(cc.Type, wire.ConfChangeType_CONF_PROMOTE)
	is.Equal(cc.Member.Id, uint64(9))
}
