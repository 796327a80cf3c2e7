package orders

import (
	"gentiankeel/internal/wire"
)

// recovered takes in what the log holds: at the start of the term, after a commit of
// unknown outcome, and at times to see whether the log knows more than the core.
func (c *Core) recovered(ev Recovered) {
	c.reading = false
	if c.started && ev.Index < c.logIndex {
		c.readWant = true // it is older than what was committed meanwhile
		return
	}
	if newerFence(&ev) > c.o.Fence {
		c.stop("the log holds decisions under a higher fencing number")
		return
	}
	c.nextAudit = c.now + c.o.AuditEvery
	c.specChanged(ev.Spec)
	c.recoverUpstreams(ev.Upstreams)
	for _, n := range c.order {
		n.dirty = true
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
		c.dropAbsent(ev.Index, inLog)
		c.checkCounts()
		return
	}
	c.started = true
	c.base = ev.Index
	c.restarted = newerFence(&ev) == c.o.Fence
	early := c.early
	c.early = nil
	for _, a := range early {
		c.announced(a)
	}
}

// newerFence returns the highest fencing number of the decisions in the log.
func newerFence(ev *Recovered) uint64 {
	var fence uint64
	for _, p := range ev.Placements {
		fence = max(fence, p.GetOrder().GetFence())
	}
	for _, o := range ev.OpenOrders {
		fence = max(fence, o.GetFence())
	}
	return fence
}

// recoverUpstreams takes in the registrations. One that a later reading does not hold
// is made again.
func (c *Core) recoverUpstreams(recs []*wire.UpstreamRecord) {
	inLog := map[string]uint64{}
	for _, rec := range recs {
		inLog[rec.GetId()] = rec.GetIncarnation()
		c.recoverUpstream(rec)
	}
	for _, n := range c.order {
		if n.registered && inLog[n.rec.GetId()] != n.rec.GetIncarnation() {
			n.registered = false
		}
	}
}

func (c *Core) recoverUpstream(rec *wire.UpstreamRecord) {
	n := c.node(rec.GetId())
	if rec.GetIncarnation() < n.rec.GetIncarnation() {
		return
	}
	if !c.started {
		n.rec = rec
		n.registered = true
		n.readWant = rec.GetService() == ""
		c.setActFrom(n)
	}
}

// setActFrom makes orders to an upstream that ignores fencing numbers wait until no
// order of a former holder can still reach it.
func (c *Core) setActFrom(n *node) {
	n.confirmed = false
	if !n.rec.GetChecksFencing() && c.o.disabled != mechTakeoverWait {
		n.actFrom = max(n.actFrom, c.startAt+c.o.Takeover)
	}
}

func (c *Core) recoverPlacement(p *wire.Placement) {
	o := p.GetOrder()
	n := c.recoveredNode(o)
	if n == nil || n.findHold(o.GetId()) != nil {
		c.confirmGhost(n, o)
		return
	}
	if c.isTaken(n, o) {
		return
	}
	h := &hold{load: o, changed: c.steps}
	if o.GetState() == wire.OrderState_ORDER_LOADED {
		h.loaded = true
		h.since = c.now
	} else {
		h.open = c.recoveredOpen(o)
	}
	c.addHold(n, h)
}

// recoverOrder takes in an open order. An open load may come with a placement, without
// one, or both.
func (c *Core) recoverOrder(o *wire.Order) {
	n := c.recoveredNode(o)
	if n == nil || n.findHold(o.GetId()) != nil {
		c.confirmGhost(n, o)
		return
	}
	if o.GetKind().IsLoad() {
		if c.isTaken(n, o) {
			return
		}
		c.addHold(n, &hold{load: o, open: c.recoveredOpen(o), changed: c.steps})
		return
	}
	h := n.holdOf(o.GetModel(), o.GetAdapter())
	if h == nil || h.open != nil {
		return
	}
	h.open = c.recoveredOpen(o)
	h.changed = c.steps
	if c.started {
		// Nobody has sent it: its proposer never learnt that it is in the log. Requests
		// may have started on the replica since, so it is not sent now.
		c.outcome(n, h, wire.OrderState_ORDER_FAILED)
	}
}

// isTaken tells whether proposals that are still out may stand in the place of a
// decision that the log holds. The log will refuse them; it is read again after that.
func (c *Core) isTaken(n *node, o *wire.Order) bool {
	taken := n.holdOf(o.GetModel(), o.GetAdapter()) != nil
	for _, other := range c.order {
		for _, h := range other.holds {
			taken = taken || h.isProposed() && (other == n || h.load.GetModel() == o.GetModel())
		}
	}
	if taken {
		c.readWant = true
	}
	return taken
}

// isProposed tells whether a load is not yet known to be in the log.
func (h *hold) isProposed() bool {
	return h.open != nil && !h.loaded && h.open.phase <= phaseGhost
}

func (c *Core) recoveredOpen(o *wire.Order) *open {
	return &open{o: o, phase: phaseUnsure, inLog: true, recovered: true, since: c.now, tier: wire.Tier_TIER_REMOTE}
}

// recoveredNode returns the upstream of an order if its incarnation still lives.
func (c *Core) recoveredNode(o *wire.Order) *node {
	n, ok := c.upstreams[o.GetUpstream()]
	if !ok || n.rec.GetIncarnation() != o.GetIncarnation() {
		return nil
	}
	return n
}

// confirmGhost ends the doubt about an order whose commit had an unknown outcome.
func (c *Core) confirmGhost(n *node, o *wire.Order) {
	if n == nil {
		return
	}
	h := n.findHold(o.GetId())
	if h == nil || h.open == nil || h.open.o.GetId() != o.GetId() || h.open.phase != phaseGhost {
		return
	}
	c.enterLog(n, h)
}

// dropAbsent lets go of what a later reading of the log does not hold: proposals that
// can no longer commit, and decisions that the state machine has ended.
func (c *Core) dropAbsent(index uint64, inLog map[string]bool) {
	for _, n := range c.order {
		for _, h := range append([]*hold(nil), n.holds...) {
			c.dropIfAbsent(n, h, index, inLog)
		}
	}
}

func (c *Core) dropIfAbsent(n *node, h *hold, index uint64, inLog map[string]bool) {
	if h.open != nil && h.open.phase == phaseGhost {
		if c.now-h.open.since >= c.o.ProposalLife {
			c.dropProposal(n, h)
		}
		return
	}
	isProposal := h.open != nil && h.open.phase == phaseProposed && !h.loaded
	if isProposal || h.load.GetIndex() == 0 || h.load.GetIndex() > index || inLog[h.load.GetId()] {
		return
	}
	c.removeHold(n, h)
}

// dropProposal undoes a decision that is not in the log.
func (c *Core) dropProposal(n *node, h *hold) {
	if h.loaded {
		h.open = nil
		h.roomFor.Model, h.roomFor.Adapter = "", ""
		h.changed = c.steps
		return
	}
	c.removeHold(n, h)
}
