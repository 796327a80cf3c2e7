package raft

import (
	"time"

	"gentiankeel/internal/wire"
)

// ReadState is the result of a ReadIndex call. A local read is linearizable once Index is
// applied.
type ReadState struct {
	ID    uint64
	Index uint64
	Err   error // ErrNotLeader if no leader confirmed the read
}

// pendingRead is a read that waits for the confirmation of a heartbeat round that started
// after it.
type pendingRead struct {
	id    uint64
	from  uint64 // replica that requested the read
	round uint64
}

// ReadIndex requests a linearizable read under an id chosen by the caller. The result is
// a ReadState in a later Ready; on a follower it may be lost along with messages, so
// callers need a timeout. An error is final.
func (c *Core) ReadIndex(now time.Duration, id uint64) error {
	if err := c.beginEvent(now); err != nil {
		return err
	}
	switch {
	case c.state == leader:
		c.addRead(c.lastNow, pendingRead{id: id, from: c.id})
	case c.leaderID == 0 || !c.verified:
		c.readStates = append(c.readStates, ReadState{ID: id, Err: ErrNotLeader})
	default:
		c.send(&wire.RaftMessage{Type: wire.MsgType_MSG_READ_INDEX, To: c.leaderID, Context: id})
	}
	return c.checkInvariants()
}

func (c *Core) addRead(now monotime, r pendingRead) {
	if c.leaseValid(now) && c.committedInCurrentTerm() {
		c.answerRead(r)
		return
	}
	r.round = c.round + 1
	c.pendingReads = append(c.pendingReads, r)
	c.sendHeartbeats(now)
}

// leaseValid reports whether the leader lease rules out another leader at time now.
func (c *Core) leaseValid(now monotime) bool {
	return c.cfg.LeaseReads && !c.leaseDisabled && now < c.leaseExpiry
}

// answerConfirmedReads answers the reads whose heartbeat round is confirmed. It answers
// none before an entry of the leader's own term is committed, since until then the
// leader's commit index may lag behind that of its predecessor.
func (c *Core) answerConfirmedReads() {
	if len(c.pendingReads) == 0 || !c.committedInCurrentTerm() {
		return
	}
	confirmed := c.quorumValue(c.round, func(p *progress) uint64 { return p.round })
	n := 0
	for n < len(c.pendingReads) && c.pendingReads[n].round <= confirmed {
		c.answerRead(c.pendingReads[n])
		n++
	}
	c.pendingReads = c.pendingReads[n:]
}

func (c *Core) answerRead(r pendingRead) {
	if r.from == c.id {
		c.readStates = append(c.readStates, ReadState{ID: r.id, Index: c.commit})
		return
	}
	c.send(&wire.RaftMessage{
		Type: wire.MsgType_MSG_READ_INDEX_RESP, To: r.from, Context: r.id, Index: c.commit,
	})
}

func (c *Core) onReadIndex(now monotime, m *wire.RaftMessage) {
	if c.state == leader {
		c.addRead(now, pendingRead{id: m.Context, from: m.From})
	}
}

func (c *Core) onReadIndexResp(m *wire.RaftMessage) {
	c.readStates = append(c.readStates, ReadState{ID: m.Context, Index: m.Index})
}

// failReads fails the pending reads of this replica and drops those of its followers, which
// time out there.
func (c *Core) failReads() {
	for _, r := range c.pendingReads {
		if r.from == c.id {
			c.readStates = append(c.readStates, ReadState{ID: r.id, Err: ErrNotLeader})
		}
	}
	c.pendingReads = nil
}
