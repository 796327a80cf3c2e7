package fleet

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/pace"
	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/wire"
)

// Core tracks the upstreams and plans for them during one term. It is not safe for
// concurrent use.
type Core struct {
	settings    Settings
	now         Time
	config      *routing.Config
	modelIndex  map[string]map[string]*routing.Model // by service and name
	byID        map[string]*upstream
	byAddr      map[string][]*upstream
	tombstones  map[string]tombstone // gone incarnations, by upstream id
	departures  departures
	entries     map[string]*entryUsage
	goneEntries map[string]Time // when entries disconnected whose request counts are kept
	models      map[modelKey]*modelStats
	suspects    *suspect.Tally
	limits      *ratelimit.Allocator

	firstDemand    Time                  // when an entry first reported requests; 0: not yet
	lastDemand     Time                  // when an entry last reported requests; 0: not yet
	succeeds       bool                  // runners accepted orders before this term
	residences     map[string]*residence // by service
	nextSummary    Time
	summaries      map[string]Summary       // of the last plan, by service
	stores         map[string]*storeLearner // by service
	storeStarts    []Time                   // starts of loads from the weight store, oldest first
	loadsChanged   bool                     // loads were reported since the last publication
	demandStale    bool                     // reports came in since the demand was aggregated
	nextPlan       Time
	lastLoads      Time
	nextExpiry     Time                    // of suspect requests
	publishedWaits map[modelKey]Time       // when models will be ready, as published
	reportReads    int                     // reports that are being read
	software       []*wire.ServiceSoftware // as published last
	softwareStale  bool                    // upstreams came, went or changed since
	nextSoftware   Time                    // when to look at it again even if they did not
	versions       *streamorigin.Versions  // that run or ran lately
	record         softwareRecord
	behind         bool   // inputs queue: work that can wait is left out
	fenced         bool   // a higher fencing token has been used: no more orders
	held           bool   // orders are not allowed yet
	lastNumber     uint32 // number of the newest incarnation
	byNumber       map[uint32]*upstream
	speeds         *pace.Fleet
	nextPaces      Time   // next update of the factors of speeds
	examined       uint64 // runners that plans have examined for a load
	actions        []Action
}

// tombstone remembers an incarnation that is gone.
type tombstone struct {
	bornUnixMs int64
	at         Time
}

// New returns a core without upstreams.
func New(settings Settings) *Core {
	return &Core{
		settings:    settings,
		held:        settings.HoldOrders,
		byID:        map[string]*upstream{},
		byNumber:    map[uint32]*upstream{},
		speeds:      pace.NewFleet(),
		byAddr:      map[string][]*upstream{},
		tombstones:  map[string]tombstone{},
		departures:  newDepartures(),
		entries:     map[string]*entryUsage{},
		goneEntries: map[string]Time{},
		models:      map[modelKey]*modelStats{},
		suspects:    suspect.NewTally(),
		limits:      ratelimit.NewAllocator(),
		stores:      map[string]*storeLearner{},
		summaries:   map[string]Summary{},
		residences:  map[string]*residence{},
		versions:    streamorigin.NewVersions(),
		lastLoads:   -settings.LoadsInterval,
	}
}

// Step processes one event and returns the actions to perform, in order. The slice is
// valid until the next call.
func (c *Core) Step(now Time, ev Event) []Action {
	c.actions = c.actions[:0]
	c.now = max(c.now, now)
	switch ev := ev.(type) {
	case HeartbeatReceived:
		c.handleHeartbeat(ev.State)
	case DepartureRestored:
		c.restoreDeparture(ev.Departure)
	case SoftwareRestored:
		c.restoreSoftware(ev)
	case SoftwareRecorded:
		c.handleRecorded(ev)
	case EntrySnapshot:
		c.noteReattached(ev.Entry)
		c.mergeSoftware(ev.Software)
		for _, s := range ev.States {
			c.mergeEntryState(s)
		}
		c.attachLimits(&ev)
		c.recordLimits(ev.Limits)
		c.recordUnready(ev.Entry, ev.Unready)
	case EntryReport:
		c.handleEntryReport(&ev)
	case RunsReported:
		c.handleRuns(ev)
	case SuspectRestored:
		c.suspects.Restore(ev.Trait, ev.Lost, c.now-ev.Age)
	case EntrySilent:
		c.handleSilence(ev)
	case EntryGone:
		delete(c.entries, ev.Entry)
		c.limits.Lost(c.now, ev.Entry)
		c.goneEntries[ev.Entry] = c.now
		c.demandStale, c.loadsChanged = true, true
	case RoutingChanged:
		c.setConfig(ev.Config)
	case ReportReceived:
		c.handleReport(ev)
	case OrderAnswered:
		c.handleOrderResult(ev)
	case OrdersAllowed:
		c.held = false
	case Tick:
		c.behind = ev.Behind
		c.tick()
	}
	c.plan()
	c.publishSuspects()
	c.recordSoftware()
	return c.actions
}

