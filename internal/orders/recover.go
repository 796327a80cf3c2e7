package orders

import (
	"gentiankeel/internal/wire"
)

// handleLogRead applies a read of the log: at the start of the term, after a commit of
// unknown outcome, and every AuditInterval to find orders that the core has no record of.
func (c *Core) handleLogRead(ev LogRead) {
	c.logReadInFlight = false
	if c.started && ev.Index < c.committedIndex {
		c.logReadWanted = true // the read is older than a commit answered since
		return
	}
	if highestFence(&ev) > c.opts.Fence {
		c.stop("the log holds decisions under a higher fencing number")
		return
	}
	c.nextAudit = c.now + c.opts.AuditInterval
	c.updateSpec(ev.Spec)
	c.recoverUpstreams(ev.Upstreams)
	for _, u := range c.sortedUpstreams {
		u.dirty = true
	}
	inLog := map[string]bool{}
	for _, p := range ev.Placements {
		inLog[p.GetOrder().GetId()] = true
		c.recoverPlacement(p)
	}
	for _, o := range ev.OpenOrders {
		inLog[o.GetId()] = true
		c.recoverOrder(o)
	}
	if c.started {
		c.removeAbsent(ev.Index, inLog)
		c.checkCounts()
		return
	}
	c.started = true
	c.startIndex = ev.Index
	c.restarted = highestFence(&ev) == c.opts.Fence
	early := c.earlyAnnouncements
	c.earlyAnnouncements = nil
	for _, a := range early {
		c.handleAnnouncement(a)
	}
}

// highestFence returns the highest fencing number of the orders in the log.
func highestFence(ev *LogRead) uint64 {
	var fence uint64
	for _, p := range ev.Placements {
		fence = max(fence, p.GetOrder().GetFence())
	}
	for _, o := range ev.OpenOrders {
		fence = max(fence, o.GetFence())
	}
	return fence
}

// recoverUpstreams applies the registrations in the log. An upstream whose registration is
// missing in a later read is registered again.
func (c *Core) recoverUpstreams(recs []*wire.UpstreamRecord) {
	inLog := map[string]uint64{}
	for _, rec := range recs {
		inLog[rec.GetId()] = rec.GetIncarnation()
		c.recoverUpstream(rec)
	}
	for _, u := range c.sortedUpstreams {
		if u.registered && inLog[u.record.GetId()] != u.record.GetIncarnation() {
			u.registered = false
		}
	}
}

func (c *Core) recoverUpstream(rec *wire.UpstreamRecord) {
	u := c.ensureUpstream(rec.GetId())
	if rec.GetIncarnation() < u.record.GetIncarnation() {
		return
	}
	if !c.started {
		u.record = rec
		u.registered = true
		u.leaving, u.leavingInLog = rec.GetLeaving(), rec.GetLeaving()
		u.readWanted = rec.GetService() == ""
		c.delayOrders(u)
	}
}

// delayOrders blocks orders to an upstream that ignores fencing numbers until no order of
// a former holder can reach it any more.
func (c *Core) delayOrders(u *trackedUpstream) {
	u.confirmed = false
	if !u.record.GetChecksFencing() && c.opts.disabled != mechanismTakeoverWait {
		u.ordersNotBefore = max(u.ordersNotBefore, c.startedAt+c.opts.TakeoverWait)
	}
}

func (c *Core) recoverPlacement(p *wire.Placement) {
	o := p.GetOrder()
	u := c.findLiveUpstream(o)
	if u == nil || u.findByOrder(o.GetId()) != nil {
		c.confirmCommit(u, o)
		return
	}
	if c.conflictsWithProposal(u, o) {
		return
	}
	r := &reservation{load: o, changedStep: c.steps}
	if o.GetState() == wire.OrderState_ORDER_LOADED {
		r.loaded = true
		r.loadedAt = c.now
	} else {
		r.open = c.newRecoveredOrder(o)
	}
	c.addReservation(u, r)
}

