package raft

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentiankeel/internal/wire"
)

// A replica that starts asks its peers what they have seen of it and does nothing else
// until enough of them have answered. A disk that was emptied or set back under the
// same identity could otherwise vote twice in a term, or help to elect a leader that
// lacks entries which this replica once acknowledged.

// helloEnough reports whether enough other voters confirmed the disk. On the very first
// start that is every one of them, as each must learn this identity's start before any
// may vote; or a quorum whose members have done so, since they would know of an earlier
// start under this identity.
func (c *Core) helloEnough() bool {
	voters := voterCount(c.conf())
	others := voters
	if isVoter(c.conf(), c.id) {
		others--
	}
	if len(c.helloFrom) >= others {
		return true
	}
	confirmed := 0
	for _, formed := range c.helloFrom {
		if formed || !c.identity.GetBootstrapping() {
			confirmed++
		}
	}
	return confirmed >= max(quorum(voters)-1, 1)
}

func (c *Core) sayHello(now monotime) {
	if c.verified || now-c.helloSent < c.cfg.Heartbeat {
		return
	}
	c.helloSent = now
	for _, m := range c.conf().Members {
		if m.Id != c.id {
			c.send(&wire.RaftMessage{
				Type: wire.MsgType_MSG_HELLO, To: m.Id, InitialMembers: c.initialMembers(),
			})
		}
	}
}

// initialMembers returns a hash of the initial membership, or 0 once the group is formed.
func (c *Core) initialMembers() uint64 {
	if !c.identity.GetBootstrapping() {
		return 0
	}
	var ids []byte
	for _, m := range c.conf().Members {
		ids = binary.BigEndian.AppendUint64(ids, m.Id)
	}
	return max(xxhash.Sum64(ids), 1)
}

// checkInitialMembers stops a first start where the settings of two initial voters name
// different members: their quorums might not overlap.
func (c *Core) checkInitialMembers(m *wire.RaftMessage) bool {
	own := c.initialMembers()
	if own == 0 || m.InitialMembers == 0 || own == m.InitialMembers {
		return true
	}
	c.err = &BootstrapRefusedError{Peer: m.From, Detail: "its settings name other initial members"}
	return false
}

func (c *Core) onHello(m *wire.RaftMessage) {
	c.reply(m, &wire.RaftMessage{
		Type: wire.MsgType_MSG_HELLO_RESP, Marks: c.marksOf(m.From),
		Removed: c.isRemoved(m.From), Formed: !c.identity.GetBootstrapping(),
		InitialMembers: c.initialMembers(),
	})
}

func (c *Core) onHelloResp(m *wire.RaftMessage) {
	if c.cfg.faults.noIdentityCheck {
		return
	}
	if !c.checkInitialMembers(m) {
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
		c.checkOwnMark(m.From, mk)
		// An answer to an earlier start says nothing about what came after it.
		current = mk.Boot == c.identity.GetBoot() && mk.Nonce == c.identity.GetNonce()
	}
	if c.err != nil || c.verified || !current || !isVoter(c.conf(), m.From) {
		return
	}
	c.helloFrom[m.From] = m.Formed
	if c.helloEnough() {
		c.verified = true
		c.identityDirty = c.identity.GetBootstrapping()
		c.identity.Bootstrapping = false
		c.resetTimer(c.lastNow)
	}
}

// checkOwnMark stops the replica where a peer has seen more of it than its disk holds.
func (c *Core) checkOwnMark(peer uint64, mk *wire.PeerMark) {
	id := c.identity
	detail := ""
	switch {
	case mk.Boot > id.GetBoot(), mk.Boot == id.GetBoot() && mk.Nonce != id.GetNonce():
		detail = fmt.Sprintf("start %d (nonce %x) was seen, this is start %d (nonce %x)", mk.Boot, mk.Nonce, id.GetBoot(), id.GetNonce())
	case mk.Term > c.term:
		detail = fmt.Sprintf("term %d was seen, the disk has %d", mk.Term, c.term)
	case mk.MatchTerm > c.leaderTerm:
		detail = fmt.Sprintf("entries of leader term %d were acknowledged, the disk has %d", mk.MatchTerm, c.leaderTerm)
	case mk.MatchTerm == c.leaderTerm && mk.Match > c.synced:
		detail = fmt.Sprintf("entry %d was acknowledged, the disk ends at %d", mk.Match, c.synced)
	default:
		return
	}
	if id.GetBootstrapping() {
		c.err = &BootstrapRefusedError{Peer: peer, Detail: detail}
		return
	}
	c.err = &RolledBackError{Peer: peer, Detail: detail}
}

