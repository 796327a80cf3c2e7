package fleet

import (
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
	byAddr  map[string][]*upstream
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
	numbered    uint32 // number of the newest upstream
	out         []Action
}

type tombstone struct {
	born int64
	at   Time
}

// New returns a core that knows no upstream.
func New(set Settings) *Core {
	return &Core{
		set:       set,
		byID:      map[string]*upstream{},
		byAddr:    map[string][]*upstream{},
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
	sortByID(out)
	return out
}

func sortByID(list []*upstream) {
	slices.SortFunc(list, func(a, b *upstream) int { return strings.Compare(a.id(), b.id()) })
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
	c.setState(u, s)
	u.hearsay = false
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
		if s.BornUnixMs == u.state.BornUnixMs && s.Sequence < u.nextSequence() {
			return false
		}
	}
	return !slices.ContainsFunc(c.atAddressOf(s), func(o *upstream) bool { return o.state.BornUnixMs > s.BornUnixMs })
}

// atAddressOf returns the other upstreams at an upstream's address, sorted by id.
func (c *Core) atAddressOf(s *wire.UpstreamState) []*upstream {
	var out []*upstream
	for _, o := range c.byAddr[s.Address] {
		if o.id() != s.Id {
			out = append(out, o)
		}
	}
	sortByID(out)
	return out
}

// setState takes over what an upstream last said, its address among it.
func (c *Core) setState(u *upstream, s *wire.UpstreamState) {
	if u.state == nil || u.state.Address != s.Address {
		c.leaveAddress(u)
		c.byAddr[s.Address] = append(c.byAddr[s.Address], u)
	}
	u.state = s
}

func (c *Core) leaveAddress(u *upstream) {
	if u.state == nil {
		return
	}
	rest := slices.DeleteFunc(c.byAddr[u.state.Address], func(o *upstream) bool { return o == u })
	if len(rest) == 0 {
		delete(c.byAddr, u.state.Address)
		return
	}
	c.byAddr[u.state.Address] = rest
}

// remove takes the known incarnation of an upstream out, if there is one.
func (c *Core) remove(id string) {
	if u := c.byID[id]; u != nil {
		delete(c.byID, id)
		c.leaveAddress(u)
	}
}

// learn takes over what an entry knew, where the core itself knows less.
func (c *Core) learn(s *wire.UpstreamState) {
	if s.Phase == wire.UpstreamPhase_PHASE_GONE {
		if t, ok := c.gone[s.Id]; !ok || t.born < s.BornUnixMs {
			c.bury(s.Id, s.BornUnixMs)
		}
		return
	}
	u := c.byID[s.Id]
	if u != nil && u.state.BornUnixMs == s.BornUnixMs {
		if u.hearsay && !u.ledger {
			u.addModels(s.Models)
			c.publish(u)
		}
		return
	}
	if !c.isNew(s) {
		return
	}
	u = c.enter(s)
	u.hearsay = true
	c.publish(u)
}

func (c *Core) enter(s *wire.UpstreamState) *upstream {
	c.numbered++
	u := &upstream{number: c.numbered, lastHeard: c.now, models: map[string]*held{}}
	c.remove(s.Id) // an older incarnation
	c.byID[s.Id] = u
	c.setState(u, s)
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
	c.remove(u.id())
	c.bury(u.id(), u.state.BornUnixMs)
}

func (c *Core) bury(id string, born int64) {
	if u := c.byID[id]; u != nil && u.state.BornUnixMs <= born {
		c.remove(id)
	}
	c.gone[id] = tombstone{born: born, at: c.now}
	c.emit(Publish{&wire.UpstreamState{Id: id, BornUnixMs: born, Phase: wire.UpstreamPhase_PHASE_GONE}})
}

// endSameAddress ends older upstreams whose address a newer one serves now.
func (c *Core) endSameAddress(u *upstream) {
	for _, o := range c.atAddressOf(u.state) {
		if o.state.BornUnixMs <= u.state.BornUnixMs {
			c.drop(o)
		}
	}
}

// publish tells entries of an upstream whose state looks other than before.
func (c *Core) publish(u *upstream) {
	s := u.shown()
	if u.published != nil && SameShown(u.published, s) {
		return
	}
	u.published = s
	c.emit(Publish{s})
}

// SameShown reports whether two states look alike to entries.
func SameShown(a, b *wire.UpstreamState) bool {
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