// recoverOrder adds an open order of the log. An open load may appear as a placement, as an
// open order, or both.
func (c *Core) recoverOrder(o *wire.Order) {
	u := c.findLiveUpstream(o)
	if u == nil || u.findByOrder(o.GetId()) != nil {
		c.confirmCommit(u, o)
		return
	}
	if o.GetKind().IsLoad() {
		if c.conflictsWithProposal(u, o) {
			return
		}
		c.addReservation(u, &reservation{load: o, open: c.newRecoveredOrder(o), changedStep: c.steps})
		return
	}
	r := u.findReservation(o.GetModel(), o.GetAdapter())
	if r == nil || r.open != nil {
		return
	}
	r.open = c.newRecoveredOrder(o)
	r.changedStep = c.steps
	if c.started {
		// The unload was never sent, because its proposer did not see it commit.
		// Requests may have started on the replica since, so it is settled as failed.
		c.recordOutcome(u, r, wire.OrderState_ORDER_FAILED)
	}
}

// conflictsWithProposal reports whether an order in the log conflicts with a reservation or
// a proposal that is not known to be committed. The log will refuse such a proposal, and
// the log is read again.
func (c *Core) conflictsWithProposal(u *trackedUpstream, o *wire.Order) bool {
	conflicts := u.findReservation(o.GetModel(), o.GetAdapter()) != nil
	for _, other := range c.sortedUpstreams {
		for _, r := range other.reservations {
			conflicts = conflicts || r.isProposed() && (other == u || r.load.GetModel() == o.GetModel())
		}
	}
	if conflicts {
		c.logReadWanted = true
	}
	return conflicts
}

// isProposed reports whether r is a load that is not yet known to be in the log.
func (r *reservation) isProposed() bool {
	return r.open != nil && !r.loaded && r.open.phase <= phaseCommitUnknown
}

func (c *Core) newRecoveredOrder(o *wire.Order) *openOrder {
	return &openOrder{order: o, phase: phaseOutcomeUnknown, committed: true, recovered: true, since: c.now, tier: wire.Tier_TIER_REMOTE}
}

// findLiveUpstream returns the upstream of an order, or nil if the order's incarnation is
// not the current one.
func (c *Core) findLiveUpstream(o *wire.Order) *trackedUpstream {
	u, ok := c.upstreams[o.GetUpstream()]
	if !ok || u.record.GetIncarnation() != o.GetIncarnation() {
		return nil
	}
	return u
}

// confirmCommit marks an order as committed whose commit had an unknown outcome and that
// the log holds.
func (c *Core) confirmCommit(u *trackedUpstream, o *wire.Order) {
	if u == nil {
		return
	}
	r := u.findByOrder(o.GetId())
	if r == nil || r.open == nil || r.open.order.GetId() != o.GetId() || r.open.phase != phaseCommitUnknown {
		return
	}
	c.markCommitted(u, r)
}

// removeAbsent removes reservations that a later read of the log does not hold:
// proposals that can no longer commit, and orders that the state machine has ended.
func (c *Core) removeAbsent(index uint64, inLog map[string]bool) {
	for _, u := range c.sortedUpstreams {
		for _, r := range append([]*reservation(nil), u.reservations...) {
			c.removeIfAbsent(u, r, index, inLog)
		}
	}
}

func (c *Core) removeIfAbsent(u *trackedUpstream, r *reservation, index uint64, inLog map[string]bool) {
	if r.open != nil && r.open.phase == phaseCommitUnknown {
		if c.now-r.open.since >= c.opts.ProposalLife {
			c.revertProposal(u, r)
		}
		return
	}
	isProposal := r.open != nil && r.open.phase == phaseProposed && !r.loaded
	if isProposal || r.load.GetIndex() == 0 || r.load.GetIndex() > index || inLog[r.load.GetId()] {
		return
	}
	c.removeReservation(u, r)
}

// revertProposal undoes a proposed order that is not in the log.
func (c *Core) revertProposal(u *trackedUpstream, r *reservation) {
	if r.loaded {
		r.open = nil
		r.roomFor.Model, r.roomFor.Adapter = "", ""
		r.changedStep = c.steps
		return
	}
	c.removeReservation(u, r)
}
