package raft

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentiankeel/internal/wire"
)

// After a start a replica requests its peers' marks, the newest state they have seen from
// it, and takes no part in the group until enough of them have confirmed its disk. A
// replica whose disk was emptied or rolled back under the same identity could otherwise
// vote twice in a term, or help to elect a leader that lacks entries which the replica
// acknowledged earlier.

// diskConfirmed reports whether enough other voters have confirmed the disk. A restart
// needs enough for a quorum together with this replica. The first start of a group needs
// all other voters, since each must record the start of this identity before any may
// vote. Enough for a quorum suffices if they belong to the formed group already, since
// they would have recorded an earlier start of this identity. A replica that holds no
// membership yet, having joined with an empty disk, needs no confirmation.
func (c *Core) diskConfirmed() bool {
	voters := voterCount(c.conf())
	others := voters
	if isVoter(c.conf(), c.id) {
		others--
	}
	if len(c.helloConfirmations) >= others {
		return true
	}
	confirmed := 0
	for _, formed := range c.helloConfirmations {
		if formed || !c.identity.GetBootstrapping() {
			confirmed++
		}
	}
	return confirmed >= max(quorum(voters)-1, 1)
}

func (c *Core) sendHellos(now monotime) {
	if c.verified || now-c.lastHello < c.cfg.Heartbeat {
		return
	}
	c.lastHello = now
	for _, m := range c.conf().Members {
		if m.Id != c.id {
			c.send(&wire.RaftMessage{
				Type: wire.MsgType_MSG_HELLO, To: m.Id, InitialMembers: c.initialMembersHash(),
			})
		}
	}
}

// initialMembersHash returns a hash of the initial members' ids, or 0 once the group is
// formed.
func (c *Core) initialMembersHash() uint64 {
	if !c.identity.GetBootstrapping() {
		return 0
	}
	var ids []byte
	for _, m := range c.conf().Members {
		ids = binary.BigEndian.AppendUint64(ids, m.Id)
	}
	return max(xxhash.Sum64(ids), 1)
}

// matchesInitialMembers reports whether a peer's initial members equal this replica's; it
// is true if either of the two belongs to a formed group. If they differ, it stops this
// replica, since two groups with different initial members may have disjoint quorums.
func (c *Core) matchesInitialMembers(m *wire.RaftMessage) bool {
	hash := c.initialMembersHash()
	if hash == 0 || m.InitialMembers == 0 || hash == m.InitialMembers {
		return true
	}
	c.err = &BootstrapRefusedError{Peer: m.From, Detail: "its settings list different initial members"}
	return false
}

func (c *Core) onHello(m *wire.RaftMessage) {
	c.reply(m, &wire.RaftMessage{
		Type: wire.MsgType_MSG_HELLO_RESP, Marks: c.marksOf(m.From),
		Removed: c.isRemoved(m.From), Formed: !c.identity.GetBootstrapping(),
		InitialMembers: c.initialMembersHash(),
	})
}

func (c *Core) onHelloResp(m *wire.RaftMessage) {
	if c.cfg.disabledMechanisms.identityCheck {
		return
	}
	if !c.matchesInitialMembers(m) {
		return
	}
	if m.Removed {
		c.err = &RemovedError{Peer: m.From}
		return
	}
	current := false
	for _, mk := range m.Marks {
		if mk.Id != c.id {
			continue
		}
		c.checkSelfMark(m.From, mk)
		// A reply to an earlier start can't confirm state that was written after it.
		current = mk.Boot == c.identity.GetBoot() && mk.Nonce == c.identity.GetNonce()
	}
	if c.err != nil || c.verified || !current || !isVoter(c.conf(), m.From) {
		return
	}
	c.helloConfirmations[m.From] = m.Formed
	if c.diskConfirmed() {
		c.verified = true
		c.identityDirty = c.identity.GetBootstrapping()
		c.identity.Bootstrapping = false
		c.resetElectionTimer(c.lastNow)
	}
}

// checkSelfMark stops the replica if a peer's mark shows newer state than its disk holds.
func (c *Core) checkSelfMark(peer uint64, mk *wire.PeerMark) {
	id := c.identity
	detail := ""
	switch {
	case mk.Boot > id.GetBoot(), mk.Boot == id.GetBoot() && mk.Nonce != id.GetNonce():
		detail = fmt.Sprintf("peer has seen start %d (nonce %x), this is start %d (nonce %x)", mk.Boot, mk.Nonce, id.GetBoot(), id.GetNonce())
	case mk.Term > c.term:
		detail = fmt.Sprintf("peer has seen term %d, the disk has term %d", mk.Term, c.term)
	case mk.MatchTerm > c.leaderTerm:
		detail = fmt.Sprintf("entries of leader term %d were acknowledged, the disk has leader term %d", mk.MatchTerm, c.leaderTerm)
	case mk.MatchTerm == c.leaderTerm && mk.Match > c.synced:
		detail = fmt.Sprintf("entry %d was acknowledged, the last entry on disk is %d", mk.Match, c.synced)
	default:
		return
	}
	if id.GetBootstrapping() {
		c.err = &BootstrapRefusedError{Peer: peer, Detail: detail}
		return
	}
	c.err = &RolledBackError{Peer: peer, Detail: detail}
}

