package fleet

import (
	"math"
	"slices"
	"strings"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// Core follows the fleet during one term. It is not safe for concurrent use.
type Core struct {
	set     Settings
	now     Time
	config  *routing.Config
	index   map[string]map[string]*routing.Model // by service and name
	byID    map[string]*upstream
	gone    map[string]tombstone // by id
	entries map[string]*entryUse
	models  map[modelKey]*modelStats

	storeStarts []Time // starts of loads from the weight store, oldest first
	loadsDue    bool
	demandDue   bool // reports came since the demand was added up
	nextPlan    Time
	lastLoads   Time
	lastWaits   map[modelKey]Time // estimates as told
	stopped     bool
	out         []Action
}

type tombstone struct {
	born int64
	at   Time
}

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
	priority uint32
	running  int
	adapters map[string]adapterUse
}

// adapterUse is the demand for one adapter.
type adapterUse struct{ waiting, running int }

// New returns a core that knows no upstream.
func New(set Settings) *Core {
	return &Core{
		set:       set,
		byID:      map[string]*upstream{},
		gone:      map[string]tombstone{},
		entries:   map[string]*entryUse{},
		models:    map[modelKey]*modelStats{},
		lastLoads: -set.LoadsInterval,
	}
}

// Step takes one event and returns what is to be done, in order. The result is valid
// until the next call.
func (c *Core) Step(now Time, ev Event) []Action {
	c.out = c.out[:0]
	c.now = max(c.now, now)
	switch ev := ev.(type) {
	case Heard:
		c.heard(ev.State)
	case EntryKnows:
		for _, s := range ev.States {
			c.learn(s)
		}
	case EntryReport:
		c.report(&ev)
	case EntryGone:
		delete(c.entries, ev.Entry)
		c.demandDue = true
	case RoutingChanged:
		c.setConfig(ev.Config)
	case Reported:
		c.reported(ev)
	case Ordered:
		c.ordered(ev)
	case Tick:
		c.tick()
	}
	c.plan()
	return c.out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// Fleet returns the state of every upstream as entries shall see it, sorted by id.
func (c *Core) Fleet() []*wire.UpstreamState {
	out := make([]*wire.UpstreamState, 0, len(c.byID))
	for _, u := range c.sorted() {
		out = append(out, u.shown())
	}
	return out
}

func (c *Core) sorted() []*upstream {
	out := make([]*upstream, 0, len(c.byID))
	for _, u := range c.byID {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b *upstream) int { return strings.Compare(a.id(), b.id()) })
	return out
}

// heard takes a heartbeat in. Older incarnations and older heartbeats change nothing.
func (c *Core) heard(s *wire.UpstreamState) {
	if s.UnknownIdentity {
		c.leaves(s.Id)
		return
	}
	if !c.isNew(s) {
		return
	}
	u := c.byID[s.Id]
	if u == nil || u.state.BornUnixMs != s.BornUnixMs {
		u = c.enter(s)
	}
	if u.state.Phase == wire.UpstreamPhase_PHASE_DRAINING && s.Phase == wire.UpstreamPhase_PHASE_READY {
		s.Phase = wire.UpstreamPhase_PHASE_DRAINING // an incarnation that leaves does not come back
	}
	u.state = s
	u.lastHeard = c.now
	u.suspect = false
	u.heardModels()
	c.endSameAddress(u)
	c.publish(u)
}

// isNew reports whether a heartbeat is newer than all that is known of its upstream and
// of its address.
func (c *Core) isNew(s *wire.UpstreamState) bool {
	if t, ok := c.gone[s.Id]; ok && s.BornUnixMs <= t.born {
		return false
	}
	if u := c.byID[s.Id]; u != nil {
		if s.BornUnixMs < u.state.BornUnixMs {
			return false
		}
		if s.BornUnixMs == u.state.BornUnixMs && s.Sequence <= u.state.Sequence {
			return false
		}
	}
	for _, o := range c.byID {
		if o.state.Address == s.Address && o.id() != s.Id && o.state.BornUnixMs > s.BornUnixMs {
			return false
		}
	}
	return true
}

