package raft

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

func TestRaft_VoteDuringLeaderLease(t *testing.T) {
	is := is.New(t)
	votes := func(transfer bool) bool {
		c := verifiedCore(t, 2, disabledMechanisms{})
		is.NoErr(c.Step(0, &wire.RaftMessage{Type: wire.MsgType_MSG_HEARTBEAT, Cluster: "sim", From: 1, To: 2, Term: 3, Boot: 1, Nonce: 1}))
		collectMessages(t, c)
		is.NoErr(c.Step(simElection-1, &wire.RaftMessage{
			Type: wire.MsgType_MSG_VOTE, Cluster: "sim", From: 3, To: 2, Term: 9, Index: 99, LogTerm: 8,
			Transfer: transfer, Boot: 1, Nonce: 3,
		}))
		for _, m := range collectMessages(t, c) {
			if m.Type == wire.MsgType_MSG_VOTE_RESP && !m.Reject {
				return true
			}
		}
		is.Equal(c.Term(), uint64(3)) // the rejected candidate doesn't raise the term
		return false
	}
	is.Equal(votes(false), false)
	is.Equal(votes(true), true) // the leader requested the election
}

func TestRaft_VoteAfterRestart(t *testing.T) {
	is := is.New(t)
	s := newSim(5, 3, disabledMechanisms{})
	s.commitWrite()
	nd := s.nodeExcept(s.leader())
	s.crash(nd)
	s.boot(nd)
	is.True(nd.core.leaseGranted(s.clock(nd)))
	is.True(!nd.core.leaseGranted(s.clock(nd) + simElection))
}

// restartOnOldDisk copies the disk of a follower, runs afterCopy and restarts the follower
// on the copy.
func restartOnOldDisk(t *testing.T, s *sim, afterCopy func(nd *simNode)) *simNode {
	t.Helper()
	s.commitWrite()
	s.run(simElection)
	nd := s.nodeExcept(s.leader())
	old := nd.disk.clone()
	afterCopy(nd)
	s.run(simElection)
	s.crash(nd)
	nd.disk = old
	s.boot(nd)
	s.run(2 * simElection)
	return nd
}

func TestRaft_RolledBackDisk(t *testing.T) {
	for name, afterCopy := range map[string]func(*sim, *simNode){
		"entries acknowledged": func(s *sim, _ *simNode) { s.commitWrite() },
		"restarted": func(s *sim, nd *simNode) {
			s.crash(nd)
			s.boot(nd)
			s.run(simElection)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(11, 3, disabledMechanisms{})
			nd := restartOnOldDisk(t, s, func(nd *simNode) { afterCopy(s, nd) })
			var rolledBack *RolledBackError
			is.True(errors.As(nd.stopErr, &rolledBack))
			s.commitWrite()
			is.Equal(s.failure, "")
		})
	}
}

// The leader that received the acknowledgement is lost too. The other follower has the
// mark from the leader's heartbeats and detects the rolled-back disk.
func TestRaft_RolledBackDisk_LeaderLost(t *testing.T) {
	is := is.New(t)
	s := newSim(11, 3, disabledMechanisms{})
	s.commitWrite()
	s.run(simElection)
	lead := s.leader()
	nd := s.nodeExcept(lead)
	old := nd.disk.clone()
	s.commitWrite()
	s.run(simElection)
	s.crash(lead)
	s.crash(nd)
	nd.disk = old
	s.boot(nd)
	s.run(10 * simElection)
	var rolledBack *RolledBackError
	is.True(errors.As(nd.stopErr, &rolledBack))
	is.True(s.leader() == nil) // no quorum holds all acknowledged entries
}

func TestRaft_JoinUnderRemovedIdentity(t *testing.T) {
	is := is.New(t)
	s := newSim(2, 3, disabledMechanisms{})
	s.commitWrite()
	lead := s.leader()
	removedNode := s.nodeExcept(lead)
	s.crash(removedNode)
	_, _, err := lead.core.ProposeConfChange(s.clock(lead), &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: &wire.Member{Id: removedNode.id}})
	is.NoErr(err)
	s.handleResult(lead, nil)
	s.commitWrite()
	lead = s.leader()
	_, _, err = lead.core.ProposeConfChange(s.clock(lead), &wire.ConfChange{Type: wire.ConfChangeType_CONF_ADD_LEARNER, Member: &wire.Member{Id: removedNode.id}})
	is.True(errors.Is(err, ErrConfInvalid))
	s.boot(removedNode) // it restarts and is informed of its removal
	s.run(4 * simElection)
	var removed *RemovedError
	is.True(errors.As(removedNode.stopErr, &removed))
}

func TestRaft_LeaderRemoved(t *testing.T) {
	is := is.New(t)
	s := newSim(4, 3, disabledMechanisms{})
	s.commitWrite()
	lead := s.leader()
	_, _, err := lead.core.ProposeConfChange(s.clock(lead), &wire.ConfChange{Type: wire.ConfChangeType_CONF_REMOVE, Member: &wire.Member{Id: lead.id}})
	is.NoErr(err)
	s.handleResult(lead, nil)
	s.run(10 * simElection)
	s.commitWrite()
	is.Equal(s.failure, "")
	is.True(s.leader() != lead)
	is.Equal(voterCount(s.leader().core.conf()), 2)
}

func TestRaft_LeaderDiskStalled(t *testing.T) {
	is := is.New(t)
	s := newSim(4, 3, disabledMechanisms{})
	s.commitWrite()
	lead := s.leader()
	s.startWrite(lead)
	is.True(lead.pendingWrite != nil)
	lead.writeDue = s.now + 100*simElection
	s.run(8 * simElection)
	is.True(!lead.core.IsLeader())
	s.commitWrite()
	is.Equal(s.failure, "")
}

func TestRaft_Repaired_VoterDown(t *testing.T) {
	is := is.New(t)
	s := newSim(4, 3, disabledMechanisms{})
	s.commitWrite()
	s.run(simElection)
	lead := s.leader()
	is.True(lead.core.Repaired(s.clock(lead), 3))
	is.True(!lead.core.Repaired(s.clock(lead), 4))
	s.crash(s.nodeExcept(lead))
	s.commitWrite()
	is.True(!lead.core.Repaired(s.clock(lead), 3))
	s.run(3 * simElection)
	is.True(!lead.core.Repaired(s.clock(lead), 3))
}
