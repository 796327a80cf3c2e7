package grant

import "slices"

// entry is one entry's session.
type entry struct {
	name     string
	attempts map[string]*attempt // waiting, running and orphaned
}

func (c *Core) entryOf(name string) *entry {
	e, ok := c.entries[name]
	if !ok {
		e = &entry{name: name, attempts: map[string]*attempt{}}
		c.entries[name] = e
	}
	return e
}

func (e *entry) inOrder() []*attempt {
	list := make([]*attempt, 0, len(e.attempts))
	for _, a := range e.attempts {
		list = append(list, a)
	}
	sortBySequence(list)
	return list
}

func (c *Core) forgetInEntry(a *attempt) {
	if e, ok := c.entries[a.ask.Entry]; ok {
		delete(e.attempts, a.ask.Attempt)
	}
}

// entryHello opens a session. What the entry does not hold any more is given back, and
// what it waited for in an earlier session is dropped: the entry asks again. All that it
// holds is accounted for before any freed slot is granted again.
func (c *Core) entryHello(ev EntryHello) {
	held := map[string]bool{}
	for _, h := range ev.Held {
		held[h.Attempt] = !h.Cut
	}
	earlier := c.entryOf(ev.Entry).inOrder()
	for _, a := range earlier {
		c.endUnheld(a, held[a.ask.Attempt])
	}
	for _, h := range ev.Held {
		if _, known := c.attempts[h.Attempt]; !known && !h.Cut {
			c.adopt(ev.Entry, h)
		}
	}
	for _, h := range ev.Held {
		if h.Cut {
			c.adoptCut(h)
		}
	}
	c.recovery.heard(ev.Entry)
	c.expireRecovery()
	for _, a := range earlier {
		c.dispatchAfter(a)
	}
}

// endUnheld ends an attempt of a reopened session unless the entry still holds it.
func (c *Core) endUnheld(a *attempt, held bool) {
	switch {
	case a.state == stateWaiting:
		c.drop(a)
	case held:
		c.holds.remove(a)
	default:
		c.endUnknown(a)
	}
}

// endUnknown gives back the slot of an attempt whose outcome nobody can tell: it may have
// been cut off by the death of its upstream.
func (c *Core) endUnknown(a *attempt) {
	if a.state == stateOrphan {
		c.doubtCut(a.ask.BodyDigest, a.orphanOf, a.incarnation)
		c.endOrphan(a)
		return
	}
	u := a.upstream
	c.doubtCut(a.ask.BodyDigest, u.ID, u.Incarnation)
	u.score.probing = u.score.probing && !a.probe
	c.endRunning(a)
	c.forgetInEntry(a)
}

// dispatchAfter grants again what an ended attempt held.
func (c *Core) dispatchAfter(a *attempt) {
	if a.state != stateEnded {
		return
	}
	c.dispatchDigest(a.ask.BodyDigest)
	if a.upstream != nil && c.upstreams[a.upstream.ID] == a.upstream {
		c.dispatch(a.upstream)
	}
}

// adopt accounts for a grant of a former scheduler.
func (c *Core) adopt(name string, h HeldGrant) {
	c.sequence++
	a := &attempt{
		ask: Ask{
			Attempt:    h.Attempt,
			Entry:      name,
			Model:      h.Model,
			Adapter:    h.Adapter,
			Class:      h.Class,
			BodyDigest: h.BodyDigest,
		},
		sequence:    c.sequence,
		at:          c.now,
		began:       c.now,
		index:       -1,
		expected:    h.Expected,
		long:        h.Expected >= c.set.LongTokens,
		incarnation: h.Incarnation,
	}
	u, known := c.upstreams[h.Upstream]
	if known && h.Incarnation < u.Incarnation {
		c.death(h.BodyDigest, h.Upstream, h.Incarnation)
		return
	}
	c.attempts[h.Attempt] = a
	c.entryOf(name).attempts[h.Attempt] = a
	if !known || h.Incarnation > u.Incarnation {
		c.orphan(a, h.Upstream)
		return
	}
	c.takeReported(a, u)
}

