package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/pace"
	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// Core assigns requests to upstreams for one entry. It is not safe for concurrent use.
type Core struct {
	settings      Settings
	zone          string
	rng           *rand.Rand
	now           Time
	config        configView
	byID          map[string]*upstream
	byNumber      map[uint32]*upstream   // by the number that the acting coordinator assigned
	upstreams     []*upstream            // sorted by id
	holders       map[string][]*upstream // those that hold a model, sorted by id, by its name
	waiting       []*waiter              // sorted by priority, then deadline
	running       map[uint64]*attempt
	stats         map[modelKey]*modelStats
	servings      map[modelKey]*servings // by service, and by service and model
	shares        map[string]*share      // by organisation
	software      fleetSoftware
	modelReadyAt  map[modelKey]Time // when a model is expected to be loaded
	drainDeadline Time              // no request waits past it; 0: the entry is not draining
	decisions     []Decision
	ended         []uint64    // attempts whose incarnation was replaced
	scratch       []*upstream // reused by candidates
	limits        limits
	engines       map[string]*pace.Engine // what was learned of the engines, by service
	lengths       map[lengthKey]*pace.Length
	nextPaces     Time        // earliest next call of TakePaces that returns any
	inheritedAt   Time        // when the last snapshot came; 0: no factor of speed is older than it
	resumedAt     Time        // end of the last suspension of the process
	claimed       []*upstream // upstreams whose prefill is kept for a waiting request
	prefillWaits  uint64
	drawSeed      uint64
	readiness     map[ratelimit.Incarnation]*readiness // what upstreams said in their answers

	loadsInterval time.Duration // time between two updates of other entries' loads
}

type modelKey struct{ service, model, adapter string }

// modelStats counts this entry's requests for a model.
type modelStats struct {
	requested uint32
	running   uint32
	overtaken int // requests that started since the last one whose latency target had passed
}

// upstream is one incarnation of an upstream, as last published, with this entry's load.
type upstream struct {
	state          *wire.UpstreamState
	models         map[string]*wire.HeldModel
	running        int // attempts of this entry
	reservedTokens int // KV cache tokens of this entry's running requests
	otherRunning   int // requests of other entries
	tokenLoad
	speed
	runningByModel map[modelKey]int
	failures       int               // consecutive
	avoidUntil     Time              // used earlier only if there is no other upstream
	refusesUntil   Time              // it has refused a request, so that it is full whatever the loads say
	missingUntil   map[modelKey]Time // when a model that it answered not to hold may be tried again
	limit          *upstreamLimit    // nil: it takes any number of requests
	limitStatedAt  Time              // when an answer to this entry last stated another limit
	isReplaced     bool              // another process serves its address, of which nothing is published yet
}

type attempt struct {
	request SlotRequest
	target  *upstream
	key     modelKey
	ended   bool // its incarnation was replaced
	// bornUnixMs is the start of the process that runs it, as far as is known: that of target unless the process
	// told another one.
	bornUnixMs int64
	events     int // events of its stream so far
	progress
}

type waiter struct {
	request  SlotRequest
	key      modelKey
	queuedAt Time
	admitted bool // permits of limited upstreams are expected in time
	// heldByPrefill is set if an upstream had a free slot, but too many prompt tokens in prefill; heldSince
	// is when that was first so.
	heldByPrefill bool
	heldSince     Time
	yields        yield   // as of the last order
	tag           float64 // start tag in the turns of organisations, as of the last order
	rank          int     // place in the last order, from 1 on; 0: it is new
	decided       bool
}

// New returns a core without upstreams.
func New(o Options) *Core {
	return &Core{
		settings:     o.Settings,
		zone:         o.Zone,
		rng:          rand.New(rand.NewPCG(o.Seed, o.Seed)),
		byID:         map[string]*upstream{},
		byNumber:     map[uint32]*upstream{},
		holders:      map[string][]*upstream{},
		running:      map[uint64]*attempt{},
		stats:        map[modelKey]*modelStats{},
		servings:     map[modelKey]*servings{},
		shares:       map[string]*share{},
		modelReadyAt: map[modelKey]Time{},
		engines:      map[string]*pace.Engine{},
		lengths:      map[lengthKey]*pace.Length{},
		drawSeed:     o.Seed,
		limits:       newLimits(),
		software:     fleetSoftware{lately: streamorigin.NewVersions()},
		readiness:    map[ratelimit.Incarnation]*readiness{},
	}
}

