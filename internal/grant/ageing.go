package grant

// nextAttempt returns the waiting attempt that gets the upstream's next slot, or nil. The
// most urgent class is served first, but a class whose oldest attempt has waited beyond
// its delay earns a share of the grants that go to more urgent ones. A long backlog thus
// hardly delays urgent work and still makes progress.
func (c *Core) nextAttempt(u *upstream) *attempt {
	for class := 1; class < classCount; class++ {
		if u.ageCredit[class] < 1 {
			continue
		}
		if a := c.nextOfClass(u, class); a != nil {
			u.ageCredit[class]--
			return a
		}
	}
	for class := range classCount {
		if a := c.nextOfClass(u, class); a != nil {
			c.creditAged(u, class)
			return a
		}
	}
	return nil
}

// nextOfClass returns the next attempt of one class that may run on the upstream. It comes
// from the model with the fewest attempts running there, among equals from the one with
// the longest waiting attempt, so that a busy model's backlog does not hold up a rarely
// used one on the same runner.
func (c *Core) nextOfClass(u *upstream, class int) *attempt {
	var best *attempt
	var bestPriority poolPriority
	eligible := func(a *attempt) bool { return c.mayRun(a, u) }
	for _, p := range u.pools {
		cq := &p.queue.classes[class]
		if cq.size == 0 {
			continue
		}
		priority := poolPriority{u.inFlightByPool[p], cq.oldestArrival()}
		if c.settings.Queue == QueueFIFO {
			priority.running = 0
		}
		if best != nil && !priority.before(bestPriority) {
			continue
		}
		if a := cq.next(eligible); a != nil {
			best, bestPriority = a, priority
		}
	}
	return best
}

// poolPriority orders the models with attempts waiting for one upstream.
type poolPriority struct {
	running int  // attempts of the model on the upstream
	oldest  Time // arrival of its longest waiting attempt
}

func (p poolPriority) before(o poolPriority) bool {
	if p.running != o.running {
		return p.running < o.running
	}
	return p.oldest < o.oldest
}

// creditAged credits the aged classes that are less urgent than the served one.
func (c *Core) creditAged(u *upstream, served int) {
	for class := served + 1; class < classCount; class++ {
		if c.hasAged(u, class) {
			u.ageCredit[class] = min(1, u.ageCredit[class]+c.settings.AgedShare)
		}
	}
}

func (c *Core) hasAged(u *upstream, class int) bool {
	for _, p := range u.pools {
		cq := &p.queue.classes[class]
		if cq.size > 0 && cq.oldestArrival()+p.queue.ageingDelays[class] <= c.now {
			return true
		}
	}
	return false
}
