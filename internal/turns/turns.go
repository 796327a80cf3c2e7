// Package turns decides when a VM may send orders to runners after other VMs have. Runners that
// don't check fencing tokens can't tell the orders of two coordinators apart, so within an
// interval no VM may send orders before and after those of another one.
//
// The replicated log names the VMs whose orders may be younger than the interval, in their order
// (state.Machine.Holders); each VM records itself there before its first order. When its own last
// order was, a VM knows for its current process only.
package turns

import (
	"time"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/wire"
)

// Time is a monotonic time since an epoch chosen by the caller.
type Time = time.Duration

// orderTransit bounds the time from the end of a call, or of the process, to the arrival of its
// order at a runner.
const orderTransit = 100 * time.Millisecond

// Keeper keeps one VM to its turns. It is not safe for concurrent use.
type Keeper struct {
	address   string // of this VM
	interval  time.Duration
	lastOrder Time // orders of this VM were sent no later
}

// New returns the keeper of the VM at an address, whose process started at the given time: an
// earlier process may have sent orders until then. The interval is 0 where runners check fencing
// tokens; then there is never a wait.
func New(address string, interval time.Duration, started Time) *Keeper {
	return &Keeper{address: address, interval: interval, lastOrder: started}
}

// Interval returns the interval between turns, 0 without one.
func (k *Keeper) Interval() time.Duration { return k.interval }

// OrderEnded records that the call of an order has ended, with or without an answer.
func (k *Keeper) OrderEnded(now Time) { k.lastOrder = max(k.lastOrder, now) }

// Wait returns how long this VM, once it leads, must not send orders. If the VM was the last one
// to send orders, or isn't among the holders, it needn't wait. complete is false if earlier
// versions, which record no holders, may have sent orders.
func (k *Keeper) Wait(now Time, holders []*wire.Holder, complete bool) time.Duration {
	n := len(holders)
	switch {
	case k.interval <= 0,
		n > 0 && holders[n-1].Address == k.address,
		complete && !isHolder(holders, k.address):
		return 0
	}
	return max(0, k.lastOrder+k.interval+orderTransit-now)
}

// Successor returns the id of a voter that could send orders at once if it led, or 0 if none is
// known. A voter that sent no orders lately is preferred to the last holder, which may be in
// trouble. s is the status of this VM as leader.
func (k *Keeper) Successor(holders []*wire.Holder, s replica.Status) uint64 {
	if len(holders) == 0 {
		return 0
	}
	var fresh, last uint64
	for _, m := range s.Members {
		if m.Learner || m.Address == k.address || !s.Active[m.Id] {
			continue
		}
		switch {
		case !isHolder(holders, m.Address):
			if fresh == 0 || s.Match[m.Id] > s.Match[fresh] {
				fresh = m.Id
			}
		case holders[len(holders)-1].Address == m.Address:
			last = m.Id
		}
	}
	if fresh != 0 {
		return fresh
	}
	return last
}

func isHolder(holders []*wire.Holder, address string) bool {
	for _, h := range holders {
		if h.Address == address {
			return true
		}
	}
	return false
}