// adoptCut notes an attempt that was cut off under a former scheduler.
func (c *Core) adoptCut(h HeldGrant) {
	u, known := c.upstreams[h.Upstream]
	if known && h.Incarnation < u.Incarnation {
		c.death(h.BodyDigest, h.Upstream, h.Incarnation)
		return
	}
	c.doubtCut(h.BodyDigest, h.Upstream, h.Incarnation)
}

// takeReported accounts for an attempt that runs already, even beyond the slots.
func (c *Core) takeReported(a *attempt, u *upstream) {
	a.pool = c.poolOf(poolKey{model: a.ask.Model})
	if a.ask.Model == "" {
		a.pool = c.poolOf(poolKey{service: u.Service})
	}
	a.usage = a.pool.usageOf(a.ask.Adapter)
	began := a.began
	c.takeSlot(a, u)
	a.began = began
	u.excess = max(u.excess, u.inFlight-u.Slots)
}

// orphan keeps a reported attempt whose upstream has not announced itself yet.
func (c *Core) orphan(a *attempt, upstream string) {
	a.state = stateOrphan
	a.orphanOf = upstream
	c.orphans[upstream] = append(c.orphans[upstream], a)
	c.suspects.began(a.ask.BodyDigest, upstream)
}

func (c *Core) forgetOrphan(a *attempt) {
	list := c.orphans[a.orphanOf]
	list = slices.DeleteFunc(list, func(o *attempt) bool { return o == a })
	if len(list) == 0 {
		delete(c.orphans, a.orphanOf)
	} else {
		c.orphans[a.orphanOf] = list
	}
	c.suspects.ended(a.ask.BodyDigest, a.orphanOf)
}

func (c *Core) endOrphan(a *attempt) {
	c.forgetOrphan(a)
	c.holds.remove(a)
	a.state = stateEnded
	delete(c.attempts, a.ask.Attempt)
	c.forgetInEntry(a)
}

func (c *Core) dropOrphan(a *attempt) {
	c.endOrphan(a)
	c.dispatchDigest(a.ask.BodyDigest)
}

// adoptOrphans accounts for reported attempts once their upstream is known.
func (c *Core) adoptOrphans(u *upstream) {
	for _, a := range slices.Clone(c.orphans[u.ID]) {
		if a.incarnation == u.Incarnation {
			c.forgetOrphan(a)
			c.takeReported(a, u)
		}
	}
	c.orphanDeaths(u.ID, u.Incarnation-1)
	c.settleDoubts(u.ID, u.Incarnation-1, false)
}

// orphanDeaths ends the orphans of an upstream up to an incarnation.
func (c *Core) orphanDeaths(upstream string, incarnation uint64) {
	for _, a := range slices.Clone(c.orphans[upstream]) {
		if a.incarnation <= incarnation {
			c.death(a.ask.BodyDigest, upstream, a.incarnation)
			c.dropOrphan(a)
		}
	}
}

// entryGone ends a session. Its running attempts may go on until their longest life has
// passed, so their slots are held until then.
func (c *Core) entryGone(ev EntryGone) {
	if e, ok := c.entries[ev.Entry]; ok {
		for _, a := range e.inOrder() {
			if a.state == stateWaiting {
				c.drop(a)
			} else if a.index < 0 {
				c.hold(a)
			}
		}
		if len(e.attempts) == 0 {
			delete(c.entries, ev.Entry)
		}
	}
	c.recovery.gone(ev.Entry)
	c.expireRecovery()
}

func (c *Core) hold(a *attempt) {
	end := c.lifeEnd(a)
	if c.off.holds {
		end = c.now
	}
	c.holds.add(a, end)
}

// expireHolds gives back the slots of lost entries' attempts that can't run any more.
func (c *Core) expireHolds() {
	for {
		a := c.holds.popDue(c.now)
		if a == nil {
			return
		}
		c.endUnknown(a)
		c.dispatchAfter(a)
	}
}
