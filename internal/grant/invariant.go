package grant

import "fmt"

// InvariantError reports that the core's state is inconsistent. Step panics with it, and
// the process must stop.
type InvariantError struct{ Detail string }

// Error implements error.
func (e *InvariantError) Error() string { return "grant: invariant violated: " + e.Detail }

func (c *Core) invariantFailed(format string, args ...any) {
	panic(&InvariantError{Detail: fmt.Sprintf(format, args...)})
}

// checkGrant asserts the preconditions of a grant.
func (c *Core) checkGrant(a *attempt, u *upstream) {
	switch {
	case a.state != stateNew && a.state != stateWaiting:
		c.invariantFailed("attempt %s is granted although it was already answered", a.req.Attempt)
	case u.Leaving && !c.disabled.leaving:
		c.invariantFailed("a slot of leaving upstream %s is granted to attempt %s", u.ID, a.req.Attempt)
	case u.inFlight >= u.Slots:
		c.invariantFailed("upstream %s has %d slots and %d attempts in flight before a grant", u.ID, u.Slots, u.inFlight)
	case c.recovery.active:
		c.invariantFailed("attempt %s is granted during recovery", a.req.Attempt)
	case a.req.Deadline <= c.now:
		c.invariantFailed("attempt %s is granted past its deadline", a.req.Attempt)
	}
	c.checkBody(a, u)
}

// checkBody asserts that the grant can't let a body bring down too many upstreams.
func (c *Core) checkBody(a *attempt, u *upstream) {
	b, ok := c.suspects.bodies[a.req.BodyDigest]
	if !ok || c.disabled.suspects {
		return
	}
	on := b.upstreamsIncluding(u.ID)
	if b.lostUpstreams()+on > maxLostUpstreams {
		c.invariantFailed("body %s has brought down %d upstreams and would run on %d", a.req.BodyDigest, b.lostUpstreams(), on)
	}
}

// check asserts the invariants after a step: of the upstreams that the step touched, or of
// the whole state with FullChecks.
func (c *Core) check() {
	for _, u := range c.touched {
		c.checkUpstream(u)
	}
	if c.waiting > c.settings.MaxWaiting {
		c.invariantFailed("%d attempts wait, the limit is %d", c.waiting, c.settings.MaxWaiting)
	}
	if c.waiting != len(c.deadlines.items) {
		c.invariantFailed("%d attempts wait but %d have a deadline timer", c.waiting, len(c.deadlines.items))
	}
	if c.fullChecks {
		c.checkAll()
	}
}

func (c *Core) checkUpstream(u *upstream) {
	if u.inFlight != len(u.running) {
		c.invariantFailed("upstream %s counts %d attempts in flight but holds %d", u.ID, u.inFlight, len(u.running))
	}
	if u.inFlight > u.Slots+u.excess {
		c.invariantFailed("upstream %s has %d slots, %d excess attempts and %d attempts in flight", u.ID, u.Slots, u.excess, u.inFlight)
	}
}

// checkAll verifies the whole state.
func (c *Core) checkAll() {
	waiting, running := 0, 0
	for id, a := range c.attempts {
		if a.req.Attempt != id {
			c.invariantFailed("attempt %s is stored under id %s", a.req.Attempt, id)
		}
		switch a.state {
		case stateWaiting:
			waiting++
		case stateRunning:
			running++
			c.checkRunning(a)
		case stateOrphan:
		default:
			c.invariantFailed("attempt %s is neither waiting nor running nor orphaned", id)
		}
	}
	if waiting != c.waiting || running != c.running {
		c.invariantFailed("%d attempts wait but %d are counted, %d run but %d are counted", waiting, c.waiting, running, c.running)
	}
	c.checkUpstreams()
	c.checkPools()
	c.checkWorkConserving()
}

func (c *Core) checkRunning(a *attempt) {
	if c.upstreams[a.upstream.ID] != a.upstream || a.upstream.running[a.req.Attempt] != a {
		c.invariantFailed("attempt %s runs on an ended incarnation of upstream %s", a.req.Attempt, a.upstream.ID)
	}
}

func (c *Core) checkUpstreams() {
	total := 0
	for i, u := range c.sortedUpstreams {
		if i > 0 && c.sortedUpstreams[i-1].ID >= u.ID {
			c.invariantFailed("upstreams are out of order at %s", u.ID)
		}
		c.checkUpstream(u)
		total += u.inFlight
	}
	if total != c.running || len(c.sortedUpstreams) != len(c.upstreams) {
		c.invariantFailed("%d attempts are in flight on all upstreams, %d are counted as running", total, c.running)
	}
}

func (c *Core) checkPools() {
	waiting := 0
	for _, p := range c.pools {
		waiting += p.queue.size
		c.checkRunningCounts(p)
		if p.queue.size > c.queueBound() {
			c.invariantFailed("%d attempts wait for %v, the limit is %d", p.queue.size, p.key, c.queueBound())
		}
		size := 0
		for i := range p.queue.classes {
			for _, caller := range p.queue.classes[i].callers {
				size += len(caller.items)
			}
		}
		if size != p.queue.size {
			c.invariantFailed("queue of %v counts %d attempts but holds %d", p.key, p.queue.size, size)
		}
	}
	if waiting != c.waiting {
		c.invariantFailed("%d attempts are queued, %d are counted as waiting", waiting, c.waiting)
	}
}

// checkRunningCounts compares a pool's running counts by class, by caller and by upstream.
func (c *Core) checkRunningCounts(p *pool) {
	byCaller := 0
	for i := range p.queue.classes {
		for _, caller := range p.queue.classes[i].callers {
			byCaller += caller.running
		}
	}
	byUpstream := 0
	for _, u := range c.sortedUpstreams {
		byUpstream += u.inFlightByPool[p]
	}
	if byCaller != p.running() || byUpstream != p.running() {
		c.invariantFailed("%v runs %d attempts by class, %d by caller, %d by upstream", p.key, p.running(), byCaller, byUpstream)
	}
}

// checkWorkConserving asserts that no attempt waits while it could take a free slot.
func (c *Core) checkWorkConserving() {
	for _, a := range c.deadlines.items {
		if u := c.freeUpstreamFor(a); u != nil && !c.tooLateToStart(a) {
			c.invariantFailed("attempt %s waits although upstream %s has a free slot", a.req.Attempt, u.ID)
		}
	}
}

func (c *Core) freeUpstreamFor(a *attempt) *upstream {
	for _, u := range a.pool.members {
		// Avoided upstreams are dispatched at intervals only.
		if !u.score.avoided && c.freeSlots(u) > 0 && c.mayRun(a, u) {
			return u
		}
	}
	return nil
}
