package replica

import (
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

// errStorage marks every error of the storage. A disk that failed a write may have lost
// earlier ones, so that the replica must not go on.
var errStorage = errors.New("storage failed")

// storeJob is one write: of a Ready, or of an own snapshot.
type storeJob struct {
	ready    *raft.Ready
	snapshot *wire.Snapshot
	base     uint64
	baseTerm uint64
}

type storeResult struct {
	job storeJob
	err error
}

// storeLoop carries out writes, one at a time.
func (n *Node) storeLoop() {
	defer n.wg.Done()
	for job := range n.storeJobs {
		begin := time.Now()
		err := n.write(job)
		n.noteWrite(time.Since(begin), job)
		select {
		case n.stored <- storeResult{job: job, err: err}:
		case <-n.done:
		}
	}
}

// fullDiskPause is the time between two tries to write to a full disk.
const fullDiskPause = 50 * time.Millisecond

// write carries one job out. A full disk refuses a write as a whole and has lost none
// before: the replica waits for room and acknowledges nothing meanwhile.
func (n *Node) write(job storeJob) error {
	for tries := 0; ; tries++ {
		var err error
		if job.ready != nil {
			err = n.store.Save(job.ready)
		} else {
			err = n.store.SaveSnapshot(job.snapshot, job.base, job.baseTerm)
		}
		if !errors.Is(err, syscall.ENOSPC) {
			if tries > 0 {
				n.log.Info("The disk takes writes again.", "tries", tries, "error", err)
			}
			return err
		}
		if tries == 0 {
			n.log.Error("The disk is full; the replica waits for room.", "error", err)
		}
		select {
		case <-time.After(fullDiskPause):
		case <-n.stopping:
			return err
		case <-n.done:
			return err
		}
	}
}

// noteWrite warns of writes that come near to ending a leadership.
func (n *Node) noteWrite(took time.Duration, job storeJob) {
	n.metrics.sync.Observe(took.Seconds())
	if took > n.opts.ElectionTimeout/2 {
		n.log.Warn("Disk write was slow.", "took", took, "snapshot", job.snapshot != nil)
	}
}

// writing reports whether a Ready is with the storage goroutine.
func (n *Node) writing() bool { return n.readyInStore }

// startStore hands the storage its next job; writes of the log go first.
func (n *Node) startStore() {
	if n.storing {
		return
	}
	switch {
	case n.nextWrite != nil:
		n.storing = true
		n.readyInStore = true
		n.storeJobs <- *n.nextWrite
		n.nextWrite = nil
	case n.snapToStore != nil:
		job, ok := n.snapshotJob(n.snapToStore)
		n.snapToStore = nil
		if ok {
			n.storing = true
			n.storeJobs <- job
		}
	}
}

// snapshotJob returns the write of an own snapshot, or false where it is outdated.
func (n *Node) snapshotJob(snap *wire.Snapshot) (storeJob, bool) {
	meta, ok := n.core.MetaAt(snap.Meta.Index)
	if !ok || meta.Index <= n.snapshot.GetMeta().GetIndex() {
		return storeJob{}, false
	}
	base := n.core.BaseIndex()
	if meta.Index > trailEntries {
		base = max(base, meta.Index-trailEntries)
	}
	at, ok := n.core.MetaAt(base)
	if !ok {
		return storeJob{}, false
	}
	snap.Meta = meta
	return storeJob{snapshot: snap, base: base, baseTerm: at.Term}, true
}

func (n *Node) onStored(res storeResult) error {
	n.storing = false
	if res.err != nil {
		return errors.Wrapf(errStorage, "%v", res.err)
	}
	if res.job.ready == nil {
		n.snapshot = res.job.snapshot
		n.metrics.snapshots.Inc()
		return n.core.Compacted(res.job.snapshot.Meta, res.job.base)
	}
	n.readyInStore = false
	if snap := res.job.ready.Snapshot; snap != nil {
		n.installed(snap)
	}
	return n.advance()
}

// installed lets a leader's snapshot replace the state, after what was committed before.
func (n *Node) installed(snap *wire.Snapshot) {
	n.snapshot = snap
	n.snapToStore = nil
	n.failWaiters(ErrUnknownOutcome)
	n.applyQueue = append(n.applyQueue, applyJob{restore: snap})
	n.log.Info("Snapshot of the leader is stored.", "index", snap.Meta.Index)
}