func (c *Core) beginEvent(now Time) {
	c.now = max(c.now, now)
	c.decisions = c.decisions[:0]
}

// SetConfig replaces the configuration.
func (c *Core) SetConfig(now Time, config *routing.Config) []Decision {
	c.beginEvent(now)
	c.config = configView{config}
	c.dispatch()
	return c.decisions
}

// Apply applies an update of the fleet.
func (c *Core) Apply(now Time, up *Update) []Decision {
	c.beginEvent(now)
	if up.Snapshot {
		c.removeUnlisted(up.Upstreams)
		c.resetPermits()
		for _, u := range c.upstreams {
			u.otherRunning = 0 // the loads in the snapshot replace those of an earlier coordinator
			u.clearOthers()
		}
		c.inheritPaces()
	}
	for _, s := range up.Upstreams {
		c.putUpstream(s)
	}
	c.expirePaces()
	c.applySoftware(up)
	c.settleLimits()
	c.applyPermits(up)
	c.applyLoads(up.Loads)
	if up.ReportMs > 0 {
		c.loadsInterval = time.Duration(up.ReportMs) * time.Millisecond
	}
	if up.HasWaits {
		clear(c.modelReadyAt)
		for _, w := range up.Waits {
			c.modelReadyAt[modelKey{w.Service, w.Model, ""}] = c.now + Time(w.ReadyInMs)*1e6
		}
	}
	c.dispatch()
	return c.decisions
}

// removeUnlisted removes the upstreams that a snapshot does not list, and all numbers,
// which belong to the previous coordinator.
func (c *Core) removeUnlisted(list []*wire.UpstreamState) {
	clear(c.byNumber)
	listed := map[string]bool{}
	for _, s := range list {
		listed[s.Id] = true
	}
	for _, u := range slices.Clone(c.upstreams) {
		if !listed[u.state.Id] {
			c.removeUpstream(u)
		}
	}
}

func (c *Core) putUpstream(s *wire.UpstreamState) {
	u := c.byID[s.Id]
	if u != nil && s.BornUnixMs < u.state.BornUnixMs {
		return
	}
	if s.Phase == wire.UpstreamPhase_PHASE_GONE {
		if u != nil {
			c.removeUpstream(u)
		}
		return
	}
	if u != nil && u.state.BornUnixMs != s.BornUnixMs {
		c.removeUpstream(u)
		u = nil
	}
	if u == nil {
		c.endReplaced(s)
		u = &upstream{runningByModel: map[modelKey]int{}, missingUntil: map[modelKey]Time{}, speed: c.newSpeed(s.Service)}
		c.byID[s.Id] = u
		i, _ := slices.BinarySearchFunc(c.upstreams, s.Id, func(o *upstream, id string) int { return strings.Compare(o.state.Id, id) })
		u.state = s
		c.upstreams = slices.Insert(c.upstreams, i, u)
	}
	u.state = s
	u.setPace(s.Pace)
	c.applyLimit(u)
	c.byNumber[s.Number] = u
	c.setModels(u, s.Models)
	clear(u.missingUntil)
}

// setModels replaces the models that an upstream holds.
func (c *Core) setModels(u *upstream, models []*wire.HeldModel) {
	for name := range u.models {
		c.holders[name] = slices.DeleteFunc(c.holders[name], func(o *upstream) bool { return o == u })
		if len(c.holders[name]) == 0 {
			delete(c.holders, name)
		}
	}
	u.models = make(map[string]*wire.HeldModel, len(models))
	for _, m := range models {
		if u.models[m.Name] == nil {
			list := c.holders[m.Name]
			i, _ := slices.BinarySearchFunc(list, u.state.Id, func(o *upstream, id string) int { return strings.Compare(o.state.Id, id) })
			c.holders[m.Name] = slices.Insert(list, i, u)
		}
		u.models[m.Name] = m
	}
}

