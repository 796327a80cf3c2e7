package orders

import (
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/placement"
	"gentiankeel/internal/wire"
)

// Usage tells what the grant core knows of a model or adapter on an upstream: attempts
// that run and the time of the last one.
type Usage func(upstream, model, adapter string) (running int, lastUsed Time)

// Snapshot returns the input for a plan. The caller adds demand, settings and the wall
// clock. usage may be nil. Unloads that another process decided are sent only after a
// snapshot has shown that nothing runs on what they end.
func (c *Core) Snapshot(now Time, usage Usage) placement.Input {
	c.now = max(c.now, now)
	in := placement.Input{Now: c.now, Cell: c.o.Cell, Spec: c.spec}
	if !c.started {
		return in
	}
	for _, n := range c.order {
		if n.rec.GetService() == "" && n.rec.GetIncarnation() != 0 {
			in.Runners = append(in.Runners, c.runner(n, usage))
		}
	}
	in.Budget = c.budget()
	return in
}

func (c *Core) runner(n *node, usage Usage) placement.Runner {
	r := placement.Runner{
		ID: n.rec.GetId(), Incarnation: n.rec.GetIncarnation(), Zone: n.rec.GetZone(),
		MemoryMiB: n.rec.GetMemoryMib(), Slots: int(n.rec.GetSlots()), Leaving: n.leaving,
		Suspect: !c.mayOrder(n), Checkpoints: n.tiers,
	}
	for _, h := range n.holds {
		r.Held = append(r.Held, c.held(n, h, usage))
	}
	for i := range n.strays {
		s := &n.strays[i]
		r.Held = append(r.Held, placement.Held{
			OrderID: s.OrderID, Model: s.Model, Version: s.Version, Adapter: s.Adapter,
			MemoryMiB: s.MemoryMiB, State: placement.Unloading, // unless it gets adopted
		})
	}
	slices.SortStableFunc(r.Held, func(a, b placement.Held) int {
		return strings.Compare(a.Model+"\x00"+a.Adapter, b.Model+"\x00"+b.Adapter)
	})
	return r
}

func (c *Core) held(n *node, h *hold, usage Usage) placement.Held {
	p := placement.Held{
		OrderID: h.load.GetId(), Model: h.load.GetModel(), Version: h.load.GetVersion(),
		Adapter: h.load.GetAdapter(), MemoryMiB: h.load.GetMemoryMib(), State: h.state(),
		Since: h.since, LastUsed: h.since, RoomFor: h.roomFor,
	}
	if p.State == placement.Loaded && n.modelUnloads(h) {
		p.State = placement.Unloading // it goes along with its model
	}
	h.idle = !c.inTakeover()
	if usage != nil {
		running, last := usage(n.rec.GetId(), p.Model, p.Adapter)
		p.Running = running
		h.idle = h.idle && running == 0
		p.LastUsed = max(p.LastUsed, last)
	}
	return p
}

func (h *hold) state() placement.HeldState {
	switch {
	case h.lost != nil:
		return placement.Unsettled
	case h.open == nil:
		return placement.Loaded
	case h.loaded:
		return placement.Unloading
	case h.open.phase == phaseKnown && h.open.outcome == loadedState:
		return placement.Loaded
	case h.open.phase == phaseGhost || h.open.phase == phaseUnsure || h.open.phase == phaseKnown:
		return placement.Unsettled
	default:
		return placement.Loading
	}
}

// budget counts what the weight store and the adapter path can take now.
func (c *Core) budget() placement.Budget {
	c.refillTokens()
	b := placement.Budget{
		StoreStarts: int(c.tokens), StoreMax: c.o.StoreMax, AdapterMax: c.o.AdapterMax,
	}
	for _, n := range c.order {
		for _, h := range n.holds {
			if h.open == nil || h.loaded || h.open.phase == phaseKnown {
				continue
			}
			switch {
			case h.load.GetAdapter() != "":
				b.AdapterInFlight++
			case h.open.tier == wire.Tier_TIER_REMOTE:
				b.StoreInFlight++
			}
		}
	}
	return b
}

// refillTokens lets the weight store's rate grow back, up to one load for each place.
func (c *Core) refillTokens() {
	elapsed := c.now - c.tokensAt
	c.tokensAt = c.now
	c.tokens = min(c.tokens+c.o.StoreRate*elapsed.Seconds(), max(1, float64(c.o.StoreMax)))
}

// Deadline returns when the core next wants a Tick, at the latest.
func (c *Core) Deadline() Time { return c.now + tickEvery }

const tickEvery = 50 * time.Millisecond
