package orders

import (
	"fmt"
	"slices"

	"gentiankeel/internal/placement"
	"gentiankeel/internal/wire"
)

func (c *Core) propose(cmd *wire.Command, b *batch) {
	c.batch++
	c.batches[c.batch] = b
	c.act(Propose{Batch: c.batch, Command: cmd})
}

// planned turns a plan into decisions. Grants to what shall go stop before anything is
// committed, so that no request starts on it.
func (c *Core) planned(p placement.Plan) {
	if !c.started {
		return
	}
	c.markDrains(p.Drains)
	var holds []*hold
	var orders []*wire.Order
	for i := range p.Orders {
		if h := c.decide(&p.Orders[i]); h != nil {
			holds = append(holds, h)
			orders = append(orders, h.open.o)
		}
	}
	if len(orders) == 0 {
		return
	}
	if c.o.disabled != mechDrainGrants {
		c.updateGrants()
	}
	c.propose(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{
		Lease: c.o.Lease, Fence: c.o.Fence, Orders: orders,
	}}}, &batch{holds: holds})
	if c.o.disabled == mechCommitFirst {
		for _, h := range holds {
			c.setPhase(h, phaseQueued)
		}
	}
}

func (c *Core) markDrains(drains []placement.Drain) {
	marked := make(map[string]bool, len(drains))
	for _, d := range drains {
		marked[d.OrderID] = true
	}
	for _, n := range c.order {
		for _, h := range n.holds {
			if now := marked[h.load.GetId()]; now != h.draining {
				h.draining = now
				n.dirty = true
			}
		}
	}
}

// decide checks one planned order against what is known now, which may be newer than
// the plan, and notes it as proposed. It returns nil when the order no longer holds.
func (c *Core) decide(p *placement.Order) *hold {
	n := c.upstreams[p.Runner]
	if n == nil || !c.mayOrder(n) {
		return nil
	}
	if p.Kind.IsLoad() {
		return c.decideLoad(n, p)
	}
	if c.inTakeover() {
		return nil
	}
	h := n.findHold(p.Replaces)
	if h == nil || h.open != nil || h.lost != nil || !h.loaded || n.adaptersOpen(h) || n.modelUnloads(h) {
		return nil
	}
	h.open = &open{o: c.newOrder(n, p), phase: phaseProposed, since: c.now}
	h.roomFor = p.RoomFor
	h.changed = c.steps
	n.dirty = true
	return h
}

// inTakeover tells whether a former holder may still act.
func (c *Core) inTakeover() bool {
	return c.now < c.startAt+c.o.Takeover && c.o.disabled != mechTakeoverWait
}

// mayOrder tells whether new orders for an upstream may be decided.
func (c *Core) mayOrder(n *node) bool {
	return n.registered && n.confirmed && !n.suspect && !n.dropping
}

func (c *Core) decideLoad(n *node, p *placement.Order) *hold {
	if n.leaving || n.holdOf(p.Model, p.Adapter) != nil {
		return nil
	}
	if c.isBlocked(n, placement.Subject{Model: p.Model, Adapter: p.Adapter}) {
		return nil
	}
	if n.memory()+n.strayMemory()+p.MemoryMiB > n.rec.GetMemoryMib() {
		return nil
	}
	if p.Adapter != "" && !n.isSettled(p.Model) {
		return nil
	}
	m := c.model(p.Model)
	if m == nil || p.Adapter == "" && c.replicas(p.Model) >= int(m.GetReplicas()) {
		return nil
	}
	if p.Adapter == "" && p.Tier == wire.Tier_TIER_REMOTE {
		c.refillTokens()
		c.tokens--
	}
	o := c.newOrder(n, p)
	if p.Adapter == "" {
		o.DecidedReplicas = m.GetReplicas()
	}
	h := &hold{
		load: o, changed: c.steps,
		open: &open{o: o, phase: phaseProposed, since: c.now, tier: p.Tier},
	}
	c.addHold(n, h)
	return h
}

// isSettled tells whether a model is loaded and no order is open on it.
func (n *node) isSettled(model string) bool {
	h := n.holdOf(model, "")
	return h != nil && h.loaded && h.open == nil && h.lost == nil
}

// modelUnloads tells whether the model under an adapter is being unloaded and takes the
// adapter along.
func (n *node) modelUnloads(h *hold) bool {
	return h.load.GetAdapter() != "" && !n.isSettled(h.load.GetModel())
}

// nextID returns an identity that no other order has. A holder that restarts keeps its
// fencing number, so the index at which this process read the log is part of it: an
// upstream answers an identity that it knows with the state of the first order.
func (c *Core) nextID() string {
	c.ids++
	return fmt.Sprintf("%s/%d/%d/%d", c.o.Cell, c.o.Fence, c.base, c.ids)
}

func (c *Core) newOrder(n *node, p *placement.Order) *wire.Order {
	return &wire.Order{
		Id: c.nextID(), Kind: p.Kind, Cell: c.o.Cell,
		Upstream: p.Runner, Incarnation: n.rec.GetIncarnation(), Model: p.Model, Version: p.Version,
		Adapter: p.Adapter, MemoryMib: p.MemoryMiB, SpecIndex: c.spec.GetIndex(), Fence: c.o.Fence,
		State: wire.OrderState_ORDER_OPEN, Reason: p.Reason,
	}
}

