package raft

import (
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

// A replica whose probed entries are being written answers a heartbeat at once. The leader takes that for a free
// probe; it has compacted its log meanwhile, so it sends a snapshot. The write ends, its entry is acknowledged and marked
// by the leader. A late answer to a hello with this mark must not stop the replica: the entry is on its disk.
func TestReview3_SnapshotAfterEarlyAnswer(t *testing.T) {
	is := is.New(t)
	c := followerWithPendingEntry(t)
	if !answersHeartbeat(t, c, 0, 3) {
		return // the leader sends nothing more before the write ends
	}
	meta := &wire.SnapshotMeta{Index: BootstrapIndex + 3, Term: 3, Membership: c.conf()}
	is.NoErr(c.Step(0, fromLeader(3, &wire.RaftMessage{Type: wire.MsgType_MSG_SNAP, Snapshot: &wire.Snapshot{Meta: meta}})))
	msgs, err := c.Advance(0)
	is.NoErr(err)
	is.Equal(len(msgs), 1)
	is.Equal(msgs[0].Index, uint64(BootstrapIndex+1)) // synced and acknowledged
	mark := &wire.PeerMark{Id: 1, Boot: 1, Nonce: 1, Term: 3, MatchTerm: 3, Match: BootstrapIndex + 1}
	is.NoErr(c.Step(0, fromLeader(3, &wire.RaftMessage{Type: wire.MsgType_MSG_HELLO_RESP, Marks: []*wire.PeerMark{mark}})))
}

// The other half: the leader sends its probe again, and then a snapshot, for heartbeat answers alone.
func TestReview3_LeaderSendsSnapshotForAnswerOfProbe(t *testing.T) {
	is := is.New(t)
	c := verifiedCore(t, 1, disabledMechanisms{}, 2, 3)
	collectMessages(t, c)
	now := 2 * simElection
	is.NoErr(c.Tick(now))
	is.NoErr(c.Step(now, fromLeader(4, &wire.RaftMessage{Type: wire.MsgType_MSG_PRE_VOTE_RESP})))
	collectMessages(t, c)
	is.NoErr(c.Step(now, fromLeader(4, &wire.RaftMessage{Type: wire.MsgType_MSG_VOTE_RESP})))
	is.True(c.IsLeader())
	collectMessages(t, c)
	resent := 0
	for round := range uint64(5) {
		is.NoErr(c.Step(now, fromLeader(4, &wire.RaftMessage{Type: wire.MsgType_MSG_HEARTBEAT_RESP, Context: round + 1})))
		for _, m := range collectMessages(t, c) {
			if m.To == 2 && m.Type == wire.MsgType_MSG_APP && len(m.Entries) > 0 {
				resent++
			}
		}
	}
	t.Log("the same probe was sent again", resent, "times for 5 heartbeat answers")
	is.Equal(resent, 0) // none of them says that the first was lost
}
