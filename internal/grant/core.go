package grant

import (
	"math/rand/v2"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// Options are the parameters of New.
type Options struct {
	Settings Settings
	// Seed seeds the core's only source of randomness.
	Seed uint64
	// Recovering is set when the scheduler succeeds another one: no slot is granted until
	// every known entry has opened its session or has expired.
	Recovering bool
	// KnownEntries are the entries that may hold grants of the previous scheduler. When it
	// is empty, a recovering core waits for the whole recovery timeout.
	KnownEntries []string
	// Start is the time of the first step; the recovery timeout counts from it.
	Start Time
	// FullChecks verifies the whole state after each step, at a cost that grows with the
	// state. It is meant for tests.
	FullChecks bool
}

// Core decides which attempt gets which slot. It is not safe for concurrent use.
type Core struct {
	settings            Settings
	rng                 *rand.Rand
	now                 Time
	fullChecks          bool
	draining            bool
	spec                *specIndex
	upstreams           map[string]*upstream
	sortedUpstreams     []*upstream // by id
	pools               map[poolKey]*pool
	attempts            map[string]*attempt   // by id
	entries             map[string]*entry     // by name
	deadlines           timerHeap             // waiting attempts by latest start, at most their deadlines
	holds               timerHeap             // running attempts of lost entries by their latest end
	orphans             map[string][]*attempt // by upstream
	recovery            recovery
	suspects            suspects
	unresolvedCuts      []unresolvedCut // by expiry
	disabled            disabledMechanisms
	lengths             lengths
	hedgeBudget         hedgeBudget
	prefixes            prefixes
	nextLimitedDispatch Time
	nextOutlierCheck    Time
	sequence            uint64 // of the last attempt
	waiting             int
	running             int
	touched             []*upstream // changed by this step
	scratch             []*upstream // buffer of pick
	actions             []Action
}

// disabledMechanisms turns off single mechanisms, so that tests can show that each is
// needed.
type disabledMechanisms struct {
	unresolvedCuts bool
	holds          bool
	leaving        bool
	prefixGap      bool
	recovery       bool
	suspects       bool
	unaccounted    bool
}

// New returns a core without a spec and without upstreams.
func New(o Options) *Core {
	c := &Core{
		settings:   o.Settings,
		rng:        rand.New(rand.NewPCG(o.Seed, o.Seed)),
		now:        o.Start,
		fullChecks: o.FullChecks,
		upstreams:  map[string]*upstream{},
		pools:      map[poolKey]*pool{},
		attempts:   map[string]*attempt{},
		entries:    map[string]*entry{},
		orphans:    map[string][]*attempt{},
		lengths:    newLengths(),
		prefixes:   newPrefixes(o.Settings.PrefixesPerUpstream),
	}
	c.recovery = newRecovery(o)
	c.suspects = newSuspects(&c.disabled)
	return c
}

// Step processes one event and returns the resulting actions in order. A time before that
// of the previous step is replaced by it. Step panics with *InvariantError when the core's
// state is inconsistent; the process must stop then.
func (c *Core) Step(now Time, ev Event) []Action {
	c.actions = nil
	c.touched = c.touched[:0]
	if now > c.now {
		c.now = now
	}
	c.expireWaiting()
	c.apply(ev)
	c.runTimers()
	c.check()
	return c.actions
}

func (c *Core) apply(ev Event) {
	switch ev := ev.(type) {
	case SlotRequest:
		c.admit(ev)
	case Cancel:
		c.cancel(ev)
	case Release:
		c.release(ev)
	case Progress:
		c.progress(ev)
	case UpstreamState:
		c.updateUpstream(ev)
	case UpstreamAlive:
		c.clearOutlivedCuts(ev)
	case UpstreamGone:
		c.upstreamGone(ev)
	case PrefixEvent:
		c.prefixEvent(ev)
	case EntryHello:
		c.entryHello(ev)
	case EntryGone:
		c.entryGone(ev)
	case SpecChanged:
		c.specChanged(ev)
	case SuspectsChanged:
		c.suspectsChanged(ev)
	case Drain:
		c.drain()
	case Tick:
	default:
		c.invariantFailed("unknown event %T", ev)
	}
}

// runTimers processes what is due and may free slots. It runs after the event, so that no
// slot of an upstream that the event reports as leaving is granted in the same step.
func (c *Core) runTimers() {
	c.expireHolds()
	c.expireRecovery()
	c.expireCuts()
	if c.now >= c.nextOutlierCheck {
		c.nextOutlierCheck = c.now + c.settings.ScoreInterval
		c.detectOutliers()
		c.dispatchAvoided()
	}
	if c.now >= c.nextLimitedDispatch {
		c.nextLimitedDispatch = c.now + c.settings.TickInterval
		c.dispatchLimited()
	}
}

// NextTick returns the time at which the next Tick is due. The second result is false when
// none is.
func (c *Core) NextTick(now Time) (Time, bool) {
	next, ok := Time(0), false
	consider := func(t Time) {
		if !ok || t < next {
			next, ok = t, true
		}
	}
	if t, has := c.deadlines.earliest(); has {
		consider(t)
		consider(now + c.settings.TickInterval)
	}
	if t, has := c.holds.earliest(); has {
		consider(t)
	}
	if c.recovery.active {
		consider(c.recovery.deadline)
	}
	if c.recovery.unaccountedUntil > 0 && c.waiting > 0 {
		consider(c.recovery.unaccountedUntil)
	}
	if ok && next < now {
		next = now
	}
	return next, ok
}

// specIndex indexes the spec of an applied file by name.
type specIndex struct {
	models         map[string]*wire.Model
	adapters       map[adapterKey]bool
	services       map[string]*wire.Service
	clearedDigests map[string]bool
	queuePerModel  int
}

type adapterKey struct{ model, adapter string }

func indexSpec(s *wire.Spec) *specIndex {
	x := &specIndex{
		models:         map[string]*wire.Model{},
		adapters:       map[adapterKey]bool{},
		services:       map[string]*wire.Service{},
		clearedDigests: map[string]bool{},
		queuePerModel:  int(s.GetLimits().GetQueuePerModel()),
	}
	for _, m := range s.GetModels() {
		x.models[m.GetName()] = m
	}
	for _, a := range s.GetAdapters() {
		x.adapters[adapterKey{a.GetModel(), a.GetName()}] = true
	}
	for _, v := range s.GetServices() {
		x.services[v.GetName()] = v
	}
	for _, d := range s.GetClearedDigests() {
		x.clearedDigests[d] = true
	}
	return x
}

func (c *Core) specChanged(ev SpecChanged) {
	old := c.spec
	c.spec = indexSpec(ev.Spec)
	for d := range c.spec.clearedDigests {
		if old == nil || !old.clearedDigests[d] {
			c.suspects.clearDeaths(d)
		}
	}
	for _, a := range c.waitingInOrder() {
		if kind, detail := c.checkSpec(a.req); kind != "" {
			c.refuse(a, kind, detail, 0)
		}
	}
	c.trimQueues()
	c.dropStaleDemand()
	c.dispatchAll()
}

// checkSpec returns the kind and detail of the refusal for an attempt that the spec does
// not allow, and an empty kind otherwise.
func (c *Core) checkSpec(req SlotRequest) (errkind.Kind, string) {
	if c.spec == nil {
		return errkind.StaleConfig, "no applied file is known yet"
	}
	if req.Service != "" {
		if _, named := c.spec.services[req.Service]; !named {
			return errkind.UnknownService, "service " + req.Service
		}
		return "", ""
	}
	m, ok := c.spec.models[req.Model]
	if !ok {
		return errkind.UnknownModel, "model " + req.Model
	}
	if req.Adapter != "" && !c.spec.adapters[adapterKey{req.Model, req.Adapter}] {
		return errkind.UnknownModel, "adapter " + req.Adapter + " of model " + req.Model
	}
	if m.GetReplicas() == 0 {
		return errkind.NoCapacity, "the applied file allows no replica of model " + req.Model
	}
	return "", ""
}

func (c *Core) drain() {
	c.draining = true
	for _, a := range c.waitingInOrder() {
		c.refuse(a, errkind.Draining, "the scheduler is shutting down", 0)
	}
}
