package orders

import (
	"slices"
	"time"

	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// pollAfter is the time after which the state is read for an accepted order that is not
// reported as done.
const pollAfter = time.Second

// advance does everything that is due: orders, settlements, registrations, reads.
func (c *Core) advance() {
	for _, u := range slices.Clone(c.sortedUpstreams) {
		c.checkLiveness(u)
		c.registerIfDue(u)
		c.retrySettlements(u)
		c.resolveOrphans(u)
		c.sendDue(u)
		c.readDue(u)
	}
	c.updateGrants()
	c.readLogDue()
}

func (c *Core) registerIfDue(u *trackedUpstream) {
	inLog := u.registered && u.leavingInLog == u.leaving
	if inLog || u.registrationPending || u.dropping || c.now < u.nextRegistration || u.record.GetIncarnation() == 0 {
		return
	}
	u.registrationPending = true
	c.proposeRegistration(u)
}

func (c *Core) retrySettlements(u *trackedUpstream) {
	for _, r := range u.reservations {
		for _, order := range []*openOrder{r.open, r.lost} {
			if order != nil && order.phase == phaseOutcomeKnown && !order.settlementPending && c.now >= order.retryAt {
				c.proposeSettlement(r)
			}
		}
	}
}

// sendDue sends the committed orders that are due. An upstream that ignores fencing numbers
// gets one order at a time.
func (c *Core) sendDue(u *trackedUpstream) {
	if !u.registered || u.dropping || u.record.GetService() != "" || c.now < u.ordersNotBefore {
		return
	}
	for _, r := range u.reservations {
		if !u.isCurrent(r) || !c.isDue(u, r) {
			continue
		}
		if c.isSerial(u) && u.hasOrderInFlight() {
			return
		}
		c.send(u, r)
	}
}

func (c *Core) isSerial(u *trackedUpstream) bool {
	return !u.record.GetChecksFencing() && c.opts.disabled != mechanismSerial
}

func (u *trackedUpstream) hasOrderInFlight() bool {
	return u.orphanUnloadID != "" || slices.ContainsFunc(u.reservations, func(r *reservation) bool { return r.open != nil && r.open.phase == phaseSent })
}

func (c *Core) isDue(u *trackedUpstream, r *reservation) bool {
	if r.open == nil {
		return false
	}
	switch r.open.phase {
	case phaseQueued:
		return !u.suspect
	case phaseAccepted:
		c.pollIfSlow(u, r)
		return false
	case phaseOutcomeUnknown:
		if r.loaded && r.open.recovered && !r.idle {
			return false // requests granted by another process may run on it
		}
		return !u.suspect && c.now >= r.open.retryAt && u.confirmed && c.wasReadSince(u, r)
	default:
		return false
	}
}

// pollIfSlow requests a read of the state if an accepted order has not been reported as
// done for pollAfter.
func (c *Core) pollIfSlow(u *trackedUpstream, r *reservation) {
	if c.now-max(r.open.since, u.readRequestedAt) >= pollAfter {
		u.readWanted = true
	}
}

// wasReadSince reports whether the upstream's state was read since the outcome of an order
// became unknown. Resending without that could repeat an order that was carried out and
// undone since.
func (c *Core) wasReadSince(u *trackedUpstream, r *reservation) bool {
	if u.readsAnswered > 0 && u.lastReadStep >= r.changedStep {
		return true
	}
	u.readWanted = true
	return false
}

func (c *Core) send(u *trackedUpstream, r *reservation) {
	order := r.open.order
	c.setPhase(r, phaseSent)
	c.checkSend(u, r)
	if r.loaded {
		c.blockLoads(u, r.subject())
	}
	c.emit(Send{
		Upstream: u.record.GetId(),
		Address:  u.record.GetAddress(),
		Order: upstream.Order{
			ID: order.GetId(), Kind: orderKind(order.GetKind()), Incarnation: order.GetIncarnation(), Fence: c.opts.Fence,
			Model: order.GetModel(), Version: order.GetVersion(), Adapter: order.GetAdapter(), MemoryMiB: order.GetMemoryMib(),
		},
		Timeout: c.opts.OrderLife,
		Serial:  c.isSerial(u),
	})
}

func orderKind(kind wire.OrderKind) upstream.OrderKind {
	switch kind {
	case wire.OrderKind_ORDER_LOAD:
		return upstream.OrderLoad
	case wire.OrderKind_ORDER_UNLOAD:
		return upstream.OrderUnload
	case wire.OrderKind_ORDER_LOAD_ADAPTER:
		return upstream.OrderLoadAdapter
	default:
		return upstream.OrderUnloadAdapter
	}
}

// handleReply handles an upstream's answer to an order.
func (c *Core) handleReply(ev OrderReplied) {
	c.handleOrphanReply(ev.Upstream, ev.Reply.ID)
	u, r := c.findSent(ev.Upstream, ev.Reply.ID)
	if r == nil {
		return
	}
	c.markAlive(u)
	if r.loaded && !r.open.copyInFlight {
		delete(u.blockedUntil, r.subject())
	}
	switch ev.Reply.State {
	case upstream.OrderAccepted:
		c.markAccepted(r)
	case upstream.OrderDone:
		c.recordOutcome(u, r, completedState(r))
	case upstream.OrderFailed:
		c.recordOutcome(u, r, wire.OrderState_ORDER_FAILED)
	default: // fenced: the state shows by which fencing number
		c.setOutcomeUnknown(r, c.opts.ResendDelay)
		u.readWanted = true
	}
}

func completedState(r *reservation) wire.OrderState {
	if r.loaded {
		return wire.OrderState_ORDER_GONE
	}
	return wire.OrderState_ORDER_LOADED
}

// handleSendFailed handles an unanswered order. One that may have arrived keeps its slot and
// memory until the upstream's state shows the outcome.
func (c *Core) handleSendFailed(ev SendFailed) {
	c.handleOrphanReply(ev.Upstream, ev.OrderID)
	u, r := c.findSent(ev.Upstream, ev.OrderID)
	if r == nil {
		return
	}
	c.recordProbeFailure(u, ev.ConnRefused)
	u.readWanted = true
	if c.opts.disabled == mechanismKeepUnknown {
		c.recordOutcome(u, r, wire.OrderState_ORDER_FAILED)
		return
	}
	r.open.copyInFlight = r.open.copyInFlight || ev.MaybeDelivered
	wait := c.opts.ResendDelay
	if ev.MaybeDelivered && c.isSerial(u) {
		wait = c.opts.OrderLife // the first copy can't arrive after that
	}
	c.setOutcomeUnknown(r, wait)
}

func (c *Core) setOutcomeUnknown(r *reservation, wait Time) {
	c.setPhase(r, phaseOutcomeUnknown)
	r.open.retryAt = c.now + wait
}

func (c *Core) findSent(id, order string) (*trackedUpstream, *reservation) {
	u, ok := c.upstreams[id]
	if !ok {
		return nil, nil
	}
	r := u.findByOrder(order)
	if r == nil || r.open == nil || r.open.order.GetId() != order || r.open.phase != phaseSent {
		return nil, nil
	}
	return u, r
}

// readDue reads an upstream's state if a read is wanted and due.
func (c *Core) readDue(u *trackedUpstream) {
	if u.record.GetService() != "" || u.record.GetAddress() == "" || u.dropping || u.readInFlight {
		return
	}
	if !u.confirmed && c.now >= u.ordersNotBefore {
		u.readWanted = true
	}
	if !u.readWanted || c.now < u.nextRead {
		return
	}
	u.readInFlight = true
	u.readRequestedAt = c.now
	u.readRequestedStep = c.steps
	c.emit(ReadState{Upstream: u.record.GetId(), Address: u.record.GetAddress()})
}

func (c *Core) readLogDue() {
	if c.logReadInFlight || c.now < c.nextLogRead || c.opts.disabled == mechanismReadLog {
		return
	}
	if !c.logReadWanted && c.now < c.nextAudit && !c.hasExpiredProposal() {
		return
	}
	c.logReadInFlight = true
	c.logReadWanted = false
	c.nextLogRead = c.now + c.opts.ReadInterval
	c.emit(ReadLog{})
}

// hasExpiredProposal reports whether a proposal of unknown outcome can no longer commit, so
// that one more read of the log decides about it.
func (c *Core) hasExpiredProposal() bool {
	for _, u := range c.sortedUpstreams {
		for _, r := range u.reservations {
			if r.open != nil && r.open.phase == phaseCommitUnknown && c.now-r.open.since >= c.opts.ProposalLife {
				return true
			}
		}
	}
	return false
}
