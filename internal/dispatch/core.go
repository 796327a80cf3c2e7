package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// Core decides for one entry. It is not safe for concurrent use.
type Core struct {
	set     Settings
	zone    string
	rng     *rand.Rand
	now     Time
	view    view
	byID    map[string]*upstream
	numbers map[uint32]*upstream // as the acting coordinator numbers them
	order   []*upstream          // sorted by id
	waiting []*waiter            // by priority, then deadline
	running map[uint64]*attempt
	stats   map[modelKey]*modelStats
	waits   map[modelKey]Time // when a model should be loaded
	leaveAt Time              // 0: the entry stays; else nothing waits longer than until then
	out     []Decision
	scratch []*upstream

	loadsAge time.Duration // time between two publications of loads
}

type modelKey struct{ service, model, adapter string }

// modelStats counts what this entry asked for.
type modelStats struct {
	asked   uint32
	running uint32
}

// upstream is one incarnation as this entry knows it.
type upstream struct {
	state    *wire.UpstreamState
	models   map[string]*wire.HeldModel
	running  int // of this entry
	tokens   int // of this entry's running requests
	others   int // requests of other entries
	byModel  map[modelKey]int
	failures int  // in a row
	avoid    Time // not used before, unless there is no other
	lacks    map[modelKey]Time
}

type attempt struct {
	ask Ask
	u   *upstream
	key modelKey
}

type waiter struct {
	ask  Ask
	key  modelKey
	came Time
}

// New returns a core that knows no upstream.
func New(o Options) *Core {
	return &Core{
		set:     o.Settings,
		zone:    o.Zone,
		rng:     rand.New(rand.NewPCG(o.Seed, o.Seed)),
		byID:    map[string]*upstream{},
		numbers: map[uint32]*upstream{},
		running: map[uint64]*attempt{},
		stats:   map[modelKey]*modelStats{},
		waits:   map[modelKey]Time{},
	}
}

func (c *Core) at(now Time) {
	c.now = max(c.now, now)
	c.out = c.out[:0]
}

// SetConfig replaces the configuration.
func (c *Core) SetConfig(now Time, config *routing.Config) []Decision {
	c.at(now)
	c.view = view{config}
	c.dispatch()
	return c.out
}

// Apply takes a change of the fleet in.
func (c *Core) Apply(now Time, up *Update) []Decision {
	c.at(now)
	if up.Snapshot {
		c.keepOnly(up.Upstreams)
	}
	for _, s := range up.Upstreams {
		c.put(s)
	}
	for i, number := range up.Loads.GetUpstreams() {
		if u := c.numbers[number]; u != nil && i < len(up.Loads.Running) {
			u.others = max(0, int(up.Loads.Running[i])-u.running)
		}
	}
	if up.ReportMs > 0 {
		c.loadsAge = time.Duration(up.ReportMs) * time.Millisecond
	}
	if up.HasWaits {
		clear(c.waits)
		for _, w := range up.Waits {
			c.waits[modelKey{w.Service, w.Model, ""}] = c.now + Time(w.ReadyInMs)*1e6
		}
	}
	c.dispatch()
	return c.out
}

// keepOnly drops what a snapshot does not name, and the numbers of the coordinator before.
func (c *Core) keepOnly(list []*wire.UpstreamState) {
	clear(c.numbers)
	named := map[string]bool{}
	for _, s := range list {
		named[s.Id] = true
	}
	for _, u := range slices.Clone(c.order) {
		if !named[u.state.Id] {
			c.drop(u)
		}
	}
}

func (c *Core) put(s *wire.UpstreamState) {
	u := c.byID[s.Id]
	if u != nil && s.BornUnixMs < u.state.BornUnixMs {
		return
	}
	if s.Phase == wire.UpstreamPhase_PHASE_GONE {
		if u != nil {
			c.drop(u)
		}
		return
	}
	if u != nil && u.state.BornUnixMs != s.BornUnixMs {
		c.drop(u)
		u = nil
	}
	if u == nil {
		u = &upstream{byModel: map[modelKey]int{}, lacks: map[modelKey]Time{}}
		c.byID[s.Id] = u
		i, _ := slices.BinarySearchFunc(c.order, s.Id, func(o *upstream, id string) int { return strings.Compare(o.state.Id, id) })
		u.state = s
		c.order = slices.Insert(c.order, i, u)
	}
	u.state = s
	c.numbers[s.Number] = u
	u.models = make(map[string]*wire.HeldModel, len(s.Models))
	for _, m := range s.Models {
		u.models[m.Name] = m
	}
	clear(u.lacks)
}

