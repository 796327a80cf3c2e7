package orders

import (
	"slices"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// noteReport draws from an announcement what it proves: a load that it shows as held is
// loaded. It may be older than the last order, so what it does not show proves nothing;
// a difference asks for a reading of the state instead.
func (c *Core) noteReport(n *node, s *upstream.State) {
	for _, h := range n.holds {
		if !n.isCurrent(h) {
			continue
		}
		held := findHeld(s, h.load.GetModel(), h.load.GetAdapter())
		switch {
		case h.wasSent() && !h.loaded && held != nil && held.OrderID == h.load.GetId() && !held.Loading:
			c.outcome(n, h, wire.OrderState_ORDER_LOADED)
		case h.open != nil && h.loaded && held == nil, h.open == nil && held == nil:
			n.readWant = true
		}
	}
	for i := range s.Held {
		if n.decided(&s.Held[i]) == nil {
			n.readWant = true
		}
	}
	if s.Fence > c.o.Fence {
		n.readWant = true
	}
}

func (n *node) isCurrent(h *hold) bool {
	return h.load.GetIncarnation() == n.rec.GetIncarnation()
}

// wasSent tells whether an order is committed and may have reached its upstream.
func (h *hold) wasSent() bool { return h.open != nil && h.open.phase >= phaseSent }

func findHeld(s *upstream.State, model, adapter string) *upstream.Held {
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

// decided returns the hold that a reported model or adapter belongs to, or nil.
func (n *node) decided(held *upstream.Held) *hold {
	h := n.holdOf(held.Model, held.Adapter)
	if h == nil || !n.isCurrent(h) || h.load.GetId() != held.OrderID {
		return nil
	}
	return h
}

// stateRead takes in an upstream's state. It reflects a time after the reading was
// asked for, so what it does not show is not there, unless an order may still arrive.
func (c *Core) stateRead(ev StateRead) {
	n, ok := c.upstreams[ev.Upstream]
	if !ok || !n.reading {
		return
	}
	n.reading = false
	n.readNext = c.now + c.o.ReadEvery
	if ev.State.Incarnation != n.rec.GetIncarnation() {
		c.unanswered(n, true) // another process serves its address now
		return
	}
	if n.rec.GetChecksFencing() && ev.State.Fence > c.o.Fence {
		c.stop("an upstream has seen a higher fencing number")
		return
	}
	c.seen(n)
	c.act(GrantUpdate{grant.UpstreamAlive{ID: ev.Upstream, Incarnation: n.rec.GetIncarnation(), AsOf: n.readAt}})
	n.reads++
	n.lastRead = n.readStep
	n.setCheckpoints(ev.State.Checkpoints)
	n.state = ev.State
	for _, h := range slices.Clone(n.holds) {
		if n.isCurrent(h) && h.changed <= n.readStep {
			c.conclude(n, h, &ev.State)
		}
	}
	c.noteReport(n, &ev.State)
	n.readWant, n.doubted = n.doubted, false
	c.noteStrays(n, &ev.State)
	if n.readAt >= n.actFrom {
		n.confirmed = true
	}
}

// doubted asks an upstream for its state. A reading that is out already was asked for
// before the doubt, so another one follows it.
func (c *Core) doubted(id string) {
	n, ok := c.upstreams[id]
	if !ok {
		return
	}
	n.readWant = true
	n.readNext = c.now
	n.doubted = n.reading
}

// conclude compares one hold with what the upstream really holds.
func (c *Core) conclude(n *node, h *hold, s *upstream.State) {
	held := findHeld(s, h.load.GetModel(), h.load.GetAdapter())
	isThere := held != nil && held.OrderID == h.load.GetId()
	switch {
	case h.open == nil:
		if !isThere && h.lost == nil {
			c.lose(h)
		}
	case h.open.phase == phaseKnown || h.open.phase < phaseSent:
	case h.loaded:
		c.concludeUnload(n, h, isThere, findReply(s, h.open.o.GetId()))
	default:
		c.concludeLoad(n, h, held, isThere, findReply(s, h.open.o.GetId()))
	}
}

func (c *Core) concludeLoad(n *node, h *hold, held *upstream.Held, isThere bool, r *upstream.OrderReply) {
	switch {
	case isThere && !held.Loading:
		c.outcome(n, h, wire.OrderState_ORDER_LOADED)
	case isThere || r != nil && r.State == upstream.OrderAccepted:
		c.accepted(h)
	case r != nil && (r.State == upstream.OrderFailed || r.State == upstream.OrderDone):
		c.outcome(n, h, wire.OrderState_ORDER_FAILED)
	case h.open.phase == phaseAccepted:
		c.outcome(n, h, wire.OrderState_ORDER_FAILED) // it took the order and holds nothing of it
	}
}

func (c *Core) concludeUnload(n *node, h *hold, isThere bool, r *upstream.OrderReply) {
	switch {
	case !isThere:
		c.outcome(n, h, wire.OrderState_ORDER_GONE)
	case r != nil && r.State == upstream.OrderFailed:
		c.outcome(n, h, wire.OrderState_ORDER_FAILED)
	case r != nil && r.State == upstream.OrderAccepted:
		c.accepted(h)
	}
}

func (c *Core) accepted(h *hold) {
	if h.open.phase != phaseAccepted {
		c.setPhase(h, phaseAccepted)
	}
}

// outcome notes the sure outcome of an open order. Its settlement follows.
func (c *Core) outcome(n *node, h *hold, state wire.OrderState) {
	if h.open.phase == phaseKnown {
		return
	}
	h.open.outcome = state
	c.setPhase(h, phaseKnown)
	if state == wire.OrderState_ORDER_LOADED {
		h.since = c.now
	}
	c.settle(h)
}

// lose settles a loaded hold that its upstream no longer has.
func (c *Core) lose(h *hold) {
	h.lost = &open{o: h.load, phase: phaseKnown, since: c.now, outcome: wire.OrderState_ORDER_FAILED}
	h.changed = c.steps
	c.settle(h)
}

// noteStrays finds what an upstream holds without a decision in the log. It counts
// against the memory until it is adopted or unloaded.
func (c *Core) noteStrays(n *node, s *upstream.State) {
	n.strays = n.strays[:0]
	for i := range s.Held {
		held := &s.Held[i]
		if n.decided(held) == nil && n.findHold(held.OrderID) == nil {
			n.strays = append(n.strays, *held)
		}
	}
}

func (c *Core) setPhase(h *hold, p phase) {
	h.open.phase = p
	h.open.since = c.now
	c.touch(h.load.GetUpstream())
	h.changed = c.steps
}
