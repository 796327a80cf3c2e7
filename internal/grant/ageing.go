package grant

// nextFor returns the waiting attempt that gets the upstream's next slot, or nil. The
// most urgent class goes first, but a class whose oldest ask has waited beyond its delay
// earns a share of the grants that pass it over: so urgent work is hardly held up by a
// long backlog, and the backlog still moves.
func (c *Core) nextFor(u *upstream) *attempt {
	for class := 1; class < classCount; class++ {
		if u.aged[class] < 1 {
			continue
		}
		if a := c.firstOf(u, class); a != nil {
			u.aged[class]--
			return a
		}
	}
	for class := range classCount {
		if a := c.firstOf(u, class); a != nil {
			c.earnAged(u, class)
			return a
		}
	}
	return nil
}

// firstOf returns the attempt of one class that may run on the upstream, from the model
// with the fewest attempts on it, among equals the one whose ask has waited longest: a
// busy model's backlog does not hold up a quiet one on the same runner.
func (c *Core) firstOf(u *upstream, class int) *attempt {
	var best *attempt
	var from poolTurn
	may := func(a *attempt) bool { return c.mayRun(a, u) }
	for _, p := range u.pools {
		cq := &p.queue.classes[class]
		if cq.size == 0 {
			continue
		}
		turn := poolTurn{u.byPool[p], cq.oldest()}
		if c.set.Queue == QueueFIFO {
			turn.running = 0
		}
		if best != nil && !turn.before(from) {
			continue
		}
		if a := cq.next(may); a != nil {
			best, from = a, turn
		}
	}
	return best
}

// poolTurn orders the models that wait for one upstream.
type poolTurn struct {
	running int  // attempts of the model on the upstream
	oldest  Time // arrival of its longest waiting ask
}

func (t poolTurn) before(o poolTurn) bool {
	if t.running != o.running {
		return t.running < o.running
	}
	return t.oldest < o.oldest
}

// earnAged credits the aged classes that a grant to a more urgent class passes over.
func (c *Core) earnAged(u *upstream, served int) {
	for class := served + 1; class < classCount; class++ {
		if c.isAged(u, class) {
			u.aged[class] = min(1, u.aged[class]+c.set.AgedShare)
		}
	}
}

func (c *Core) isAged(u *upstream, class int) bool {
	for _, p := range u.pools {
		cq := &p.queue.classes[class]
		if cq.size > 0 && cq.oldest()+p.queue.delays[class] <= c.now {
			return true
		}
	}
	return false
}