// endReplaced ends the attempts on older incarnations of an upstream and on those that served
// its address: their VM or process is another one now. The connections of one that lost power
// would stay silent.
func (c *Core) endReplaced(s *wire.UpstreamState) {
	for id, a := range c.running {
		old := a.target.state
		if !a.ended && (old.Id == s.Id || old.Address == s.Address) && a.bornUnixMs < s.BornUnixMs {
			a.ended = true
			c.ended = append(c.ended, id)
		}
	}
}

// TakeEnded returns the ids of the attempts that can get no answer any more since their
// incarnation was replaced, sorted, once each. They still hold their slots.
func (c *Core) TakeEnded() []uint64 {
	ended := c.ended
	c.ended = nil
	slices.Sort(ended)
	return ended
}

func (c *Core) removeUpstream(u *upstream) {
	c.see(u)
	delete(c.byID, u.state.Id)
	if c.byNumber[u.state.Number] == u { // a new coordinator may have reassigned the number
		delete(c.byNumber, u.state.Number)
	}
	delete(c.limits.overridden, u)
	c.setModels(u, nil)
	c.upstreams = slices.DeleteFunc(c.upstreams, func(o *upstream) bool { return o == u })
}

// Upstreams returns the last published state of every upstream, sorted by id.
func (c *Core) Upstreams() []*wire.UpstreamState {
	out := make([]*wire.UpstreamState, 0, len(c.upstreams))
	for _, u := range c.upstreams {
		out = append(out, u.state)
	}
	return out
}

// IsReady reports whether an incarnation is the current one of its upstream and was published as
// ready, which means that it has been heard from in the last seconds.
func (c *Core) IsReady(id string, bornUnixMs int64) bool {
	u := c.byID[id]
	return u != nil && u.state.BornUnixMs == bornUnixMs && u.state.Phase == wire.UpstreamPhase_PHASE_READY
}

// IsLeaving reports whether an upstream has announced that it leaves, or is gone.
func (c *Core) IsLeaving(id string) bool {
	u := c.byID[id]
	return u == nil || c.isLeaving(u)
}

// Submit submits a request for a slot. Its decision is returned by this call or a later
// one, of whichever method.
func (c *Core) Submit(now Time, r SlotRequest) []Decision {
	c.beginEvent(now)
	w := &waiter{request: r, key: modelKey{r.Service, r.Model, r.Adapter}, queuedAt: c.now}
	c.modelStatsFor(w.key).requested++
	if c.mustQueue(w) {
		c.enqueue(w)
		c.dispatch()
		return c.decisions
	}
	if c.refuseIfTooLong(w) || c.tryGrant(w) {
		return c.decisions
	}
	if len(c.waiting) >= c.settings.MaxWaiting {
		c.refuse(w, errkind.QueueFull, "too many requests wait at this entry", time.Second)
		return c.decisions
	}
	if !c.refuseIfUnservable(w, c.waitingBefore(w)) {
		c.enqueue(w)
		if c.refuseNewcomer(w) {
			c.waiting = slices.DeleteFunc(c.waiting, func(o *waiter) bool { return o == w })
		}
	}
	return c.decisions
}

func (c *Core) enqueue(w *waiter) {
	i, _ := slices.BinarySearchFunc(c.waiting, w, compareWaiters)
	c.waiting = slices.Insert(c.waiting, i, w)
}

func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.request.Deadline, b.request.Deadline),
		cmp.Compare(a.request.ID, b.request.ID))
}

func (c *Core) modelStatsFor(k modelKey) *modelStats {
	m := c.stats[k]
	if m == nil {
		m = &modelStats{}
		c.stats[k] = m
	}
	return m
}

// Cancel removes a waiting request. One that has been decided is unaffected.
func (c *Core) Cancel(now Time, id uint64) []Decision {
	c.beginEvent(now)
	c.waiting = slices.DeleteFunc(c.waiting, func(w *waiter) bool { return w.request.ID == id })
	c.clearClaims() // the next dispatch renews those of others
	return c.decisions
}

