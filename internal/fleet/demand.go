package fleet

import (
	"math"

	"gentiankeel/internal/wire"
)

type modelKey struct{ service, model string }

// modelStats is what is known of the demand for one model over all entries.
type modelStats struct {
	asked    map[string]uint32 // by entry: requests asked for since its start
	rate     float64           // requests a second, decayed
	lastRate Time
	lastUsed Time
	used     bool // lastUsed is set
	scaled   Time // last extra replica

	// Of the newest reports.
	waiting  int
	oldest   Time // arrival of the oldest waiting request
	running  int
	adapters map[string]adapterUse
}

// adapterUse is the demand for one adapter.
type adapterUse struct{ waiting, running int }

// entryUse is what one entry needs and uses, as its reports told.
type entryUse struct {
	demand map[demandKey]demandOf
	loads  map[string]*wire.UpstreamLoad
}

type demandKey struct{ service, model, adapter string }

type demandOf struct {
	*wire.ModelDemand
	oldest Time // arrival of the oldest waiting request
}

// report takes an entry's report in: what it names replaces what was known of it.
func (c *Core) report(r *EntryReport) {
	e := c.entries[r.Entry]
	first := e == nil
	if first {
		e = &entryUse{demand: map[demandKey]demandOf{}, loads: map[string]*wire.UpstreamLoad{}}
		c.entries[r.Entry] = e
	}
	for _, d := range r.Demand {
		c.countAsked(r.Entry, d, first)
		e.demand[demandKey{d.Service, d.Model, d.Adapter}] = demandOf{d, c.now - Time(d.OldestMs)*1e6}
	}
	for _, l := range r.Loads {
		if l.Running == 0 {
			delete(e.loads, l.Upstream)
			continue
		}
		e.loads[l.Upstream] = l
	}
	c.demandDue, c.loadsDue = true, true
}

func (c *Core) stats(k modelKey) *modelStats {
	m := c.models[k]
	if m == nil {
		m = &modelStats{asked: map[string]uint32{}}
		c.models[k] = m
	}
	return m
}

func (c *Core) countAsked(entry string, d *wire.ModelDemand, first bool) {
	m := c.stats(modelKey{d.Service, d.Model})
	key := entry + "\x00" + d.Adapter
	last := m.asked[key]
	m.asked[key] = d.Asked
	if first && last == 0 && d.Waiting == 0 || d.Asked <= last {
		return
	}
	m.decay(c.now, c.set)
	m.rate += float64(d.Asked-last) * math.Ln2 / c.set.RateHalfLife.Seconds()
	m.lastUsed, m.used = c.now, true
}

func (m *modelStats) decay(now Time, set Settings) {
	if now > m.lastRate {
		m.rate *= math.Exp2(-float64(now-m.lastRate) / float64(set.RateHalfLife))
		m.lastRate = now
	}
}

// sumDemand adds the newest reports of all entries up. It runs once for many reports: its
// cost grows with the entries.
func (c *Core) sumDemand() {
	if !c.demandDue {
		return
	}
	c.demandDue = false
	for _, m := range c.models {
		m.waiting, m.running, m.oldest = 0, 0, math.MaxInt64
		m.adapters = nil
	}
	for _, u := range c.byID {
		u.running = 0
		for _, h := range u.models {
			h.running = 0
			for _, a := range h.adapters {
				a.running = 0
			}
		}
	}
	for _, r := range c.entries {
		for _, d := range r.demand {
			c.stats(modelKey{d.Service, d.Model}).add(d)
		}
		for _, l := range r.loads {
			if u := c.byID[l.Upstream]; u != nil {
				u.addLoad(c.now, l)
			}
		}
	}
}

func (m *modelStats) add(d demandOf) {
	m.running += int(d.Running)
	m.waiting += int(d.Waiting)
	if d.Waiting > 0 {
		m.oldest = min(m.oldest, d.oldest)
	}
	if d.Adapter != "" && d.Waiting+d.Running > 0 {
		if m.adapters == nil {
			m.adapters = map[string]adapterUse{}
		}
		a := m.adapters[d.Adapter]
		m.adapters[d.Adapter] = adapterUse{a.waiting + int(d.Waiting), a.running + int(d.Running)}
	}
}

// ReportInterval is the time between two reports of an entry, and between two
// publications of loads: it grows with the entries, so that the messages do not.
func (c *Core) ReportInterval() Time {
	return max(c.set.LoadsInterval, Time(len(c.entries))*c.set.LoadsPerEntry)
}

// publishLoads tells entries, at most once in an interval, what the others have running.
func (c *Core) publishLoads() {
	if !c.loadsDue || c.now-c.lastLoads < c.ReportInterval() {
		return
	}
	c.sumDemand()
	c.loadsDue = false
	c.lastLoads = c.now
	loads := &wire.FleetLoads{}
	for _, u := range c.sorted() {
		if u.running != u.toldRunning {
			u.toldRunning = u.running
			loads.Upstreams = append(loads.Upstreams, u.number)
			loads.Running = append(loads.Running, uint32(u.running))
		}
	}
	if len(loads.Upstreams) > 0 {
		c.emit(PublishLoads{loads})
	}
}