func (c *Core) drop(u *upstream) {
	delete(c.byID, u.state.Id)
	if c.numbers[u.state.Number] == u { // a new coordinator may have given it to another
		delete(c.numbers, u.state.Number)
	}
	c.order = slices.DeleteFunc(c.order, func(o *upstream) bool { return o == u })
}

// Fleet returns what this entry knows of the fleet.
func (c *Core) Fleet() []*wire.UpstreamState {
	out := make([]*wire.UpstreamState, 0, len(c.order))
	for _, u := range c.order {
		out = append(out, u.state)
	}
	return out
}

// Ask enters an ask. Its decision may come with this call or a later one.
func (c *Core) Ask(now Time, a Ask) []Decision {
	c.at(now)
	w := &waiter{ask: a, key: modelKey{a.Service, a.Model, a.Adapter}, came: c.now}
	c.statsOf(w.key).asked++
	if c.grant(w) {
		return c.out
	}
	if len(c.waiting) >= c.set.MaxWaiting {
		c.refuse(w, errkind.QueueFull, "too many requests wait at this entry", time.Second)
		return c.out
	}
	i, _ := slices.BinarySearchFunc(c.waiting, w, compareWaiters)
	c.waiting = slices.Insert(c.waiting, i, w)
	c.review(w)
	return c.out
}

func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.ask.Priority, b.ask.Priority), cmp.Compare(a.ask.Deadline, b.ask.Deadline),
		cmp.Compare(a.ask.ID, b.ask.ID))
}

func (c *Core) statsOf(k modelKey) *modelStats {
	m := c.stats[k]
	if m == nil {
		m = &modelStats{}
		c.stats[k] = m
	}
	return m
}

// Cancel takes an ask back that still waits.
func (c *Core) Cancel(now Time, id uint64) []Decision {
	c.at(now)
	c.waiting = slices.DeleteFunc(c.waiting, func(w *waiter) bool { return w.ask.ID == id })
	return c.out
}

// Ended gives the place of an attempt back.
func (c *Core) Ended(now Time, id uint64, o Outcome) []Decision {
	c.at(now)
	a := c.running[id]
	if a == nil {
		return c.out
	}
	delete(c.running, id)
	a.u.running--
	a.u.tokens -= a.ask.Prompt + a.ask.Output
	if a.u.byModel[a.key]--; a.u.byModel[a.key] <= 0 {
		delete(a.u.byModel, a.key)
	}
	c.statsOf(a.key).running--
	c.judge(a, o)
	c.dispatch()
	return c.out
}

// judge notes what an outcome says of the upstream.
func (c *Core) judge(a *attempt, o Outcome) {
	u := a.u
	switch o {
	case Served:
		u.failures = 0
	case NotHeld:
		u.lacks[a.key] = c.now + c.set.AvoidFirst
	case Refused:
		u.avoid = max(u.avoid, c.now+c.set.AvoidFirst/4)
	case Unreachable:
		u.failures++
		wait := c.set.AvoidFirst << min(u.failures-1, 8)
		u.avoid = c.now + min(wait, c.set.AvoidMost)
	case Failed, Broken:
		u.failures++
		if u.failures > 1 {
			u.avoid = c.now + min(c.set.AvoidFirst<<min(u.failures-2, 8), c.set.AvoidMost)
		}
	case Left:
	}
}

// Drain bounds the wait of every ask, also of those that come later: what has no
// upstream by until is refused while its caller can still go to another entry.
func (c *Core) Drain(now, until Time) []Decision {
	c.at(now)
	c.leaveAt = until
	c.dispatch()
	return c.out
}

// Tick lets time pass.
func (c *Core) Tick(now Time) []Decision {
	c.at(now)
	c.dispatch()
	return c.out
}

