package view

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

// Follower holds the newest snapshot, and the lease under which the node may act on it.
// It is safe for concurrent use.
type Follower struct {
	patch Patcher
	now   func() time.Time

	mu       sync.RWMutex
	current  *Snapshot
	leaseEnd time.Time // end of the lease; zero before the first renewal
}

// NewFollower returns a follower with an empty snapshot and no lease. The times that now
// returns must carry a monotonic clock reading.
func NewFollower(patch Patcher, now func() time.Time) *Follower {
	return &Follower{patch: patch, now: now, current: Empty()}
}

// Apply applies a delta to the current snapshot. Its errors are those of Snapshot.Apply;
// callers may ignore ErrStaleDelta, since the follower already holds a newer state.
func (f *Follower) Apply(d *wire.Delta) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := f.current.Apply(d, f.patch)
	if err != nil {
		return errors.WithMessagef(err, "delta of index %d at index %d", d.GetIndex(), f.current.Index)
	}
	f.current = next
	return nil
}

// Renew extends the lease to ttl after sentAt, the time at which the renewal was sent.
// Counting from the receipt of the answer would lengthen the lease by the answer's delay.
// Renew never shortens the lease.
func (f *Follower) Renew(sentAt time.Time, ttl time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if end := sentAt.Add(ttl); end.After(f.leaseEnd) {
		f.leaseEnd = end
	}
}

// Current returns the newest snapshot and whether the lease is still valid.
func (f *Follower) Current() *View {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return &View{Snapshot: f.current, Fresh: f.now().Before(f.leaseEnd)}
}
