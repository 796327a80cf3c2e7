package fleet

import (
	"maps"
	"math"
	"time"

	"gentiankeel/internal/pace"
	"gentiankeel/internal/wire"
)

type modelKey struct{ service, model string }

// modelStats is the demand for one model over all entries.
type modelStats struct {
	requestCounts map[countKey]uint32 // requests since the entry's start
	rate          float64             // requests a second, decayed
	fastRate      float64             // the same with a shorter half-life
	rateUpdated   Time                // time to which the rates are decayed
	lastUsed      Time                // when an entry last reported new requests
	everUsed      bool                // lastUsed is set
	lastScaled    Time                // when a replica was last added

	// Aggregated from the newest reports of all entries.
	waiting        int
	waitingEntries int         // entries with waiting requests
	lastWaiting    *entryUsage // the entry that waitingEntries counts last
	oldest         Time        // arrival of the oldest waiting request
	running        int
	adapters       map[string]adapterUsage
}

type countKey struct{ entry, adapter string }

// adapterUsage is the demand for one adapter.
type adapterUsage struct{ waiting, running int }

// entryUsage is what one entry last reported.
type entryUsage struct {
	demand map[demandKey]entryDemand     // of models with waiting or running requests
	loads  map[string]*wire.UpstreamLoad // by upstream id
	// reattached is set until the first report of the entry's new stream, which contains all of its loads.
	reattached bool
}

type demandKey struct{ service, model, adapter string }

type entryDemand struct {
	*wire.ModelDemand
	oldest Time // arrival of the oldest waiting request
}

// handleEntryReport merges an entry's report: each demand and load in it replaces the
// previous one.
func (c *Core) handleEntryReport(r *EntryReport) {
	e := c.entries[r.Entry]
	newEntry := e == nil
	if newEntry {
		e = &entryUsage{demand: map[demandKey]entryDemand{}, loads: map[string]*wire.UpstreamLoad{}}
		c.entries[r.Entry] = e
		delete(c.goneEntries, r.Entry)
	}
	if e.reattached {
		e.reattached = false
		clear(e.loads) // those that ended between the two streams are in no report
	}
	for _, d := range r.Demand {
		c.countRequests(r.Entry, d, newEntry)
		if d.Waiting+d.Running > 0 {
			c.lastDemand = max(c.now, 1)
			if c.firstDemand == 0 {
				c.firstDemand = c.lastDemand
			}
		}
		k := demandKey{d.Service, d.Model, d.Adapter}
		c.countBegun(e.demand[k], d, newEntry)
		if d.Waiting+d.Running == 0 {
			delete(e.demand, k) // else each entry would add up all models that it ever had requests for
			continue
		}
		e.demand[k] = entryDemand{d, c.now - Time(d.OldestMs)*1e6}
	}
	for _, l := range r.Loads {
		if l.Running == 0 {
			delete(e.loads, l.Upstream)
			continue
		}
		e.loads[l.Upstream] = l
	}
	c.addPaces(r.Paces)
	c.handleLimits(r)
	c.recordUnready(r.Entry, r.Unready)
	c.demandStale, c.loadsChanged = true, true
}

// noteReattached records that an entry begins a new stream. The end of its old one may not have been noticed.
func (c *Core) noteReattached(entry string) {
	if e := c.entries[entry]; e != nil {
		e.reattached = true
	}
}

// goneEntryTTL is how long the request counts of a disconnected entry are kept. Within it, the
// same process may connect again and report the counts onward.
const goneEntryTTL = time.Minute

// forgetEntries drops the request counts of the entries that are gone for long. Each start of
// an entry has a name of its own, so that they would otherwise pile up.
func (c *Core) forgetEntries() {
	for entry, since := range c.goneEntries {
		if c.now-since < goneEntryTTL {
			continue
		}
		delete(c.goneEntries, entry)
		for _, m := range c.models {
			maps.DeleteFunc(m.requestCounts, func(k countKey, _ uint32) bool { return k.entry == entry })
		}
	}
}

