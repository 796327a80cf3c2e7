package orders

import (
	"time"

	"slices"

	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// pollAfter is how long an accepted order may go on before its upstream is asked.
const pollAfter = time.Second

// advance does all that is due: sendings, settlements, registrations, readings.
func (c *Core) advance() {
	for _, n := range slices.Clone(c.order) {
		c.watch(n)
		c.register(n)
		c.resettle(n)
		c.resolveStrays(n)
		c.sendDue(n)
		c.readDue(n)
	}
	c.updateGrants()
	c.readLogDue()
}

func (c *Core) register(n *node) {
	if n.registered || n.putOut || n.dropping || c.now < n.putNext || n.rec.GetIncarnation() == 0 {
		return
	}
	n.putOut = true
	c.proposePut(n)
}

func (c *Core) resettle(n *node) {
	for _, h := range n.holds {
		for _, s := range []*open{h.open, h.lost} {
			if s != nil && s.phase == phaseKnown && !s.settled && c.now >= s.retryAt {
				c.settle(h)
			}
		}
	}
}

// sendDue sends what is committed and may be sent now. An upstream that ignores fencing
// numbers gets one order at a time.
func (c *Core) sendDue(n *node) {
	if !n.registered || n.dropping || n.rec.GetService() != "" || c.now < n.actFrom {
		return
	}
	for _, h := range n.holds {
		if !n.isCurrent(h) || !c.isDue(n, h) {
			continue
		}
		if c.isSerial(n) && n.sending() {
			return
		}
		c.send(n, h)
	}
}

func (c *Core) isSerial(n *node) bool {
	return !n.rec.GetChecksFencing() && c.o.disabled != mechSerial
}

func (n *node) sending() bool {
	return n.strayOrder != "" || slices.ContainsFunc(n.holds, func(h *hold) bool { return h.open != nil && h.open.phase == phaseSent })
}

func (c *Core) isDue(n *node, h *hold) bool {
	if h.open == nil {
		return false
	}
	switch h.open.phase {
	case phaseQueued:
		return !n.suspect
	case phaseAccepted:
		c.poll(n, h)
		return false
	case phaseUnsure:
		if h.loaded && h.open.recovered && !h.idle {
			return false // requests that another process granted may run on it
		}
		return !n.suspect && c.now >= h.open.retryAt && n.confirmed && c.readSince(n, h)
	default:
		return false
	}
}

// poll reads the state of an upstream that took an order and did not announce its end.
func (c *Core) poll(n *node, h *hold) {
	if c.now-max(h.open.since, n.readAt) >= pollAfter {
		n.readWant = true
	}
}

// readSince tells whether the upstream's state was read since an order became unsure.
// Sending it again without looking could repeat what it has since done and undone.
func (c *Core) readSince(n *node, h *hold) bool {
	if n.reads > 0 && n.lastRead >= h.changed {
		return true
	}
	n.readWant = true
	return false
}

func (c *Core) send(n *node, h *hold) {
	o := h.open.o
	c.setPhase(h, phaseSent)
	c.checkSend(n, h)
	if h.loaded {
		c.block(n, h.subject())
	}
	c.act(Send{
		Upstream: n.rec.GetId(),
		Address:  n.rec.GetAddress(),
		Order: upstream.Order{
			ID: o.GetId(), Kind: kindName(o.GetKind()), Incarnation: o.GetIncarnation(), Fence: c.o.Fence,
			Model: o.GetModel(), Version: o.GetVersion(), Adapter: o.GetAdapter(), MemoryMiB: o.GetMemoryMib(),
		},
		Timeout: c.o.OrderLife,
		Serial:  c.isSerial(n),
	})
}

func kindName(k wire.OrderKind) upstream.OrderKind {
	switch k {
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

// replied takes in an upstream's answer to an order.
func (c *Core) replied(ev Replied) {
	c.strayAnswered(ev.Upstream, ev.Reply.ID)
	n, h := c.sentHold(ev.Upstream, ev.Reply.ID)
	if h == nil {
		return
	}
	c.seen(n)
	if h.loaded && !h.open.doubtful {
		delete(n.blocked, h.subject())
	}
	switch ev.Reply.State {
	case upstream.OrderAccepted:
		c.accepted(h)
	case upstream.OrderDone:
		c.outcome(n, h, doneState(h))
	case upstream.OrderFailed:
		c.outcome(n, h, wire.OrderState_ORDER_FAILED)
	default: // fenced: the reading tells by what
		c.setUnsure(h, c.o.ResendAfter)
		n.readWant = true
	}
}

func doneState(h *hold) wire.OrderState {
	if h.loaded {
		return wire.OrderState_ORDER_GONE
	}
	return wire.OrderState_ORDER_LOADED
}

// sendFailed takes in that an order got no answer. One that may have arrived holds its
// slot and memory until the upstream's state shows what became of it.
func (c *Core) sendFailed(ev SendFailed) {
	c.strayAnswered(ev.Upstream, ev.Order)
	n, h := c.sentHold(ev.Upstream, ev.Order)
	if h == nil {
		return
	}
	c.unanswered(n, ev.Refused)
	n.readWant = true
	if c.o.disabled == mechHoldUnknown {
		c.outcome(n, h, wire.OrderState_ORDER_FAILED)
		return
	}
	h.open.doubtful = h.open.doubtful || ev.Unknown
	wait := c.o.ResendAfter
	if ev.Unknown && c.isSerial(n) {
		wait = c.o.OrderLife // until the first copy can't arrive any more
	}
	c.setUnsure(h, wait)
}

func (c *Core) setUnsure(h *hold, wait Time) {
	c.setPhase(h, phaseUnsure)
	h.open.retryAt = c.now + wait
}

func (c *Core) sentHold(id, order string) (*node, *hold) {
	n, ok := c.upstreams[id]
	if !ok {
		return nil, nil
	}
	h := n.findHold(order)
	if h == nil || h.open == nil || h.open.o.GetId() != order || h.open.phase != phaseSent {
		return nil, nil
	}
	return n, h
}

// readDue reads an upstream's state when something asks for it.
func (c *Core) readDue(n *node) {
	if n.rec.GetService() != "" || n.rec.GetAddress() == "" || n.dropping || n.reading {
		return
	}
	if !n.confirmed && c.now >= n.actFrom {
		n.readWant = true
	}
	if !n.readWant || c.now < n.readNext {
		return
	}
	n.reading = true
	n.readAt = c.now
	n.readStep = c.steps
	c.act(ReadState{Upstream: n.rec.GetId(), Address: n.rec.GetAddress()})
}

func (c *Core) readLogDue() {
	if c.reading || c.now < c.readLogNext || c.o.disabled == mechReadLog {
		return
	}
	if !c.readWant && c.now < c.nextAudit && !c.hasOldGhost() {
		return
	}
	c.reading = true
	c.readWant = false
	c.readLogNext = c.now + c.o.ReadEvery
	c.act(ReadLog{})
}

// hasOldGhost tells whether a proposal of unknown outcome can no longer commit, so that
// one more reading of the log decides about it.
func (c *Core) hasOldGhost() bool {
	for _, n := range c.order {
		for _, h := range n.holds {
			if h.open != nil && h.open.phase == phaseGhost && c.now-h.open.since >= c.o.ProposalLife {
				return true
			}
		}
	}
	return false
}
