package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// Ready is what the caller has to carry out. It writes Snapshot, then Entries, HardState
// and Marks in one synced step and calls Advance; Messages may be sent before that, and
// Committed applied. Nothing of it may be changed.
type Ready struct {
	Snapshot  *wire.Snapshot   // replaces the whole log and state
	Entries   []*wire.LogEntry // replace all stored entries from the first one's index on
	HardState *wire.HardState  // nil where unchanged
	Marks     []*wire.PeerMark
	Identity  *wire.Identity // nil where unchanged
	Messages  []*wire.RaftMessage
	Committed []*wire.LogEntry
	Reads     []ReadState

	persist bool
}

// NeedsSync reports whether Advance must wait for a synced write.
func (r *Ready) NeedsSync() bool { return r.persist }

// outstanding is the write that the caller is carrying out.
type outstanding struct {
	snapIndex uint64
	lastIndex uint64
	lastTerm  uint64
	hard      *wire.HardState
	messages  []*wire.RaftMessage
	since     monotime
}

func (c *Core) hardState() *wire.HardState {
	return &wire.HardState{Term: c.term, Vote: c.vote, Commit: c.commit, LeaderTerm: c.leaderTerm}
}

// mustSync reports whether state was changed that a message may speak of. The commit
// index alone is written along with the next change; a restart learns it again.
func (c *Core) mustSync() bool {
	s := c.savedHard
	return c.term != s.Term || c.vote != s.Vote || c.leaderTerm != s.LeaderTerm ||
		c.pendingSnap != nil || c.synced < c.log.last() || c.saveMarks
}

// HasReady reports whether Ready would return anything. While a write is outstanding
// only messages, committed entries and reads are handed out.
func (c *Core) HasReady(apply bool) bool {
	if len(c.messages) > 0 || len(c.readStates) > 0 || apply && c.applied < c.appliable() {
		return true
	}
	if c.state == leader && c.commit > c.commitNotified {
		return true
	}
	return c.outstanding == nil && (len(c.afterSync) > 0 || c.mustSync())
}

func (c *Core) appliable() uint64 {
	if c.pendingSnap != nil {
		return 0
	}
	return c.commit
}

// Ready hands out what is to be done. apply says whether committed entries are wanted.
// A Ready that Outstanding reports as writing must be followed by Advance.
func (c *Core) Ready(apply bool) Ready {
	c.notifyCommit()
	rd := Ready{Messages: c.messages, Reads: c.readStates}
	c.messages = nil
	c.readStates = nil
	if apply && c.applied < c.appliable() {
		rd.Committed = c.log.slice(c.applied+1, c.commit, 4*c.cfg.MaxAppendBytes)
		c.applied += uint64(len(rd.Committed))
	}
	if c.outstanding == nil && (len(c.afterSync) > 0 || c.mustSync()) {
		c.handOutWrite(&rd)
	}
	return rd
}

// Outstanding reports whether Advance is awaited.
func (c *Core) Outstanding() bool { return c.outstanding != nil }

func (c *Core) handOutWrite(rd *Ready) {
	out := &outstanding{messages: c.afterSync, hard: c.hardState(), since: c.lastNow}
	c.afterSync = nil
	c.outstanding = out
	rd.persist = c.mustSync()
	if !rd.persist {
		return
	}
	from := c.synced + 1
	if c.pendingSnap != nil {
		rd.Snapshot = c.pendingSnap
		out.snapIndex = c.pendingSnap.Meta.Index
		from = out.snapIndex + 1
	}
	rd.Entries = c.log.slice(from, c.log.last(), 0)
	out.lastIndex = c.log.last()
	out.lastTerm = c.log.lastTerm()
	rd.HardState = out.hard
	rd.Marks = c.takeMarks()
	if c.identityDirty {
		c.identityDirty = false
		rd.Identity = proto.CloneOf(c.identity)
	}
}

func (c *Core) takeMarks() []*wire.PeerMark {
	ids := make([]uint64, 0, len(c.marksDirty))
	for id := range c.marksDirty {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	out := make([]*wire.PeerMark, 0, len(ids))
	for _, id := range ids {
		out = append(out, cloneMark(c.marks[id]))
	}
	clear(c.marksDirty)
	c.saveMarks = false
	return out
}

// Advance tells that the outstanding write is synced. It returns the messages that
// waited for it. An error is final.
func (c *Core) Advance(now time.Duration) ([]*wire.RaftMessage, error) {
	out := c.outstanding
	if out == nil {
		return nil, c.err
	}
	c.outstanding = nil
	c.savedHard = out.hard
	c.advanceSnapshot(out)
	t, ok := c.log.term(out.lastIndex)
	if c.pendingSnap == nil && ok && t == out.lastTerm {
		c.synced = max(c.synced, out.lastIndex)
	}
	c.raiseCommit()
	if err := c.enter(now); err != nil {
		return nil, err
	}
	c.advanceCommit(c.lastNow)
	c.finishTransfer()
	if err := c.check(); err != nil {
		return nil, err
	}
	return out.messages, nil
}

func (c *Core) advanceSnapshot(out *outstanding) {
	if out.snapIndex == 0 || c.pendingSnap == nil {
		return
	}
	c.snapshot = c.pendingSnap.Meta
	c.synced = max(c.synced, out.snapIndex)
	c.applied = max(c.applied, out.snapIndex)
	c.commit = max(c.commit, out.snapIndex)
	c.pendingSnap = nil
}

// MetaAt returns the description of a snapshot of the state applied up to index, or
// false where the log no longer holds that position.
func (c *Core) MetaAt(index uint64) (*wire.SnapshotMeta, bool) {
	t, ok := c.log.term(index)
	if !ok || index > c.applied || c.pendingSnap != nil {
		return nil, false
	}
	return &wire.SnapshotMeta{Index: index, Term: t, Membership: c.confAtIndex(index)}, true
}

// Compacted tells that a snapshot is stored and the entries up to base are dropped.
func (c *Core) Compacted(meta *wire.SnapshotMeta, base uint64) error {
	if c.err != nil {
		return c.err
	}
	if meta.Index <= c.snapshot.GetIndex() || meta.Index > c.applied || c.pendingSnap != nil {
		return nil
	}
	c.snapshot = meta
	c.log.compact(min(base, meta.Index))
	n := 0
	for n+1 < len(c.confs) && c.confs[n+1].index <= meta.Index {
		n++
	}
	c.confs = append([]confAt(nil), c.confs[n:]...)
	return c.check()
}
