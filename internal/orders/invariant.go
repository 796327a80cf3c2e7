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
	RuleMemory      Rule = "memory"       // the reservations on a runner fit its memory
	RuleReplicas    Rule = "replicas"     // no load exceeds the replicas of the applied file
	RuleCommitFirst Rule = "commit first" // no order is sent before it is committed
	RuleFence       Rule = "fence"        // no order is sent after the term has ended
	RuleSerial      Rule = "serial"       // an upstream that ignores fencing gets one order at a time
	RuleCounts      Rule = "counts"       // the running replica counts equal a full count
	RuleUnique      Rule = "once"         // one reservation for each model or adapter on an upstream
)

// InvariantError reports a violated invariant. The process must stop.
type InvariantError struct {
	Rule     Rule
	Upstream string
	Detail   string
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %q violated on upstream %s: %s", e.Rule, e.Upstream, e.Detail)
}

// recordViolation records the first violation. Step then returns it and handles no more events.
func (c *Core) recordViolation(rule Rule, upstream, format string, args ...any) {
	if c.violation == nil {
		c.violation = &InvariantError{Rule: rule, Upstream: upstream, Detail: fmt.Sprintf(format, args...)}
	}
}

// checkInvariants checks the upstreams and replica counts that this step has changed.
func (c *Core) checkInvariants() {
	for _, u := range c.sortedUpstreams {
		if u.dirty {
			u.dirty = false
			c.checkUpstream(u)
		}
	}
	if !c.started {
		return
	}
	for model, before := range c.countsBeforeStep {
		limit := max(before, int(c.findModel(model).GetReplicas()))
		if count := c.replicaCounts[model]; count > limit {
			c.recordViolation(RuleReplicas, "", "%d replicas of %s, the applied file allows %d", count, model, limit)
		}
	}
}

// checkCounts compares the running replica counts with a full count.
func (c *Core) checkCounts() {
	full := map[string]int{}
	for _, u := range c.sortedUpstreams {
		for _, r := range u.reservations {
			if r.load.GetAdapter() == "" {
				full[r.load.GetModel()]++
			}
		}
	}
	for model, count := range c.replicaCounts {
		if full[model] != count {
			c.recordViolation(RuleCounts, "", "%d replicas of %s are counted, %d are reserved", count, model, full[model])
		}
	}
}

func (c *Core) checkUpstream(u *trackedUpstream) {
	id := u.record.GetId()
	var used uint64
	ordersInFlight := 0
	seen := make(map[placement.Subject]bool, len(u.reservations))
	for _, r := range u.reservations {
		if r.open != nil && r.open.phase == phaseSent {
			ordersInFlight++
		}
		if !u.isCurrent(r) {
			continue
		}
		used += r.load.GetMemoryMib()
		key := placement.Subject{Model: r.load.GetModel(), Adapter: r.load.GetAdapter()}
		if seen[key] {
			c.recordViolation(RuleUnique, id, "%s is reserved twice", key)
		}
		seen[key] = true
	}
	if used > u.record.GetMemoryMib() {
		c.recordViolation(RuleMemory, id, "%d MiB reserved of %d MiB", used, u.record.GetMemoryMib())
	}
	if ordersInFlight > 1 && !u.record.GetChecksFencing() {
		c.recordViolation(RuleSerial, id, "%d orders in flight at once", ordersInFlight)
	}
}

// checkSend checks an order that is about to be sent.
func (c *Core) checkSend(u *trackedUpstream, r *reservation) {
	if !r.open.committed {
		c.recordViolation(RuleCommitFirst, u.record.GetId(), "order %s is sent before its commit", r.open.order.GetId())
	}
	if c.stopped {
		c.recordViolation(RuleFence, u.record.GetId(), "order %s is sent after the end of the term", r.open.order.GetId())
	}
}
