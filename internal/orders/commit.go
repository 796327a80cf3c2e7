package orders

import (
	"fmt"
	"slices"

	"gentiankeel/internal/placement"
	"gentiankeel/internal/wire"
)

// propose emits a command and records what it applies to until it is answered.
func (c *Core) propose(cmd *wire.Command, pending *pendingCommand) {
	c.lastCommandID++
	c.pendingCommands[c.lastCommandID] = pending
	c.emit(Propose{CommandID: c.lastCommandID, Command: cmd})
}

// handlePlan turns a plan into orders and proposes them. Grants to replicas that will be
// unloaded stop before the proposal, so that no request starts on them.
func (c *Core) handlePlan(plan placement.Plan) {
	if !c.started {
		return
	}
	c.markDrains(plan.Drains)
	var reservations []*reservation
	var orders []*wire.Order
	for i := range plan.Orders {
		if r := c.admitOrder(&plan.Orders[i]); r != nil {
			reservations = append(reservations, r)
			orders = append(orders, r.open.order)
		}
	}
	if len(orders) == 0 {
		return
	}
	if c.opts.disabled != mechanismDrainGrants {
		c.updateGrants()
	}
	c.propose(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{
		Lease: c.opts.Lease, Fence: c.opts.Fence, Orders: orders,
	}}}, &pendingCommand{reservations: reservations})
	if c.opts.disabled == mechanismCommitFirst {
		for _, r := range reservations {
			c.setPhase(r, phaseQueued)
		}
	}
}

func (c *Core) markDrains(drains []placement.Drain) {
	marked := make(map[string]bool, len(drains))
	for _, d := range drains {
		marked[d.OrderID] = true
	}
	for _, u := range c.sortedUpstreams {
		for _, r := range u.reservations {
			if now := marked[r.load.GetId()]; now != r.draining {
				r.draining = now
				u.dirty = true
			}
		}
	}
}

// admitOrder checks one planned order against the current state, which may be newer than
// the plan, and records it as proposed. It returns nil if the order no longer applies.
func (c *Core) admitOrder(p *placement.Order) *reservation {
	u := c.upstreams[p.Runner]
	if u == nil || !c.acceptsOrders(u) {
		return nil
	}
	if p.Kind.IsLoad() {
		return c.admitLoad(u, p)
	}
	if c.inTakeover() {
		return nil
	}
	r := u.findByOrder(p.LoadOrderID)
	if r == nil || r.open != nil || r.lost != nil || !r.loaded || u.hasOpenAdapterOrder(r) || u.hasUnsettledModel(r) {
		return nil
	}
	r.open = &openOrder{order: c.newOrder(u, p), phase: phaseProposed, since: c.now}
	r.roomFor = p.EvictedFor
	r.changedStep = c.steps
	u.dirty = true
	return r
}

// inTakeover reports whether a former lease holder may still act.
func (c *Core) inTakeover() bool {
	return c.now < c.startedAt+c.opts.TakeoverWait && c.opts.disabled != mechanismTakeoverWait
}

// acceptsOrders reports whether new orders for an upstream may be proposed.
func (c *Core) acceptsOrders(u *trackedUpstream) bool {
	return u.registered && u.confirmed && !u.suspect && !u.dropping
}

func (c *Core) admitLoad(u *trackedUpstream, p *placement.Order) *reservation {
	if u.leaving || u.findReservation(p.Model, p.Adapter) != nil {
		return nil
	}
	if c.isBlocked(u, placement.Subject{Model: p.Model, Adapter: p.Adapter}) {
		return nil
	}
	if u.reservedMemory()+u.orphanMemory()+p.MemoryMiB > u.record.GetMemoryMib() {
		return nil
	}
	if p.Adapter != "" && !u.isSettled(p.Model) {
		return nil
	}
	m := c.findModel(p.Model)
	if m == nil || p.Adapter == "" && c.countReplicas(p.Model) >= int(m.GetReplicas()) {
		return nil
	}
	if p.Adapter == "" && p.Tier == wire.Tier_TIER_REMOTE {
		c.refillTokens()
		c.storeTokens--
	}
	order := c.newOrder(u, p)
	if p.Adapter == "" {
		order.DecidedReplicas = m.GetReplicas()
	}
	r := &reservation{
		load: order, changedStep: c.steps,
		open: &openOrder{order: order, phase: phaseProposed, since: c.now, tier: p.Tier},
	}
	c.addReservation(u, r)
	return r
}

