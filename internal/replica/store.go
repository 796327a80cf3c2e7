package replica

import (
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

// errStorage marks all storage errors as fatal. A disk that fails a write may have lost
// earlier ones too, so the replica must stop.
var errStorage = errors.New("storage failed")

// storeJob is one write, either of a Ready or of a snapshot taken by this replica.
type storeJob struct {
	ready    *raft.Ready
	snapshot *wire.Snapshot
	base     uint64 // with a snapshot: the log is compacted up to this index
	baseTerm uint64 // term of the entry at base
}

type storeResult struct {
	job storeJob
	err error
}

// storeLoop runs the store jobs one at a time.
func (n *Node) storeLoop() {
	defer n.wg.Done()
	for job := range n.storeJobs {
		begin := time.Now()
		err := n.write(job)
		n.observeWrite(time.Since(begin), job)
		select {
		case n.storeResults <- storeResult{job: job, err: err}:
		case <-n.done:
		}
	}
}

const (
	// diskFullRetryInterval is the time between two attempts to write to a full disk.
	diskFullRetryInterval = 50 * time.Millisecond
	// snapshotRetryInterval is the time between two attempts to store a snapshot for which the disk has no
	// room. Each writes the whole state.
	snapshotRetryInterval = time.Second
)

// write runs one job. While the disk is full, it retries a Ready until a stop: a write that fails
// with ENOSPC is rejected as a whole and loses no earlier one, and nothing is acknowledged
// meanwhile. A snapshot of this replica is not retried here, as a disk without room for it may still
// take the log.
func (n *Node) write(job storeJob) error {
	if job.ready == nil {
		return n.store.SaveSnapshot(job.snapshot, job.base, job.baseTerm)
	}
	for retries := 0; ; retries++ {
		err := n.store.Save(job.ready)
		if !errors.Is(err, syscall.ENOSPC) {
			if retries > 0 {
				n.log.Info("Retries on a full disk ended.", "tries", retries, "error", err)
			}
			return err
		}
		if retries == 0 {
			n.log.Error("Disk is full; retrying the write until there is space.", "error", err)
		}
		select {
		case <-time.After(diskFullRetryInterval):
		case <-n.stopping:
			return err
		case <-n.done:
			return err
		}
	}
}

// observeWrite records the duration of a write. It logs a warning from half an election
// timeout on, since a leader steps down when a write is pending for a whole one.
func (n *Node) observeWrite(took time.Duration, job storeJob) {
	n.metrics.sync.Observe(took.Seconds())
	if took > n.opts.ElectionTimeout/2 {
		n.log.Warn("Slow disk write.", "took", took, "snapshot", job.snapshot != nil)
	}
}

// isWritingReady reports whether storeLoop is writing a Ready.
func (n *Node) isWritingReady() bool { return n.writingReady }

// startNextWrite starts the next store job unless one is running. Writes of a Ready take
// precedence over snapshots.
func (n *Node) startNextWrite() {
	if n.storageBusy {
		return
	}
	switch {
	case n.pendingWrite != nil:
		n.storageBusy = true
		n.writingReady = true
		n.storeJobs <- *n.pendingWrite
		n.pendingWrite = nil
	case n.pendingSnapshot != nil && n.now() >= n.nextSnapshotWrite:
		job, ok := n.snapshotJob(n.pendingSnapshot)
		n.pendingSnapshot = nil
		if ok {
			n.storageBusy = true
			n.storeJobs <- job
		}
	}
}

// snapshotJob returns the job that stores a snapshot taken by this replica, or false if
// the snapshot is outdated.
func (n *Node) snapshotJob(snap *wire.Snapshot) (storeJob, bool) {
	meta, ok := n.core.SnapshotMetaAt(snap.Meta.Index)
	if !ok || meta.Index <= n.snapshot.GetMeta().GetIndex() {
		return storeJob{}, false
	}
	base := n.core.BaseIndex()
	if meta.Index > retainedEntries {
		base = max(base, meta.Index-retainedEntries)
	}
	baseMeta, ok := n.core.SnapshotMetaAt(base)
	if !ok {
		return storeJob{}, false
	}
	snap.Meta = meta
	return storeJob{snapshot: snap, base: base, baseTerm: baseMeta.Term}, true
}

func (n *Node) onStored(res storeResult) error {
	n.storageBusy = false
	if res.job.ready == nil && errors.Is(res.err, syscall.ENOSPC) {
		n.retrySnapshot(res)
		return nil
	}
	if res.err != nil {
		return errors.Wrapf(errStorage, "%v", res.err)
	}
	if res.job.ready == nil {
		n.nextSnapshotWrite = 0
		n.snapshot = res.job.snapshot
		n.metrics.snapshots.Inc()
		return n.core.Compact(res.job.snapshot.Meta, res.job.base)
	}
	n.writingReady = false
	if snap := res.job.ready.Snapshot; snap != nil {
		n.onSnapshotInstalled(snap)
	}
	return n.advance()
}

// retrySnapshot has a snapshot for which the disk has no room stored later, unless a newer one is due by then.
func (n *Node) retrySnapshot(res storeResult) {
	if n.nextSnapshotWrite == 0 {
		n.log.Error("No room on the disk for a snapshot; the log grows until there is.", "index", res.job.snapshot.Meta.Index, "error", res.err)
	}
	n.nextSnapshotWrite = n.now() + snapshotRetryInterval
	if n.pendingSnapshot == nil {
		n.pendingSnapshot = res.job.snapshot
	}
}

// onSnapshotInstalled queues the restore of a leader's snapshot, after the entries that are
// queued for applying.
func (n *Node) onSnapshotInstalled(snap *wire.Snapshot) {
	n.snapshot = snap
	n.pendingSnapshot = nil
	n.failWaiters(ErrUnknownOutcome)
	n.applyQueue = append(n.applyQueue, applyJob{restore: snap})
	n.log.Info("Stored a snapshot from the leader.", "index", snap.Meta.Index)
}
