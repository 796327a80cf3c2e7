package orders

import (
	"fmt"

	"gentiankeel/internal/placement"
	"gentiankeel/internal/wire"
)

const loadedState = wire.OrderState_ORDER_LOADED

// Rule names an invariant of the core.
type Rule string

// The invariants.
const (
	RuleMemory      Rule = "memory"       // decisions never exceed a runner's memory
	RuleReplicas    Rule = "replicas"     // no decision exceeds the file's replicas
	RuleCommitFirst Rule = "commit first" // no order is sent before it is committed
	RuleFence       Rule = "fence"        // no order is sent after the term has ended
	RuleSerial      Rule = "serial"       // one order at a time where fencing is ignored
	RuleCounts      Rule = "counts"       // the running counts agree with a full count
	RuleOnce        Rule = "once"         // one hold for each model or adapter on an upstream
)

// InvariantError is a broken invariant. The process that sees it must stop.
type InvariantError struct {
	Rule     Rule
	Upstream string
	Detail   string
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %q broken on upstream %s: %s", e.Rule, e.Upstream, e.Detail)
}

func (c *Core) violate(r Rule, upstream, format string, args ...any) {
	if c.broken == nil {
		c.broken = &InvariantError{Rule: r, Upstream: upstream, Detail: fmt.Sprintf(format, args...)}
	}
}

// checkInvariants looks at what has changed in this step.
func (c *Core) checkInvariants() {
	for _, n := range c.order {
		if n.dirty {
			n.dirty = false
			c.checkNode(n)
		}
	}
	if !c.started {
		return
	}
	for model, before := range c.grown {
		limit := max(before, int(c.model(model).GetReplicas()))
		if count := c.counts[model]; count > limit {
			c.violate(RuleReplicas, "", "%d replicas of %s, the file allows %d", count, model, limit)
		}
	}
}

// checkCounts compares the running counts with a full count.
func (c *Core) checkCounts() {
	full := map[string]int{}
	for _, n := range c.order {
		for _, h := range n.holds {
			if h.load.GetAdapter() == "" {
				full[h.load.GetModel()]++
			}
		}
	}
	for model, count := range c.counts {
		if full[model] != count {
			c.violate(RuleCounts, "", "%d replicas of %s are counted, %d are held", count, model, full[model])
		}
	}
}

func (c *Core) checkNode(n *node) {
	id := n.rec.GetId()
	var used uint64
	sending := 0
	once := make(map[placement.Subject]bool, len(n.holds))
	for _, h := range n.holds {
		if h.open != nil && h.open.phase == phaseSent {
			sending++
		}
		if !n.isCurrent(h) {
			continue
		}
		used += h.load.GetMemoryMib()
		key := placement.Subject{Model: h.load.GetModel(), Adapter: h.load.GetAdapter()}
		if once[key] {
			c.violate(RuleOnce, id, "%s is held twice", key)
		}
		once[key] = true
	}
	if used > n.rec.GetMemoryMib() {
		c.violate(RuleMemory, id, "%d MiB decided of %d MiB", used, n.rec.GetMemoryMib())
	}
	if sending > 1 && !n.rec.GetChecksFencing() {
		c.violate(RuleSerial, id, "%d orders at once", sending)
	}
}

// checkSend looks at an order that is about to be sent.
func (c *Core) checkSend(n *node, h *hold) {
	if !h.open.inLog {
		c.violate(RuleCommitFirst, n.rec.GetId(), "order %s is not committed", h.open.o.GetId())
	}
	if c.stopped {
		c.violate(RuleFence, n.rec.GetId(), "order %s after the end of the term", h.open.o.GetId())
	}
}
