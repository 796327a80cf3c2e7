package grant

import (
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// admit grants, queues or refuses a new attempt.
func (c *Core) admit(req SlotRequest) {
	if _, known := c.attempts[req.Attempt]; known {
		return // a repeated message for the same attempt
	}
	a := &attempt{req: req, arrived: c.now, heapIndex: -1}
	c.sequence++
	a.sequence = c.sequence
	c.attempts[req.Attempt] = a
	c.entryOf(req.Entry).attempts[req.Attempt] = a
	if kind, detail, after := c.checkAdmission(a); kind != "" {
		c.refuse(a, kind, detail, after)
		return
	}
	if c.tooLateOnArrival(a) && !a.pool.takeTrial(c.now) {
		c.refuse(a, errkind.DeadlineUnmeetable, "too little time is left to run", c.retryAfter(0))
		return
	}
	if u := c.pick(a); u != nil {
		c.grantTo(a, u)
		return
	}
	if req.Hedge {
		c.refuse(a, errkind.Overloaded, "no spare slot for a hedge", 0)
		return
	}
	c.enqueue(a)
}

// checkAdmission returns the refusal of an attempt that can be refused before an upstream
// is looked for, and an empty kind if there is none. It also sets the attempt's pool, demand
// and expected length, and records its arrival in the demand unless it is a hedge.
func (c *Core) checkAdmission(a *attempt) (errkind.Kind, string, time.Duration) {
	if c.draining {
		return errkind.Draining, "the scheduler is shutting down", 0
	}
	if kind, detail := c.checkSpec(a.req); kind != "" {
		return kind, detail, 0
	}
	a.pool = c.poolOf(poolKey{a.req.Model, a.req.Service})
	a.demand = a.pool.demandFor(a.req.Adapter)
	if !a.req.Hedge {
		a.demand.recordRequest(c.now)
	}
	a.expected = c.lengths.expected(a.req, c.settings)
	a.long = a.req.Service == "" && a.expected >= c.settings.LongTokens
	if a.req.Deadline <= c.now {
		return errkind.DeadlineExceeded, "the deadline had passed on arrival", 0
	}
	if c.suspects.isQuarantined(a.req.BodyDigest) {
		return errkind.Quarantined, "the body was running when upstreams failed", 0
	}
	if a.req.Hedge {
		return c.hedgeRefusal(a)
	}
	return "", "", 0
}

// enqueue queues an attempt, or refuses it when it could not be served in time.
func (c *Core) enqueue(a *attempt) {
	if wait, ok := c.missesDeadline(a); ok {
		c.refuse(a, errkind.DeadlineUnmeetable, "the estimated wait passes the deadline", c.retryAfter(wait))
		return
	}
	full := a.pool.queue.size >= c.queueBound() || c.waiting >= c.settings.MaxWaiting
	if full && !c.shedFor(a) {
		c.refuse(a, errkind.QueueFull, "too many requests wait for this model", c.retryAfter(c.estimateWait(a)))
		return
	}
	a.state = stateWaiting
	a.pool.queue.add(a, c.settings.DeadlineHorizon)
	a.pool.loadTime.recordDemand(c.now, c.hasReadyUpstream(a))
	c.deadlines.add(a, c.latestStart(a))
	c.suspects.addWaiting(a.req.BodyDigest, 1)
	a.demand.waiting++
	c.waiting++
}

// shedFor refuses a less important waiting attempt to make room for an incoming one. It
// reports whether there was one.
func (c *Core) shedFor(incoming *attempt) bool {
	victim := incoming.pool.queue.victim(incoming)
	if victim == nil {
		return false
	}
	c.refuse(victim, errkind.Overloaded, "shed for more urgent work", c.retryAfter(c.estimateWait(victim)))
	return true
}

// trimQueues sheds waiting attempts beyond a limit that a new spec has lowered.
func (c *Core) trimQueues() {
	for _, a := range c.waitingInOrder() {
		for a.state == stateWaiting && a.pool.queue.size > c.queueBound() {
			c.refuse(a.pool.queue.leastImportant(), errkind.Overloaded, "the applied file lowered the queue's bound", 0)
		}
	}
}

func (c *Core) queueBound() int {
	if c.spec != nil && c.spec.queuePerModel > 0 {
		return c.spec.queuePerModel
	}
	return c.settings.QueuePerModel
}

// dequeue removes a waiting attempt from its queue. served charges its cost to its caller.
func (c *Core) dequeue(a *attempt, served bool) {
	a.pool.queue.remove(a, served)
	c.deadlines.remove(a)
	c.suspects.addWaiting(a.req.BodyDigest, -1)
	a.demand.waiting--
	c.waiting--
}

// grantTo grants the attempt a slot of the upstream.
func (c *Core) grantTo(a *attempt, u *upstream) {
	c.checkGrant(a, u)
	if a.state == stateWaiting {
		c.dequeue(a, true)
	}
	a.probe = u.score.avoided
	if a.probe {
		u.score.probing = true
	}
	c.takeSlot(a, u)
	if u.rate != nil {
		u.rate.Take()
	}
	c.hedgeBudget.recordGrant(a, c.settings)
	r := u.ready[a.req.Model]
	c.actions = append(c.actions, Grant{
		Entry:          a.req.Entry,
		Attempt:        a.req.Attempt,
		Upstream:       u.ID,
		Incarnation:    u.Incarnation,
		Address:        u.Address,
		UseBy:          c.settings.UseBy,
		ModelVersion:   r.Version,
		AdapterVersion: r.Adapters[a.req.Adapter],
		HedgeAfter:     c.hedgeDelay(a),
		ChecksFencing:  u.ChecksFencing,
	})
}

// refuse ends an attempt that holds no slot. An after of 0 takes the default retry delay
// of the kind.
func (c *Core) refuse(a *attempt, kind errkind.Kind, detail string, after time.Duration) {
	if a.state != stateNew && a.state != stateWaiting {
		c.invariantFailed("attempt %s is refused although it was already answered", a.req.Attempt)
	}
	if after == 0 {
		after = errkind.ResponseOf(kind).RetryAfter
	}
	c.drop(a)
	c.actions = append(c.actions, Refuse{
		Entry:      a.req.Entry,
		Attempt:    a.req.Attempt,
		Kind:       kind,
		Detail:     detail,
		RetryAfter: after,
	})
}

// drop removes an attempt that holds no slot, without an action.
func (c *Core) drop(a *attempt) {
	if a.state == stateWaiting {
		c.dequeue(a, false)
	}
	a.state = stateEnded
	delete(c.attempts, a.req.Attempt)
	c.removeFromEntry(a)
}

func (c *Core) cancel(ev Cancel) {
	a, ok := c.attempts[ev.Attempt]
	if !ok || a.state != stateWaiting {
		return // answered already: a granted attempt ends by Release
	}
	c.drop(a)
}

func (c *Core) release(ev Release) {
	a, ok := c.attempts[ev.Attempt]
	if !ok {
		return // its upstream's incarnation has ended
	}
	if a.state == stateOrphan {
		if ev.Outcome == wire.Outcome_OUTCOME_CUT {
			c.recordCut(a.req.BodyDigest, a.orphanUpstream, a.incarnation)
		}
		c.endOrphanAndDispatch(a)
		return
	}
	if a.state != stateRunning {
		return
	}
	u := a.upstream
	c.observe(a, ev)
	if ev.Outcome == wire.Outcome_OUTCOME_CUT {
		c.recordCut(a.req.BodyDigest, u.ID, u.Incarnation)
	}
	if ev.Outcome == wire.Outcome_OUTCOME_OK {
		c.reportAnswer(a.req.BodyDigest)
	}
	c.endRunning(a)
	c.removeFromEntry(a)
	c.dispatchFreed(a)
}

// observe updates the estimates from a release.
func (c *Core) observe(a *attempt, ev Release) {
	u := a.upstream
	if a.probe {
		u.score.probing = false
	}
	if ev.Outcome == wire.Outcome_OUTCOME_UNUSED || ev.Outcome == wire.Outcome_OUTCOME_REFUSED {
		return
	}
	s := sampleOf(ev)
	c.scoreAttempt(a, s, ev.Outcome)
	if ev.Outcome != wire.Outcome_OUTCOME_OK {
		return
	}
	c.lengths.observe(a.req, ev.Tokens)
	if !u.score.avoided {
		a.pool.timing.observe(s)
	}
	u.limit.observe(s, u.inFlight, c.now, c.settings)
}

// expireWaiting refuses attempts whose deadline has passed, or that have too little time
// left to run. The latter are refused before the deadline, so that their callers can retry
// early.
func (c *Core) expireWaiting() {
	for {
		a := c.deadlines.popDue(c.now)
		switch {
		case a == nil:
			return
		case c.now >= a.req.Deadline:
			c.refuse(a, errkind.DeadlineExceeded, "the deadline passed while waiting for a slot", 0)
		case c.tooLateToStart(a):
			c.refuse(a, errkind.DeadlineUnmeetable, "too little time is left to run", c.retryAfter(0))
		default:
			c.deadlines.add(a, c.latestStart(a))
		}
	}
}

// latestStart returns when a waiting attempt has to be checked again: when it becomes too
// late to start by the estimated run time, and at its deadline at the latest.
func (c *Core) latestStart(a *attempt) Time {
	start := a.req.Deadline - c.conservativeRunTime(a)
	if !c.settings.EarlyRefusal || start <= c.now {
		return a.req.Deadline
	}
	return start
}
