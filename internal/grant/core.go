package grant

import (
	"math/rand/v2"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// Options are the inputs of New.
type Options struct {
	Settings Settings
	// Seed seeds the core's only source of randomness.
	Seed uint64
	// Recovering is set by a scheduler that follows another one: no slot is granted
	// until every known entry has said hello or has expired.
	Recovering bool
	// KnownEntries are the entries that may hold grants of the former scheduler; when
	// empty, a recovering core waits out the whole recovery timeout.
	KnownEntries []string
	// Start is the time of the first step; the recovery timeout counts from it.
	Start Time
	// FullChecks walks the whole state after each step. It is meant for tests: the cost
	// grows with the state.
	FullChecks bool
}

// Core decides on asks. It is not safe for concurrent use.
type Core struct {
	set        Settings
	rng        *rand.Rand
	now        Time
	fullChecks bool
	draining   bool
	spec       *specIndex
	upstreams  map[string]*upstream
	order      []*upstream // sorted by id
	pools      map[poolKey]*pool
	attempts   map[string]*attempt
	entries    map[string]*entry
	deadlines  timerHeap // waiting attempts by deadline
	holds      timerHeap // running attempts of lost entries by their longest life
	orphans    map[string][]*attempt
	recovery   recovery
	suspects   suspects
	doubts     []doubt // by the time at which they are cleared
	off        switches
	lengths    lengths
	hedges     hedgeBudget
	prefixes   prefixes
	nextScore  Time
	sequence   uint64
	waiting    int
	running    int
	touched    []*upstream
	scratch    []*upstream
	out        []Action
}

// switches take single mechanisms out, so that tests can show that they are needed.
type switches struct {
	doubts    bool
	holds     bool
	leaving   bool
	prefixGap bool
	recovery  bool
	suspects  bool
	unheard   bool
}

// New returns a core that knows no spec and no upstream.
func New(o Options) *Core {
	c := &Core{
		set:        o.Settings,
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
	c.suspects = newSuspects(&c.off)
	return c
}

// Step takes one event at a time and returns the actions that follow, in order. A time
// before the last one counts as the last one. It panics with *InvariantError when the
// core's own state contradicts itself; the process must stop then.
func (c *Core) Step(now Time, ev Event) []Action {
	c.out = nil
	c.touched = c.touched[:0]
	if now > c.now {
		c.now = now
	}
	c.expireWaiting()
	c.apply(ev)
	c.passTime()
	c.check()
	return c.out
}

func (c *Core) apply(ev Event) {
	switch ev := ev.(type) {
	case Ask:
		c.ask(ev)
	case Cancel:
		c.cancel(ev)
	case Release:
		c.release(ev)
	case Progress:
		c.progress(ev)
	case UpstreamState:
		c.upstreamState(ev)
	case UpstreamAlive:
		c.clearDoubts(ev)
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
		c.broken("unknown event %T", ev)
	}
}

// passTime acts on what is due by now and may free slots. It follows the event: an
// upstream that the event reports as leaving must not be granted in the same step.
func (c *Core) passTime() {
	c.expireHolds()
	c.expireRecovery()
	c.expireDoubts()
	if c.now >= c.nextScore {
		c.nextScore = c.now + c.set.ScoreInterval
		c.reviewScores()
		c.dispatchAvoided()
	}
}

// Next returns the time by which the next Tick is useful, and false when none is.
func (c *Core) Next(now Time) (Time, bool) {
	next, ok := Time(0), false
	take := func(t Time) {
		if !ok || t < next {
			next, ok = t, true
		}
	}
	if t, has := c.deadlines.first(); has {
		take(t)
		take(now + c.set.TickInterval)
	}
	if t, has := c.holds.first(); has {
		take(t)
	}
	if c.recovery.active {
		take(c.recovery.until)
	}
	if c.recovery.unheardUntil > 0 && c.waiting > 0 {
		take(c.recovery.unheardUntil)
	}
	if ok && next < now {
		next = now
	}
	return next, ok
}

// specIndex finds the parts of an applied spec by name.
type specIndex struct {
	models   map[string]*wire.Model
	adapters map[adapterKey]bool
	services map[string]*wire.Service
	cleared  map[string]bool
	queue    int
}

type adapterKey struct{ model, adapter string }

func indexSpec(s *wire.Spec) *specIndex {
	x := &specIndex{
		models:   map[string]*wire.Model{},
		adapters: map[adapterKey]bool{},
		services: map[string]*wire.Service{},
		cleared:  map[string]bool{},
		queue:    int(s.GetLimits().GetQueuePerModel()),
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
		x.cleared[d] = true
	}
	return x
}

func (c *Core) specChanged(ev SpecChanged) {
	old := c.spec
	c.spec = indexSpec(ev.Spec)
	for d := range c.spec.cleared {
		if old == nil || !old.cleared[d] {
			c.suspects.clear(d)
		}
	}
	for _, a := range c.waitingInOrder() {
		if kind, detail := c.unnamed(a.ask); kind != "" {
			c.refuse(a, kind, detail, 0)
		}
	}
	c.trimQueues()
	c.dropUnnamedUsage()
	c.dispatchAll()
}

// unnamed returns the kind of refusal for an ask that the spec does not name.
func (c *Core) unnamed(k Ask) (errkind.Kind, string) {
	if c.spec == nil {
		return errkind.StaleConfig, "no applied file is known yet"
	}
	if k.Service != "" {
		if _, named := c.spec.services[k.Service]; !named {
			return errkind.UnknownService, "service " + k.Service
		}
		return "", ""
	}
	m, ok := c.spec.models[k.Model]
	if !ok {
		return errkind.UnknownModel, "model " + k.Model
	}
	if k.Adapter != "" && !c.spec.adapters[adapterKey{k.Model, k.Adapter}] {
		return errkind.UnknownModel, "adapter " + k.Adapter + " of model " + k.Model
	}
	if m.GetReplicas() == 0 {
		return errkind.NoCapacity, "the applied file allows no replica of model " + k.Model
	}
	return "", ""
}

func (c *Core) drain() {
	c.draining = true
	for _, a := range c.waitingInOrder() {
		c.refuse(a, errkind.Draining, "the scheduler is shutting down", 0)
	}
}
