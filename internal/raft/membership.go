package raft

import (
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// confAt is the membership in force from a log index on.
type confAt struct {
	index   uint64
	members *wire.Membership
}

// insertMember returns a sorted copy of members with m added.
func insertMember(members []*wire.Member, m *wire.Member) []*wire.Member {
	out := slices.Clone(members)
	i, _ := slices.BinarySearchFunc(out, m.Id, func(a *wire.Member, id uint64) int {
		switch {
		case a.Id < id:
			return -1
		case a.Id > id:
			return 1
		}
		return 0
	})
	return slices.Insert(out, i, m)
}

func findMember(ms *wire.Membership, id uint64) *wire.Member {
	for _, m := range ms.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}

func isVoter(ms *wire.Membership, id uint64) bool {
	m := findMember(ms, id)
	return m != nil && !m.Learner
}

func voterCount(ms *wire.Membership) int {
	n := 0
	for _, m := range ms.GetMembers() {
		if !m.Learner {
			n++
		}
	}
	return n
}

func quorum(voters int) int {
	return voters/2 + 1
}

// applyConfChange returns the membership after one change; the argument stays as it is.
// Errors wrap ErrConfInvalid.
func applyConfChange(ms *wire.Membership, cc *wire.ConfChange) (*wire.Membership, error) {
	if cc.GetMember().GetId() == 0 {
		return nil, errors.Wrap(ErrConfInvalid, "no replica id")
	}
	id := cc.Member.Id
	old := findMember(ms, id)
	out := &wire.Membership{Members: slices.Clone(ms.GetMembers()), Removed: ms.GetRemoved()}
	without := func() {
		out.Members = slices.DeleteFunc(out.Members, func(m *wire.Member) bool { return m.Id == id })
	}
	switch cc.Type {
	case wire.ConfChangeType_CONF_ADD_LEARNER:
		if old != nil {
			return nil, errors.Wrap(ErrConfInvalid, "the replica is a member")
		}
		// A removed identity may have lost its disk; a new one costs nothing.
		if slices.Contains(out.Removed, id) {
			return nil, errors.Wrap(ErrConfInvalid, "the replica was removed earlier")
		}
		m := proto.CloneOf(cc.Member)
		m.Learner = true
		out.Members = insertMember(out.Members, m)
	case wire.ConfChangeType_CONF_PROMOTE:
		if old == nil || !old.Learner {
			return nil, errors.Wrap(ErrConfInvalid, "the replica is no learner")
		}
		without()
		m := proto.CloneOf(old)
		m.Learner = false
		out.Members = insertMember(out.Members, m)
	case wire.ConfChangeType_CONF_REMOVE:
		if old == nil {
			return nil, errors.Wrap(ErrConfInvalid, "the replica is no member")
		}
		if !old.Learner && voterCount(ms) == 1 {
			return nil, errors.Wrap(ErrConfInvalid, "the last voter stays")
		}
		without()
		out.Removed = append(slices.Clone(out.Removed), id)
	default:
		return nil, errors.Wrap(ErrConfInvalid, "unknown kind")
	}
	return out, nil
}

func (c *Core) conf() *wire.Membership {
	return c.confs[len(c.confs)-1].members
}

// confAtIndex returns the membership in force at a log index.
func (c *Core) confAtIndex(index uint64) *wire.Membership {
	for i := len(c.confs) - 1; i > 0; i-- {
		if c.confs[i].index <= index {
			return c.confs[i].members
		}
	}
	return c.confs[0].members
}

// openConfChanges counts the membership changes that are not committed.
func (c *Core) openConfChanges() int {
	n := 0
	for i := len(c.confs) - 1; i > 0 && c.confs[i].index > c.commit; i-- {
		n++
	}
	return n
}

// enterConf puts the membership change of an appended entry in force.
func (c *Core) enterConf(e *wire.LogEntry) {
	cc := &wire.ConfChange{}
	if err := proto.Unmarshal(e.Data, cc); err != nil {
		c.broken("conf-decode", "entry %d: %v", e.Index, err)
		return
	}
	next, err := applyConfChange(c.conf(), cc)
	if err != nil {
		c.broken("conf-apply", "entry %d: %v", e.Index, err)
		return
	}
	c.confs = append(c.confs, confAt{index: e.Index, members: next})
	c.confVersion++
}

// leaveConfsFrom takes back the membership changes of truncated entries.
func (c *Core) leaveConfsFrom(index uint64) {
	n := len(c.confs)
	for n > 1 && c.confs[n-1].index >= index {
		n--
	}
	if n < len(c.confs) {
		c.confs = c.confs[:n]
		c.confVersion++
	}
}

// ProposeConfChange appends one membership change and returns its position. Errors:
// ErrNotLeader, ErrConfOpen, ErrConfInvalid, ErrLearnerBehind, ErrTransferring.
func (c *Core) ProposeConfChange(now monotime, cc *wire.ConfChange) (index, term uint64, err error) {
	if err := c.enter(now); err != nil {
		return 0, 0, err
	}
	if c.state != leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferee != 0 {
		return 0, 0, ErrTransferring
	}
	// Two memberships that differ in two voters can have disjoint quorums; the
	// leader's own committed entry closes the case of a change left by another leader.
	if !c.cfg.faults.noConfGuard && (c.openConfChanges() > 0 || !c.ownTermCommitted()) {
		return 0, 0, ErrConfOpen
	}
	if _, err := applyConfChange(c.conf(), cc); err != nil {
		return 0, 0, err
	}
	if cc.Type == wire.ConfChangeType_CONF_PROMOTE && !c.caughtUp(cc.Member.Id) {
		return 0, 0, ErrLearnerBehind
	}
	data, err := proto.Marshal(cc)
	if err != nil {
		return 0, 0, errors.Wrap(err, "encode membership change")
	}
	index = c.appendOwn(wire.EntryType_ENTRY_CONF_CHANGE, data)
	c.followConf(now)
	c.broadcastAppend(now)
	return index, c.term, c.check()
}

func (c *Core) caughtUp(id uint64) bool {
	pr := c.progress[id]
	return pr != nil && pr.state == replicating && pr.match+c.cfg.CatchUpLag >= c.log.last()
}

// followConf gives every member of the current membership a progress record.
func (c *Core) followConf(now monotime) {
	for _, m := range c.conf().Members {
		if m.Id != c.id && c.progress[m.Id] == nil {
			c.progress[m.Id] = newProgress(now, 1)
		}
	}
	for id := range c.progress {
		if findMember(c.conf(), id) == nil {
			delete(c.progress, id)
		}
	}
}