// isSettled reports whether a model is loaded and no order is open on it.
func (u *trackedUpstream) isSettled(model string) bool {
	r := u.findReservation(model, "")
	return r != nil && r.loaded && r.open == nil && r.lost == nil
}

// hasUnsettledModel reports whether r is an adapter whose model is not settled. An unload of
// the model would unload the adapter too.
func (u *trackedUpstream) hasUnsettledModel(r *reservation) bool {
	return r.load.GetAdapter() != "" && !u.isSettled(r.load.GetModel())
}

// nextOrderID returns a unique order id. A holder that restarts keeps its fencing number,
// so the id contains the index at which this process read the log: an upstream answers a
// repeated id with the state of the first order.
func (c *Core) nextOrderID() string {
	c.issuedIDs++
	return fmt.Sprintf("%s/%d/%d/%d", c.opts.Cell, c.opts.Fence, c.startIndex, c.issuedIDs)
}

func (c *Core) newOrder(u *trackedUpstream, p *placement.Order) *wire.Order {
	return &wire.Order{
		Id: c.nextOrderID(), Kind: p.Kind, Cell: c.opts.Cell,
		Upstream: p.Runner, Incarnation: u.record.GetIncarnation(), Model: p.Model, Version: p.Version,
		Adapter: p.Adapter, MemoryMib: p.MemoryMiB, SpecIndex: c.spec.GetIndex(), Fence: c.opts.Fence,
		State: wire.OrderState_ORDER_OPEN, Reason: p.Reason,
	}
}

// proposeSettlement proposes the settlement of a known outcome.
func (c *Core) proposeSettlement(r *reservation) {
	settling := r.open
	if settling == nil {
		settling = r.lost
	}
	settling.settlementPending = true
	c.propose(&wire.Command{Op: &wire.Command_SettleOrders{SettleOrders: &wire.SettleOrders{
		Lease: c.opts.Lease, Fence: c.opts.Fence,
		Settlements: []*wire.Settlement{{OrderId: settling.order.GetId(), State: settling.outcome}},
	}}}, &pendingCommand{reservations: []*reservation{r}, settles: true})
}

func (c *Core) proposeRegistration(u *trackedUpstream) {
	u.leavingProposed = u.record.GetLeaving()
	c.propose(&wire.Command{Op: &wire.Command_PutUpstream{PutUpstream: &wire.PutUpstream{
		Lease: c.opts.Lease, Fence: c.opts.Fence, Upstream: u.record,
	}}}, &pendingCommand{upstream: u, register: true})
}

func (c *Core) proposeDrop(u *trackedUpstream) {
	c.propose(&wire.Command{Op: &wire.Command_DropUpstream{DropUpstream: &wire.DropUpstream{
		Lease: c.opts.Lease, Fence: c.opts.Fence, Id: u.record.GetId(), Incarnation: u.record.GetIncarnation(),
	}}}, &pendingCommand{upstream: u, drop: true})
}

// handleCommitted handles the commit of a proposed command.
func (c *Core) handleCommitted(ev Committed) {
	pending, ok := c.pendingCommands[ev.CommandID]
	if !ok {
		return
	}
	delete(c.pendingCommands, ev.CommandID)
	c.markAffectedDirty(pending)
	c.committedIndex = max(c.committedIndex, ev.Index)
	switch {
	case pending.register:
		c.handleRegistered(pending.upstream)
	case pending.drop:
		c.removeUpstream(pending.upstream)
	case pending.settles:
		for _, r := range pending.reservations {
			c.handleSettled(r)
		}
	default:
		for _, r := range pending.reservations {
			c.handleOrderCommitted(r, ev)
		}
	}
}

func (c *Core) markAffectedDirty(pending *pendingCommand) {
	if pending.upstream != nil {
		pending.upstream.dirty = true
	}
	for _, r := range pending.reservations {
		c.markDirty(r.load.GetUpstream())
	}
}

