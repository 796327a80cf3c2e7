package view

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

// Follower keeps the newest snapshot and the lease under which the node may act on
// it. It is safe for concurrent use.
type Follower struct {
	patch Patcher
	now   func() time.Time

	mu    sync.RWMutex
	held  *Snapshot
	until time.Time // end of the lease; zero before the first renewal
}

// NewFollower returns a follower that has heard nothing and is not fresh. now must
// carry a monotonic reading.
func NewFollower(patch Patcher, now func() time.Time) *Follower {
	return &Follower{patch: patch, now: now, held: Empty()}
}

// Apply takes a delta; see Snapshot.Apply for its errors. ErrOlder is harmless: the
// node holds a newer state.
func (f *Follower) Apply(d *wire.Delta) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := f.held.Apply(d, f.patch)
	if err != nil {
		return errors.WithMessagef(err, "delta %d over %d", d.GetIndex(), f.held.Index)
	}
	f.held = next
	return nil
}

// Renew extends the lease to ttl after asked, the time at which the renewal was
// sent: the answer's way back must not lengthen the lease.
func (f *Follower) Renew(asked time.Time, ttl time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until := asked.Add(ttl); until.After(f.until) {
		f.until = until
	}
}

// Current returns the newest snapshot and whether the lease still runs.
func (f *Follower) Current() *View {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return &View{Snapshot: f.held, Fresh: f.now().Before(f.until)}
}
