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
