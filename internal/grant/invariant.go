package grant

import "fmt"

// InvariantError says that the core's state contradicts itself. Step panics with it;
// the process that holds the core must stop.
type InvariantError struct{ Detail string }

// Error implements error.
func (e *InvariantError) Error() string { return "grant: invariant broken: " + e.Detail }

func (c *Core) broken(format string, args ...any) {
	panic(&InvariantError{Detail: fmt.Sprintf(format, args...)})
}

// checkGrant asserts what must hold before a slot is given.
func (c *Core) checkGrant(a *attempt, u *upstream) {
	switch {
	case a.state != stateNew && a.state != stateWaiting:
		c.broken("attempt %s is granted after its answer", a.ask.Attempt)
	case u.Leaving && !c.off.leaving:
		c.broken("leaving upstream %s is granted to attempt %s", u.ID, a.ask.Attempt)
	case u.inFlight >= u.Slots:
		c.broken("upstream %s has %d slots and %d in flight before a grant", u.ID, u.Slots, u.inFlight)
	case c.recovery.active:
		c.broken("attempt %s is granted during recovery", a.ask.Attempt)
	case a.ask.Deadline <= c.now:
		c.broken("attempt %s is granted past its deadline", a.ask.Attempt)
	}
	c.checkBody(a, u)
}

// checkBody asserts that the grant can't make a body take down too many upstreams.
func (c *Core) checkBody(a *attempt, u *upstream) {
	b, ok := c.suspects.bodies[a.ask.BodyDigest]
	if !ok || c.off.suspects {
		return
	}
	on := b.spread(u.ID)
	if b.lost()+on > maxLost {
		c.broken("body %s is lost to %d upstreams and would run on %d", a.ask.BodyDigest, b.lost(), on)
	}
}

// check asserts the state after a step: what the step touched, or all with FullChecks.
func (c *Core) check() {
	for _, u := range c.touched {
		c.checkUpstream(u)
	}
	if c.waiting > c.set.MaxWaiting {
		c.broken("%d asks wait, the bound is %d", c.waiting, c.set.MaxWaiting)
	}
	if c.waiting != len(c.deadlines.items) {
		c.broken("%d asks wait but %d have a deadline", c.waiting, len(c.deadlines.items))
	}
	if c.fullChecks {
		c.checkAll()
	}
}

func (c *Core) checkUpstream(u *upstream) {
	if u.inFlight != len(u.running) {
		c.broken("upstream %s counts %d in flight and holds %d", u.ID, u.inFlight, len(u.running))
	}
	if u.inFlight > u.Slots+u.excess {
		c.broken("upstream %s has %d slots, %d in excess and %d in flight", u.ID, u.Slots, u.excess, u.inFlight)
	}
}

// checkAll walks the whole state.
func (c *Core) checkAll() {
	waiting, running := 0, 0
	for id, a := range c.attempts {
		if a.ask.Attempt != id {
			c.broken("attempt %s is filed under %s", a.ask.Attempt, id)
		}
		switch a.state {
		case stateWaiting:
			waiting++
		case stateRunning:
			running++
			c.checkRunning(a)
		case stateOrphan:
		default:
			c.broken("attempt %s has no answer and does not wait", id)
		}
	}
	if waiting != c.waiting || running != c.running {
		c.broken("%d of %d wait, %d of %d run", waiting, c.waiting, running, c.running)
	}
	c.checkUpstreams()
	c.checkPools()
	c.checkConserving()
}

func (c *Core) checkRunning(a *attempt) {
	if c.upstreams[a.upstream.ID] != a.upstream || a.upstream.running[a.ask.Attempt] != a {
		c.broken("attempt %s runs on an ended incarnation of %s", a.ask.Attempt, a.upstream.ID)
	}
}

func (c *Core) checkUpstreams() {
	total := 0
	for i, u := range c.order {
		if i > 0 && c.order[i-1].ID >= u.ID {
			c.broken("upstreams are out of order at %s", u.ID)
		}
		c.checkUpstream(u)
		total += u.inFlight
	}
	if total != c.running || len(c.order) != len(c.upstreams) {
		c.broken("%d in flight on all upstreams, %d running", total, c.running)
	}
}

func (c *Core) checkPools() {
	waiting := 0
	for _, p := range c.pools {
		waiting += p.queue.size
		c.checkRunningCounts(p)
		if p.queue.size > c.queueBound() {
			c.broken("%d asks wait for %v, the bound is %d", p.queue.size, p.key, c.queueBound())
		}
		size := 0
		for i := range p.queue.classes {
			for _, caller := range p.queue.classes[i].callers {
				size += len(caller.items)
			}
		}
		if size != p.queue.size {
			c.broken("queue of %v counts %d and holds %d", p.key, p.queue.size, size)
		}
	}
	if waiting != c.waiting {
		c.broken("%d asks are queued, %d wait", waiting, c.waiting)
	}
}

// checkRunningCounts compares a pool's counts by class and by caller.
func (c *Core) checkRunningCounts(p *pool) {
	byCaller := 0
	for i := range p.queue.classes {
		for _, caller := range p.queue.classes[i].callers {
			byCaller += caller.running
		}
	}
	byUpstream := 0
	for _, u := range c.order {
		byUpstream += u.byPool[p]
	}
	if byCaller != p.running() || byUpstream != p.running() {
		c.broken("%v runs %d, by caller %d, by upstream %d", p.key, p.running(), byCaller, byUpstream)
	}
}

// checkConserving asserts that no ask waits for a slot that it could have now.
func (c *Core) checkConserving() {
	for _, a := range c.deadlines.items {
		if u := c.idleFor(a); u != nil && !c.tooLate(a) {
			c.broken("attempt %s waits though %s has a free slot", a.ask.Attempt, u.ID)
		}
	}
}

func (c *Core) idleFor(a *attempt) *upstream {
	for _, u := range a.pool.members {
		// Avoided upstreams are looked at again at intervals only.
		if !u.score.avoided && c.free(u) > 0 && c.mayRun(a, u) {
			return u
		}
	}
	return nil
}
