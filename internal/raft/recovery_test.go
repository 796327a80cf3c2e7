package raft

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

func TestRaft_VoteRefusedWhileLeaderLeaseHolds(t *testing.T) {
	is := is.New(t)
	ask := func(transfer bool) bool {
		c := fixedCore(t, 2, faults{})
		is.NoErr(c.Step(0, &wire.RaftMessage{Type: wire.MsgType_MSG_HEARTBEAT, Cluster: "sim", From: 1, To: 2, Term: 3, Boot: 1, Nonce: 1}))
		drive(t, c)
		is.NoErr(c.Step(simElection-1, &wire.RaftMessage{
			Type: wire.MsgType_MSG_VOTE, Cluster: "sim", From: 3, To: 2, Term: 9, Index: 99, LogTerm: 8,
			Transfer: transfer, Boot: 1, Nonce: 3,
		}))
		for _, m := range drive(t, c) {
			if m.Type == wire.MsgType_MSG_VOTE_RESP && !m.Reject {
				return true
			}
		}
		is.Equal(c.Term(), uint64(3)) // the candidate does not even raise the term
		return false
	}
	is.Equal(ask(false), false)
	is.Equal(ask(true), true) // the leader itself asked for the election
}

func TestRaft_RestartedReplicaRefusesVotesForOneElectionTimeout(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 3, faults{})
	s.put()
	nd := s.otherThan(s.leader())
	s.crash(nd)
	s.boot(nd)
	is.True(nd.core.leaseGranted(s.clock(nd)))
	is.True(!nd.core.leaseGranted(s.clock(nd) + simElection))
}

// rollBack restores a disk to an earlier copy of itself after more was acknowledged.
func rollBack(t *testing.T, s *sim, later func(nd *simNode)) *simNode {
	t.Helper()
	s.put()
	s.run(simElection)
	nd := s.otherThan(s.leader())
	old := nd.disk.clone()
	later(nd)
	s.run(simElection)
	s.crash(nd)
	nd.disk = old
	s.boot(nd)
	s.run(2 * simElection)
	return nd
}

func TestRaft_RolledBackDiskStopsTheReplica(t *testing.T) {
	for name, later := range map[string]func(*sim, *simNode){
		"entries acknowledged since": func(s *sim, _ *simNode) { s.put() },
		"started again since": func(s *sim, nd *simNode) {
			s.crash(nd)
			s.boot(nd)
			s.run(simElection)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(11, 3, faults{})
			nd := rollBack(t, s, func(nd *simNode) { later(s, nd) })
			var back *RolledBackError
			is.True(errors.As(nd.stopped, &back))
			s.put()
			is.Equal(s.failure, "")
		})
	}
}

// The leader that counted the acknowledgement is lost along with the disk's end: the
// other follower knows of it by the leader's heartbeats.
func TestRaft_RolledBackDiskIsKnownAfterTheLeaderIsLost(t *testing.T) {
	is := is.New(t)
	s := newSim(11, 3, faults{})
	s.put()
	s.run(simElection)
	lead := s.leader()
	nd := s.otherThan(lead)
	old := nd.disk.clone()
	s.put()
	s.run(simElection)
	s.crash(lead)
	s.crash(nd)
	nd.disk = old
	s.boot(nd)
	s.run(10 * simElection)
	var back *RolledBackError
	is.True(errors.As(nd.stopped, &back))
	is.True(s.leader() == nil) // no quorum without what was acknowledged
}

func TestRaft_SpareUnderARemovedIdentityIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSim(2, 3, faults{})
	s.put()
	lead := s.leader()
	gone := s.otherThan(lead)
	s.crash(gone)
	_, _, err := lead.core.ProposeConfChange(s.clock(lead), &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: &wire.Member{Id: gone.id}})
	is.NoErr(err)
	s.after(lead, nil)
	s.put()
	lead = s.leader()
	_, _, err = lead.core.ProposeConfChange(s.clock(lead), &wire.ConfChange{Type: wire.ConfChangeType_CONF_ADD_LEARNER, Member: &wire.Member{Id: gone.id}})
	is.True(errors.Is(err, ErrConfInvalid))
	s.boot(gone) // it comes back and learns of its removal
	s.run(4 * simElection)
	var removed *RemovedError
	is.True(errors.As(gone.stopped, &removed))
}

func TestRaft_RemovedLeaderHandsOverAfterItsRemovalIsCommitted(t *testing.T) {
	is := is.New(t)
	s := newSim(4, 3, faults{})
	s.put()
	lead := s.leader()
	_, _, err := lead.core.ProposeConfChange(s.clock(lead), &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: &wire.Member{Id: lead.id}})
	is.NoErr(err)
	s.after(lead, nil)
	s.run(10 * simElection)
	s.put()
	is.Equal(s.failure, "")
	is.True(s.leader() != lead)
	is.Equal(voterCount(s.leader().core.conf()), 2)
}

func TestRaft_StalledDiskEndsTheLeadership(t *testing.T) {
	is := is.New(t)
	s := newSim(4, 3, faults{})
	s.put()
	lead := s.leader()
	s.startWrite(lead)
	is.True(lead.write != nil)
	lead.writeDue = s.now + 100*simElection
	s.run(8 * simElection)
	is.True(!lead.core.IsLeader())
	s.put()
	is.Equal(s.failure, "")
}

func TestRaft_RepairedOnlyWithEveryVoterSyncedAndHeard(t *testing.T) {
	is := is.New(t)
	s := newSim(4, 3, faults{})
	s.put()
	s.run(simElection)
	lead := s.leader()
	is.True(lead.core.Repaired(s.clock(lead), 3))
	is.True(!lead.core.Repaired(s.clock(lead), 4))
	s.crash(s.otherThan(lead))
	s.put()
	is.True(!lead.core.Repaired(s.clock(lead), 3))
	s.run(3 * simElection)
	is.True(!lead.core.Repaired(s.clock(lead), 3))
}
