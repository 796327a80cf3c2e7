package grant

import (
	"slices"

	"gentiankeel/internal/errkind"
)

// dispatch grants the upstream's free slots to waiting asks in queue order.
func (c *Core) dispatch(u *upstream) {
	granted := true
	for granted {
		granted = c.dispatchOne(u)
	}
}

// dispatchOne grants one free slot of the upstream and tells whether it did.
func (c *Core) dispatchOne(u *upstream) bool {
	for c.waiting > 0 && c.free(u) > 0 {
		a := c.nextFor(u)
		if a == nil {
			return false
		}
		if c.tooLate(a) {
			c.refuse(a, errkind.DeadlineUnmeetable, "too little time was left to run", c.retryAfter(0))
			continue
		}
		c.grantTo(a, u)
		return true
	}
	return false
}

// dispatchAll looks at every upstream, one slot of each in turn so that no upstream is
// filled before the others. It is for rare events only.
func (c *Core) dispatchAll() {
	granted := true
	for granted && c.waiting > 0 {
		granted = false
		for _, u := range c.order {
			granted = c.dispatchOne(u) || granted
		}
	}
}

// dispatchAvoided looks again at avoided upstreams: a probe may be due, or the last
// other upstream of a model may have left.
func (c *Core) dispatchAvoided() {
	if c.waiting == 0 {
		return
	}
	for _, u := range c.order {
		if u.score.avoided {
			c.dispatch(u)
		}
	}
}

// dispatchDigest looks again at waiting asks whose body was held back by an attempt
// that has just ended.
func (c *Core) dispatchDigest(digest string) {
	if !c.suspects.anyWaiting(digest) {
		return
	}
	for _, a := range c.waitingInOrder() {
		if a.state == stateWaiting && a.ask.BodyDigest == digest {
			c.reconsider(a)
		}
	}
}

func (c *Core) dispatchDigests(ended []*attempt) {
	for _, a := range ended {
		c.forgetInEntry(a)
		c.dispatchDigest(a.ask.BodyDigest)
	}
}

// reconsider grants or refuses a waiting attempt if that is possible now.
func (c *Core) reconsider(a *attempt) {
	if c.suspects.quarantined(a.ask.BodyDigest) {
		c.refuse(a, errkind.Quarantined, "the body was running when upstreams failed", 0)
		return
	}
	if u := c.pick(a); u != nil {
		c.grantTo(a, u)
	}
}

// mayRun tells whether the attempt may take a free slot of the upstream.
func (c *Core) mayRun(a *attempt, u *upstream) bool {
	return c.isReady(a, u) &&
		!slices.Contains(a.ask.Exclude, u.ID) &&
		c.leavesReserve(a, u) &&
		!c.runsOn(a, u) &&
		c.suspects.mayRun(a.ask.BodyDigest, u.ID) &&
		c.mayUse(a, u)
}

// runsOn tells whether a hedge would join its request's first attempt.
func (c *Core) runsOn(a *attempt, u *upstream) bool {
	if !a.ask.Hedge {
		return false
	}
	for _, o := range u.running {
		if o.ask.Request == a.ask.Request {
			return true
		}
	}
	return false
}

// isReady tells whether the upstream holds what the attempt needs.
func (c *Core) isReady(a *attempt, u *upstream) bool {
	if a.ask.Service != "" {
		return u.Service == a.ask.Service
	}
	r, ok := u.ready[a.ask.Model]
	if !ok {
		return false
	}
	if a.ask.Adapter == "" {
		return true
	}
	_, ok = r.Adapters[a.ask.Adapter]
	return ok
}

// leavesReserve keeps a share of every runner's slots free of long work, so that short
// work is never stuck behind a runner full of long work.
func (c *Core) leavesReserve(a *attempt, u *upstream) bool {
	if !a.long {
		return true
	}
	reserve := int(float64(u.Slots)*c.set.ShortReserve + 0.5)
	return u.long < max(1, u.Slots-reserve)
}

// hasReady tells whether any upstream holds what the attempt needs.
func (c *Core) hasReady(a *attempt) bool {
	return slices.ContainsFunc(a.pool.members, func(u *upstream) bool {
		return !u.Leaving && c.isReady(a, u)
	})
}
