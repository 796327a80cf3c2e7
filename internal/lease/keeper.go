// Package lease implements both sides of leases whose renewals are not written to the log:
// the keeper at the leader of the control group, which decides when a lease has expired, and
// the term at the holder, which decides until when the holder may act. Each uses its own
// monotonic clock, so only the rates of the clocks need to agree.
package lease

import (
	"sort"
	"time"

	"gentiankeel/internal/wire"
)

// Keeper decides at the leader which leases have expired. It does no I/O; times are on the
// leader's monotonic clock. It is not safe for concurrent use.
type Keeper struct {
	leading bool
	leases  map[string]*trackedLease
}

// trackedLease is the state of one granted lease.
type trackedLease struct {
	fence  uint64
	ttl    time.Duration
	expiry time.Duration // on the leader's clock
}

// Expired is a lease that was not renewed in time.
type Expired struct {
	Name  string
	Fence uint64
}

// NewKeeper returns a keeper that does not lead.
func NewKeeper() *Keeper { return &Keeper{leases: map[string]*trackedLease{}} }

// StartLeading starts a term of leadership with the leases of the replicated state. Each
// lease gets its full TTL again, because renewals at the former leader are not replicated.
func (k *Keeper) StartLeading(now time.Duration, leases []*wire.Lease) {
	k.leading = true
	k.leases = make(map[string]*trackedLease, len(leases))
	for _, l := range leases {
		k.track(now, l)
	}
}

// StopLeading ends a term of leadership and drops the leases.
func (k *Keeper) StopLeading() {
	k.leading = false
	k.leases = map[string]*trackedLease{}
}

// Leading reports whether the keeper is in a term of leadership.
func (k *Keeper) Leading() bool { return k.leading }

// RecordGrant starts a lease that the log has granted, or extends it if it is granted again under
// the same fencing number. It has no effect while the keeper does not lead.
func (k *Keeper) RecordGrant(now time.Duration, l *wire.Lease) {
	if !k.leading {
		return
	}
	if tracked, ok := k.leases[l.Name]; ok && tracked.fence == l.Fence {
		tracked.expiry = now + tracked.ttl
		return
	}
	k.track(now, l)
}

// RecordEnd removes a lease that the log has ended. It has no effect for another fencing number.
func (k *Keeper) RecordEnd(name string, fence uint64) {
	if tracked, ok := k.leases[name]; ok && tracked.fence == fence {
		delete(k.leases, name)
	}
}

// Renew extends a lease and reports whether it is still held under the fencing number. An
// expired lease is not renewed: its end may already be in the log.
func (k *Keeper) Renew(now time.Duration, name string, fence uint64) bool {
	tracked, ok := k.leases[name]
	if !k.leading || !ok || tracked.fence != fence || now >= tracked.expiry {
		return false
	}
	tracked.expiry = now + tracked.ttl
	return true
}

// ExpiredLeases returns the expired leases, sorted by name. A lease is returned again until
// the log has ended it.
func (k *Keeper) ExpiredLeases(now time.Duration) []Expired {
	if !k.leading {
		return nil
	}
	var expired []Expired
	for name, tracked := range k.leases {
		if now >= tracked.expiry {
			expired = append(expired, Expired{Name: name, Fence: tracked.fence})
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].Name < expired[j].Name })
	return expired
}

func (k *Keeper) track(now time.Duration, l *wire.Lease) {
	ttl := time.Duration(l.TtlMs) * time.Millisecond
	k.leases[l.Name] = &trackedLease{fence: l.Fence, ttl: ttl, expiry: now + ttl}
}
