package grant

// pick chooses an upstream with a free slot for the attempt, or nil.
func (c *Core) pick(a *attempt) *upstream {
	if u := c.sample(a); u != nil {
		return u
	}
	free := c.scratch[:0]
	for _, u := range a.pool.members {
		if c.usable(a, u) {
			free = append(free, u)
		}
	}
	c.scratch = free
	if len(free) == 0 {
		return nil
	}
	u := c.choose(free)
	return c.preferPrefix(a, free, u)
}

func (c *Core) usable(a *attempt, u *upstream) bool {
	return c.free(u) > 0 && c.mayRun(a, u) && (!a.ask.Hedge || c.spare(u))
}

// Bounds of sampling: pools of fewer members are walked.
const (
	sampleFrom  = 32
	sampleTries = 16
)

// sample draws two usable upstreams of a large pool without a walk over it, and takes the
// one with the lower load. It returns nil when the pool is small or the draws failed.
func (c *Core) sample(a *attempt) *upstream {
	members := a.pool.members
	if len(members) < sampleFrom || c.set.Pick != PickTwoChoices || a.ask.PrefixHash != "" {
		return nil
	}
	var first *upstream
	for range sampleTries {
		u := members[c.rng.IntN(len(members))]
		if !c.usable(a, u) || c.rng.IntN(u.Slots) >= c.free(u) {
			continue
		}
		if first == nil {
			first = u
			continue
		}
		if c.load(u) < c.load(first) {
			return u
		}
		return first
	}
	return first
}

// choose applies the pick policy to upstreams with free slots.
func (c *Core) choose(free []*upstream) *upstream {
	if len(free) == 1 {
		return free[0]
	}
	switch c.set.Pick {
	case PickRandom:
		return free[c.rng.IntN(len(free))]
	case PickLeastReported:
		return least(free, func(u *upstream) float64 { return float64(u.ReportedRunning) })
	case PickLeastInFlight:
		return least(free, func(u *upstream) float64 { return float64(u.inFlight) })
	default:
		return c.twoChoices(free)
	}
}

// least returns the first upstream with the smallest value.
func least(list []*upstream, value func(*upstream) float64) *upstream {
	best := list[0]
	for _, u := range list[1:] {
		if value(u) < value(best) {
			best = u
		}
	}
	return best
}

// twoChoices draws two upstreams weighted by their free slots and takes the one with
// the lower load. Drawing keeps many asks from herding onto the one best upstream.
func (c *Core) twoChoices(free []*upstream) *upstream {
	total := 0
	for _, u := range free {
		total += c.free(u)
	}
	first := c.draw(free, total)
	second := c.draw(free, total)
	if c.load(second) < c.load(first) {
		return second
	}
	return first
}

func (c *Core) draw(free []*upstream, total int) *upstream {
	n := c.rng.IntN(total)
	for _, u := range free {
		n -= c.free(u)
		if n < 0 {
			return u
		}
	}
	return free[len(free)-1]
}

// load is the share of slots in use after one more grant, weighted by the latency score.
func (c *Core) load(u *upstream) float64 {
	share := float64(u.inFlight+1) / float64(max(1, u.Slots))
	if !c.set.AvoidStragglers {
		return share
	}
	return share * u.score.factor()
}