// handleRegistered marks an upstream registered and removes the reservations of earlier
// incarnations, which the log ended with the registration.
func (c *Core) handleRegistered(u *trackedUpstream) {
	if c.upstreams[u.record.GetId()] != u {
		return
	}
	u.registered = true
	u.leavingInLog = u.leavingProposed
	u.registrationPending = false
	c.removeReservationsIf(u, func(r *reservation) bool { return !u.isCurrent(r) })
}

func (c *Core) handleOrderCommitted(r *reservation, ev Committed) {
	u := c.upstreams[r.load.GetUpstream()]
	if u == nil || r.open == nil || u.findByOrder(r.load.GetId()) != r {
		return
	}
	accepted := slices.ContainsFunc(ev.Results, func(result *wire.OrderResult) bool {
		return result.GetId() == r.open.order.GetId() && result.GetAccepted()
	})
	if !accepted {
		c.revertProposal(u, r)
		return
	}
	r.open.order.Index = ev.Index
	c.markCommitted(u, r)
}

// markCommitted queues a committed order for sending. An adopted model is on the upstream
// already, so a read of the state settles its order.
func (c *Core) markCommitted(u *trackedUpstream, r *reservation) {
	r.open.committed = true
	if r.open.adopted {
		c.setPhase(r, phaseAccepted)
		u.readWanted = true
		return
	}
	c.setPhase(r, phaseQueued)
}

// handleSettled handles the commit of a settlement. Only now are memory and slot free.
func (c *Core) handleSettled(r *reservation) {
	u := c.upstreams[r.load.GetUpstream()]
	if u == nil || u.findByOrder(r.load.GetId()) != r {
		return
	}
	r.changedStep = c.steps
	if r.lost != nil {
		c.removeReservation(u, r)
		return
	}
	if r.open == nil || r.open.phase != phaseOutcomeKnown {
		return
	}
	switch {
	case r.open.outcome == wire.OrderState_ORDER_LOADED:
		r.loaded = true
		r.open = nil
	case r.loaded && r.open.outcome == wire.OrderState_ORDER_FAILED:
		r.open = nil // the unload failed: the replica stays loaded
		r.roomFor = placement.Subject{}
	default:
		c.removeReservation(u, r)
	}
}

// handleCommitFailed handles the failed commit of a proposed command.
func (c *Core) handleCommitFailed(ev CommitFailed) {
	pending, ok := c.pendingCommands[ev.CommandID]
	if !ok {
		return
	}
	delete(c.pendingCommands, ev.CommandID)
	c.markAffectedDirty(pending)
	if ev.Cause == CommitFenced {
		c.stop("the log refused the fencing number")
		return
	}
	switch {
	case pending.register:
		pending.upstream.registrationPending = false
		pending.upstream.nextRegistration = c.now + c.opts.CommitRetryDelay
		if ev.Cause == CommitRefused {
			pending.upstream.nextRegistration = c.now + c.opts.ExpireAfter // the log has ended this incarnation
		}
	case pending.drop:
		pending.upstream.dropping = false
	case pending.settles:
		c.scheduleSettlementRetry(pending.reservations)
	default:
		c.handleProposalFailed(pending.reservations, ev.Cause)
	}
}

// scheduleSettlementRetry marks settlements to be proposed again after CommitRetryDelay.
// A settlement is idempotent.
func (c *Core) scheduleSettlementRetry(reservations []*reservation) {
	for _, r := range reservations {
		for _, order := range []*openOrder{r.open, r.lost} {
			if order != nil && order.phase == phaseOutcomeKnown {
				order.settlementPending = false
				order.retryAt = c.now + c.opts.CommitRetryDelay
			}
		}
	}
}

// handleProposalFailed reverts refused proposals. Those of unknown outcome keep their
// reservations until a read of the log decides.
func (c *Core) handleProposalFailed(reservations []*reservation, cause CommitFailure) {
	for _, r := range reservations {
		u := c.upstreams[r.load.GetUpstream()]
		if u == nil || r.open == nil || r.open.phase != phaseProposed {
			continue
		}
		if cause == CommitRefused || c.opts.disabled == mechanismReadLog {
			c.revertProposal(u, r)
			continue
		}
		c.setPhase(r, phaseCommitUnknown)
		c.logReadWanted = true
	}
}
