package grant

import (
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// ask admits one attempt: it is granted, queued or refused in this step.
func (c *Core) ask(k Ask) {
	if _, known := c.attempts[k.Attempt]; known {
		return // a repeated message of the same attempt
	}
	a := &attempt{ask: k, at: c.now, index: -1}
	c.sequence++
	a.sequence = c.sequence
	c.attempts[k.Attempt] = a
	c.entryOf(k.Entry).attempts[k.Attempt] = a
	if kind, detail, after := c.refusal(a); kind != "" {
		c.refuse(a, kind, detail, after)
		return
	}
	if c.hopeless(a) && !a.pool.trialDue(c.now) {
		c.refuse(a, errkind.DeadlineUnmeetable, "too little time is left to run", c.retryAfter(0))
		return
	}
	if u := c.pick(a); u != nil {
		c.grantTo(a, u)
		return
	}
	if k.Hedge {
		c.refuse(a, errkind.Overloaded, "no spare slot for a hedge", 0)
		return
	}
	c.enqueue(a)
}

// refusal checks what can be refused before a slot is looked for. It fills in what the
// attempt needs for the rest.
func (c *Core) refusal(a *attempt) (errkind.Kind, string, time.Duration) {
	if c.draining {
		return errkind.Draining, "the scheduler is shutting down", 0
	}
	if kind, detail := c.unnamed(a.ask); kind != "" {
		return kind, detail, 0
	}
	a.pool = c.poolOf(poolKey{a.ask.Model, a.ask.Service})
	a.usage = a.pool.usageOf(a.ask.Adapter)
	if !a.ask.Hedge {
		a.usage.asked(c.now)
	}
	a.expected = c.lengths.expected(a.ask, c.set)
	a.long = a.ask.Service == "" && a.expected >= c.set.LongTokens
	if a.ask.Deadline <= c.now {
		return errkind.DeadlineExceeded, "the deadline had passed on arrival", 0
	}
	if c.suspects.quarantined(a.ask.BodyDigest) {
		return errkind.Quarantined, "the body was running when upstreams failed", 0
	}
	if a.ask.Hedge {
		return c.hedgeRefusal(a)
	}
	return "", "", 0
}

// enqueue lets an ask wait, or refuses it when it would wait in vain.
func (c *Core) enqueue(a *attempt) {
	if wait, ok := c.unmeetable(a); ok {
		c.refuse(a, errkind.DeadlineUnmeetable, "the estimated wait passes the deadline", c.retryAfter(wait))
		return
	}
	full := a.pool.queue.size >= c.queueBound() || c.waiting >= c.set.MaxWaiting
	if full && !c.makeRoom(a) {
		c.refuse(a, errkind.QueueFull, "too many requests wait for this model", c.retryAfter(c.waitEstimate(a)))
		return
	}
	a.state = stateWaiting
	a.pool.queue.add(a, c.set.Patience)
	a.pool.wake.wanted(c.now, c.hasReady(a))
	c.deadlines.add(a, c.latestStart(a))
	c.suspects.waits(a.ask.BodyDigest, 1)
	a.usage.waiting++
	c.waiting++
}

// makeRoom sheds a waiting ask that matters less than the newcomer.
func (c *Core) makeRoom(newcomer *attempt) bool {
	victim := newcomer.pool.queue.victim(newcomer)
	if victim == nil {
		return false
	}
	c.refuse(victim, errkind.Overloaded, "shed for more urgent work", c.retryAfter(c.waitEstimate(victim)))
	return true
}

// trimQueues sheds what waits beyond a bound that a new spec has lowered.
func (c *Core) trimQueues() {
	for _, a := range c.waitingInOrder() {
		for a.state == stateWaiting && a.pool.queue.size > c.queueBound() {
			c.refuse(a.pool.queue.worst(), errkind.Overloaded, "the applied file lowered the queue's bound", 0)
		}
	}
}

func (c *Core) queueBound() int {
	if c.spec != nil && c.spec.queue > 0 {
		return c.spec.queue
	}
	return c.set.QueuePerModel
}

// dequeue takes a waiting attempt out of its queue.
func (c *Core) dequeue(a *attempt, served bool) {
	a.pool.queue.remove(a, served)
	c.deadlines.remove(a)
	c.suspects.waits(a.ask.BodyDigest, -1)
	a.usage.waiting--
	c.waiting--
}

// grantTo gives the attempt a slot of the upstream and answers it.
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
	c.hedges.granted(a, c.set)
	r := u.ready[a.ask.Model]
	c.out = append(c.out, Grant{
		Entry:          a.ask.Entry,
		Attempt:        a.ask.Attempt,
		Upstream:       u.ID,
		Incarnation:    u.Incarnation,
		Address:        u.Address,
		UseBy:          c.set.UseBy,
		Version:        r.Version,
		AdapterVersion: r.Adapters[a.ask.Adapter],
		HedgeAfter:     c.hedgeAfter(a),
		ChecksFencing:  u.ChecksFencing,
	})
}

