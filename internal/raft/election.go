package raft

import (
	"time"

	"gentiankeel/internal/wire"
)

// leaseGranted reports whether a leader may still hold a lease that counts on this
// replica.
func (c *Core) leaseGranted(now monotime) bool {
	if c.cfg.faults.noCheckQuorum {
		return false
	}
	if c.state == leader {
		return true
	}
	return c.heardLeader && now-c.heard < c.cfg.ElectionTimeout
}

// campaign starts an election; transfer marks one that the leader asked for.
func (c *Core) campaign(now monotime, transfer bool) {
	c.resetTimer(now)
	if !isVoter(c.conf(), c.id) || c.pendingSnap != nil || c.diskStalled(now) {
		return
	}
	if transfer || c.cfg.faults.noPreVote {
		c.campaignVote(now, transfer)
		return
	}
	c.becomeFollower(now, c.term, 0)
	c.state = preCandidate
	c.askVotes(now, wire.MsgType_MSG_PRE_VOTE, c.term+1, false)
}

func (c *Core) campaignVote(now monotime, transfer bool) {
	c.becomeFollower(now, c.term+1, 0)
	c.state = candidate
	c.vote = c.id
	c.askVotes(now, wire.MsgType_MSG_VOTE, c.term, transfer)
}

func (c *Core) askVotes(now monotime, t wire.MsgType, term uint64, transfer bool) {
	c.votes = map[uint64]bool{c.id: true}
	if c.wonVotes() {
		c.electionWon(now)
		return
	}
	for _, m := range c.conf().Members {
		if m.Learner || m.Id == c.id {
			continue
		}
		c.send(&wire.RaftMessage{
			Type: t, To: m.Id, Term: term, Transfer: transfer,
			Index: c.log.last(), LogTerm: c.log.lastTerm(),
		})
	}
}

func (c *Core) onVote(now monotime, m *wire.RaftMessage) {
	if c.isRemoved(m.From) {
		c.reply(m, &wire.RaftMessage{Type: wire.MsgType_MSG_HELLO_RESP, Removed: true})
		return
	}
	pre := m.Type == wire.MsgType_MSG_PRE_VOTE
	respType := wire.MsgType_MSG_VOTE_RESP
	free := c.vote == m.From || c.vote == 0 && c.lead == 0
	if pre {
		respType = wire.MsgType_MSG_PRE_VOTE_RESP
		free = m.Term > c.term
	}
	blocked := c.leaseGranted(now) && !m.Transfer
	if !free || blocked || !c.log.upToDate(m.LogTerm, m.Index) {
		c.reply(m, &wire.RaftMessage{Type: respType, Reject: true})
		return
	}
	if !pre {
		c.vote = m.From
		c.resetTimer(now)
	}
	c.reply(m, &wire.RaftMessage{Type: respType, Term: m.Term})
}

func (c *Core) onVoteResp(now monotime, m *wire.RaftMessage) {
	wanted := candidate
	term := c.term
	if m.Type == wire.MsgType_MSG_PRE_VOTE_RESP {
		wanted = preCandidate
		term = c.term + 1
	}
	if c.state != wanted || m.Reject || m.Term != term {
		return
	}
	c.votes[m.From] = true
	if c.wonVotes() {
		c.electionWon(now)
	}
}

func (c *Core) wonVotes() bool {
	n := 0
	for _, m := range c.conf().Members {
		if !m.Learner && c.votes[m.Id] {
			n++
		}
	}
	return n >= quorum(voterCount(c.conf()))
}