// Examined returns how many runners the plans of this term have examined for a load.
func (c *Core) Examined() uint64 { return c.examined }

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// Upstreams returns the state of every upstream, as it is published to entries, sorted
// by id.
func (c *Core) Upstreams() []*wire.UpstreamState {
	out := make([]*wire.UpstreamState, 0, len(c.byID))
	for _, u := range c.upstreamsByID() {
		if !c.awaitsRecord(u) {
			out = append(out, c.entryView(u))
		}
	}
	return out
}

// UpstreamsHolding returns the states of the upstreams of a service that hold any of the models, as
// published to entries, sorted by id.
func (c *Core) UpstreamsHolding(service string, models []string) []*wire.UpstreamState {
	var out []*wire.UpstreamState
	for _, u := range c.byID {
		if u.state.Service == service && !c.awaitsRecord(u) && slices.ContainsFunc(models, func(name string) bool { return u.models[name] != nil }) {
			out = append(out, c.entryView(u))
		}
	}
	slices.SortFunc(out, func(a, b *wire.UpstreamState) int { return strings.Compare(a.Id, b.Id) })
	return out
}

func (c *Core) upstreamsByID() []*upstream {
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

// handleHeartbeat processes a heartbeat. Those of older incarnations and outdated ones
// are ignored.
func (c *Core) handleHeartbeat(s *wire.UpstreamState) {
	if s.Leaves {
		c.handleLeave(s)
		return
	}
	if !c.isNewer(s) {
		c.mergeDraining(s)
		return
	}
	if !isRecordable(s) {
		return
	}
	u := c.byID[s.Id]
	if u == nil || u.state.BornUnixMs != s.BornUnixMs {
		old := u
		u = c.addIncarnation(s)
		if old != nil && old.published != nil && c.awaitsRecord(u) {
			c.emit(Publish{State: &wire.UpstreamState{Id: old.id(), BornUnixMs: old.state.BornUnixMs, Phase: wire.UpstreamPhase_PHASE_GONE}})
		}
	} else {
		c.suspects.Alive(c.now, u.incarnation())
	}
	c.setState(u, s)
	u.fromEntries = false
	u.lastHeartbeat = c.now
	u.suspect = false
	executing := u.executing
	u.applyHeartbeatModels()
	if executing != nil && u.executing == nil {
		c.endStoreLoad(u, true)
	}
	c.dropOlderAtAddress(u)
	c.publish(u)
}

// isNewer reports whether a heartbeat is newer than everything known about its upstream
// and its address.
func (c *Core) isNewer(s *wire.UpstreamState) bool {
	if t, ok := c.tombstones[s.Id]; ok && s.BornUnixMs <= t.bornUnixMs {
		return false
	}
	if c.departures.of(s).GetGone() {
		return false
	}
	if u := c.byID[s.Id]; u != nil {
		if s.BornUnixMs < u.state.BornUnixMs {
			return false
		}
		if s.BornUnixMs == u.state.BornUnixMs && s.Sequence < u.minNewSequence() {
			return false
		}
	}
	return !slices.ContainsFunc(c.othersAtAddress(s), func(o *upstream) bool { return o.state.BornUnixMs > s.BornUnixMs })
}

// othersAtAddress returns the other upstreams at an upstream's address, sorted by id.
func (c *Core) othersAtAddress(s *wire.UpstreamState) []*upstream {
	var out []*upstream
	for _, o := range c.byAddr[s.Address] {
		if o.id() != s.Id {
			out = append(out, o)
		}
	}
	sortByID(out)
	return out
}

// setState replaces an upstream's state and updates the address index. An incarnation that drains never
// becomes ready again.
func (c *Core) setState(u *upstream, s *wire.UpstreamState) {
	switch {
	case s.Phase == wire.UpstreamPhase_PHASE_DRAINING:
		c.departures.add(&wire.Departure{Upstream: s.Id, BornUnixMs: s.BornUnixMs})
	case s.Phase == wire.UpstreamPhase_PHASE_READY && c.departures.of(s) != nil:
		s.Phase = wire.UpstreamPhase_PHASE_DRAINING
	}
	if u.state == nil || u.state.Address != s.Address {
		c.removeFromAddress(u)
		c.byAddr[s.Address] = append(c.byAddr[s.Address], u)
	}
	u.state = s
}

// removeFromAddress removes an upstream from the address index.
func (c *Core) removeFromAddress(u *upstream) {
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

// removeUpstream removes an upstream if it is known.
func (c *Core) removeUpstream(id string) {
	if u := c.byID[id]; u != nil {
		c.softwareStale = true
		c.endStoreLoad(u, false)
		delete(c.byID, id)
		delete(c.byNumber, u.number)
		c.speeds.Forget(u.number)
		c.removeFromAddress(u)
		c.forgetLimit(u)
	}
}

// mergeEntryState merges an upstream state that an entry had. A gone incarnation is
// recorded as such. Models are added only to an upstream that has sent no heartbeat and
// whose report has not been read.
func (c *Core) mergeEntryState(s *wire.UpstreamState) {
	if s.Phase == wire.UpstreamPhase_PHASE_GONE {
		if t, ok := c.tombstones[s.Id]; !ok || t.bornUnixMs < s.BornUnixMs {
			c.addTombstone(s.Id, s.BornUnixMs)
		}
		return
	}
	u := c.byID[s.Id]
	if u != nil && u.state.BornUnixMs == s.BornUnixMs {
		if c.awaitsRecord(u) && u.state.Software == s.Software {
			u.isKnown = true
			c.publish(u)
		}
		c.mergeDraining(s)
		if u.fromEntries && !u.confirmed {
			u.mergeModels(s.Models)
			c.publish(u)
		}
		return
	}
	if !c.isNewer(s) || !isRecordable(s) {
		return
	}
	u = c.addIncarnation(s)
	u.fromEntries, u.isKnown = true, true
	if !c.record.ended.runs(versionOf(s)) {
		c.record.wanted = true
	}
	c.publish(u)
}

// mergeDraining records that an incarnation drains which an outdated state says, such as one that an
// entry had when a late heartbeat has come already.
func (c *Core) mergeDraining(s *wire.UpstreamState) {
	if u := c.currentIncarnation(s.Id, s.BornUnixMs); u != nil && s.Phase == wire.UpstreamPhase_PHASE_DRAINING {
		c.setLeaving(u)
	}
}

// addIncarnation adds a new incarnation of an upstream and removes the older one, if any.
func (c *Core) addIncarnation(s *wire.UpstreamState) *upstream {
	c.lastNumber++
	u := &upstream{number: c.lastNumber, lastHeartbeat: c.now, models: map[string]*heldModel{}}
	if old := c.byID[s.Id]; old != nil {
		c.recordEnd(old)
	}
	c.removeUpstream(s.Id)
	c.byID[s.Id], c.byNumber[u.number] = u, u
	c.setState(u, s)
	u.replaceModels(s.Models)
	return u
}

// drop removes an incarnation and publishes that it is gone.
func (c *Core) drop(u *upstream) {
	c.removeUpstream(u.id())
	c.addTombstone(u.id(), u.state.BornUnixMs)
}

// addTombstone records and publishes that an incarnation is gone, and removes the upstream
// unless its incarnation is newer.
func (c *Core) addTombstone(id string, bornUnixMs int64) {
	if u := c.byID[id]; u != nil && u.state.BornUnixMs <= bornUnixMs {
		c.removeUpstream(id)
	}
	c.tombstones[id] = tombstone{bornUnixMs: bornUnixMs, at: c.now}
	c.emit(Publish{State: &wire.UpstreamState{Id: id, BornUnixMs: bornUnixMs, Phase: wire.UpstreamPhase_PHASE_GONE}})
}

// dropOlderAtAddress drops other upstreams at the address that an upstream now serves,
// unless they started later.
func (c *Core) dropOlderAtAddress(u *upstream) {
	for _, o := range c.othersAtAddress(u.state) {
		if o.state.BornUnixMs <= u.state.BornUnixMs {
			c.recordEnd(o)
			c.drop(o)
		}
	}
}

// publish sends an upstream's state to entries if it differs from the one published
// last, once its software is recorded.
func (c *Core) publish(u *upstream) {
	if c.awaitsRecord(u) {
		c.record.wanted = true
		return
	}
	s := c.entryView(u)
	if u.published == nil || !equalButModels(u.published, s) {
		u.published = s
		c.softwareStale = true
		c.emit(Publish{State: s})
		return
	}
	models := changedModels(u.published, s)
	u.published = s
	if len(models) > 0 {
		c.emit(Publish{State: s, OnlyModels: models})
	}
}

// EqualForEntries reports whether two states of an upstream are equivalent for entries.
func EqualForEntries(a, b *wire.UpstreamState) bool {
	return equalButModels(a, b) && slices.EqualFunc(a.Models, b.Models, equalModels)
}

func equalButModels(a, b *wire.UpstreamState) bool {
	return a.BornUnixMs == b.BornUnixMs && a.Address == b.Address && a.Phase == b.Phase &&
		a.Service == b.Service && a.Software == b.Software && proto.Equal(a.Limit, b.Limit) && a.Slots == b.Slots
}

func equalModels(a, b *wire.HeldModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// changedModels returns the names of the models that only one of two states holds, or that differ in
// them. The models of both are sorted by name.
func changedModels(a, b *wire.UpstreamState) []string {
	var out []string
	i, j := 0, 0
	for i < len(a.Models) || j < len(b.Models) {
		switch {
		case j == len(b.Models) || i < len(a.Models) && a.Models[i].Name < b.Models[j].Name:
			out = append(out, a.Models[i].Name)
			i++
		case i == len(a.Models) || b.Models[j].Name < a.Models[i].Name:
			out = append(out, b.Models[j].Name)
			j++
		default:
			if !equalModels(a.Models[i], b.Models[j]) {
				out = append(out, a.Models[i].Name)
			}
			i++
			j++
		}
	}
	return out
}

// tick marks silent upstreams as suspect and drops them after ForgetAfter, checks
// orders, expires tombstones and publishes loads.
func (c *Core) tick() {
	for _, u := range c.upstreamsByID() {
		silence := c.now - u.lastHeartbeat
		if silence >= c.settings.ForgetAfter {
			c.recordEnd(u)
			c.drop(u)
			continue
		}
		if silence >= c.settings.SuspectAfter && !u.suspect {
			u.suspect = true
			c.publish(u)
		}
		u.tick(c)
	}
	for id, t := range c.tombstones {
		if c.now-t.at >= c.settings.TombstoneTTL {
			delete(c.tombstones, id)
		}
	}
	c.forgetEntries()
	c.grant(c.limits.Allocate(c.now))
	c.reportThrottles()
	if c.now >= c.nextExpiry {
		c.nextExpiry = c.now + suspectExpiryInterval
		c.suspects.Expire(c.now)
	}
	c.publishLoads()
	c.publishSoftware()
}

func (c *Core) setConfig(config *routing.Config) {
	c.config = config
	c.limits.SetQuotas(c.now, config.Quotas())
	c.modelIndex = map[string]map[string]*routing.Model{}
	for _, s := range config.Services {
		if s.Engine == nil {
			continue
		}
		byName := make(map[string]*routing.Model, len(s.Engine.Models))
		for i := range s.Engine.Models {
			byName[s.Engine.Models[i].Name] = &s.Engine.Models[i]
		}
		c.modelIndex[s.Name] = byName
	}
}