// learn takes over what an entry knew, where the core itself knows less.
func (c *Core) learn(s *wire.UpstreamState) {
	if s.Phase == wire.UpstreamPhase_PHASE_GONE {
		if t, ok := c.gone[s.Id]; !ok || t.born < s.BornUnixMs {
			c.bury(s.Id, s.BornUnixMs)
		}
		return
	}
	if !c.isNew(s) {
		return
	}
	u := c.byID[s.Id]
	if u != nil && u.state.BornUnixMs == s.BornUnixMs {
		return
	}
	u = c.enter(s)
	u.state = s
	c.publish(u)
}

func (c *Core) enter(s *wire.UpstreamState) *upstream {
	u := &upstream{state: s, lastHeard: c.now, models: map[string]*held{}}
	c.byID[s.Id] = u
	u.takeModels(s.Models)
	return u
}

func (c *Core) leaves(id string) {
	if u := c.byID[id]; u != nil {
		c.drop(u)
	}
}

// drop ends an incarnation.
func (c *Core) drop(u *upstream) {
	delete(c.byID, u.id())
	c.bury(u.id(), u.state.BornUnixMs)
}

func (c *Core) bury(id string, born int64) {
	if u := c.byID[id]; u != nil && u.state.BornUnixMs <= born {
		delete(c.byID, id)
	}
	c.gone[id] = tombstone{born: born, at: c.now}
	c.emit(Publish{&wire.UpstreamState{Id: id, BornUnixMs: born, Phase: wire.UpstreamPhase_PHASE_GONE}})
}

// endSameAddress ends older upstreams whose address a newer one serves now.
func (c *Core) endSameAddress(u *upstream) {
	for _, o := range c.sorted() {
		if o != u && o.state.Address == u.state.Address && o.state.BornUnixMs <= u.state.BornUnixMs {
			c.drop(o)
		}
	}
}

// publish tells entries of an upstream whose state looks other than before.
func (c *Core) publish(u *upstream) {
	s := u.shown()
	if u.published != nil && sameShown(u.published, s) {
		return
	}
	u.published = s
	c.emit(Publish{s})
}

func sameShown(a, b *wire.UpstreamState) bool {
	if a.BornUnixMs != b.BornUnixMs || a.Address != b.Address || a.Phase != b.Phase ||
		a.Service != b.Service || a.Slots != b.Slots || len(a.Models) != len(b.Models) {
		return false
	}
	for i := range a.Models {
		if a.Models[i].Name != b.Models[i].Name || a.Models[i].Version != b.Models[i].Version ||
			!slices.Equal(a.Models[i].Adapters, b.Models[i].Adapters) {
			return false
		}
	}
	return true
}

func (c *Core) tick() {
	for _, u := range c.sorted() {
		silent := c.now - u.lastHeard
		if silent >= c.set.ForgetAfter {
			c.drop(u)
			continue
		}
		if silent >= c.set.SuspectAfter && !u.suspect {
			u.suspect = true
			c.publish(u)
		}
		u.tick(c)
	}
	for id, t := range c.gone {
		if c.now-t.at >= c.set.TombstoneFor {
			delete(c.gone, id)
		}
	}
	c.publishLoads()
}

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

func (c *Core) setConfig(config *routing.Config) {
	c.config = config
	c.index = map[string]map[string]*routing.Model{}
	for _, s := range config.Services {
		if s.Engine == nil {
			continue
		}
		byName := make(map[string]*routing.Model, len(s.Engine.Models))
		for i := range s.Engine.Models {
			byName[s.Engine.Models[i].Name] = &s.Engine.Models[i]
		}
		c.index[s.Name] = byName
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
		m.waiting, m.running, m.oldest, m.priority = 0, 0, math.MaxInt64, math.MaxUint32
		m.adapters = nil
	}
	for _, u := range c.byID {
		u.running = 0
		for _, h := range u.models {
			h.running = 0
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
		m.priority = min(m.priority, d.Priority)
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
	var loads []*wire.UpstreamLoad
	for _, u := range c.sorted() {
		if u.running != u.toldRunning {
			u.toldRunning = u.running
			loads = append(loads, &wire.UpstreamLoad{Upstream: u.id(), Running: uint32(u.running)})
		}
	}
	if len(loads) > 0 {
		c.emit(PublishLoads{loads})
	}
}
