package orders

import (
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// resolveOrphans adopts or unloads what an upstream holds without an order in the log.
// A model of the applied file that fits its replica count is adopted: an order is committed
// under the id that the upstream reports, and no second load is needed. Anything else is
// unloaded, without a command in the log. A former holder's unload could still arrive, so
// both wait until the takeover wait is over.
func (c *Core) resolveOrphans(u *trackedUpstream) {
	if len(u.orphans) == 0 || !c.acceptsOrders(u) || c.inTakeover() || c.now < u.nextOrphanCheck {
		return
	}
	u.nextOrphanCheck = c.now + c.opts.ResendDelay
	u.dirty = true
	u.readWanted = true
	orphans := u.orphans
	u.orphans = nil
	for i := range orphans {
		if u.findReservation(orphans[i].Model, orphans[i].Adapter) != nil {
			u.orphans = append(u.orphans, orphans[i])
			continue // until the reservation of the same model or adapter is settled
		}
		if !c.adoptOrphan(u, &orphans[i]) {
			u.orphans = append(u.orphans, orphans[i])
			c.unloadOrphan(u, &orphans[i])
		}
	}
}

// adoptOrphan proposes the load order that the log lacks for an orphan. It returns false if
// the orphan can't be adopted.
func (c *Core) adoptOrphan(u *trackedUpstream, held *upstream.HeldModel) bool {
	m := c.findModel(held.Model)
	if u.unloadedOrphans[held.OrderID] {
		return false // an unload was sent and may still arrive
	}
	if held.OrderID == "" || held.Adapter != "" || held.Loading || m == nil || u.leaving {
		return false
	}
	if m.GetVersion() != held.Version || m.GetMemoryMib() != held.MemoryMiB || u.findReservation(held.Model, "") != nil {
		return false
	}
	if c.countReplicas(held.Model) >= int(m.GetReplicas()) || u.reservedMemory()+u.orphanMemory()+held.MemoryMiB > u.record.GetMemoryMib() {
		return false
	}
	order := &wire.Order{
		Id: held.OrderID, Kind: wire.OrderKind_ORDER_LOAD, Cell: c.opts.Cell, Upstream: u.record.GetId(),
		Incarnation: u.record.GetIncarnation(), Model: held.Model, Version: held.Version, MemoryMib: held.MemoryMiB,
		SpecIndex: c.spec.GetIndex(), Fence: c.opts.Fence, State: wire.OrderState_ORDER_OPEN,
		Reason: "adopted: the upstream holds it", DecidedReplicas: m.GetReplicas(),
	}
	r := &reservation{load: order, changedStep: c.steps, open: &openOrder{order: order, phase: phaseProposed, since: c.now, adopted: true}}
	c.addReservation(u, r)
	c.propose(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{
		Lease: c.opts.Lease, Fence: c.opts.Fence, Orders: []*wire.Order{order},
	}}}, &pendingCommand{reservations: []*reservation{r}})
	return true
}

// unloadOrphan sends an unload. Its reply settles nothing: the next read of the state
// shows the outcome.
func (c *Core) unloadOrphan(u *trackedUpstream, held *upstream.HeldModel) {
	if held.Loading || c.isSerial(u) && u.hasOrderInFlight() {
		return
	}
	kind := upstream.OrderUnload
	if held.Adapter != "" {
		kind = upstream.OrderUnloadAdapter
	}
	id := c.nextOrderID()
	u.orphanUnloadID = id
	c.blockLoads(u, placement.Subject{Model: held.Model, Adapter: held.Adapter})
	if u.unloadedOrphans == nil {
		u.unloadedOrphans = map[string]bool{}
	}
	u.unloadedOrphans[held.OrderID] = true
	c.emit(Send{
		Upstream: u.record.GetId(), Address: u.record.GetAddress(), Timeout: c.opts.OrderLife, Serial: c.isSerial(u),
		Order: upstream.Order{
			ID: id, Kind: kind, Incarnation: u.record.GetIncarnation(), Fence: c.opts.Fence,
			Model: held.Model, Version: held.Version, Adapter: held.Adapter, MemoryMiB: held.MemoryMiB,
		},
	})
}

// handleOrphanReply handles the answer to an order, or its absence: if the order is the
// pending unload of an orphan, it requests a read of the state.
func (c *Core) handleOrphanReply(id, order string) {
	if u := c.upstreams[id]; u != nil && u.orphanUnloadID == order {
		u.orphanUnloadID = ""
		u.readWanted = true
	}
}
