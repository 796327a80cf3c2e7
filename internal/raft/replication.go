package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// heartbeatRound is one set of heartbeats sent at the same moment.
type heartbeatRound struct {
	number uint64
	sent   monotime
}

// quorumOf returns the highest value that a quorum of voters has reached.
func (c *Core) quorumOf(own uint64, value func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range c.conf().Members {
		switch {
		case m.Learner:
		case m.Id == c.id:
			values = append(values, own)
		case c.progress[m.Id] == nil:
			values = append(values, 0)
		default:
			values = append(values, value(c.progress[m.Id]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorum(len(values))]
}

func (c *Core) ownTermCommitted() bool {
	return c.state == leader && c.commit >= c.ownTermIndex
}

// syncedIndex is the own contribution to a quorum.
func (c *Core) syncedIndex() uint64 {
	if c.cfg.faults.noSyncBeforeAck {
		return c.log.last()
	}
	return c.synced
}

// advanceCommit raises a leader's commit index to what a quorum has synced.
func (c *Core) advanceCommit(now monotime) {
	if c.state != leader {
		return
	}
	index := c.quorumOf(c.syncedIndex(), func(p *progress) uint64 { return p.match })
	t, ok := c.log.term(index)
	// An entry of an older term on a quorum can still be replaced by another leader.
	if !ok || t != c.term && !c.cfg.faults.noOwnTermCommit {
		return
	}
	c.learnCommit(index)
	c.serveReads()
	if c.ownTermCommitted() && !isVoter(c.conf(), c.id) && c.openConfChanges() == 0 {
		c.leave(now)
	}
}

// leave ends the leadership of a replica whose removal is committed.
func (c *Core) leave(now monotime) {
	c.notifyCommit()
	if to := c.bestPeer(now); to != 0 {
		c.send(&wire.RaftMessage{Type: wire.MsgType_MSG_TIMEOUT_NOW, To: to})
	}
	c.stepDown(now, LossRemoved)
}

func (c *Core) learnCommit(index uint64) {
	c.knownCommit = max(c.knownCommit, min(index, c.log.last()))
	c.raiseCommit()
}

// raiseCommit follows the known commit index as far as the own log is synced.
func (c *Core) raiseCommit() {
	if c.pendingSnap != nil {
		return
	}
	c.commit = max(c.commit, min(c.knownCommit, c.syncedIndex()))
}

func (c *Core) broadcastAppend(now monotime) {
	for _, m := range c.conf().Members {
		if m.Id != c.id {
			c.sendAppends(now, m.Id)
		}
	}
	c.advanceCommit(now)
}

// sendAppends sends a peer what it lacks, as far as flow control allows.
func (c *Core) sendAppends(now monotime, to uint64) {
	p := c.progress[to]
	for p != nil && p.next <= c.log.last() && !p.paused(c.cfg.MaxInflight) {
		c.sendAppend(now, to, p)
	}
}

func (c *Core) sendAppend(now monotime, to uint64, p *progress) {
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(now, to, p)
		return
	}
	entries := c.log.slice(p.next, c.log.last(), c.cfg.MaxAppendBytes)
	c.send(&wire.RaftMessage{
		Type: wire.MsgType_MSG_APP, To: to, Index: prev, LogTerm: prevTerm,
		Entries: entries, Commit: c.commit,
	})
	if p.state == probing {
		p.probeSent = true
		return
	}
	if n := uint64(len(entries)); n > 0 {
		p.next += n
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (c *Core) sendSnapshot(now monotime, to uint64, p *progress) {
	if c.snapshot == nil {
		c.broken("no-snapshot", "peer %x needs entry %d, log begins at %d", to, p.next, c.log.baseIndex+1)
		return
	}
	p.toSnapshotting(now, c.snapshot.Index)
	c.send(&wire.RaftMessage{
		Type: wire.MsgType_MSG_SNAP, To: to, Commit: c.commit,
		Snapshot: &wire.Snapshot{Meta: c.snapshot},
	})
}

// notifyCommit tells followers of a raised commit index without waiting for the next
// heartbeat or entries.
func (c *Core) notifyCommit() {
	if c.state != leader || c.commit <= c.commitNotified {
		return
	}
	c.commitNotified = c.commit
	for _, m := range c.conf().Members {
		p := c.progress[m.Id]
		if p != nil && p.state == replicating {
			c.sendAppend(c.lastNow, m.Id, p)
		}
	}
}

func (c *Core) sendHeartbeats(now monotime) {
	c.round++
	c.heartbeatSent = now
	c.rounds = append(c.rounds, heartbeatRound{number: c.round, sent: now})
	marks := c.matchMarks()
	for _, m := range c.conf().Members {
		p := c.progress[m.Id]
		if p == nil {
			continue
		}
		c.send(&wire.RaftMessage{
			Type: wire.MsgType_MSG_HEARTBEAT, To: m.Id, Context: c.round,
			Commit: min(p.match, c.commit), Marks: marks,
		})
	}
	c.confirmRounds()
}

// confirmRounds extends the lease and serves reads by the newest confirmed round.
func (c *Core) confirmRounds() {
	confirmed := c.quorumOf(c.round, func(p *progress) uint64 { return p.round })
	for len(c.rounds) > 0 && c.rounds[0].number <= confirmed {
		if !c.noLease {
			// The lease counts from the sending: the answers' delay is unknown.
			c.leaseTill = max(c.leaseTill, c.rounds[0].sent+c.leaseLength())
		}
		c.rounds = c.rounds[1:]
	}
	c.serveReads()
}

func (c *Core) onHeartbeatResp(now monotime, m *wire.RaftMessage) {
	p := c.progress[m.From]
	if c.state != leader || p == nil {
		return
	}
	p.lastAck = now
	p.round = max(p.round, m.Context)
	p.probeSent = false
	if p.state == replicating && len(p.inflight) >= c.cfg.MaxInflight {
		p.ackTo(p.inflight[0])
	}
	if (p.match < c.log.last() || p.state == probing) && !p.paused(c.cfg.MaxInflight) {
		c.sendAppend(now, m.From, p)
	}
	c.confirmRounds()
}

func (c *Core) onAppendResp(now monotime, m *wire.RaftMessage) {
	p := c.progress[m.From]
	if c.state != leader || p == nil {
		return
	}
	p.lastAck = now
	if m.Reject {
		c.onAppendReject(now, m, p)
		return
	}
	if m.Index > c.log.last() {
		c.broken("ack-beyond-log", "peer %x acknowledged %d of %d", m.From, m.Index, c.log.last())
		return
	}
	p.ackTo(m.Index)
	if m.Index > p.match {
		p.match = m.Index
		c.markMatch(m.From, m.Index)
	}
	p.next = max(p.next, p.match+1)
	if p.state == probing || p.state == snapshotting && p.match >= p.snapshot {
		p.toReplicating()
	}
	c.advanceCommit(now)
	if c.state != leader {
		return
	}
	c.finishTransfer()
	c.sendAppends(now, m.From)
}

func (c *Core) onAppendReject(now monotime, m *wire.RaftMessage, p *progress) {
	if m.Index <= p.match {
		// Either a late answer, or the peer's disk lost what it acknowledged: it can
		// tell the two apart by its mark.
		c.reply(m, &wire.RaftMessage{Type: wire.MsgType_MSG_HELLO_RESP, Marks: c.marksOf(m.From)})
		return
	}
	switch p.state {
	case snapshotting:
		return
	case probing:
		if m.Index != p.next-1 {
			return
		}
	case replicating:
		p.toProbing()
	}
	next := c.log.conflictHint(min(m.RejectHint, m.Index-1), m.HintTerm) + 1
	p.next = max(next, p.match+1, 1)
	p.probeSent = false
	c.sendAppend(now, m.From, p)
}

// onLeaderMessage takes what only the leader of the term may send.
func (c *Core) onLeaderMessage(now monotime, m *wire.RaftMessage) {
	if c.seenLead.term == c.term && c.seenLead.id != m.From {
		c.broken("one-leader-per-term", "term %d: %x and %x", c.term, c.seenLead.id, m.From)
		return
	}
	c.seenLead = leaderOfTerm{term: c.term, id: m.From}
	if c.state != follower {
		c.becomeFollower(now, c.term, m.From)
	}
	c.lead = m.From
	c.heard = now
	c.heardLeader = true
	c.resetTimer(now)
	switch m.Type {
	case wire.MsgType_MSG_APP:
		c.onAppend(m)
	case wire.MsgType_MSG_SNAP:
		c.onSnapshot(m)
	default:
		c.mergeMarks(m.Marks)
		c.learnCommit(m.Commit)
		c.reply(m, &wire.RaftMessage{Type: wire.MsgType_MSG_HEARTBEAT_RESP, Context: m.Context})
	}
}

func (c *Core) onAppend(m *wire.RaftMessage) {
	if m.Index < c.log.baseIndex {
		c.ackAppend(m, c.commit)
		return
	}
	t, ok := c.log.term(m.Index)
	if !ok || t != m.LogTerm {
		hint := c.log.conflictHint(m.Index, m.LogTerm)
		hintTerm, _ := c.log.term(hint)
		c.reply(m, &wire.RaftMessage{
			Type: wire.MsgType_MSG_APP_RESP, Reject: true, Index: m.Index,
			RejectHint: hint, HintTerm: hintTerm,
		})
		return
	}
	c.leaderTerm = c.term
	for _, e := range m.Entries {
		if !c.takeEntry(e) {
			return
		}
	}
	last := m.Index + uint64(len(m.Entries))
	c.learnCommit(min(m.Commit, last))
	c.ackAppend(m, last)
}

func (c *Core) ackAppend(m *wire.RaftMessage, index uint64) {
	c.reply(m, &wire.RaftMessage{Type: wire.MsgType_MSG_APP_RESP, Index: index})
}

// takeEntry puts one entry of the leader into the log.
func (c *Core) takeEntry(e *wire.LogEntry) bool {
	t, ok := c.log.term(e.Index)
	if ok && t == e.Term {
		return true
	}
	if ok {
		if e.Index <= c.commit {
			c.broken("log-matching", "committed entry %d has term %d, the leader's has %d", e.Index, t, e.Term)
			return false
		}
		c.log.truncateFrom(e.Index)
		c.leaveConfsFrom(e.Index)
		c.synced = min(c.synced, e.Index-1)
		c.knownCommit = min(c.knownCommit, e.Index-1)
	}
	c.appendEntry(e)
	return c.err == nil
}

func (c *Core) onSnapshot(m *wire.RaftMessage) {
	meta := m.Snapshot.GetMeta()
	if meta == nil || c.pendingSnap != nil {
		return
	}
	c.leaderTerm = c.term
	if t, ok := c.log.term(meta.Index); meta.Index <= c.commit || ok && t == meta.Term {
		c.learnCommit(meta.Index)
		c.ackAppend(m, max(meta.Index, c.commit))
		return
	}
	c.pendingSnap = proto.CloneOf(m.Snapshot)
	c.log.reset(meta.Index, meta.Term)
	c.confs = []confAt{{index: meta.Index, members: meta.Membership}}
	c.confVersion++
	c.synced = min(c.synced, meta.Index)
	c.knownCommit = meta.Index
	c.ackAppend(m, meta.Index)
}
