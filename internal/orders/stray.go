package orders

import (
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// resolveStrays adopts or unloads what an upstream holds without a decision in the log.
// A model of the applied file that fits its count is adopted: the decision is committed
// under the identity that the upstream reports, and no second load is needed. Anything
// else is unloaded; the log has nothing to commit for it. A former holder's unload could
// still arrive, so both wait until the takeover is over.
func (c *Core) resolveStrays(n *node) {
	if len(n.strays) == 0 || !c.mayOrder(n) || c.inTakeover() || c.now < n.strayNext {
		return
	}
	n.strayNext = c.now + c.o.ResendAfter
	n.dirty = true
	n.readWant = true
	strays := n.strays
	n.strays = nil
	for i := range strays {
		if n.holdOf(strays[i].Model, strays[i].Adapter) != nil {
			n.strays = append(n.strays, strays[i])
			continue // until what the log holds in its place is settled
		}
		if !c.adopt(n, &strays[i]) {
			n.strays = append(n.strays, strays[i])
			c.unloadStray(n, &strays[i])
		}
	}
}

// adopt proposes the decision that a stray lacks.
func (c *Core) adopt(n *node, s *upstream.Held) bool {
	m := c.model(s.Model)
	if n.unloaded[s.OrderID] {
		return false // the unload may arrive late
	}
	if s.OrderID == "" || s.Adapter != "" || s.Loading || m == nil || n.leaving {
		return false
	}
	if m.GetVersion() != s.Version || m.GetMemoryMib() != s.MemoryMiB || n.holdOf(s.Model, "") != nil {
		return false
	}
	if c.replicas(s.Model) >= int(m.GetReplicas()) || n.memory()+n.strayMemory()+s.MemoryMiB > n.rec.GetMemoryMib() {
		return false
	}
	o := &wire.Order{
		Id: s.OrderID, Kind: wire.OrderKind_ORDER_LOAD, Cell: c.o.Cell, Upstream: n.rec.GetId(),
		Incarnation: n.rec.GetIncarnation(), Model: s.Model, Version: s.Version, MemoryMib: s.MemoryMiB,
		SpecIndex: c.spec.GetIndex(), Fence: c.o.Fence, State: wire.OrderState_ORDER_OPEN,
		Reason: "adopted: the upstream holds it", DecidedReplicas: m.GetReplicas(),
	}
	h := &hold{load: o, changed: c.steps, open: &open{o: o, phase: phaseProposed, since: c.now, adopted: true}}
	c.addHold(n, h)
	c.propose(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{
		Lease: c.o.Lease, Fence: c.o.Fence, Orders: []*wire.Order{o},
	}}}, &batch{holds: []*hold{h}})
	return true
}

// unloadStray sends an unload whose reply changes nothing here: the next reading shows
// what became of it.
func (c *Core) unloadStray(n *node, s *upstream.Held) {
	if s.Loading || c.isSerial(n) && n.sending() {
		return
	}
	kind := upstream.OrderUnload
	if s.Adapter != "" {
		kind = upstream.OrderUnloadAdapter
	}
	id := c.nextID()
	n.strayOrder = id
	c.block(n, placement.Subject{Model: s.Model, Adapter: s.Adapter})
	if n.unloaded == nil {
		n.unloaded = map[string]bool{}
	}
	n.unloaded[s.OrderID] = true
	c.act(Send{
		Upstream: n.rec.GetId(), Address: n.rec.GetAddress(), Timeout: c.o.OrderLife, Serial: c.isSerial(n),
		Order: upstream.Order{
			ID: id, Kind: kind, Incarnation: n.rec.GetIncarnation(), Fence: c.o.Fence,
			Model: s.Model, Version: s.Version, Adapter: s.Adapter, MemoryMiB: s.MemoryMiB,
		},
	})
}

func (c *Core) strayAnswered(id, order string) {
	if n := c.upstreams[id]; n != nil && n.strayOrder == order {
		n.strayOrder = ""
		n.readWant = true
	}
}
