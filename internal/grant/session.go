package grant

import "slices"

// entry is the session of one entry.
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

func (e *entry) attemptsInOrder() []*attempt {
	list := make([]*attempt, 0, len(e.attempts))
	for _, a := range e.attempts {
		list = append(list, a)
	}
	sortBySequence(list)
	return list
}

func (c *Core) removeFromEntry(a *attempt) {
	if e, ok := c.entries[a.req.Entry]; ok {
		delete(e.attempts, a.req.Attempt)
	}
}

// entryHello opens a session. Grants that the entry no longer holds are released, and
// attempts that waited in an earlier session are dropped: the entry requests them again. All
// held grants are accounted for before any freed slot is granted again.
func (c *Core) entryHello(ev EntryHello) {
	held := map[string]bool{}
	for _, h := range ev.Held {
		held[h.Attempt] = !h.Cut
	}
	earlier := c.entryOf(ev.Entry).attemptsInOrder()
	for _, a := range earlier {
		c.endUnheld(a, held[a.req.Attempt])
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
	c.recovery.entryReported(ev.Entry)
	c.expireRecovery()
	for _, a := range earlier {
		c.dispatchFreed(a)
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
		c.endUnknownOutcome(a)
	}
}

// endUnknownOutcome releases the slot of an attempt whose outcome is unknown. The failure
// of its upstream may have cut it off.
func (c *Core) endUnknownOutcome(a *attempt) {
	if a.state == stateOrphan {
		c.recordCut(a.req.BodyDigest, a.orphanUpstream, a.incarnation)
		c.endOrphan(a)
		return
	}
	u := a.upstream
	c.recordCut(a.req.BodyDigest, u.ID, u.Incarnation)
	u.score.probing = u.score.probing && !a.probe
	c.endRunning(a)
	c.removeFromEntry(a)
}

// dispatchFreed dispatches what an ended attempt has freed: its slot and its body.
func (c *Core) dispatchFreed(a *attempt) {
	if a.state != stateEnded {
		return
	}
	c.redispatchBody(a.req.BodyDigest)
	if a.upstream != nil && c.upstreams[a.upstream.ID] == a.upstream {
		c.dispatch(a.upstream)
	}
}

// adopt accounts for a grant of the previous scheduler. If the upstream's incarnation has
// ended, it records a death instead; if it has not been announced yet, the attempt becomes an
// orphan.
func (c *Core) adopt(name string, h HeldGrant) {
	c.sequence++
	a := &attempt{
		req: SlotRequest{
			Attempt:    h.Attempt,
			Entry:      name,
			Model:      h.Model,
			Adapter:    h.Adapter,
			Class:      h.Class,
			BodyDigest: h.BodyDigest,
		},
		sequence:    c.sequence,
		arrived:     c.now,
		started:     c.now,
		heapIndex:   -1,
		expected:    h.ExpectedTokens,
		long:        h.ExpectedTokens >= c.settings.LongTokens,
		incarnation: h.Incarnation,
	}
	u, known := c.upstreams[h.Upstream]
	if known && h.Incarnation < u.Incarnation {
		c.recordDeath(h.BodyDigest, h.Upstream, h.Incarnation)
		return
	}
	c.attempts[h.Attempt] = a
	c.entryOf(name).attempts[h.Attempt] = a
	if !known || h.Incarnation > u.Incarnation {
		c.addOrphan(a, h.Upstream)
		return
	}
	c.accountReported(a, u)
}

// adoptCut records an attempt that was cut off under the previous scheduler: as a death if
// the upstream's incarnation has ended, else as a cut.
func (c *Core) adoptCut(h HeldGrant) {
	u, known := c.upstreams[h.Upstream]
	if known && h.Incarnation < u.Incarnation {
		c.recordDeath(h.BodyDigest, h.Upstream, h.Incarnation)
		return
	}
	c.recordCut(h.BodyDigest, h.Upstream, h.Incarnation)
}

// accountReported accounts for an attempt that is already running, even if it exceeds the
// upstream's slots.
func (c *Core) accountReported(a *attempt, u *upstream) {
	a.pool = c.poolOf(poolKey{model: a.req.Model})
	if a.req.Model == "" {
		a.pool = c.poolOf(poolKey{service: u.Service})
	}
	a.demand = a.pool.demandFor(a.req.Adapter)
	started := a.started
	c.takeSlot(a, u)
	a.started = started
	u.excess = max(u.excess, u.inFlight-u.Slots)
}

// addOrphan keeps a reported attempt whose upstream has not been announced yet.
func (c *Core) addOrphan(a *attempt, upstream string) {
	a.state = stateOrphan
	a.orphanUpstream = upstream
	c.orphans[upstream] = append(c.orphans[upstream], a)
	c.suspects.addRunning(a.req.BodyDigest, upstream)
}

func (c *Core) removeOrphan(a *attempt) {
	list := c.orphans[a.orphanUpstream]
	list = slices.DeleteFunc(list, func(o *attempt) bool { return o == a })
	if len(list) == 0 {
		delete(c.orphans, a.orphanUpstream)
	} else {
		c.orphans[a.orphanUpstream] = list
	}
	c.suspects.removeRunning(a.req.BodyDigest, a.orphanUpstream)
}

func (c *Core) endOrphan(a *attempt) {
	c.removeOrphan(a)
	c.holds.remove(a)
	a.state = stateEnded
	delete(c.attempts, a.req.Attempt)
	c.removeFromEntry(a)
}

func (c *Core) endOrphanAndDispatch(a *attempt) {
	c.endOrphan(a)
	c.redispatchBody(a.req.BodyDigest)
}

// adoptOrphans accounts for reported attempts once their upstream is known.
func (c *Core) adoptOrphans(u *upstream) {
	for _, a := range slices.Clone(c.orphans[u.ID]) {
		if a.incarnation == u.Incarnation {
			c.removeOrphan(a)
			c.accountReported(a, u)
		}
	}
	c.endOrphansUpTo(u.ID, u.Incarnation-1)
	c.resolveCuts(u.ID, u.Incarnation-1, false)
}

// endOrphansUpTo ends the orphans of an upstream whose incarnation is at most the given
// one.
func (c *Core) endOrphansUpTo(upstream string, incarnation uint64) {
	for _, a := range slices.Clone(c.orphans[upstream]) {
		if a.incarnation <= incarnation {
			c.recordDeath(a.req.BodyDigest, upstream, a.incarnation)
			c.endOrphanAndDispatch(a)
		}
	}
}

// entryGone ends a session. Its running attempts may go on until their latest end, so
// their slots are held until then.
func (c *Core) entryGone(ev EntryGone) {
	if e, ok := c.entries[ev.Entry]; ok {
		for _, a := range e.attemptsInOrder() {
			if a.state == stateWaiting {
				c.drop(a)
			} else if a.heapIndex < 0 {
				c.holdSlot(a)
			}
		}
		if len(e.attempts) == 0 {
			delete(c.entries, ev.Entry)
		}
	}
	c.recovery.entryGone(ev.Entry)
	c.expireRecovery()
}

func (c *Core) holdSlot(a *attempt) {
	end := c.latestEnd(a)
	if c.disabled.holds {
		end = c.now
	}
	c.holds.add(a, end)
}

// expireHolds releases the held slots of lost entries' attempts that can't be running any
// more.
func (c *Core) expireHolds() {
	for {
		a := c.holds.popDue(c.now)
		if a == nil {
			return
		}
		c.endUnknownOutcome(a)
		c.dispatchFreed(a)
	}
}