// settle proposes the settlement of a known outcome.
func (c *Core) settle(h *hold) {
	s := h.open
	if s == nil {
		s = h.lost
	}
	s.settled = true
	c.propose(&wire.Command{Op: &wire.Command_SettleOrders{SettleOrders: &wire.SettleOrders{
		Lease: c.o.Lease, Fence: c.o.Fence,
		Settlements: []*wire.Settlement{{OrderId: s.o.GetId(), State: s.outcome}},
	}}}, &batch{holds: []*hold{h}, settle: true})
}

func (c *Core) proposePut(n *node) {
	c.propose(&wire.Command{Op: &wire.Command_PutUpstream{PutUpstream: &wire.PutUpstream{
		Lease: c.o.Lease, Fence: c.o.Fence, Upstream: n.rec,
	}}}, &batch{n: n, put: true})
}

func (c *Core) proposeDrop(n *node) {
	c.propose(&wire.Command{Op: &wire.Command_DropUpstream{DropUpstream: &wire.DropUpstream{
		Lease: c.o.Lease, Fence: c.o.Fence, Id: n.rec.GetId(), Incarnation: n.rec.GetIncarnation(),
	}}}, &batch{n: n, drop: true})
}

// committed takes in that a command is in the log.
func (c *Core) committed(ev Committed) {
	b, ok := c.batches[ev.Batch]
	if !ok {
		return
	}
	delete(c.batches, ev.Batch)
	c.touchBatch(b)
	c.logIndex = max(c.logIndex, ev.Index)
	switch {
	case b.put:
		c.registered(b.n)
	case b.drop:
		c.forget(b.n)
	case b.settle:
		for _, h := range b.holds {
			c.settled(h)
		}
	default:
		for _, h := range b.holds {
			c.decided(h, ev)
		}
	}
}

func (c *Core) touchBatch(b *batch) {
	if b.n != nil {
		b.n.dirty = true
	}
	for _, h := range b.holds {
		c.touch(h.load.GetUpstream())
	}
}

// registered ends what earlier incarnations held.
func (c *Core) registered(n *node) {
	if c.upstreams[n.rec.GetId()] != n {
		return
	}
	n.registered = true
	n.putOut = false
	c.dropHolds(n, func(h *hold) bool { return !n.isCurrent(h) })
}

func (c *Core) decided(h *hold, ev Committed) {
	n := c.upstreams[h.load.GetUpstream()]
	if n == nil || h.open == nil || n.findHold(h.load.GetId()) != h {
		return
	}
	accepted := slices.ContainsFunc(ev.Results, func(r *wire.OrderResult) bool {
		return r.GetId() == h.open.o.GetId() && r.GetAccepted()
	})
	if !accepted {
		c.dropProposal(n, h)
		return
	}
	h.open.o.Index = ev.Index
	c.enterLog(n, h)
}

// enterLog lets a committed order be sent. What was adopted is there already: a reading
// settles it.
func (c *Core) enterLog(n *node, h *hold) {
	h.open.inLog = true
	if h.open.adopted {
		c.setPhase(h, phaseAccepted)
		n.readWant = true
		return
	}
	c.setPhase(h, phaseQueued)
}

// settled takes in that an outcome is in the log: only now memory and slots are free.
func (c *Core) settled(h *hold) {
	n := c.upstreams[h.load.GetUpstream()]
	if n == nil || n.findHold(h.load.GetId()) != h {
		return
	}
	h.changed = c.steps
	if h.lost != nil {
		c.removeHold(n, h)
		return
	}
	if h.open == nil || h.open.phase != phaseKnown {
		return
	}
	switch {
	case h.open.outcome == wire.OrderState_ORDER_LOADED:
		h.loaded = true
		h.open = nil
	case h.loaded && h.open.outcome == wire.OrderState_ORDER_FAILED:
		h.open = nil // the unload failed: it stays
		h.roomFor = placement.Subject{}
	default:
		c.removeHold(n, h)
	}
}

// commitFailed takes in that a command's commit failed.
func (c *Core) commitFailed(ev CommitFailed) {
	b, ok := c.batches[ev.Batch]
	if !ok {
		return
	}
	delete(c.batches, ev.Batch)
	c.touchBatch(b)
	if ev.Cause == CommitFenced {
		c.stop("the log refused the fencing number")
		return
	}
	switch {
	case b.put:
		b.n.putOut = false
		b.n.putNext = c.now + c.o.CommitRetry
		if ev.Cause == CommitRefused {
			b.n.putNext = c.now + c.o.ExpireAfter // this incarnation has ended in the log
		}
	case b.drop:
		b.n.dropping = false
	case b.settle:
		c.retrySettle(b.holds)
	default:
		c.doubt(b.holds, ev.Cause)
	}
}

// retrySettle proposes a settlement again later; a second one changes nothing.
func (c *Core) retrySettle(holds []*hold) {
	for _, h := range holds {
		for _, s := range []*open{h.open, h.lost} {
			if s != nil && s.phase == phaseKnown {
				s.settled = false
				s.retryAt = c.now + c.o.CommitRetry
			}
		}
	}
}

// doubt keeps proposals of unknown outcome counted until the log has been read.
func (c *Core) doubt(holds []*hold, cause CommitFailure) {
	for _, h := range holds {
		n := c.upstreams[h.load.GetUpstream()]
		if n == nil || h.open == nil || h.open.phase != phaseProposed {
			continue
		}
		if cause == CommitRefused || c.o.disabled == mechReadLog {
			c.dropProposal(n, h)
			continue
		}
		c.setPhase(h, phaseGhost)
		c.readWant = true
	}
}
