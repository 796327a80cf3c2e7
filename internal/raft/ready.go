package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// Ready holds the work that the caller has to perform. The caller writes Snapshot, then
// Entries, HardState, Marks and Identity in one synced write and calls Advance. It may
// send Messages and apply Committed before the write is done. The contents are read-only.
type Ready struct {
	Snapshot  *wire.Snapshot   // replaces the whole log and state; nil if none
	Entries   []*wire.LogEntry // replace the stored entries from the index of the first one on
	HardState *wire.HardState  // nil if unchanged
	Marks     []*wire.PeerMark // those that changed
	Identity  *wire.Identity   // nil if unchanged
	Messages  []*wire.RaftMessage
	Committed []*wire.LogEntry // to apply, in log order
	Reads     []ReadState      // results of ReadIndex

	needsSync bool
}

// NeedsSync reports whether a synced write must precede Advance.
func (r *Ready) NeedsSync() bool { return r.needsSync }

// pendingWrite is the write that was returned by Ready and awaits Advance.
type pendingWrite struct {
	snapshotIndex uint64
	lastIndex     uint64
	lastTerm      uint64
	hardState     *wire.HardState
	messages      []*wire.RaftMessage
	started       monotime
}

func (c *Core) hardState() *wire.HardState {
	return &wire.HardState{Term: c.term, Vote: c.vote, Commit: c.commit, LeaderTerm: c.leaderTerm}
}

// mustSync reports whether state has changed that messages may depend on. A change of the
// commit index alone needs no sync: it is written with the next change, and a restarted
// replica gets it from the leader.
func (c *Core) mustSync() bool {
	s := c.syncedHardState
	return c.term != s.Term || c.vote != s.Vote || c.leaderTerm != s.LeaderTerm ||
		c.pendingSnapshot != nil || c.synced < c.log.last() || c.marksNeedSync
}

// HasReady reports whether Ready(apply) would return any work. While a write is pending,
// Ready returns only messages, committed entries and read results.
func (c *Core) HasReady(apply bool) bool {
	if len(c.messages) > 0 || len(c.readStates) > 0 || apply && c.applied < c.applicableIndex() {
		return true
	}
	if c.state == leader && c.commit > c.notifiedCommit {
		return true
	}
	return c.pendingWrite == nil && (len(c.afterSync) > 0 || c.mustSync())
}

// applicableIndex returns the index up to which entries may be applied, 0 while a leader's
// snapshot is being installed.
func (c *Core) applicableIndex() uint64 {
	if c.pendingSnapshot != nil {
		return 0
	}
	return c.commit
}

// Ready returns the work that is due, with committed entries only if apply is true. If a
// write is pending afterwards, Advance must be called once it is done.
func (c *Core) Ready(apply bool) Ready {
	c.notifyCommit()
	rd := Ready{Messages: c.messages, Reads: c.readStates}
	c.messages = nil
	c.readStates = nil
	if apply && c.applied < c.applicableIndex() {
		rd.Committed = c.log.slice(c.applied+1, c.commit, 4*c.cfg.MaxAppendBytes)
		c.applied += uint64(len(rd.Committed))
	}
	if c.pendingWrite == nil && (len(c.afterSync) > 0 || c.mustSync()) {
		c.beginWrite(&rd)
	}
	return rd
}

// WritePending reports whether a write returned by Ready awaits Advance.
func (c *Core) WritePending() bool { return c.pendingWrite != nil }

func (c *Core) beginWrite(rd *Ready) {
	write := &pendingWrite{messages: c.afterSync, hardState: c.hardState(), started: c.lastNow}
	c.afterSync = nil
	c.pendingWrite = write
	rd.needsSync = c.mustSync()
	if !rd.needsSync {
		return
	}
	from := c.synced + 1
	if c.pendingSnapshot != nil {
		rd.Snapshot = c.pendingSnapshot
		write.snapshotIndex = c.pendingSnapshot.Meta.Index
		from = write.snapshotIndex + 1
	}
	rd.Entries = c.log.slice(from, c.log.last(), 0)
	write.lastIndex = c.log.last()
	write.lastTerm = c.log.lastTerm()
	rd.HardState = write.hardState
	rd.Marks = c.takeDirtyMarks()
	if c.identityDirty {
		c.identityDirty = false
		rd.Identity = proto.CloneOf(c.identity)
	}
}

func (c *Core) takeDirtyMarks() []*wire.PeerMark {
	ids := make([]uint64, 0, len(c.dirtyMarks))
	for id := range c.dirtyMarks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	out := make([]*wire.PeerMark, 0, len(ids))
	for _, id := range ids {
		out = append(out, cloneMark(c.marks[id]))
	}
	clear(c.dirtyMarks)
	c.marksNeedSync = false
	return out
}

// Advance marks the pending write as synced and returns the messages that depended on it.
// An error is final.
func (c *Core) Advance(now time.Duration) ([]*wire.RaftMessage, error) {
	write := c.pendingWrite
	if write == nil {
		return nil, c.err
	}
	c.pendingWrite = nil
	c.syncedHardState = write.hardState
	c.advanceSnapshot(write)
	t, ok := c.log.term(write.lastIndex)
	if c.pendingSnapshot == nil && ok && t == write.lastTerm {
		c.synced = max(c.synced, write.lastIndex)
	}
	c.commitSynced()
	if err := c.beginEvent(now); err != nil {
		return nil, err
	}
	c.advanceCommit(c.lastNow)
	c.maybeSendTimeoutNow()
	if err := c.checkInvariants(); err != nil {
		return nil, err
	}
	return write.messages, nil
}

func (c *Core) advanceSnapshot(write *pendingWrite) {
	if write.snapshotIndex == 0 || c.pendingSnapshot == nil {
		return
	}
	c.snapshot = c.pendingSnapshot.Meta
	c.synced = max(c.synced, write.snapshotIndex)
	c.applied = max(c.applied, write.snapshotIndex)
	c.commit = max(c.commit, write.snapshotIndex)
	c.pendingSnapshot = nil
}

// SnapshotMetaAt returns the metadata of a snapshot of the state applied up to index, or
// false if the log doesn't hold that position, index is not applied, or a leader's
// snapshot is being installed.
func (c *Core) SnapshotMetaAt(index uint64) (*wire.SnapshotMeta, bool) {
	t, ok := c.log.term(index)
	if !ok || index > c.applied || c.pendingSnapshot != nil {
		return nil, false
	}
	return &wire.SnapshotMeta{Index: index, Term: t, Membership: c.confAtIndex(index)}, true
}

// Compact removes the log entries up to base after the caller has stored a snapshot with
// the metadata meta. It does nothing if the snapshot is outdated or beyond the applied
// index, or if a leader's snapshot is being installed. An error is final.
func (c *Core) Compact(meta *wire.SnapshotMeta, base uint64) error {
	if c.err != nil {
		return c.err
	}
	if meta.Index <= c.snapshot.GetIndex() || meta.Index > c.applied || c.pendingSnapshot != nil {
		return nil
	}
	c.snapshot = meta
	c.log.compact(min(base, meta.Index))
	n := 0
	for n+1 < len(c.confs) && c.confs[n+1].index <= meta.Index {
		n++
	}
	c.confs = append([]indexedConf(nil), c.confs[n:]...)
	return c.checkInvariants()
}