// Waiting returns the number of asks without a decision.
func (c *Core) Waiting() int { return len(c.waiting) }

// Running returns the number of attempts that hold a place.
func (c *Core) Running() int { return len(c.running) }

// dispatch looks at every waiting ask, the most urgent first.
func (c *Core) dispatch() {
	if len(c.waiting) == 0 {
		return
	}
	keep := c.waiting[:0]
	for _, w := range c.waiting {
		if !c.grant(w) && !c.review(w) {
			keep = append(keep, w)
		}
	}
	clear(c.waiting[len(keep):])
	c.waiting = keep
}

// grant gives the ask the best upstream that can take it now.
func (c *Core) grant(w *waiter) bool {
	u := c.choose(w)
	if u == nil {
		return false
	}
	u.running++
	u.tokens += w.ask.Prompt + w.ask.Output
	u.byModel[w.key]++
	c.statsOf(w.key).running++
	c.running[w.ask.ID] = &attempt{ask: w.ask, u: u, key: w.key}
	t := &Target{ID: u.state.Id, Born: u.state.BornUnixMs, Address: u.state.Address, Zone: u.state.Zone}
	if m := u.models[w.ask.Model]; m != nil {
		t.Versions = m.Version
	}
	c.out = append(c.out, Decision{Ask: w.ask.ID, Target: t})
	return true
}

// choose returns the cheapest upstream that may take the ask, nil without one. Upstreams
// that failed of late are used only where there is no other.
func (c *Core) choose(w *waiter) *upstream {
	best, bestCost, bestAvoided := (*upstream)(nil), math.Inf(1), true
	home := c.home(w)
	for _, u := range c.sample(w) {
		avoided := c.now < u.avoid || u.state.Phase != wire.UpstreamPhase_PHASE_READY
		cost := c.cost(u, w, home)
		if best == nil || bestAvoided && !avoided || avoided == bestAvoided && cost < bestCost {
			best, bestCost, bestAvoided = u, cost, avoided
		}
	}
	return best
}

// sample returns the upstreams to choose from: all that can take the ask, or two of them
// at random where loads come so late that all entries would choose the same one
// meanwhile.
func (c *Core) sample(w *waiter) []*upstream {
	c.scratch = c.scratch[:0]
	sound := 0 // those before this place are not avoided
	for _, u := range c.order {
		if !c.able(u, w) || !c.hasRoom(u, w) {
			continue
		}
		c.scratch = append(c.scratch, u)
		if c.now >= u.avoid && u.state.Phase == wire.UpstreamPhase_PHASE_READY {
			last := len(c.scratch) - 1
			c.scratch[sound], c.scratch[last] = c.scratch[last], c.scratch[sound]
			sound++
		}
	}
	if c.loadsAge < c.set.StaleLoads || sound <= sampled {
		return c.scratch
	}
	for i := range sampled {
		j := i + c.rng.IntN(sound-i)
		c.scratch[i], c.scratch[j] = c.scratch[j], c.scratch[i]
	}
	return c.scratch[:sampled]
}

// sampled is the number of upstreams drawn (M. Mitzenmacher, "How Useful Is Old
// Information?", IEEE TPDS 11(1), 2000: two suffice against herds on stale loads).
const sampled = 2

// able reports whether an upstream holds what the ask needs and stays.
func (c *Core) able(u *upstream, w *waiter) bool {
	if u.state.Service != w.ask.Service || u.state.Phase == wire.UpstreamPhase_PHASE_DRAINING || w.ask.Exclude[u.state.Id] {
		return false
	}
	if w.ask.Model == "" {
		return true
	}
	m := u.models[w.ask.Model]
	if m == nil || w.ask.Adapter != "" && !slices.Contains(m.Adapters, w.ask.Adapter) {
		return false
	}
	return c.now >= u.lacks[w.key]
}

