package raft

import (
	"time"

	"gentiankeel/internal/wire"
)

// ReadState answers a ReadIndex: a local read is linearizable once Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
	Err   error // ErrNotLeader: no leader could confirm the read
}

// pendingRead waits for a heartbeat round that began after it.
type pendingRead struct {
	id    uint64
	from  uint64 // replica that asked
	round uint64
}

// ReadIndex asks for a linearizable read under an id of the caller's choice. The answer
// comes as a ReadState; a follower's may be lost with its messages.
func (c *Core) ReadIndex(now time.Duration, id uint64) error {
	if err := c.enter(now); err != nil {
		return err
	}
	switch {
	case c.state == leader:
		c.addRead(c.lastNow, pendingRead{id: id, from: c.id})
	case c.lead == 0 || !c.verified:
		c.readStates = append(c.readStates, ReadState{ID: id, Err: ErrNotLeader})
	default:
		c.send(&wire.RaftMessage{Type: wire.MsgType_MSG_READ_INDEX, To: c.lead, Context: id})
	}
	return c.check()
}

func (c *Core) addRead(now monotime, r pendingRead) {
	if c.leaseHolds(now) && c.ownTermCommitted() {
		c.answerRead(r)
		return
	}
	r.round = c.round + 1
	c.reads = append(c.reads, r)
	c.sendHeartbeats(now)
}

// leaseHolds reports whether no other leader can exist at the time now.
func (c *Core) leaseHolds(now monotime) bool {
	return c.cfg.LeaseReads && !c.noLease && now < c.leaseTill
}

// serveReads answers the reads whose round is confirmed. Before an entry of its own
// term is committed, a leader does not know the commit index.
func (c *Core) serveReads() {
	if len(c.reads) == 0 || !c.ownTermCommitted() {
		return
	}
	confirmed := c.quorumOf(c.round, func(p *progress) uint64 { return p.round })
	n := 0
	for n < len(c.reads) && c.reads[n].round <= confirmed {
		c.answerRead(c.reads[n])
		n++
	}
	c.reads = c.reads[n:]
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

func (c *Core) failReads() {
	for _, r := range c.reads {
		if r.from == c.id {
			c.readStates = append(c.readStates, ReadState{ID: r.id, Err: ErrNotLeader})
		}
	}
	c.reads = nil
}