func (c *Core) mark(id uint64) *wire.PeerMark {
	mk := c.marks[id]
	if mk == nil {
		mk = &wire.PeerMark{Id: id}
		c.marks[id] = mk
	}
	return mk
}

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

// noteSender records what a message shows of its sender and reports whether the
// sender's start is the newest one seen.
func (c *Core) noteSender(m *wire.RaftMessage) bool {
	if c.cfg.faults.noIdentityCheck {
		return true
	}
	mk := c.mark(m.From)
	switch {
	case m.Boot > mk.Boot:
		mk.Boot = m.Boot
		mk.Nonce = m.Nonce
		c.marksDirty[m.From] = true
		c.saveMarks = true
		if p := c.progress[m.From]; p != nil {
			p.toProbing()
		}
	case m.Boot < mk.Boot || m.Nonce != mk.Nonce:
		return false
	}
	if showsSyncedTerm(m.Type) && m.Term > mk.Term {
		mk.Term = m.Term
		c.marksDirty[m.From] = true
	}
	return true
}

// showsSyncedTerm reports whether a message is sent only after its term was synced.
func showsSyncedTerm(t wire.MsgType) bool {
	switch t {
	case wire.MsgType_MSG_VOTE, wire.MsgType_MSG_VOTE_RESP, wire.MsgType_MSG_APP,
		wire.MsgType_MSG_APP_RESP, wire.MsgType_MSG_HEARTBEAT,
		wire.MsgType_MSG_HEARTBEAT_RESP, wire.MsgType_MSG_SNAP:
		return true
	}
	return false
}

// markMatch records what a peer acknowledged to this leader.
func (c *Core) markMatch(id, match uint64) {
	mk := c.mark(id)
	mk.MatchTerm = c.term
	mk.Match = match
	c.marksDirty[id] = true
}

// matchMarks returns what this leader knows as synced. Sent with every heartbeat, it
// lets the followers refuse an outdated disk also after the leader is lost.
func (c *Core) matchMarks() []*wire.PeerMark {
	var out []*wire.PeerMark
	for _, m := range c.conf().Members {
		if m.Id == c.id {
			out = append(out, c.ownMark())
			continue
		}
		if mk := c.marks[m.Id]; mk != nil {
			out = append(out, cloneMark(mk))
		}
	}
	return out
}

// ownMark tells what is synced of this leader's own state.
func (c *Core) ownMark() *wire.PeerMark {
	mk := &wire.PeerMark{
		Id: c.id, Boot: c.identity.GetBoot(), Nonce: c.identity.GetNonce(),
		Term: c.savedHard.Term, MatchTerm: c.savedHard.LeaderTerm,
	}
	if mk.MatchTerm == c.term {
		mk.Match = c.synced
	}
	return mk
}

// mergeMarks takes over what the leader knows of the other members.
func (c *Core) mergeMarks(marks []*wire.PeerMark) {
	for _, in := range marks {
		if in.Id == c.id {
			continue
		}
		mk := c.mark(in.Id)
		if in.Boot > mk.Boot {
			mk.Boot = in.Boot
			mk.Nonce = in.Nonce
		}
		mk.Term = max(mk.Term, in.Term)
		if in.MatchTerm > mk.MatchTerm || in.MatchTerm == mk.MatchTerm && in.Match > mk.Match {
			mk.MatchTerm = in.MatchTerm
			mk.Match = in.Match
		}
		c.marksDirty[in.Id] = true
	}
}

// isRemoved reports whether a committed change removed the replica.
func (c *Core) isRemoved(id uint64) bool {
	return slices.Contains(c.confAtIndex(c.commit).GetRemoved(), id)
}
