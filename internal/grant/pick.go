package grant

// pick chooses an upstream with a free slot for the attempt, or nil.
func (c *Core) pick(a *attempt) *upstream {
	if u := c.sampleTwo(a); u != nil {
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
	return c.freeSlots(u) > 0 && c.mayRun(a, u) && (!a.req.Hedge || c.hasHedgeCapacity(u))
}

const (
	// minSampledPool is the number of members from which a pool is sampled instead of
	// scanned.
	minSampledPool = 32
	// maxSampleTries bounds the draws from a pool. A pool without a usable draw is scanned.
	maxSampleTries = 16
)

// sampleTwo draws two usable upstreams of a large pool without scanning it, and returns
// the less loaded one. It returns nil when the pool is small or no draw was usable.
func (c *Core) sampleTwo(a *attempt) *upstream {
	members := a.pool.members
	if len(members) < minSampledPool || c.settings.Pick != PickTwoChoices || a.req.PrefixHash != "" {
		return nil
	}
	var first *upstream
	for range maxSampleTries {
		u := members[c.rng.IntN(len(members))]
		// Accepting with this probability weights the draw by the share of free slots.
		if !c.usable(a, u) || c.rng.IntN(u.Slots) >= c.freeSlots(u) {
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
	switch c.settings.Pick {
	case PickRandom:
		return free[c.rng.IntN(len(free))]
	case PickLeastReported:
		return minBy(free, func(u *upstream) float64 { return float64(u.ReportedRunning) })
	case PickLeastInFlight:
		return minBy(free, func(u *upstream) float64 { return float64(u.inFlight) })
	default:
		return c.twoChoices(free)
	}
}

// minBy returns the first upstream with the smallest value.
func minBy(list []*upstream, value func(*upstream) float64) *upstream {
	best := list[0]
	for _, u := range list[1:] {
		if value(u) < value(best) {
			best = u
		}
	}
	return best
}

// twoChoices draws two upstreams weighted by their free slots and returns the less loaded
// one. Drawing keeps many attempts from herding onto the one best upstream.
func (c *Core) twoChoices(free []*upstream) *upstream {
	total := 0
	for _, u := range free {
		total += c.freeSlots(u)
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
		n -= c.freeSlots(u)
		if n < 0 {
			return u
		}
	}
	return free[len(free)-1]
}

// load returns the share of slots in use after one more grant, weighted by the latency
// score.
func (c *Core) load(u *upstream) float64 {
	share := float64(u.inFlight+1) / float64(max(1, u.Slots))
	if !c.settings.AvoidStragglers {
		return share
	}
	return share * u.score.loadFactor()
}
