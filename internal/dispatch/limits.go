package dispatch

import (
	"slices"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/wire"
)

const (
	// overrideTime is how long a limit that this entry reported prevails over the published one:
	// the coordinator publishes it within that time.
	overrideTime = time.Second
	// limitProbeAge is the time without an answer after which a limited upstream is preferred for
	// a request, if there is a permit: only an answer tells that its limit has ended.
	limitProbeAge = 3 * time.Second
	// limitProbeCost is added to the cost of such an upstream, in seconds.
	limitProbeCost = -60.0
	// readmitTime is the time after its arrival in which a waiting request is checked again when
	// the coordinator tells who else wants permits.
	readmitTime = 250 * time.Millisecond
	// maxReturnAfter bounds the time after which a refused request is told to return, since the
	// limit may have ended by then.
	maxReturnAfter = 30 * time.Second
)

// limits holds what the entry knows about the limits of upstreams as a whole.
type limits struct {
	// overridden holds the upstreams whose published limit an answer to this entry has overridden,
	// and until when; 0: until that is reported.
	overridden map[*upstream]Time
	returnAt   map[modelKey]Time // when the last refused request of a model was told to return
	clock      ratelimit.SentClock
}

func newLimits() limits {
	return limits{overridden: map[*upstream]Time{}, returnAt: map[modelKey]Time{}}
}

// upstreamLimit is the limit of one incarnation and this entry's permits.
type upstreamLimit struct {
	ratelimit.Permits
	statedAt Time // when the answer that stated it arrived, or it was published
	heardAt  Time // when an answer to this entry arrived last
}

// setLimit replaces the limit of an upstream and reports whether it changed.
func (u *upstream) setLimit(s ratelimit.Statement, at Time) bool {
	switch {
	case !s.Limited && u.limit == nil:
		return false
	case !s.Limited:
		u.limit = nil
	case u.limit == nil:
		u.limit = &upstreamLimit{statedAt: at, heardAt: at}
		u.limit.PerSecond = s.PerSecond
	default:
		u.limit.statedAt = at
		changed := u.limit.PerSecond != s.PerSecond
		u.limit.SetLimit(s.PerSecond)
		return changed
	}
	return true
}

// RecordLimit applies what an answer of an incarnation said about its limit at the given time, and
// reports whether that is news. It holds here at once; the next report passes it on. What was said
// before the limit in force is ignored.
func (c *Core) RecordLimit(now, at Time, id string, bornUnixMs int64, s ratelimit.Statement) bool {
	c.beginEvent(now)
	u := c.byID[id]
	if u == nil || u.state.BornUnixMs != bornUnixMs {
		return false
	}
	if u.limit != nil {
		u.limit.heardAt = max(u.limit.heardAt, at)
		if at < u.limit.statedAt {
			return false
		}
	}
	if !u.setLimit(s, at) {
		return false
	}
	u.limitStatedAt = at
	c.limits.overridden[u] = 0
	c.readmit()
	return true
}

// applyLimit applies the published limit of an upstream, unless an answer to this entry has
// stated another one shortly before.
func (c *Core) applyLimit(u *upstream) {
	if until, ok := c.limits.overridden[u]; ok && (until == 0 || c.now < until) {
		return
	}
	delete(c.limits.overridden, u)
	limit := u.state.Limit
	if u.setLimit(ratelimit.Statement{Limited: limit != nil, PerSecond: limit.GetPerSecond()}, c.now) {
		c.readmit()
	}
}

// settleLimits applies the published limits whose override has run out.
func (c *Core) settleLimits() {
	for u := range c.limits.overridden {
		c.applyLimit(u)
	}
}

// readmit has all waiting requests checked again for whether permits for them come in time.
func (c *Core) readmit() {
	for _, w := range c.waiting {
		w.admitted = false
	}
}

// resetPermits drops all permits, since another coordinator grants them from now on.
func (c *Core) resetPermits() {
	c.limits.clock = ratelimit.SentClock{}
	clear(c.limits.overridden)
	for _, u := range c.upstreams {
		if u.limit != nil {
			u.limit.Reset()
		}
	}
}

// applyPermits adopts the permits that the coordinator grants. A message that was delayed, such
// as while this process was suspended, grants them for the rest of their time only.
func (c *Core) applyPermits(up *Update) {
	if !slices.ContainsFunc(up.Permits, func(g *wire.PermitGrant) bool { return g.Organisation == "" }) {
		return
	}
	delay := c.limits.clock.Delay(c.now, time.Duration(up.SentMs)*time.Millisecond)
	for _, g := range up.Permits {
		u := c.byID[g.Upstream]
		if u != nil && u.state.BornUnixMs == g.BornUnixMs && u.limit != nil {
			u.limit.Grant(c.now, ratelimit.Grant{Granted: g.Granted, Backlog: g.Backlog, Claimants: g.Claimants}, delay)
		}
	}
	for _, w := range c.waiting {
		w.admitted = w.admitted && c.now-w.queuedAt > readmitTime
	}
}

