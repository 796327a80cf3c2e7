package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

// fromLeader returns a message of replica 2 as leader of a term, to replica 1.
func fromLeader(term uint64, m *wire.RaftMessage) *wire.RaftMessage {
	m.Cluster, m.From, m.To, m.Boot, m.Nonce, m.Term = "sim", 2, 1, 1, 2, term
	return m
}

// answersHeartbeat reports whether a core answers a heartbeat while its write is pending.
func answersHeartbeat(t *testing.T, c *Core, now time.Duration, term uint64) bool {
	t.Helper()
	if err := c.Step(now, fromLeader(term, &wire.RaftMessage{Type: wire.MsgType_MSG_HEARTBEAT, Context: 9})); err != nil {
		t.Fatal(err)
	}
	answered := false
	for _, m := range c.Ready(true).Messages {
		answered = answered || m.Type == wire.MsgType_MSG_HEARTBEAT_RESP && m.Context == 9 && m.Term == term
		if m.Type == wire.MsgType_MSG_APP_RESP || m.Type == wire.MsgType_MSG_VOTE_RESP {
			t.Fatal("sent before the write:", m.Type)
		}
	}
	return answered
}

// followerOfLeader returns replica 1 as a follower of replica 2 in term 3, with nothing left to write.
func followerOfLeader(t *testing.T) *Core {
	t.Helper()
	c := verifiedCore(t, 1, disabledMechanisms{})
	collectMessages(t, c)
	if answersHeartbeat(t, c, 0, 3) {
		t.Fatal("answered before the start of the leader is synced")
	}
	if _, err := c.Advance(0); err != nil {
		t.Fatal(err)
	}
	collectMessages(t, c)
	if !answersHeartbeat(t, c, 0, 3) || c.WritePending() {
		t.Fatal("not answered at once, or something is being written")
	}
	return c
}

// followerWithPendingEntry returns replica 1, which is writing an entry of the leader of term 3.
func followerWithPendingEntry(t *testing.T) *Core {
	t.Helper()
	c := verifiedCore(t, 1, disabledMechanisms{})
	// The first append of a leader makes its term the log's, which is written as well.
	if err := c.Step(0, fromLeader(3, &wire.RaftMessage{Type: wire.MsgType_MSG_APP, Index: BootstrapIndex, LogTerm: BootstrapTerm})); err != nil {
		t.Fatal(err)
	}
	collectMessages(t, c)
	if err := c.Step(0, fromLeader(3, &wire.RaftMessage{
		Type: wire.MsgType_MSG_APP, Index: BootstrapIndex, LogTerm: BootstrapTerm,
		Entries: []*wire.LogEntry{{Term: 3, Index: BootstrapIndex + 1, Data: []byte{1}}},
	})); err != nil {
		t.Fatal(err)
	}
	rd := c.Ready(true)
	if len(rd.Entries) != 1 || len(rd.Messages) != 0 || !c.WritePending() {
		t.Fatal("the entry is not being written")
	}
	return c
}

func TestHeartbeat_AnsweredWhileEntriesAreWritten(t *testing.T) {
	is := is.New(t)
	c := followerWithPendingEntry(t)
	is.True(answersHeartbeat(t, c, simElection, 3))
	is.True(answersHeartbeat(t, c, stalledDiskElectionTimeouts*simElection, 3))
	msgs, err := c.Advance(stalledDiskElectionTimeouts * simElection)
	is.NoErr(err)
	is.Equal(len(msgs), 1)
	is.Equal(msgs[0].Type, wire.MsgType_MSG_APP_RESP)
	is.Equal(msgs[0].Index, uint64(BootstrapIndex+1))
}

// The leader has a replica replaced that is silent.
func TestHeartbeat_NotAnsweredWhileWriteHangs(t *testing.T) {
	is := is.New(t)
	c := followerWithPendingEntry(t)
	now := stalledDiskElectionTimeouts*simElection + 1
	is.True(!answersHeartbeat(t, c, now, 3))
	is.True(!answersHeartbeat(t, c, time.Hour, 3))
	_, err := c.Advance(time.Hour)
	is.NoErr(err)
	is.True(answersHeartbeat(t, c, time.Hour, 3))
}

