package raft

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

// Passes: a follower that answered early and lost power before its sync grants no vote for an election timeout.
func TestReview3_NoVoteAfterRestartWithinLease(t *testing.T) {
	is := is.New(t)
	c := followerWithPendingEntry(t)
	is.True(answersHeartbeat(t, c, 0, 3))
	for _, at := range []time.Duration{0, simElection - 1, simElection + 1} {
		st := StoredState{
			Identity:  &wire.Identity{Id: 1, Cluster: "sim", Boot: 2, Nonce: 7},
			HardState: c.syncedHardState, Snapshot: BootstrapSnapshot([]*wire.Member{{Id: 1}, {Id: 2}, {Id: 3}}),
			BaseIndex: BootstrapIndex, BaseTerm: BootstrapTerm,
		}
		r, err := New(Config{ID: 1, Cluster: "sim", ElectionTimeout: simElection}, st, 0)
		is.NoErr(err)
		r.verified = true
		collectMessages(t, r)
		m := fromLeader(4, &wire.RaftMessage{Type: wire.MsgType_MSG_VOTE, Index: BootstrapIndex, LogTerm: BootstrapTerm})
		m.From, m.Nonce = 3, 3
		is.NoErr(r.Step(at, m))
		is.Equal(r.vote == 3, at > simElection)
	}
}
