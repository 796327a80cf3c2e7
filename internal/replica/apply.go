package replica

import (
	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

// applyJob is either a run of committed entries or a state to restore.
type applyJob struct {
	entries []*wire.LogEntry
	waiters []*waiter // one for each entry; nil where nobody waits here
	restore *wire.Snapshot
}

type applyResult struct {
	index    uint64
	snapshot *wire.Snapshot // taken after the run; its meta holds the index only
	err      error
}

// sinceSnapshot counts what was applied after the last snapshot.
type sinceSnapshot struct {
	entries uint64
	bytes   int
}

// applyLoop is the only caller of the state machine.
func (n *Node) applyLoop() {
	defer n.wg.Done()
	var since sinceSnapshot
	for job := range n.applyJobs {
		res := n.apply(job, &since)
		select {
		case n.applied <- res:
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
		if e.Type == wire.EntryType_ENTRY_NORMAL {
			answer = n.opts.Machine.Apply(e.Index, e.Data)
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
		// The log keeps growing; the next run tries again.
		n.log.Error("Snapshot of the state failed.", "index", res.index, "error", err)
		return res
	}
	res.snapshot = &wire.Snapshot{Meta: &wire.SnapshotMeta{Index: res.index}, Data: data}
	return res
}

// queueApply attaches the waiting proposers to committed entries.
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
	n.appliedTo = max(n.appliedTo, res.index)
	if res.snapshot != nil {
		n.snapToStore = res.snapshot
	}
	n.reads.release(n.appliedTo)
	return nil
}