// Release releases the slot of an attempt, identified by the id of its SlotRequest. An
// unknown id changes nothing.
func (c *Core) Release(now Time, id uint64, o Outcome) []Decision {
	c.beginEvent(now)
	a := c.running[id]
	if a == nil {
		return c.decisions
	}
	delete(c.running, id)
	a.target.running--
	a.target.reservedTokens -= a.request.PromptTokens + a.request.OutputTokens
	a.endPrefill()
	c.learnFromEnd(a, o)
	c.learnResidence(a, o)
	if o == Refused || o == Misdirected || o == Unreachable || o == Unused {
		c.charge(a.request.Organisation, -a.request.tokens())
	}
	if a.target.runningByModel[a.key]--; a.target.runningByModel[a.key] <= 0 {
		delete(a.target.runningByModel, a.key)
	}
	c.modelStatsFor(a.key).running--
	c.recordOutcome(a, o)
	c.dispatch()
	return c.decisions
}

// recordOutcome updates the upstream's failure count and back-off. Unreachable backs off
// at once, Failed and ConnectionLost only from the second consecutive failure on. Refused
// backs off for a quarter of InitialBackoff and is no failure; after Misdirected only the
// model is not tried there for InitialBackoff.
func (c *Core) recordOutcome(a *attempt, o Outcome) {
	u := a.target
	switch o {
	case Served:
		u.failures = 0
		c.noteServed(u)
	case Misdirected:
		u.missingUntil[a.key] = c.now + c.settings.InitialBackoff
	case Refused:
		u.avoidUntil = max(u.avoidUntil, c.now+c.settings.InitialBackoff/4)
		u.refusesUntil = u.avoidUntil
	case Unreachable:
		u.failures++
		backoff := c.settings.InitialBackoff << min(u.failures-1, 8)
		u.avoidUntil = c.now + min(backoff, c.settings.MaxBackoff)
	case Failed, ConnectionLost:
		u.failures++
		if u.failures > 1 {
			u.avoidUntil = c.now + min(c.settings.InitialBackoff<<min(u.failures-2, 8), c.settings.MaxBackoff)
		}
	case Cancelled, Unused:
	}
}

// Drain bounds the wait of all current and later requests: one without an upstream at
// until is refused, while its caller can still use another entry.
func (c *Core) Drain(now, until Time) []Decision {
	c.beginEvent(now)
	c.drainDeadline = until
	c.dispatch()
	return c.decisions
}

// Tick retries waiting requests and refuses those that can't be served in time.
func (c *Core) Tick(now Time) []Decision {
	c.beginEvent(now)
	c.dispatch()
	return c.decisions
}

// Waiting returns the number of requests without a decision.
func (c *Core) Waiting() int { return len(c.waiting) }

// Running returns the number of attempts that hold a slot.
func (c *Core) Running() int { return len(c.running) }

// dispatch grants or refuses waiting requests, in their order.
func (c *Core) dispatch() {
	c.clearClaims()
	if len(c.waiting) == 0 {
		return
	}
	ahead := map[modelKey]int{}
	for _, w := range c.order() {
		if c.refuseIfTooLong(w) || c.tryGrant(w) || c.refuseIfUnservable(w, ahead[w.key]) || c.refuseIfStartsLate(w, ahead[w.key]) {
			w.decided = true
			continue
		}
		ahead[w.key]++
		c.claim(w)
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w *waiter) bool { return w.decided })
}

