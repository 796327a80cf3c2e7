package raft

import (
	"time"

	"gentiankeel/internal/wire"
)

// leaseGranted reports whether a leader may still hold a lease that depends on this
// replica not voting for another one.
func (c *Core) leaseGranted(now monotime) bool {
	if c.cfg.disabledMechanisms.checkQuorum {
		return false
	}
	if c.state == leader {
		return true
	}
	return c.hasLeaderContact && now-c.lastLeaderContact < c.cfg.ElectionTimeout
}

// campaign starts an election. If transfer is true, the leader has requested it and the
// pre-vote is skipped. On a non-voter, while a snapshot is being installed and while the
// disk is stalled it only restarts the election timer.
func (c *Core) campaign(now monotime, transfer bool) {
	c.resetElectionTimer(now)
	if !isVoter(c.conf(), c.id) || c.pendingSnapshot != nil || c.diskStalled(now) {
		return
	}
	if transfer || c.cfg.disabledMechanisms.preVote {
		c.campaignVote(now, transfer)
		return
	}
	c.becomeFollower(now, c.term, 0)
	c.state = preCandidate
	c.requestVotes(now, wire.MsgType_MSG_PRE_VOTE, c.term+1, false)
}

func (c *Core) campaignVote(now monotime, transfer bool) {
	c.becomeFollower(now, c.term+1, 0)
	c.state = candidate
	c.vote = c.id
	c.requestVotes(now, wire.MsgType_MSG_VOTE, c.term, transfer)
}