// hasRoom reports whether a place and memory are free, as far as this entry knows.
func (c *Core) hasRoom(u *upstream, w *waiter) bool {
	e := c.view.engine(u.state.Service)
	most := int(u.state.Slots)
	if e != nil && c.now-w.came < c.set.ComfortWait {
		most = min(most, c.set.Comfort)
	}
	if u.running+u.others >= most {
		return false
	}
	if e == nil || e.KVTokens == 0 || u.running == 0 {
		return true
	}
	mean := u.tokens / u.running
	used := u.tokens + u.others*mean
	return float64(used+w.ask.Prompt+w.ask.Output) <= c.set.KVShare*float64(e.KVTokens)
}

// prefillShare is the share of a prompt's prefill that each request which runs beside it
// is taken to wait for: prefills come in pieces between the others' tokens.
const prefillShare = 0.5

// cost estimates, in seconds, what the ask would meet and cause on an upstream.
func (c *Core) cost(u *upstream, w *waiter, home *upstream) float64 {
	load := float64(u.running + u.others)
	cost := 0.0
	if w.ask.Model == "" {
		cost += load * c.set.ServiceTime.Seconds()
	} else {
		cost += load * float64(max(w.ask.Output, 1)) * c.set.StepPerRequest.Seconds()
		cost += load * prefillShare * float64(w.ask.Prompt) * c.set.PrefillPerToken.Seconds()
	}
	if w.ask.Affinity != 0 && u != home {
		cost += float64(w.ask.Shared) * c.set.PrefillPerToken.Seconds()
	}
	cost += c.rng.Float64() * c.set.Spread.Seconds()
	if u.state.Zone != c.zone {
		cost += c.set.OtherZone.Seconds()
	}
	return cost
}

// home is the upstream that keeps the shared part of the prompt, by rendezvous hashing:
// every entry finds the same one without asking.
func (c *Core) home(w *waiter) *upstream {
	if w.ask.Affinity == 0 {
		return nil
	}
	var best *upstream
	var bestHash uint64
	for _, u := range c.order {
		if !c.able(u, w) {
			continue
		}
		h := xxhash.Sum64String(u.state.Id) ^ w.ask.Affinity
		h *= 0x9e3779b97f4a7c15
		h ^= h >> 29
		h *= 0xbf58476d1ce4e5b9
		h ^= h >> 32
		if best == nil || h > bestHash {
			best, bestHash = u, h
		}
	}
	return best
}

// review refuses an ask that can't be served in time; it reports whether it did.
func (c *Core) review(w *waiter) bool {
	left := w.ask.Deadline - c.now
	if c.leaveAt > 0 && c.now >= c.leaveAt {
		c.refuse(w, errkind.Draining, "the entry leaves before an upstream became free", comeBackNow)
		return true
	}
	if left <= w.ask.MinServe {
		c.refuse(w, errkind.DeadlineUnmeetable, "no upstream became free in time", c.comeBack(w))
		return true
	}
	if !c.known(w.ask.Service) && c.now-w.came >= c.set.NoUpstreamWait {
		c.refuse(w, errkind.NoCapacity, "no upstream of the service is known", time.Second)
		return true
	}
	ready, ok := c.waits[modelKey{w.ask.Service, w.ask.Model, ""}]
	if ok && ready-c.now > left-w.ask.MinServe-c.set.WaitSlack {
		c.refuse(w, errkind.DeadlineUnmeetable, "the model is loaded too late for the deadline", c.comeBack(w))
		return true
	}
	return false
}

// comeBackNow sends a caller to another entry at once.
const comeBackNow = 10 * time.Millisecond

func (c *Core) known(service string) bool {
	return slices.ContainsFunc(c.order, func(u *upstream) bool {
		return u.state.Service == service && u.state.Phase != wire.UpstreamPhase_PHASE_DRAINING
	})
}

// comeBack is when a refused caller may find the model loaded.
func (c *Core) comeBack(w *waiter) time.Duration {
	if ready, ok := c.waits[modelKey{w.ask.Service, w.ask.Model, ""}]; ok && ready > c.now {
		return ready - c.now
	}
	return time.Second
}

func (c *Core) refuse(w *waiter, k errkind.Kind, detail string, after time.Duration) {
	c.out = append(c.out, Decision{Ask: w.ask.ID, Kind: k, Detail: detail, RetryAfter: after})
}