func (c *Core) stats(k modelKey) *modelStats {
	m := c.models[k]
	if m == nil {
		m = &modelStats{requestCounts: map[countKey]uint32{}}
		c.models[k] = m
	}
	return m
}

// countRequests adds the requests since an entry's last report to the model's rate. Of an
// entry's first report only the waiting requests count, so that a new coordinator does not
// count the entry's earlier requests as new.
func (c *Core) countRequests(entry string, d *wire.ModelDemand, newEntry bool) {
	m := c.stats(modelKey{d.Service, d.Model})
	key := countKey{entry, d.Adapter}
	last := m.requestCounts[key]
	m.requestCounts[key] = d.Asked
	if newEntry && last == 0 {
		last = d.Asked - min(d.Asked, d.Waiting)
	}
	if d.Asked <= last {
		return
	}
	m.decay(c.now, c.settings)
	n := float64(d.Asked-last) * math.Ln2
	m.rate += n / c.settings.RateHalfLife.Seconds()
	m.fastRate += n / c.settings.FastRateHalfLife.Seconds()
	m.lastUsed, m.everUsed = c.now, true
}

// countBegun adds the requests that began to run since an entry's last report to the estimate of how long
// requests run. Of a model without requests in the last report it counts those that run now.
func (c *Core) countBegun(last entryDemand, d *wire.ModelDemand, newEntry bool) {
	begun := int(d.Running)
	if last.ModelDemand != nil {
		begun = int(d.Asked) - int(d.Waiting) - int(last.Asked) + int(last.Waiting)
	}
	if begun > 0 && !newEntry {
		c.residence(d.Service).begun += float64(begun)
	}
}

func (c *Core) residence(service string) *residence {
	r := c.residences[service]
	if r == nil {
		r = &residence{updated: c.now}
		c.residences[service] = r
	}
	return r
}

func (m *modelStats) decay(now Time, settings Settings) {
	if now > m.rateUpdated {
		span := float64(now - m.rateUpdated)
		m.rate *= math.Exp2(-span / float64(settings.RateHalfLife))
		m.fastRate *= math.Exp2(-span / float64(settings.FastRateHalfLife))
		m.rateUpdated = now
	}
}

// aggregateDemand sums the newest reports of all entries. It runs once for many
// reports, as its cost grows with the number of entries.
func (c *Core) aggregateDemand() {
	if !c.demandStale {
		return
	}
	c.demandStale = false
	for _, m := range c.models {
		m.waiting, m.waitingEntries, m.running, m.oldest = 0, 0, 0, math.MaxInt64
		m.adapters, m.lastWaiting = nil, nil
	}
	for _, u := range c.byID {
		u.running, u.prefillTokens, u.kvTokens = 0, 0, 0
		for _, h := range u.models {
			h.running = 0
			for _, a := range h.adapters {
				a.running = 0
			}
		}
	}
	for _, r := range c.entries {
		for _, d := range r.demand {
			c.stats(modelKey{d.Service, d.Model}).add(r, d)
		}
		for _, l := range r.loads {
			if u := c.byID[l.Upstream]; u != nil {
				u.addLoad(c.now, l)
			}
		}
	}
}

func (m *modelStats) add(e *entryUsage, d entryDemand) {
	m.running += int(d.Running)
	m.waiting += int(d.Waiting)
	if d.Waiting > 0 {
		if m.lastWaiting != e { // it may wait for several adapters
			m.waitingEntries++
			m.lastWaiting = e
		}
		m.oldest = min(m.oldest, d.oldest)
	}
	if d.Adapter != "" && d.Waiting+d.Running > 0 {
		if m.adapters == nil {
			m.adapters = map[string]adapterUsage{}
		}
		a := m.adapters[d.Adapter]
		m.adapters[d.Adapter] = adapterUsage{a.waiting + int(d.Waiting), a.running + int(d.Running)}
	}
}

