package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// heartbeatRound is a set of heartbeats that were sent to all peers at the same time.
type heartbeatRound struct {
	number uint64
	sent   monotime
}

// quorumValue returns the highest value that a quorum of voters has reached. self is the
// value of this replica, value returns that of a peer.
func (c *Core) quorumValue(self uint64, value func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range c.conf().Members {
		switch {
		case m.Learner:
		case m.Id == c.id:
			values = append(values, self)
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

func (c *Core) committedInCurrentTerm() bool {
	return c.state == leader && c.commit >= c.termStartIndex
}

// syncedIndex returns the index that this replica contributes to a commit quorum.
func (c *Core) syncedIndex() uint64 {
	if c.cfg.disabledMechanisms.syncBeforeAck {
		return c.log.last()
	}
	return c.synced
}

// advanceCommit raises a leader's commit index to the index that a quorum has synced.
func (c *Core) advanceCommit(now monotime) {
	if c.state != leader {
		return
	}
	index := c.quorumValue(c.syncedIndex(), func(p *progress) uint64 { return p.match })
	t, ok := c.log.term(index)
	// An entry of an older term can be overwritten by another leader even if a quorum
	// holds it.
	if !ok || t != c.term && !c.cfg.disabledMechanisms.currentTermCommit {
		return
	}
	c.updateKnownCommit(index)
	c.answerConfirmedReads()
	if c.committedInCurrentTerm() && !isVoter(c.conf(), c.id) && c.pendingConfChanges() == 0 {
		c.stepDownRemoved(now)
	}
}

// stepDownRemoved steps down a leader whose removal is committed and requests the most
// advanced peer to campaign.
func (c *Core) stepDownRemoved(now monotime) {
	c.notifyCommit()
	if to := c.mostAdvancedPeer(now); to != 0 {
		c.send(&wire.RaftMessage{Type: wire.MsgType_MSG_TIMEOUT_NOW, To: to})
	}
	c.stepDown(now, LossRemoved)
}

func (c *Core) updateKnownCommit(index uint64) {
	c.knownCommit = max(c.knownCommit, min(index, c.log.last()))
	c.commitSynced()
}

// commitSynced raises the commit index to the known one, but not beyond the synced log.
func (c *Core) commitSynced() {
	if c.pendingSnapshot != nil {
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

// sendAppends sends a peer its missing entries, as far as flow control allows.
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
		c.failInvariant("no-snapshot", "peer %x needs entry %d, log begins at %d", to, p.next, c.log.baseIndex+1)
		return
	}
	p.becomeSnapshotting(now, c.snapshot.Index)
	c.send(&wire.RaftMessage{
		Type: wire.MsgType_MSG_SNAP, To: to, Commit: c.commit,
		Snapshot: &wire.Snapshot{Meta: c.snapshot},
	})
}

// notifyCommit sends a raised commit index to the followers at once, without waiting for
// the next heartbeat or entries.
func (c *Core) notifyCommit() {
	if c.state != leader || c.commit <= c.notifiedCommit {
		return
	}
	c.notifiedCommit = c.commit
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
	marks := c.memberMarks()
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

// confirmRounds extends the lease and answers reads up to the newest heartbeat round that
// a quorum has answered.
func (c *Core) confirmRounds() {
	confirmed := c.quorumValue(c.round, func(p *progress) uint64 { return p.round })
	for len(c.rounds) > 0 && c.rounds[0].number <= confirmed {
		if !c.leaseDisabled {
			// The lease starts when the round was sent, since the answers may have been
			// delayed.
			c.leaseExpiry = max(c.leaseExpiry, c.rounds[0].sent+c.leaseDuration())
		}
		c.rounds = c.rounds[1:]
	}
	c.answerConfirmedReads()
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
		p.releaseInflight(p.inflight[0])
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
		c.failInvariant("ack-beyond-log", "peer %x acknowledged %d of %d", m.From, m.Index, c.log.last())
		return
	}
	p.releaseInflight(m.Index)
	if m.Index > p.match {
		p.match = m.Index
		c.recordMatch(m.From, m.Index)
	}
	p.next = max(p.next, p.match+1)
	if p.state == probing || p.state == snapshotting && p.match >= p.snapshotIndex {
		p.becomeReplicating()
	}
	c.advanceCommit(now)
	if c.state != leader {
		return
	}
	c.maybeSendTimeoutNow()
	c.sendAppends(now, m.From)
}

func (c *Core) onAppendReject(now monotime, m *wire.RaftMessage, p *progress) {
	if m.Index <= p.match {
		// Either the answer is late, or the peer's disk has lost acknowledged entries. The
		// peer can distinguish the two by its mark.
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
		p.becomeProbing()
	}
	next := c.log.conflictHint(min(m.RejectHint, m.Index-1), m.HintTerm) + 1
	p.next = max(next, p.match+1, 1)
	p.probeSent = false
	c.sendAppend(now, m.From, p)
}

// onLeaderMessage handles the messages that only the leader of the term may send.
func (c *Core) onLeaderMessage(now monotime, m *wire.RaftMessage) {
	if c.knownLeader.term == c.term && c.knownLeader.id != m.From {
		c.failInvariant("one-leader-per-term", "term %d: %x and %x", c.term, c.knownLeader.id, m.From)
		return
	}
	c.knownLeader = leaderOfTerm{term: c.term, id: m.From}
	if c.state != follower {
		c.becomeFollower(now, c.term, m.From)
	}
	c.leaderID = m.From
	c.lastLeaderContact = now
	c.hasLeaderContact = true
	c.resetElectionTimer(now)
	switch m.Type {
	case wire.MsgType_MSG_APP:
		c.onAppend(m)
	case wire.MsgType_MSG_SNAP:
		c.onSnapshot(m)
	default:
		c.mergeMarks(m.Marks)
		c.updateKnownCommit(m.Commit)
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
		if !c.acceptEntry(e) {
			return
		}
	}
	last := m.Index + uint64(len(m.Entries))
	c.updateKnownCommit(min(m.Commit, last))
	c.ackAppend(m, last)
}

func (c *Core) ackAppend(m *wire.RaftMessage, index uint64) {
	c.reply(m, &wire.RaftMessage{Type: wire.MsgType_MSG_APP_RESP, Index: index})
}

// acceptEntry adds an entry from the leader to the log, replacing conflicting uncommitted
// entries. It returns false if that violated an invariant.
func (c *Core) acceptEntry(e *wire.LogEntry) bool {
	t, ok := c.log.term(e.Index)
	if ok && t == e.Term {
		return true
	}
	if ok {
		if e.Index <= c.commit {
			c.failInvariant("log-matching", "committed entry %d has term %d, the leader's has %d", e.Index, t, e.Term)
			return false
		}
		c.log.truncateFrom(e.Index)
		c.truncateConfs(e.Index)
		c.synced = min(c.synced, e.Index-1)
		c.knownCommit = min(c.knownCommit, e.Index-1)
	}
	c.appendEntry(e)
	return c.err == nil
}

func (c *Core) onSnapshot(m *wire.RaftMessage) {
	meta := m.Snapshot.GetMeta()
	if meta == nil || c.pendingSnapshot != nil {
		return
	}
	c.leaderTerm = c.term
	if t, ok := c.log.term(meta.Index); meta.Index <= c.commit || ok && t == meta.Term {
		c.updateKnownCommit(meta.Index)
		c.ackAppend(m, max(meta.Index, c.commit))
		return
	}
	c.pendingSnapshot = proto.CloneOf(m.Snapshot)
	c.log.reset(meta.Index, meta.Term)
	c.confs = []indexedConf{{index: meta.Index, membership: meta.Membership}}
	c.confVersion++
	c.synced = min(c.synced, meta.Index)
	c.knownCommit = meta.Index
	c.ackAppend(m, meta.Index)
}