// refuseWithoutPermit refuses a request if only limited upstreams can serve it and none gets a
// permit for it in time, with ahead requests before it. It reports whether it did. A request that
// was admitted stays so while no limit changes, but for its first readmitTime.
func (c *Core) refuseWithoutPermit(w *waiter, ahead int) bool {
	if w.admitted {
		return false
	}
	w.admitted = true
	var list []*ratelimit.Permits
	for _, u := range c.upstreams {
		if !c.isEligible(u, w) {
			continue
		}
		if u.limit == nil {
			return false // its load decides
		}
		list = append(list, &u.limit.Permits)
	}
	if len(list) == 0 {
		return false
	}
	wait, interval := ratelimit.NextFree(list, ahead)
	if wait <= w.request.Deadline-c.now-w.request.MinServeTime {
		return false
	}
	c.refuseInTurn(w, "its upstreams take no more requests before the deadline", wait, interval)
	return true
}

// refuseInTurn refuses a request that can be served after wait. Requests that are refused one after the other return
// at different times, an interval apart, as permits or slots become free.
func (c *Core) refuseInTurn(w *waiter, detail string, wait, interval time.Duration) {
	at := min(max(c.now+wait, c.limits.returnAt[w.key]+interval), c.now+maxReturnAfter)
	c.limits.returnAt[w.key] = at
	c.refuse(w, errkind.DeadlineUnmeetable, detail, at-c.now)
}

// waitingBefore returns the number of requests for the same model that get an upstream first.
func (c *Core) waitingBefore(w *waiter) int {
	n := 0
	for _, o := range c.waiting {
		if o.key == w.key && compareWaiters(o, w) < 0 {
			n++
		}
	}
	return n
}

// waitingFor returns the number of waiting requests that could use an upstream.
func (c *Core) waitingFor(u *upstream) int {
	n := 0
	for _, w := range c.waiting {
		if c.isEligible(u, w) {
			n++
		}
	}
	return n
}

// permitDemands returns the permits that this entry wants, sorted by upstream.
func (c *Core) permitDemands() []*wire.PermitDemand {
	var out []*wire.PermitDemand
	for _, u := range c.upstreams {
		if u.limit == nil {
			continue
		}
		if d := u.limit.Demand(c.now, c.waitingFor(u)); d.Wanted > 0 {
			out = append(out, &wire.PermitDemand{Upstream: u.state.Id, BornUnixMs: u.state.BornUnixMs, Wanted: d.Wanted, Urgent: d.Urgent})
		}
	}
	return out
}

// TakeStatements returns the limits that upstreams stated and that were not reported yet.
func (c *Core) TakeStatements(now Time) []*wire.LimitStatement {
	c.now = max(c.now, now)
	var out []*wire.LimitStatement
	for _, u := range c.upstreams {
		if until, ok := c.limits.overridden[u]; ok && until == 0 {
			out = append(out, c.statement(u, u.limitStatedAt))
			c.limits.overridden[u] = c.now + overrideTime
		}
	}
	return out
}

// AttachPermits drops all permits and returns the limits in force, for a coordinator that may know
// none of them.
func (c *Core) AttachPermits(now Time) []*wire.LimitStatement {
	c.now = max(c.now, now)
	c.resetPermits()
	var out []*wire.LimitStatement
	for _, u := range c.upstreams {
		if u.limit != nil {
			out = append(out, c.statement(u, u.limit.statedAt))
		}
	}
	return out
}

func (c *Core) statement(u *upstream, at Time) *wire.LimitStatement {
	s := &wire.LimitStatement{Upstream: u.state.Id, BornUnixMs: u.state.BornUnixMs, AgeMs: uint32(min(c.now-at, time.Hour).Milliseconds())}
	if u.limit != nil {
		s.Limit = &wire.RateLimit{PerSecond: u.limit.PerSecond}
	}
	return s
}

// Limited returns the number of upstreams that take a limited number of requests.
func (c *Core) Limited() int {
	n := 0
	for _, u := range c.upstreams {
		if u.limit != nil {
			n++
		}
	}
	return n
}

// HasStatements reports whether upstreams stated limits that were not reported yet.
func (c *Core) HasStatements() bool {
	for _, until := range c.limits.overridden {
		if until == 0 {
			return true
		}
	}
	return false
}