func (c *Core) peerMark(id uint64) *wire.PeerMark {
	mk := c.marks[id]
	if mk == nil {
		mk = &wire.PeerMark{Id: id}
		c.marks[id] = mk
	}
	return mk
}

// marksOf returns the mark of one replica as a list for a message, empty if there is none.
func (c *Core) marksOf(id uint64) []*wire.PeerMark {
	if mk := c.marks[id]; mk != nil {
		return []*wire.PeerMark{cloneMark(mk)}
	}
	return nil
}

func cloneMark(m *wire.PeerMark) *wire.PeerMark {
	return &wire.PeerMark{
		Id: m.Id, Boot: m.Boot, Nonce: m.Nonce,
		Term: m.Term, MatchTerm: m.MatchTerm, Match: m.Match,
	}
}

// recordSender updates the sender's mark from a message and reports whether the message
// comes from the newest known start of its sender.
func (c *Core) recordSender(m *wire.RaftMessage) bool {
	if c.cfg.disabledMechanisms.identityCheck {
		return true
	}
	mark := c.peerMark(m.From)
	switch {
	case m.Boot > mark.Boot:
		mark.Boot = m.Boot
		mark.Nonce = m.Nonce
		c.dirtyMarks[m.From] = true
		c.marksNeedSync = true
		if p := c.progress[m.From]; p != nil {
			p.becomeProbing()
		}
	case m.Boot < mark.Boot || m.Nonce != mark.Nonce:
		return false
	}
	if impliesSyncedTerm(m.Type) && m.Term > mark.Term {
		mark.Term = m.Term
		c.dirtyMarks[m.From] = true
	}
	return true
}

// impliesSyncedTerm reports whether messages of a type are sent only after their term was
// synced.
func impliesSyncedTerm(t wire.MsgType) bool {
	switch t {
	case wire.MsgType_MSG_VOTE, wire.MsgType_MSG_VOTE_RESP, wire.MsgType_MSG_APP,
		wire.MsgType_MSG_APP_RESP, wire.MsgType_MSG_HEARTBEAT,
		wire.MsgType_MSG_HEARTBEAT_RESP, wire.MsgType_MSG_SNAP:
		return true
	}
	return false
}

// recordMatch records in a peer's mark the index that the peer acknowledged to this leader.
func (c *Core) recordMatch(id, match uint64) {
	mk := c.peerMark(id)
	mk.MatchTerm = c.term
	mk.Match = match
	c.dirtyMarks[id] = true
}

// memberMarks returns this leader's marks of all members, its own included. Sent with
// every heartbeat, they let followers detect a rolled-back disk even after this leader is
// lost.
func (c *Core) memberMarks() []*wire.PeerMark {
	var out []*wire.PeerMark
	for _, m := range c.conf().Members {
		if m.Id == c.id {
			out = append(out, c.selfMark())
			continue
		}
		if mk := c.marks[m.Id]; mk != nil {
			out = append(out, cloneMark(mk))
		}
	}
	return out
}

// selfMark returns the mark of this leader, built from its synced state.
func (c *Core) selfMark() *wire.PeerMark {
	mk := &wire.PeerMark{
		Id: c.id, Boot: c.identity.GetBoot(), Nonce: c.identity.GetNonce(),
		Term: c.syncedHardState.Term, MatchTerm: c.syncedHardState.LeaderTerm,
	}
	if mk.MatchTerm == c.term {
		mk.Match = c.synced
	}
	return mk
}

// mergeMarks merges the leader's marks of the other members into this replica's marks.
func (c *Core) mergeMarks(marks []*wire.PeerMark) {
	for _, in := range marks {
		if in.Id == c.id {
			continue
		}
		mk := c.peerMark(in.Id)
		if in.Boot > mk.Boot {
			mk.Boot = in.Boot
			mk.Nonce = in.Nonce
		}
		mk.Term = max(mk.Term, in.Term)
		if in.MatchTerm > mk.MatchTerm || in.MatchTerm == mk.MatchTerm && in.Match > mk.Match {
			mk.MatchTerm = in.MatchTerm
			mk.Match = in.Match
		}
		c.dirtyMarks[in.Id] = true
	}
}

// Removed returns the ids that committed membership changes have removed. They must not be
// modified.
func (c *Core) Removed() []uint64 { return c.confAtIndex(c.commit).GetRemoved() }

// isRemoved reports whether a committed membership change has removed the replica id.
func (c *Core) isRemoved(id uint64) bool { return slices.Contains(c.Removed(), id) }

// LeaveRemoved stops this replica: its leader has told it by other means than a message of the
// group that its removal is committed. A replica that missed its own removal is not sent any.
func (c *Core) LeaveRemoved() {
	if c.err == nil {
		c.err = &RemovedError{Peer: c.leaderID}
	}
}
