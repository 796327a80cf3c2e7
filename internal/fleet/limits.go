package fleet

import (
	"maps"
	"slices"
	"time"

	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/wire"
)

func (u *upstream) limitKey() ratelimit.Incarnation {
	return ratelimit.Incarnation{Upstream: u.state.Id, BornUnixMs: u.state.BornUnixMs}
}

// recordLimit records what an answer of an upstream said about its limit, and publishes a change.
func (c *Core) recordLimit(u *upstream, s ratelimit.Statement, age time.Duration) {
	if c.limits.RecordStatement(c.now, u.limitKey(), s, age) {
		c.publish(u)
	}
}

// recordCallLimit records what the answer to a call of the coordinator said. One without a limit may
// have been begun before the upstream named it.
func (c *Core) recordCallLimit(u *upstream, s ratelimit.Statement, took time.Duration) {
	if s.Limited {
		took = 0
	}
	c.recordLimit(u, s, took)
}

// recordLimits records the limits that an entry reports.
func (c *Core) recordLimits(list []*wire.LimitStatement) {
	for _, s := range list {
		if u := c.currentIncarnation(s.Upstream, s.BornUnixMs); u != nil {
			c.recordLimit(u, ratelimit.Statement{Limited: s.Limit != nil, PerSecond: s.Limit.GetPerSecond()}, time.Duration(s.AgeMs)*time.Millisecond)
		}
	}
}

// handleLimits records the limits that an entry reports and its demand for permits, and tells it
// about them.
func (c *Core) handleLimits(r *EntryReport) {
	c.recordLimits(r.Limits)
	c.handleQuotas(r)
	var asked []ratelimit.Incarnation
	for _, d := range r.Permits {
		if d.Organisation != "" {
			continue
		}
		inc := ratelimit.Incarnation{Upstream: d.Upstream, BornUnixMs: d.BornUnixMs}
		c.limits.SetDemand(r.Entry, inc, ratelimit.Demand{Wanted: d.Wanted, Urgent: d.Urgent})
		asked = append(asked, inc)
	}
	if len(asked) == 0 {
		return
	}
	got := c.limits.Allocate(c.now)
	if own := got[r.Entry]; len(own) > 0 {
		// The report names only demands that have changed. Permits for other upstreams may fall due for the entry too.
		got[r.Entry] = slices.DeleteFunc(own, func(g ratelimit.Grant) bool { return g.Organisation == "" && slices.Contains(asked, g.Incarnation) })
	}
	c.grant(got)
	if grants := c.limits.GrantsOf(r.Entry, asked); len(grants) > 0 {
		c.emit(GrantPermits{r.Entry, grants})
	}
}

// handleQuotas records an entry's demand for units of organisations, and tells the entries that are
// granted some. The entry itself is told at once also if it gets none.
func (c *Core) handleQuotas(r *EntryReport) {
	var demands []ratelimit.UnitDemand
	for _, d := range r.Permits {
		if d.Organisation != "" {
			demands = append(demands, ratelimit.UnitDemand{Organisation: d.Organisation, Demand: ratelimit.Demand{Wanted: d.Wanted,
				Urgent: d.Urgent, First: d.First, Known: d.Known, Held: d.Held, Returned: d.Returned, Charged: d.Charged}})
		}
	}
	if len(demands) > 0 {
		c.grant(c.limits.ReportQuotas(c.now, r.Entry, demands))
	}
}

// attachLimits drops the permits of an entry that attaches.
func (c *Core) attachLimits(ev *EntrySnapshot) {
	r := ratelimit.AttachReport{Entries: ev.Entries, History: ev.QuotaHistory, StepAge: ev.QuotaStepAge,
		Used: map[string]uint64{}, Recent: map[string]ratelimit.RecentUse{}}
	for _, u := range ev.OfflineUse {
		if u.Units > 0 {
			r.Used[u.Organisation] = u.Units
		}
		r.Recent[u.Organisation] = ratelimit.RecentUse{Steps: u.Sent, InUse: u.InUse}
	}
	c.limits.Attach(c.now, ev.Entry, r)
	c.limits.Detach(ev.Entry)
}

// handleSilence charges quotas for an entry that may be out of contact although its stream goes on.
func (c *Core) handleSilence(ev EntrySilent) {
	if ev.Silent {
		c.limits.Lost(c.now, ev.Entry)
		return
	}
	c.limits.Attach(c.now, ev.Entry, ratelimit.AttachReport{})
}

// HasQuotas reports whether an organisation has a limit.
func (c *Core) HasQuotas() bool { return c.limits.HasQuotas() }

// reportThrottles reports which organisations have become throttled or are no longer.
func (c *Core) reportThrottles() {
	for _, t := range c.limits.Advance(c.now) {
		c.emit(ReportThrottle{t, c.limits.Throttled()})
	}
}

// grant tells entries about the permits that they got.
func (c *Core) grant(got map[string][]ratelimit.Grant) {
	for _, entry := range slices.Sorted(maps.Keys(got)) {
		if len(got[entry]) > 0 {
			c.emit(GrantPermits{entry, got[entry]})
		}
	}
}

// entryLimit returns an upstream's limit as it is published to entries.
func (c *Core) entryLimit(u *upstream) *wire.RateLimit {
	if l := c.limits.Limit(u.limitKey()); l != nil {
		return &wire.RateLimit{PerSecond: l.PerSecond}
	}
	return nil
}

// forgetLimit drops the limit of an incarnation that is gone.
func (c *Core) forgetLimit(u *upstream) { c.limits.Forget(u.limitKey()) }

// mayCall reports whether an upstream's limit leaves room for a call of the coordinator.
func (c *Core) mayCall(u *upstream) bool { return c.limits.Allows(c.now, u.limitKey()) }

// takes reports whether a runner takes requests, and its limit leaves room for all those for the models
// that it holds and for a further model.
func (p *planner) takes(r *runner, model string) bool {
	if r.quiet {
		return false
	}
	if r.limit == nil {
		return true
	}
	rate := 0.0
	if r.models[model] == nil {
		rate += p.requestRate(model)
	}
	for name := range r.models {
		rate += p.requestRate(name)
	}
	return r.limit.PerSecond >= rate
}

// requestRate returns the requests a second for a model.
func (p *planner) requestRate(model string) float64 {
	st := p.stats(model)
	if st == nil {
		return 0
	}
	st.decay(p.c.now, p.c.settings)
	return st.rate
}