// ReportInterval returns the time between two reports of an entry, and between two
// publications of loads. It grows with the number of entries, so that the message rate
// does not.
func (c *Core) ReportInterval() Time {
	return max(c.settings.LoadsInterval, Time(len(c.entries))*c.settings.LoadsIntervalPerEntry)
}

// load is the load of an upstream over all entries, as sent to them.
type load struct{ running, prefillUnits, kvUnits, contenders uint32 }

// currentLoad returns the load by the newest reports of all entries.
func (c *Core) currentLoad(u *upstream) load {
	return load{running: uint32(u.running), prefillUnits: wire.Units(u.prefillTokens, wire.PrefillUnit), kvUnits: wire.Units(u.kvTokens, wire.KVUnit),
		contenders: wire.PowerOfTwo(c.contenders(u))}
}

// addPaces merges what an entry has observed of runners' speed.
func (c *Core) addPaces(paces []*wire.UpstreamPace) {
	for _, p := range paces {
		if u := c.byNumber[p.Number]; u != nil {
			c.speeds.Add(c.now, p.Number, u.state.Service, u.state.Software, p.Model, pace.Sums{
				Gaps: int(p.Gaps), Time: time.Duration(p.GapsMs) * time.Millisecond, Work: float64(p.Work) / 1000,
			})
		}
	}
}

// changedPaces returns the factors of runners' speed to be published, by number.
func (c *Core) changedPaces() map[uint32]uint32 {
	if c.now < c.nextPaces {
		return nil
	}
	c.nextPaces = c.now + c.settings.PaceInterval
	return c.speeds.Update(c.now)
}

// contenders returns the number of entries with requests that wait for a model which the upstream holds. These would
// all use the same free slot when its load is published.
func (c *Core) contenders(u *upstream) int {
	n := 0
	for name := range u.models {
		if m := c.models[modelKey{u.state.Service, name}]; m != nil {
			n += m.waitingEntries
		}
	}
	return min(n, len(c.entries))
}

// addLoad appends the load of an upstream as sent last.
func addLoad(loads *wire.FleetLoads, u *upstream) {
	loads.Upstreams = append(loads.Upstreams, u.number)
	loads.Running = append(loads.Running, u.publishedLoad.running)
	loads.PrefillUnits = append(loads.PrefillUnits, u.publishedLoad.prefillUnits)
	loads.KvUnits = append(loads.KvUnits, u.publishedLoad.kvUnits)
	loads.Contenders = append(loads.Contenders, u.publishedLoad.contenders)
}

// Loads returns the load of each upstream that has any, as published last.
func (c *Core) Loads() *wire.FleetLoads {
	loads := &wire.FleetLoads{}
	for _, u := range c.upstreamsByID() {
		if u.publishedLoad != (load{}) {
			addLoad(loads, u)
		}
	}
	return loads
}

// LoadsOf returns the loads of some upstreams that have any, as published last.
func (c *Core) LoadsOf(states []*wire.UpstreamState) *wire.FleetLoads {
	loads := &wire.FleetLoads{}
	for _, s := range states {
		if u := c.byNumber[s.Number]; u != nil && u.publishedLoad != (load{}) {
			addLoad(loads, u)
		}
	}
	return loads
}

// publishLoads sends changed loads to entries, at most once in each report interval.
func (c *Core) publishLoads() {
	if !c.loadsChanged || c.now-c.lastLoads < c.ReportInterval() {
		return
	}
	c.aggregateDemand()
	c.loadsChanged = false
	c.lastLoads = c.now
	loads := &wire.FleetLoads{}
	paces := c.changedPaces()
	for _, u := range c.upstreamsByID() {
		if now := c.currentLoad(u); now != u.publishedLoad || paces[u.number] > 0 {
			u.publishedLoad = now
			addLoad(loads, u)
			if len(paces) > 0 {
				loads.Pace = append(loads.Pace, paces[u.number])
			}
		}
	}
	if len(loads.Upstreams) > 0 {
		c.emit(PublishLoads{loads})
	}
}
