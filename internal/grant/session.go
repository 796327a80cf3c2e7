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
// what it waited for in an earlier session is dropped: the entry asks again.
func (c *Core) entryHello(ev EntryHello) {
	held := map[string]bool{}
	for _, h := range ev.Held {
		held[h.Attempt] = true
	}
	var freed []*upstream
	for _, a := range c.entryOf(ev.Entry).inOrder() {
		if u := c.endUnheld(a, held[a.ask.Attempt]); u != nil {
			freed = append(freed, u)
		}
	}
	for _, h := range ev.Held {
		if _, known := c.attempts[h.Attempt]; !known {
			c.adopt(ev.Entry, h)
		}
	}
	c.recovery.settled(ev.Entry)
	c.expireRecovery()
	for _, u := range freed {
		c.dispatch(u)
	}
}

// endUnheld ends an attempt of a reopened session unless the entry still holds it. It
// returns the upstream whose slot became free.
func (c *Core) endUnheld(a *attempt, held bool) *upstream {
	switch {
	case a.state == stateWaiting:
		c.drop(a)
	case held:
		c.holds.remove(a)
	case a.state == stateOrphan:
		c.dropOrphan(a)
	case a.state == stateRunning:
		u := a.upstream
		u.score.probing = u.score.probing && !a.probe
		c.endRunning(a)
		c.forgetInEntry(a)
		c.dispatchDigest(a.ask.BodyDigest)
		return u
	}
	return nil
}

// adopt accounts for a grant of a former scheduler.
func (c *Core) adopt(name string, h HeldGrant) {
	c.sequence++
	a := &attempt{
		ask: Ask{
			Attempt:    h.Attempt,
			Entry:      name,
			Model:      h.Model,
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
	a.pool = c.poolOf(poolKey{model: h.Model})
	if h.Model == "" && known {
		a.pool = c.poolOf(poolKey{service: u.Service})
	}
	a.usage = a.pool.usageOf("")
	c.attempts[h.Attempt] = a
	c.entryOf(name).attempts[h.Attempt] = a
	if !known || h.Incarnation > u.Incarnation {
		c.orphan(a, h.Upstream)
		return
	}
	c.takeReported(a, u)
}

// takeReported accounts for an attempt that runs already, even beyond the slots.
func (c *Core) takeReported(a *attempt, u *upstream) {
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

func (c *Core) dropOrphan(a *attempt) {
	c.forgetOrphan(a)
	c.holds.remove(a)
	a.state = stateEnded
	delete(c.attempts, a.ask.Attempt)
	c.forgetInEntry(a)
	c.dispatchDigest(a.ask.BodyDigest)
}

// adoptOrphans accounts for reported attempts once their upstream is known.
func (c *Core) adoptOrphans(u *upstream) {
	c.orphanDeaths(u.ID, u.Incarnation-1)
	for _, a := range slices.Clone(c.orphans[u.ID]) {
		if a.incarnation == u.Incarnation {
			c.forgetOrphan(a)
			c.takeReported(a, u)
		}
	}
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
				c.holds.add(a, c.lifeEnd(a))
			}
		}
		if len(e.attempts) == 0 {
			delete(c.entries, ev.Entry)
		}
	}
	c.recovery.settled(ev.Entry)
	c.expireRecovery()
}

// expireHolds gives back the slots of lost entries' attempts that can't run any more.
func (c *Core) expireHolds() {
	for {
		a := c.holds.popDue(c.now)
		if a == nil {
			return
		}
		if a.state == stateOrphan {
			c.dropOrphan(a)
			continue
		}
		u := a.upstream
		c.endRunning(a)
		c.forgetInEntry(a)
		c.dispatch(u)
	}
}
