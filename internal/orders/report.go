package orders

import (
	"slices"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// applyReport settles loads that a reported state shows as done. A report may be older than
// the last order, so what is absent from it proves nothing; a difference requests a read
// of the state instead.
func (c *Core) applyReport(u *trackedUpstream, s *upstream.State) {
	for _, r := range u.reservations {
		if !u.isCurrent(r) {
			continue
		}
		held := findHeld(s, r.load.GetModel(), r.load.GetAdapter())
		switch {
		case r.wasSent() && !r.loaded && held != nil && held.OrderID == r.load.GetId() && !held.Loading:
			c.recordOutcome(u, r, wire.OrderState_ORDER_LOADED)
		case r.open != nil && r.loaded && held == nil, r.open == nil && held == nil:
			u.readWanted = true
		}
	}
	for i := range s.Held {
		if u.findReported(&s.Held[i]) == nil {
			u.readWanted = true
		}
	}
	if s.Fence > c.opts.Fence {
		u.readWanted = true
	}
}

// isCurrent reports whether a reservation belongs to the current incarnation.
func (u *trackedUpstream) isCurrent(r *reservation) bool {
	return r.load.GetIncarnation() == u.record.GetIncarnation()
}

// wasSent reports whether an open order is committed and may have reached its upstream.
func (r *reservation) wasSent() bool { return r.open != nil && r.open.phase >= phaseSent }

func findHeld(s *upstream.State, model, adapter string) *upstream.HeldModel {
	for i := range s.Held {
		if s.Held[i].Model == model && s.Held[i].Adapter == adapter {
			return &s.Held[i]
		}
	}
	return nil
}

func findReply(s *upstream.State, id string) *upstream.OrderReply {
	for i := range s.Orders {
		if s.Orders[i].ID == id {
			return &s.Orders[i]
		}
	}
	return nil
}

// findReported returns the reservation of a reported model or adapter, or nil.
func (u *trackedUpstream) findReported(held *upstream.HeldModel) *reservation {
	r := u.findReservation(held.Model, held.Adapter)
	if r == nil || !u.isCurrent(r) || r.load.GetId() != held.OrderID {
		return nil
	}
	return r
}

// handleStateRead applies an upstream's state. The state is newer than the request for it,
// so what is absent from it is not on the upstream, unless an order may still arrive.
func (c *Core) handleStateRead(ev StateRead) {
	u, ok := c.upstreams[ev.Upstream]
	if !ok || !u.readInFlight {
		return
	}
	u.readInFlight = false
	u.nextRead = c.now + c.opts.ReadInterval
	if ev.State.Incarnation != u.record.GetIncarnation() {
		c.recordProbeFailure(u, true) // another process serves its address now
		return
	}
	if u.record.GetChecksFencing() && ev.State.Fence > c.opts.Fence {
		c.stop("an upstream has seen a higher fencing number")
		return
	}
	c.markAlive(u)
	c.emit(GrantUpdate{grant.UpstreamAlive{ID: ev.Upstream, Incarnation: u.record.GetIncarnation(), AsOf: u.readRequestedAt}})
	u.readsAnswered++
	u.lastReadStep = u.readRequestedStep
	u.setCheckpoints(ev.State.Checkpoints)
	u.state = ev.State
	for _, r := range slices.Clone(u.reservations) {
		if u.isCurrent(r) && r.changedStep <= u.readRequestedStep {
			c.reconcile(u, r, &ev.State)
		}
	}
	c.applyReport(u, &ev.State)
	u.readWanted, u.rereadWanted = u.rereadWanted, false
	c.updateOrphans(u, &ev.State)
	if u.readRequestedAt >= u.ordersNotBefore {
		u.confirmed = true
	}
}

// handleAnswerCut requests a read of an upstream's state. A read in flight may predate
// the cut, so another one follows it.
func (c *Core) handleAnswerCut(id string) {
	u, ok := c.upstreams[id]
	if !ok {
		return
	}
	u.readWanted = true
	u.nextRead = c.now
	u.rereadWanted = u.readInFlight
}

// reconcile compares a reservation with what the upstream holds.
func (c *Core) reconcile(u *trackedUpstream, r *reservation, s *upstream.State) {
	held := findHeld(s, r.load.GetModel(), r.load.GetAdapter())
	present := held != nil && held.OrderID == r.load.GetId()
	switch {
	case r.open == nil:
		if !present && r.lost == nil {
			c.settleLost(r)
		}
	case r.open.phase == phaseOutcomeKnown || r.open.phase < phaseSent:
	case r.loaded:
		c.reconcileUnload(u, r, present, findReply(s, r.open.order.GetId()))
	default:
		c.reconcileLoad(u, r, held, present, findReply(s, r.open.order.GetId()))
	}
}

func (c *Core) reconcileLoad(u *trackedUpstream, r *reservation, held *upstream.HeldModel, present bool, reply *upstream.OrderReply) {
	switch {
	case present && !held.Loading:
		c.recordOutcome(u, r, wire.OrderState_ORDER_LOADED)
	case present || reply != nil && reply.State == upstream.OrderAccepted:
		c.markAccepted(r)
	case reply != nil && (reply.State == upstream.OrderFailed || reply.State == upstream.OrderDone):
		c.recordOutcome(u, r, wire.OrderState_ORDER_FAILED)
	case r.open.phase == phaseAccepted:
		c.recordOutcome(u, r, wire.OrderState_ORDER_FAILED) // accepted, but neither held nor in progress
	}
}

func (c *Core) reconcileUnload(u *trackedUpstream, r *reservation, present bool, reply *upstream.OrderReply) {
	switch {
	case !present:
		c.recordOutcome(u, r, wire.OrderState_ORDER_GONE)
	case reply != nil && reply.State == upstream.OrderFailed:
		c.recordOutcome(u, r, wire.OrderState_ORDER_FAILED)
	case reply != nil && reply.State == upstream.OrderAccepted:
		c.markAccepted(r)
	}
}

func (c *Core) markAccepted(r *reservation) {
	if r.open.phase != phaseAccepted {
		c.setPhase(r, phaseAccepted)
	}
}

// recordOutcome records the known outcome of an open order and proposes its settlement.
func (c *Core) recordOutcome(u *trackedUpstream, r *reservation, state wire.OrderState) {
	if r.open.phase == phaseOutcomeKnown {
		return
	}
	r.open.outcome = state
	c.setPhase(r, phaseOutcomeKnown)
	if state == wire.OrderState_ORDER_LOADED {
		r.loadedAt = c.now
	}
	c.proposeSettlement(r)
}

// settleLost proposes the settlement of a loaded reservation that its upstream no longer
// holds.
func (c *Core) settleLost(r *reservation) {
	r.lost = &openOrder{order: r.load, phase: phaseOutcomeKnown, since: c.now, outcome: wire.OrderState_ORDER_FAILED}
	r.changedStep = c.steps
	c.proposeSettlement(r)
}

// updateOrphans collects what an upstream holds without an order in the log. It counts
// against the memory until it is adopted or unloaded.
func (c *Core) updateOrphans(u *trackedUpstream, s *upstream.State) {
	u.orphans = u.orphans[:0]
	for i := range s.Held {
		held := &s.Held[i]
		if u.findReported(held) == nil && u.findByOrder(held.OrderID) == nil {
			u.orphans = append(u.orphans, *held)
		}
	}
}

func (c *Core) setPhase(r *reservation, p phase) {
	r.open.phase = p
	r.open.since = c.now
	c.markDirty(r.load.GetUpstream())
	r.changedStep = c.steps
}
