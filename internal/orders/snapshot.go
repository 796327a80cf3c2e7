package orders

import (
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/placement"
	"gentiankeel/internal/wire"
)

// UsageFunc returns the number of running attempts on a model or adapter of an upstream and the
// time of its last use.
type UsageFunc func(upstream, model, adapter string) (running int, lastUsed Time)

// Snapshot returns the input for a plan. The caller adds demand, settings and the wall
// clock. If usage is nil, nothing counts as running. An unload issued by another process is
// sent only after a snapshot has shown that nothing runs on its subject.
func (c *Core) Snapshot(now Time, usage UsageFunc) placement.Input {
	c.now = max(c.now, now)
	in := placement.Input{Now: c.now, Cell: c.opts.Cell, Spec: c.spec}
	if !c.started {
		return in
	}
	for _, u := range c.sortedUpstreams {
		if u.record.GetService() == "" && u.record.GetIncarnation() != 0 {
			in.Runners = append(in.Runners, c.runnerSnapshot(u, usage))
		}
	}
	in.Budget = c.budget()
	return in
}

func (c *Core) runnerSnapshot(u *trackedUpstream, usage UsageFunc) placement.Runner {
	runner := placement.Runner{
		ID: u.record.GetId(), Incarnation: u.record.GetIncarnation(), Zone: u.record.GetZone(),
		MemoryMiB: u.record.GetMemoryMib(), Slots: int(u.record.GetSlots()), Leaving: u.leaving,
		Suspect: !c.acceptsOrders(u), Checkpoints: u.checkpointTiers,
	}
	for _, r := range u.reservations {
		runner.Allocations = append(runner.Allocations, c.allocationOf(u, r, usage))
	}
	for i := range u.orphans {
		held := &u.orphans[i]
		runner.Allocations = append(runner.Allocations, placement.Allocation{
			OrderID: held.OrderID, Model: held.Model, Version: held.Version, Adapter: held.Adapter,
			MemoryMiB: held.MemoryMiB, State: placement.Unloading, // unless it is adopted
		})
	}
	slices.SortStableFunc(runner.Allocations, func(a, b placement.Allocation) int {
		return strings.Compare(a.Model+"\x00"+a.Adapter, b.Model+"\x00"+b.Adapter)
	})
	return runner
}

// allocationOf describes a reservation for a plan and records whether it is idle.
func (c *Core) allocationOf(u *trackedUpstream, r *reservation, usage UsageFunc) placement.Allocation {
	allocation := placement.Allocation{
		OrderID: r.load.GetId(), Model: r.load.GetModel(), Version: r.load.GetVersion(),
		Adapter: r.load.GetAdapter(), MemoryMiB: r.load.GetMemoryMib(), State: r.allocationState(),
		LoadedAt: r.loadedAt, LastUsed: r.loadedAt, EvictedFor: r.roomFor,
	}
	if allocation.State == placement.Loaded && u.hasUnsettledModel(r) {
		allocation.State = placement.Unloading // an adapter is unloaded with its model
	}
	r.idle = !c.inTakeover()
	if usage != nil {
		running, last := usage(u.record.GetId(), allocation.Model, allocation.Adapter)
		allocation.Running = running
		r.idle = r.idle && running == 0
		allocation.LastUsed = max(allocation.LastUsed, last)
	}
	return allocation
}

func (r *reservation) allocationState() placement.AllocationState {
	switch {
	case r.lost != nil:
		return placement.OutcomeUnknown
	case r.open == nil:
		return placement.Loaded
	case r.loaded:
		return placement.Unloading
	case r.open.phase == phaseOutcomeKnown && r.open.outcome == loadedState:
		return placement.Loaded
	case r.open.phase == phaseCommitUnknown || r.open.phase == phaseOutcomeUnknown || r.open.phase == phaseOutcomeKnown:
		return placement.OutcomeUnknown
	default:
		return placement.Loading
	}
}

// budget returns the loads that the weight store and the adapter path can take now.
func (c *Core) budget() placement.Budget {
	c.refillTokens()
	b := placement.Budget{
		StoreStarts: int(c.storeTokens), StoreMax: c.opts.MaxStoreLoads, AdapterMax: c.opts.MaxAdapterLoads,
	}
	for _, u := range c.sortedUpstreams {
		for _, r := range u.reservations {
			if r.open == nil || r.loaded || r.open.phase == phaseOutcomeKnown {
				continue
			}
			switch {
			case r.load.GetAdapter() != "":
				b.AdapterInFlight++
			case r.open.tier == wire.Tier_TIER_REMOTE:
				b.StoreInFlight++
			}
		}
	}
	return b
}

// refillTokens refills the token bucket of loads from the weight store, which holds
// MaxStoreLoads tokens, but at least one.
func (c *Core) refillTokens() {
	elapsed := c.now - c.storeTokensAt
	c.storeTokensAt = c.now
	c.storeTokens = min(c.storeTokens+c.opts.StoreLoadsPerSecond*elapsed.Seconds(), max(1, float64(c.opts.MaxStoreLoads)))
}

// Deadline returns the latest time of the next Tick.
func (c *Core) Deadline() Time { return c.now + tickInterval }

// tickInterval is the longest time between two ticks.
const tickInterval = 50 * time.Millisecond