func TestHeartbeat_NotAnsweredBeforeTermIsSynced(t *testing.T) {
	is := is.New(t)
	c := followerOfLeader(t)
	is.True(!answersHeartbeat(t, c, 0, 4)) // the term is written from here on
	is.True(!answersHeartbeat(t, c, 0, 4))
	msgs, err := c.Advance(0)
	is.NoErr(err)
	is.True(answersHeartbeat(t, c, 0, 4))
	for _, m := range msgs {
		is.Equal(m.Term, uint64(4))
	}
}

func TestHeartbeat_NotAnsweredBeforeVoteIsSynced(t *testing.T) {
	is := is.New(t)
	c := followerOfLeader(t)
	now := 2 * simElection
	c.leaderID = 0 // as before the heartbeat
	is.NoErr(c.Step(now, fromLeader(3, &wire.RaftMessage{Type: wire.MsgType_MSG_VOTE, Index: BootstrapIndex, LogTerm: BootstrapTerm})))
	is.Equal(c.vote, uint64(2))
	is.Equal(len(c.Ready(true).Messages), 0)
	is.True(!answersHeartbeat(t, c, now, 3)) // replica 2 was elected by another vote
	_, err := c.Advance(now)
	is.NoErr(err)
	is.True(answersHeartbeat(t, c, now, 3))
}

func TestHeartbeat_NotAnsweredWhileSnapshotIsWritten(t *testing.T) {
	is := is.New(t)
	c := followerOfLeader(t)
	meta := &wire.SnapshotMeta{Index: 20, Term: 3, Membership: c.conf()}
	is.NoErr(c.Step(0, fromLeader(3, &wire.RaftMessage{Type: wire.MsgType_MSG_SNAP, Snapshot: &wire.Snapshot{Meta: meta}})))
	is.True(!answersHeartbeat(t, c, 0, 3))
	_, err := c.Advance(0)
	is.NoErr(err)
	is.True(answersHeartbeat(t, c, 0, 3))
}

// A vote that is written for longer than an election timeout still counts.
func TestElection_VoteAfterElectionTimeout(t *testing.T) {
	is := is.New(t)
	c := verifiedCore(t, 1, disabledMechanisms{})
	collectMessages(t, c)
	now := 2 * simElection
	is.NoErr(c.Tick(now))
	respond := func(t wire.MsgType, term uint64, reject bool) {
		is.NoErr(c.Step(now, fromLeader(term, &wire.RaftMessage{Type: t, Reject: reject})))
	}
	respond(wire.MsgType_MSG_PRE_VOTE_RESP, 4, false)
	is.Equal(c.state, candidate)
	collectMessages(t, c)
	for range maxVoteRequests - 1 {
		now += 2 * simElection
		is.NoErr(c.Tick(now))
		is.Equal(c.state, candidate)
		votes := 0
		for _, m := range collectMessages(t, c) {
			is.Equal(m.Type, wire.MsgType_MSG_VOTE)
			is.Equal(m.Term, uint64(4))
			votes++
		}
		is.Equal(votes, 2)
	}
	respond(wire.MsgType_MSG_VOTE_RESP, 4, false)
	is.True(c.IsLeader())
	is.Equal(c.Term(), uint64(4))
}

// A candidate starts a new election after a refusal, since the votes may be split, and if nobody answers.
func TestElection_VotesRefusedOrUnanswered(t *testing.T) {
	for name, tc := range map[string]struct{ refusals, timeouts int }{
		"refused": {1, 1}, "unanswered": {0, maxVoteRequests},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := verifiedCore(t, 1, disabledMechanisms{})
			collectMessages(t, c)
			now := 2 * simElection
			is.NoErr(c.Tick(now))
			is.NoErr(c.Step(now, fromLeader(4, &wire.RaftMessage{Type: wire.MsgType_MSG_PRE_VOTE_RESP})))
			collectMessages(t, c)
			for id := range uint64(tc.refusals) {
				m := fromLeader(4, &wire.RaftMessage{Type: wire.MsgType_MSG_VOTE_RESP, Reject: true})
				m.From, m.Nonce = id+2, id+2
				is.NoErr(c.Step(now, m))
			}
			timeouts := 0
			for c.state == candidate {
				now += 2 * simElection
				is.NoErr(c.Tick(now))
				collectMessages(t, c)
				timeouts++
			}
			is.Equal(c.state, preCandidate)
			is.Equal(timeouts, tc.timeouts)
		})
	}
}
