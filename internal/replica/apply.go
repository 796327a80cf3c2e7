package replica

import (
	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

// applyJob is either a batch of committed entries to apply or a snapshot to restore.
type applyJob struct {
	entries []*wire.LogEntry
	waiters []*waiter // one per entry; nil for entries not proposed here
	restore *wire.Snapshot
}

type applyResult struct {
	index    uint64
	snapshot *wire.Snapshot // taken after the batch, nil if none; its Meta holds only the index
	err      error
}

// sinceSnapshot counts the entries and bytes applied since the last snapshot.
type sinceSnapshot struct {
	entries uint64
	bytes   int
}

// applyLoop runs the apply jobs. No other goroutine calls the state machine.
func (n *Node) applyLoop() {
	defer n.wg.Done()
	var since sinceSnapshot
	for job := range n.applyJobs {
		res := n.apply(job, &since)
		select {
		case n.applyResults <- res:
		case <-n.done:
		}
	}
}

func (n *Node) apply(job applyJob, since *sinceSnapshot) applyResult {
	if s := job.restore; s != nil {
		*since = sinceSnapshot{}
		if s.Meta.Index == raft.BootstrapIndex {
			return applyResult{index: s.Meta.Index}
		}
		err := n.opts.Machine.Restore(s.Meta.Index, s.Data)
		return applyResult{index: s.Meta.Index, err: errors.Wrap(err, "restore snapshot")}
	}
	var res applyResult
	for i, e := range job.entries {
		var answer []byte
		switch e.Type {
		case wire.EntryType_ENTRY_NORMAL:
			answer = n.opts.Machine.Apply(e.Index, e.Data)
		case wire.EntryType_ENTRY_NOOP:
			if m, ok := n.opts.Machine.(TermStarter); ok {
				m.StartTerm(e.Index, e.Data)
			}
		}
		res.index = e.Index
		since.entries++
		since.bytes += len(e.Data)
		if w := job.waiters[i]; w != nil {
			w.finish(e, answer)
		}
	}
	if since.entries < n.opts.SnapshotEntries && since.bytes < n.opts.SnapshotBytes {
		return res
	}
	*since = sinceSnapshot{}
	data, err := n.opts.Machine.Snapshot()
	if err != nil {
		// The log can't be compacted until a later snapshot succeeds.
		n.log.Error("Taking a snapshot of the state machine failed.", "index", res.index, "error", err)
		return res
	}
	res.snapshot = &wire.Snapshot{Meta: &wire.SnapshotMeta{Index: res.index}, Data: data}
	return res
}

// queueApply queues committed entries for applying, together with the waiters of their
// proposers.
func (n *Node) queueApply(entries []*wire.LogEntry) {
	if len(entries) == 0 {
		return
	}
	job := applyJob{entries: entries, waiters: make([]*waiter, len(entries))}
	for i, e := range entries {
		if w := n.waiters[e.Index]; w != nil {
			job.waiters[i] = w
			delete(n.waiters, e.Index)
		}
	}
	n.applyQueue = append(n.applyQueue, job)
}

func (n *Node) onApplied(res applyResult) error {
	n.applying = false
	if res.err != nil {
		return res.err
	}
	n.appliedIndex = max(n.appliedIndex, res.index)
	if res.snapshot != nil {
		n.pendingSnapshot = res.snapshot
	}
	n.reads.completeApplied(n.appliedIndex)
	return nil
}
