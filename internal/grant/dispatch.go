package grant

import (
	"slices"

	"gentiankeel/internal/errkind"
)

// dispatch grants the upstream's free slots to waiting attempts in queue order.
func (c *Core) dispatch(u *upstream) {
	granted := true
	for granted {
		granted = c.dispatchOne(u)
	}
}

// dispatchOne grants one free slot of the upstream and reports whether it did.
func (c *Core) dispatchOne(u *upstream) bool {
	for c.waiting > 0 && c.freeSlots(u) > 0 {
		a := c.nextAttempt(u)
		if a == nil {
			return false
		}
		if c.tooLateToStart(a) {
			c.refuse(a, errkind.DeadlineUnmeetable, "too little time was left to run", c.retryAfter(0))
			continue
		}
		c.grantTo(a, u)
		return true
	}
	return false
}

// dispatchAll grants the free slots of all upstreams, one of each in turn, so that no
// upstream is filled before the others. Its cost grows with the cell: it is for rare
// events only.
func (c *Core) dispatchAll() {
	granted := true
	for granted && c.waiting > 0 {
		granted = false
		for _, u := range c.sortedUpstreams {
			granted = c.dispatchOne(u) || granted
		}
	}
}

// dispatchAvoided dispatches the avoided upstreams: a probe may be due, or the last other
// upstream of a model may have left.
func (c *Core) dispatchAvoided() {
	if c.waiting == 0 {
		return
	}
	for _, u := range c.sortedUpstreams {
		if u.score.avoided {
			c.dispatch(u)
		}
	}
}

// redispatchBody reevaluates the waiting attempts of a body, which an attempt that has
// just ended may have blocked.
func (c *Core) redispatchBody(digest string) {
	if !c.suspects.hasWaiting(digest) {
		return
	}
	for _, a := range c.waitingInOrder() {
		if a.state == stateWaiting && a.req.BodyDigest == digest {
			c.reevaluate(a)
		}
	}
}

// redispatchBodies removes ended attempts from their entries and redispatches their bodies.
func (c *Core) redispatchBodies(ended []*attempt) {
	for _, a := range ended {
		c.removeFromEntry(a)
		c.redispatchBody(a.req.BodyDigest)
	}
}

// reevaluate grants or refuses a waiting attempt if that is possible now.
func (c *Core) reevaluate(a *attempt) {
	if c.suspects.isQuarantined(a.req.BodyDigest) {
		c.refuse(a, errkind.Quarantined, "the body was running when upstreams failed", 0)
		return
	}
	if u := c.pick(a); u != nil {
		c.grantTo(a, u)
	}
}

// mayRun reports whether the attempt may take a free slot of the upstream.
func (c *Core) mayRun(a *attempt, u *upstream) bool {
	return c.isReady(a, u) &&
		!slices.Contains(a.req.Exclude, u.ID) &&
		c.leavesReserve(a, u) &&
		!c.runsSameRequest(a, u) &&
		c.suspects.mayRun(a.req.BodyDigest, u.ID) &&
		c.avoidanceAllows(a, u)
}

// runsSameRequest reports whether the upstream already runs an attempt of a hedge's
// request.
func (c *Core) runsSameRequest(a *attempt, u *upstream) bool {
	if !a.req.Hedge {
		return false
	}
	for _, o := range u.running {
		if o.req.Request == a.req.Request {
			return true
		}
	}
	return false
}

// isReady reports whether the upstream has loaded what the attempt needs.
func (c *Core) isReady(a *attempt, u *upstream) bool {
	if a.req.Service != "" {
		return u.Service == a.req.Service
	}
	r, ok := u.ready[a.req.Model]
	if !ok {
		return false
	}
	if a.req.Adapter == "" {
		return true
	}
	_, ok = r.Adapters[a.req.Adapter]
	return ok
}

// leavesReserve reports whether the attempt leaves the reserved share of the runner's
// slots free of long attempts. The reserve stops long work from blocking short work.
func (c *Core) leavesReserve(a *attempt, u *upstream) bool {
	if !a.long {
		return true
	}
	reserve := int(float64(u.Slots)*c.settings.ShortReserve + 0.5)
	return u.longInFlight < max(1, u.Slots-reserve)
}

// hasReadyUpstream reports whether any upstream that stays has loaded what the attempt
// needs.
func (c *Core) hasReadyUpstream(a *attempt) bool {
	return slices.ContainsFunc(a.pool.members, func(u *upstream) bool {
		return !u.Leaving && c.isReady(a, u)
	})
}
