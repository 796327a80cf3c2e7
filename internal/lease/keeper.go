// Package lease holds the two sides of leases whose renewals are not logged: the
// keeper at the leader of the control group, which decides when a lease has ended, and
// the term at the holder, which decides until when it may act. Both work on their own
// monotonic clock, so that clocks need to agree on rates only.
package lease

import (
	"sort"
	"time"

	"gentiankeel/internal/wire"
)

// Keeper decides at the leader which leases have run out. It is a pure core; time is
// the leader's monotonic clock.
type Keeper struct {
	leading bool
	leases  map[string]*entry
}

type entry struct {
	fence  uint64
	ttl    time.Duration
	expiry time.Duration
}

// Expired is a lease that ran out without a renewal.
type Expired struct {
	Name  string
	Fence uint64
}

// NewKeeper returns a keeper that does not lead.
func NewKeeper() *Keeper { return &Keeper{leases: map[string]*entry{}} }

// Lead starts a term of leadership with the leases of the replicated state. Each gets
// its whole span anew, because the new leader does not know the last renewal that the
// former one gave.
func (k *Keeper) Lead(now time.Duration, leases []*wire.Lease) {
	k.leading = true
	k.leases = make(map[string]*entry, len(leases))
	for _, l := range leases {
		k.put(now, l)
	}
}

// Follow ends a term of leadership.
func (k *Keeper) Follow() {
	k.leading = false
	k.leases = map[string]*entry{}
}

// Leading reports whether a term of leadership is open.
func (k *Keeper) Leading() bool { return k.leading }

// Granted records a lease granted by the log.
func (k *Keeper) Granted(now time.Duration, l *wire.Lease) {
	if !k.leading {
		return
	}
	if have, ok := k.leases[l.Name]; ok && have.fence == l.Fence {
		have.expiry = now + have.ttl
		return
	}
	k.put(now, l)
}

// Ended forgets a lease that the log has ended.
func (k *Keeper) Ended(name string, fence uint64) {
	if have, ok := k.leases[name]; ok && have.fence == fence {
		delete(k.leases, name)
	}
}

// Renew extends a lease and reports whether it is still held under the fence number.
// One that has run out is not revived: its end may be in the log already.
func (k *Keeper) Renew(now time.Duration, name string, fence uint64) bool {
	have, ok := k.leases[name]
	if !k.leading || !ok || have.fence != fence || now >= have.expiry {
		return false
	}
	have.expiry = now + have.ttl
	return true
}

// Expire returns the leases that ran out, sorted by name. They stay until Ended.
func (k *Keeper) Expire(now time.Duration) []Expired {
	if !k.leading {
		return nil
	}
	var out []Expired
	for name, e := range k.leases {
		if now >= e.expiry {
			out = append(out, Expired{Name: name, Fence: e.fence})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (k *Keeper) put(now time.Duration, l *wire.Lease) {
	ttl := time.Duration(l.TtlMs) * time.Millisecond
	k.leases[l.Name] = &entry{fence: l.Fence, ttl: ttl, expiry: now + ttl}
}
