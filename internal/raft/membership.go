package raft

import (
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// indexedConf is a membership together with the log index from which it is in force.
type indexedConf struct {
	index      uint64
	membership *wire.Membership
}

// insertMember returns a copy of members, which are sorted by id, with m inserted.
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

// applyConfChange returns the membership that results from a change; ms is not modified.
// Errors wrap ErrConfInvalid.
func applyConfChange(ms *wire.Membership, cc *wire.ConfChange) (*wire.Membership, error) {
	if cc.GetMember().GetId() == 0 {
		return nil, errors.Wrap(ErrConfInvalid, "no replica id")
	}
	id := cc.Member.Id
	old := findMember(ms, id)
	out := &wire.Membership{Members: slices.Clone(ms.GetMembers()), Removed: ms.GetRemoved()}
	removeOld := func() {
		out.Members = slices.DeleteFunc(out.Members, func(m *wire.Member) bool { return m.Id == id })
	}
	switch cc.Type {
	case wire.ConfChangeType_CONF_ADD_LEARNER:
		if old != nil {
			return nil, errors.Wrap(ErrConfInvalid, "the replica is a member")
		}
		// The disk of a removed replica may be lost; it can join under a new id.
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
		removeOld()
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
		removeOld()
		out.Removed = append(slices.Clone(out.Removed), id)
	default:
		return nil, errors.Wrap(ErrConfInvalid, "unknown kind")
	}
	return out, nil
}

func (c *Core) conf() *wire.Membership {
	return c.confs[len(c.confs)-1].membership
}

// confAtIndex returns the membership in force at a log index, or the oldest one kept.
func (c *Core) confAtIndex(index uint64) *wire.Membership {
	for i := len(c.confs) - 1; i > 0; i-- {
		if c.confs[i].index <= index {
			return c.confs[i].membership
		}
	}
	return c.confs[0].membership
}

// pendingConfChanges returns the number of uncommitted membership changes.
func (c *Core) pendingConfChanges() int {
	n := 0
	for i := len(c.confs) - 1; i > 0 && c.confs[i].index > c.commit; i-- {
		n++
	}
	return n
}

// appendConf puts the membership change of a log entry into force. In Raft that happens
// when the entry is appended, not when it is committed.
func (c *Core) appendConf(e *wire.LogEntry) {
	cc := &wire.ConfChange{}
	if err := proto.Unmarshal(e.Data, cc); err != nil {
		c.failInvariant("conf-decode", "entry %d: %v", e.Index, err)
		return
	}
	next, err := applyConfChange(c.conf(), cc)
	if err != nil {
		c.failInvariant("conf-apply", "entry %d: %v", e.Index, err)
		return
	}
	c.confs = append(c.confs, indexedConf{index: e.Index, membership: next})
	c.confVersion++
}

// truncateConfs reverts the membership changes of entries that are truncated from index
// on.
func (c *Core) truncateConfs(index uint64) {
	n := len(c.confs)
	for n > 1 && c.confs[n-1].index >= index {
		n--
	}
	if n < len(c.confs) {
		c.confs = c.confs[:n]
		c.confVersion++
	}
}

// ProposeConfChange appends one membership change and returns its index and term. Nothing
// is appended on ErrNotLeader, ErrConfChangePending, ErrConfInvalid, ErrLearnerBehind and
// ErrTransferring.
func (c *Core) ProposeConfChange(now monotime, cc *wire.ConfChange) (index, term uint64, err error) {
	if err := c.beginEvent(now); err != nil {
		return 0, 0, err
	}
	if c.state != leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferee != 0 {
		return 0, 0, ErrTransferring
	}
	// Memberships that differ in two voters can have disjoint quorums, so only one change
	// may be pending. A committed entry of the current term rules out a pending change
	// left by an earlier leader.
	if !c.cfg.disabledMechanisms.confChangeGuard && (c.pendingConfChanges() > 0 || !c.committedInCurrentTerm()) {
		return 0, 0, ErrConfChangePending
	}
	if _, err := applyConfChange(c.conf(), cc); err != nil {
		return 0, 0, err
	}
	if cc.Type == wire.ConfChangeType_CONF_PROMOTE && !c.learnerCaughtUp(cc.Member.Id) {
		return 0, 0, ErrLearnerBehind
	}
	data, err := proto.Marshal(cc)
	if err != nil {
		return 0, 0, errors.Wrap(err, "encode membership change")
	}
	index = c.appendLeaderEntry(wire.EntryType_ENTRY_CONF_CHANGE, data)
	c.reconcileProgress(now)
	c.broadcastAppend(now)
	return index, c.term, c.checkInvariants()
}

func (c *Core) learnerCaughtUp(id uint64) bool {
	pr := c.progress[id]
	return pr != nil && pr.state == replicating && pr.match+c.cfg.MaxLearnerLag >= c.log.last()
}

// reconcileProgress adds and removes progress records to match the membership in force.
func (c *Core) reconcileProgress(now monotime) {
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