func (c *Core) requestVotes(now monotime, t wire.MsgType, term uint64, transfer bool) {
	c.votes = map[uint64]bool{c.id: true}
	if c.hasVoteQuorum() {
		c.onElectionWon(now)
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
	eligible := c.vote == m.From || c.vote == 0 && c.leaderID == 0
	if pre {
		respType = wire.MsgType_MSG_PRE_VOTE_RESP
		eligible = m.Term > c.term
	}
	leaseBlocks := c.leaseGranted(now) && !m.Transfer
	if !eligible || leaseBlocks || !c.log.upToDate(m.LogTerm, m.Index) {
		c.reply(m, &wire.RaftMessage{Type: respType, Reject: true})
		return
	}
	if !pre {
		c.vote = m.From
		c.resetElectionTimer(now)
	}
	c.reply(m, &wire.RaftMessage{Type: respType, Term: m.Term})
}

func (c *Core) onVoteResp(now monotime, m *wire.RaftMessage) {
	expected := candidate
	term := c.term
	if m.Type == wire.MsgType_MSG_PRE_VOTE_RESP {
		expected = preCandidate
		term = c.term + 1
	}
	if c.state != expected || m.Reject || m.Term != term {
		return
	}
	c.votes[m.From] = true
	if c.hasVoteQuorum() {
		c.onElectionWon(now)
	}
}

func (c *Core) hasVoteQuorum() bool {
	n := 0
	for _, m := range c.conf().Members {
		if !m.Learner && c.votes[m.Id] {
			n++
		}
	}
	return n >= quorum(voterCount(c.conf()))
}

func (c *Core) onElectionWon(now monotime) {
	if c.state == preCandidate {
		c.campaignVote(now, false)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) becomeLeader(now monotime) {
	c.state = leader
	c.leaderID = c.id
	c.leaderTerm = c.term
	c.knownLeader = leaderOfTerm{term: c.term, id: c.id}
	c.votes = nil
	c.leaseDisabled = false
	c.leaseExpiry = 0
	c.rounds = nil
	c.progress = map[uint64]*progress{}
	for _, m := range c.conf().Members {
		if m.Id != c.id {
			c.progress[m.Id] = newProgress(now, c.log.last()+1)
		}
	}
	c.termStartIndex = c.appendLeaderEntry(wire.EntryType_ENTRY_NOOP, c.cfg.TermData)
	c.broadcastAppend(now)
	c.sendHeartbeats(now)
}

// LossReason is the reason why a replica lost its leadership. It is used as a metric
// label.
type LossReason string

// Reasons for a loss of leadership.
const (
	LossNone        LossReason = ""
	LossNoQuorum    LossReason = "no-quorum-heard"
	LossDiskStalled LossReason = "disk-stalled"
	LossHigherTerm  LossReason = "higher-term"
	LossRemoved     LossReason = "removed"
)

func (c *Core) stepDown(now monotime, reason LossReason) {
	c.lossReason = reason
	c.becomeFollower(now, c.term, 0)
}

// LastLossReason returns the reason of this replica's last loss of leadership.
func (c *Core) LastLossReason() LossReason { return c.lossReason }

// checkQuorum makes a leader step down if no quorum has answered within an election
// timeout, so that callers don't stay with a leader that is partitioned from the others.
func (c *Core) checkQuorum(now monotime) {
	if c.state != leader || c.cfg.disabledMechanisms.checkQuorum {
		return
	}
	contact := c.quorumValue(uint64(now), func(p *progress) uint64 { return uint64(max(p.lastAck, 0)) })
	if now-monotime(contact) > c.cfg.ElectionTimeout {
		c.stepDown(now, LossNoQuorum)
	}
}

// diskStalled reports whether a write has been pending for longer than an election
// timeout. A leader with such a disk would keep its lease but commit nothing.
func (c *Core) diskStalled(now monotime) bool {
	return c.pendingWrite != nil && now-c.pendingWrite.started > c.cfg.ElectionTimeout
}

func (c *Core) tickLeader(now monotime) {
	if c.diskStalled(now) {
		c.stepDown(now, LossDiskStalled)
		return
	}
	if c.transferee != 0 && now >= c.transferDeadline {
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
		if now-p.snapshotSentAt > snapshotResendElectionTimeouts*c.cfg.ElectionTimeout {
			p.becomeProbing()
		}
	}
}

// Transfer starts a leadership transfer to the voter to, or to the most advanced active
// voter if to is 0. Proposals are rejected until the transfer completes or an election
// timeout has passed. Errors: ErrNotLeader, ErrTransferring, ErrNoTransferPeer.
func (c *Core) Transfer(now time.Duration, to uint64) error {
	if err := c.beginEvent(now); err != nil {
		return err
	}
	if c.state != leader {
		return ErrNotLeader
	}
	if c.transferee != 0 {
		return ErrTransferring
	}
	if to == 0 {
		to = c.mostAdvancedPeer(now)
	}
	if to == c.id || !isVoter(c.conf(), to) || c.progress[to] == nil {
		return ErrNoTransferPeer
	}
	c.transferee = to
	c.timeoutNowSent = false
	c.transferDeadline = now + c.cfg.ElectionTimeout
	// The campaign request bypasses the leases that followers have granted and may be
	// delayed, so the lease is unsafe for the rest of this term.
	c.leaseDisabled = true
	c.leaseExpiry = 0
	c.maybeSendTimeoutNow()
	return c.checkInvariants()
}

func (c *Core) mostAdvancedPeer(now monotime) uint64 {
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

// maybeSendTimeoutNow requests the transferee to campaign once it has the whole log and
// every proposal is committed, so that each proposer gets a definite outcome.
func (c *Core) maybeSendTimeoutNow() {
	p := c.progress[c.transferee]
	if c.transferee == 0 || c.timeoutNowSent || p == nil || p.match < c.log.last() || c.commit < c.log.last() {
		return
	}
	c.timeoutNowSent = true
	c.send(&wire.RaftMessage{Type: wire.MsgType_MSG_TIMEOUT_NOW, To: c.transferee})
}

// leaseDuration returns how long, from its sending, a confirmed heartbeat round prevents
// another candidate from winning a quorum, minus the margin for differing clock rates.
func (c *Core) leaseDuration() time.Duration {
	if c.cfg.disabledMechanisms.leaseMargin {
		return c.cfg.ElectionTimeout
	}
	return c.cfg.ElectionTimeout - c.cfg.LeaseMargin
}