// tryGrant assigns the request to the cheapest upstream that can take it, and reports
// whether there is one.
func (c *Core) tryGrant(w *waiter) bool {
	u := c.cheapestUpstream(w)
	if u == nil {
		return false
	}
	if u.limit != nil {
		u.limit.Use(c.now)
	}
	c.charge(w.request.Organisation, w.request.tokens())
	f := c.forecast(w)
	predicted := c.predict(u, w, &f, false)
	u.running++
	u.reservedTokens += w.request.PromptTokens + w.request.OutputTokens
	if w.request.Streams {
		u.prefillTokens += w.request.PromptTokens
	}
	tokens := c.tokensInPrefill(u)
	u.runningByModel[w.key]++
	stats := c.modelStatsFor(w.key)
	stats.running++
	if stats.overtaken++; c.isLate(w) {
		stats.overtaken = 0
	}
	c.running[w.request.ID] = &attempt{request: w.request, target: u, key: w.key, bornUnixMs: u.state.BornUnixMs, progress: progress{grantedAt: c.now, tokens: tokens, predicted: predicted}}
	t := &Target{ID: u.state.Id, BornUnixMs: u.state.BornUnixMs, Address: u.state.Address, Zone: u.state.Zone, Software: u.state.Software}
	if w.request.Streams {
		t.ExpectedRun = predicted.end(f.mid)
	}
	if m := u.models[w.request.Model]; m != nil {
		t.ModelVersion = m.Version
	}
	c.decisions = append(c.decisions, Decision{RequestID: w.request.ID, Target: t})
	return true
}

// refuseIfUnservable refuses a waiting request that can't be served in time or, while
// the entry drains, at all. ahead is the number of requests for its model that come before it.
// It reports whether it did.
func (c *Core) refuseIfUnservable(w *waiter, ahead int) bool {
	remaining := w.request.Deadline - c.now
	if c.drainDeadline > 0 && c.now >= c.drainDeadline {
		c.refuse(w, errkind.Draining, "the entry drained before an upstream became free", drainRetryAfter)
		return true
	}
	if remaining <= w.request.MinServeTime {
		c.refuse(w, errkind.DeadlineUnmeetable, "no upstream became free in time", c.retryAfter(w))
		return true
	}
	if c.refuseWithoutPermit(w, ahead) {
		return true
	}
	if end := c.quietEnd(w); end > c.now+remaining-w.request.MinServeTime {
		c.refuse(w, errkind.NoCapacity, "all upstreams asked for a pause", end-c.now)
		return true
	}
	if !c.hasUpstream(w.request.Service) && c.now-w.queuedAt >= c.settings.NoUpstreamWait {
		c.refuse(w, errkind.NoCapacity, "no upstream of the service is known", time.Second)
		return true
	}
	if w.request.NeedsSoftware && !c.hasSoftware(w.request.Service, w.request.Software) {
		c.refuse(w, errkind.NoCapacity, "no upstream runs the software that began the stream", time.Second)
		return true
	}
	if len(w.request.ExcludeSoftware) > 0 && !c.hasOtherSoftware(w.request.Service, w.request.ExcludeSoftware) {
		c.refuse(w, errkind.NoCapacity, "upstreams of the only software version ended when they ran it", time.Second)
		return true
	}
	readyAt, ok := c.modelReadyAt[modelKey{w.request.Service, w.request.Model, ""}]
	if ok && readyAt-c.now > remaining-w.request.MinServeTime-c.settings.DeadlineSlack {
		c.refuse(w, errkind.DeadlineUnmeetable, "the model will not be loaded before the deadline", c.retryAfter(w))
		return true
	}
	if !ok && c.now-w.queuedAt >= c.settings.MaxBlindWait && !c.someCanServe(w) {
		c.refuse(w, errkind.NoCapacity, "no upstream can serve the request, and no coordinator has said when one will", time.Second)
		return true
	}
	return false
}

// someCanServe reports whether an upstream can serve a request, be it full at the moment.
func (c *Core) someCanServe(w *waiter) bool {
	return slices.ContainsFunc(c.possible(w), func(u *upstream) bool { return c.canServe(u, w) })
}

// drainRetryAfter lets a caller retry at another entry at once.
const drainRetryAfter = 10 * time.Millisecond

// retryAfter returns the time until the model is expected to be loaded, or a second if
// that is unknown.
func (c *Core) retryAfter(w *waiter) time.Duration {
	if readyAt, ok := c.modelReadyAt[modelKey{w.request.Service, w.request.Model, ""}]; ok && readyAt > c.now {
		return readyAt - c.now
	}
	return time.Second
}

func (c *Core) refuse(w *waiter, k errkind.Kind, detail string, retryAfter time.Duration) {
	c.decisions = append(c.decisions, Decision{RequestID: w.request.ID, Kind: k, Detail: detail, RetryAfter: retryAfter})
}