// refuse answers an attempt that holds no slot: it provably did not run.
func (c *Core) refuse(a *attempt, kind errkind.Kind, detail string, after time.Duration) {
	if a.state != stateNew && a.state != stateWaiting {
		c.broken("attempt %s is refused after its answer", a.ask.Attempt)
	}
	if after == 0 {
		after = errkind.AnswerOf(kind).RetryAfter
	}
	c.drop(a)
	c.out = append(c.out, Refuse{
		Entry:      a.ask.Entry,
		Attempt:    a.ask.Attempt,
		Kind:       kind,
		Detail:     detail,
		RetryAfter: after,
	})
}

// drop forgets an attempt that holds no slot.
func (c *Core) drop(a *attempt) {
	if a.state == stateWaiting {
		c.dequeue(a, false)
	}
	a.state = stateEnded
	delete(c.attempts, a.ask.Attempt)
	c.forgetInEntry(a)
}

func (c *Core) cancel(ev Cancel) {
	a, ok := c.attempts[ev.Attempt]
	if !ok || a.state != stateWaiting {
		return // answered already: a granted attempt is given back by Release
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
			c.doubtCut(a.ask.BodyDigest, a.orphanOf, a.incarnation)
		}
		c.dropOrphan(a)
		return
	}
	if a.state != stateRunning {
		return
	}
	u := a.upstream
	c.observe(a, ev)
	if ev.Outcome == wire.Outcome_OUTCOME_CUT {
		c.doubtCut(a.ask.BodyDigest, u.ID, u.Incarnation)
	}
	c.endRunning(a)
	c.forgetInEntry(a)
	c.dispatchAfter(a)
}

// observe learns from what a release reports.
func (c *Core) observe(a *attempt, ev Release) {
	u := a.upstream
	if a.probe {
		u.score.probing = false
	}
	if ev.Outcome == wire.Outcome_OUTCOME_UNUSED || ev.Outcome == wire.Outcome_OUTCOME_REFUSED {
		return
	}
	s := sampleOf(ev)
	c.scoreSample(a, s, ev.Outcome)
	if ev.Outcome != wire.Outcome_OUTCOME_OK {
		return
	}
	c.lengths.observe(a.ask, ev.Tokens)
	if !u.score.avoided {
		a.pool.timing.observe(s)
	}
	u.limit.observe(s, u.inFlight, c.now, c.set)
}

// expireWaiting refuses what waited until its deadline, or until too little time is left
// to run: its caller need not wait for the deadline to learn that.
func (c *Core) expireWaiting() {
	for {
		a := c.deadlines.popDue(c.now)
		switch {
		case a == nil:
			return
		case c.now >= a.ask.Deadline:
			c.refuse(a, errkind.DeadlineExceeded, "the deadline passed while waiting for a slot", 0)
		case c.tooLate(a):
			c.refuse(a, errkind.DeadlineUnmeetable, "too little time is left to run", c.retryAfter(0))
		default:
			c.deadlines.add(a, c.latestStart(a))
		}
	}
}

// latestStart is the time at which a waiting ask is looked at again: when it gets too
// late to start by the learnt time to run, and at its deadline at last.
func (c *Core) latestStart(a *attempt) Time {
	start := a.ask.Deadline - c.sureService(a)
	if !c.set.EarlyRefusal || start <= c.now {
		return a.ask.Deadline
	}
	return start
}