func (c *Core) electionWon(now monotime) {
	if c.state == preCandidate {
		c.campaignVote(now, false)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) becomeLeader(now monotime) {
	c.state = leader
	c.lead = c.id
	c.leaderTerm = c.term
	c.seenLead = leaderOfTerm{term: c.term, id: c.id}
	c.votes = nil
	c.noLease = false
	c.leaseTill = 0
	c.rounds = nil
	c.progress = map[uint64]*progress{}
	for _, m := range c.conf().Members {
		if m.Id != c.id {
			c.progress[m.Id] = newProgress(now, c.log.last()+1)
		}
	}
	c.ownTermIndex = c.appendOwn(wire.EntryType_ENTRY_NOOP, nil)
	c.broadcastAppend(now)
	c.sendHeartbeats(now)
}

// LossReason tells why a leader ceased to lead.
type LossReason string

// Reasons for the end of a leadership.
const (
	LossNone        LossReason = ""
	LossNoQuorum    LossReason = "no-quorum-heard"
	LossDiskStalled LossReason = "disk-stalled"
	LossHigherTerm  LossReason = "higher-term"
	LossRemoved     LossReason = "removed"
)

func (c *Core) stepDown(now monotime, why LossReason) {
	c.loss = why
	c.becomeFollower(now, c.term, 0)
}

// LastLoss returns why this replica last ceased to lead.
func (c *Core) LastLoss() LossReason { return c.loss }

// checkQuorum makes a leader step down that has not heard from a quorum for an
// election timeout, so that a leader cut off from the others does not keep callers.
func (c *Core) checkQuorum(now monotime) {
	if c.state != leader || c.cfg.faults.noCheckQuorum {
		return
	}
	heard := c.quorumOf(uint64(now), func(p *progress) uint64 { return uint64(max(p.lastAck, 0)) })
	if now-monotime(heard) > c.cfg.ElectionTimeout {
		c.stepDown(now, LossNoQuorum)
	}
}

// diskStalled reports whether a write has been outstanding for longer than an election
// timeout. A leader with such a disk would keep its lease and commit nothing.
func (c *Core) diskStalled(now monotime) bool {
	return c.outstanding != nil && now-c.outstanding.since > c.cfg.ElectionTimeout
}

func (c *Core) tickLeader(now monotime) {
	if c.diskStalled(now) {
		c.stepDown(now, LossDiskStalled)
		return
	}
	if c.transferee != 0 && now >= c.transferTill {
		c.transferee = 0
	}
	if now-c.heartbeatSent >= c.cfg.Heartbeat {
		c.sendHeartbeats(now)
	}
	for _, m := range c.conf().Members {
		p := c.progress[m.Id]
		if p == nil || p.state != snapshotting {
			continue
		}
		if now-p.snapshotSent > snapshotTimeouts*c.cfg.ElectionTimeout {
			p.toProbing()
		}
	}
}

// Transfer hands the leadership to a voter, the most advanced one where to is 0. The
// leader takes no proposals until the transfer ends or an election timeout passed.
// Errors: ErrNotLeader, ErrTransferring, ErrNoTransferPeer.
func (c *Core) Transfer(now time.Duration, to uint64) error {
	if err := c.enter(now); err != nil {
		return err
	}
	if c.state != leader {
		return ErrNotLeader
	}
	if c.transferee != 0 {
		return ErrTransferring
	}
	if to == 0 {
		to = c.bestPeer(now)
	}
	if to == c.id || !isVoter(c.conf(), to) || c.progress[to] == nil {
		return ErrNoTransferPeer
	}
	c.transferee = to
	c.transferSent = false
	c.transferTill = now + c.cfg.ElectionTimeout
	// A delayed request to campaign bypasses the lease, so that it can't be trusted
	// again in this term.
	c.noLease = true
	c.leaseTill = 0
	c.finishTransfer()
	return c.check()
}

func (c *Core) bestPeer(now monotime) uint64 {
	best := uint64(0)
	for _, m := range c.conf().Members {
		if m.Learner || m.Id == c.id || !c.PeerActive(now, m.Id) {
			continue
		}
		if best == 0 || c.progress[m.Id].match > c.progress[best].match {
			best = m.Id
		}
	}
	return best
}

// finishTransfer asks the transferee to campaign once it has the whole log and every
// proposal is committed, so that no proposer is left without an outcome.
func (c *Core) finishTransfer() {
	p := c.progress[c.transferee]
	if c.transferee == 0 || c.transferSent || p == nil || p.match < c.log.last() || c.commit < c.log.last() {
		return
	}
	c.transferSent = true
	c.send(&wire.RaftMessage{Type: wire.MsgType_MSG_TIMEOUT_NOW, To: c.transferee})
}

// leaseLength is how long after its start a confirmed heartbeat round keeps every other
// candidate from a quorum, less the margin for clocks that run at different rates.
func (c *Core) leaseLength() time.Duration {
	if c.cfg.faults.noLeaseMargin {
		return c.cfg.ElectionTimeout
	}
	return c.cfg.ElectionTimeout - c.cfg.LeaseMargin
}
