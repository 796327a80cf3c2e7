package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// plan orders loads and unloads to meet the demand. Each runner executes one order at a
// time, so a plan uses the runners that are free now, and further plans follow soon.
func (c *Core) plan() {
	if c.config == nil || c.fenced || c.held || c.now < c.nextPlan {
		return
	}
	c.nextPlan = c.now + c.settings.PlanInterval + Time(len(c.byID))*c.settings.PlanIntervalPerUpstream
	c.aggregateDemand()
	var waitEstimates []*wire.ModelWait
	summarize := !c.behind && c.now >= c.nextSummary
	if summarize {
		c.nextSummary = c.now + summaryInterval
	}
	for i := range c.config.Services {
		s := &c.config.Services[i]
		if s.Engine == nil {
			continue
		}
		p := c.newPlanner(s)
		p.continueTargets()
		p.loadAdapters()
		if usesCapacity(s.Engine) {
			p.loadByValue()
		} else {
			p.findMissing()
			p.addUrgentReplicas()
			p.loadMissing()
			p.addReplicas()
		}
		if c.behind {
			continue
		}
		if summarize {
			p.summarize()
		}
		p.prefetch()
		waitEstimates = append(waitEstimates, p.waitEstimates()...)
	}
	if !c.behind {
		c.publishWaits(waitEstimates)
	}
}

// planner computes one plan for the runners of one service. What it looks up for a model is indexed
// by model, and what it knows of a runner is computed once, so that a plan costs neither the product
// of models and runners nor that of runners and the models of the configuration.
type planner struct {
	c       *Core
	service string
	engine  *routing.Engine
	models  map[string]*routing.Model // of the engine, by name
	runners []*runner                 // sorted by id
	active  []string                  // models with running or waiting requests, sorted
	missing []string                  // models with waiting requests and no replica, longest waiting first

	scalingBlocked bool                       // a busy model found no runner or store capacity for a replica
	eta            map[string]time.Duration   // time until each of these models is loaded
	copies         map[string]copies          // by model
	holders        map[string][]*runner       // runners that hold a model or its adapters, by model
	weights        map[string][]placedWeights // runners with a model's weights in memory or on disk, by model
	storeLoads     int                        // loads from the store that are open, or that room is being made for
	prefetchLoads  int                        // those of them that no request waited for
	storePending   int                        // those of them that room is being made for and that have not begun
	store          *storeLearner
	storeTime      time.Duration // of the longest load from the store
	storeLimit     int           // loads from the store that may be open at once
	unread         bool          // runners may be loading what an earlier coordinator ordered
	scaling        bool          // loads are ordered for further replicas
	carry          float64       // requests that a runner bears at once; 0: replicas are not wanted by capacity
	residence      float64       // seconds that a request runs
	knownShare     float64       // weight of the time of traffic in a decayed rate
	knownFastShare float64       // the same in a decayed fast rate
	prefetching    bool          // loads are ordered that no request waits for
	searches       int           // searches of all runners for a load from the store

	adapterReserveMB float64 // memory of adapters in all slots of a runner, each as large as the largest one
	largestWeightsMB float64
}

// copies counts the runners that have a model.
type copies struct {
	ready       int // runners that serve it
	loading     int // runners that are loading it or making room for it
	withWeights int // runners that hold it or have its weights in memory or on disk
}

// placedWeights are a model's weights in a runner's memory or on its disk.
type placedWeights struct {
	on   *runner
	tier tier
}

// runner is an upstream that loads models, with what a plan has found out about it.
type runner struct {
	*upstream
	quiet    bool                 // it wants no requests
	limit    *ratelimit.Statement // nil: it takes any number of requests
	reserved time.Duration        // load times of missing models that wait for it

	memoryKnown bool // usedMB and adaptersMB are valid
	usedMB      float64
	adaptersMB  float64

	victimsKnown bool // victims is valid
	victims      []victim
}

// victim is a model that may be unloaded.
type victim struct {
	name string
	cost float64 // seconds
}

func (c *Core) newPlanner(s *routing.Service) *planner {
	p := &planner{c: c, service: s.Name, engine: s.Engine, models: c.modelIndex[s.Name],
		eta: map[string]time.Duration{}, copies: map[string]copies{}, holders: map[string][]*runner{}, weights: map[string][]placedWeights{}}
	largestAdapterMB := 0.0
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		p.storeTime = max(p.storeTime, m.StoreLoadTime)
		p.largestWeightsMB, largestAdapterMB = max(p.largestWeightsMB, m.WeightsMB), max(largestAdapterMB, m.AdapterMB)
	}
	p.store = c.store(s.Name)
	p.storeLimit = c.boundedByStore(p.store.limit(c.now, p.storeTime))
	p.adapterReserveMB = largestAdapterMB * float64(s.Engine.AdapterSlots)
	for _, u := range c.upstreamsByID() {
		if u.state.Service == s.Name {
			r := &runner{upstream: u, quiet: c.isQuiet(u), limit: c.limits.Limit(u.limitKey())}
			p.runners = append(p.runners, r)
			p.unread = p.unread || c.now < reportsSettle && r.isAvailable() && !r.confirmed && r.load == nil
			p.index(r)
		}
	}
	running := 0
	for k, st := range c.models {
		if k.service == s.Name && st.waiting+st.running > 0 && p.models[k.model] != nil {
			running += st.running
			p.active = append(p.active, k.model)
		}
	}
	slices.Sort(p.active)
	e := c.residence(s.Name)
	e.advance(c.now, running, c.settings.RateHalfLife)
	p.residence = e.seconds()
	known := max(minRateTime, c.now-c.firstDemand)
	p.knownShare, p.knownFastShare = knownShare(known, c.settings.RateHalfLife), knownShare(known, c.settings.FastRateHalfLife)
	if c.now-c.firstDemand < demandKnownAfter {
		p.residence = max(p.residence, defaultResidence)
	}
	if usesCapacity(s.Engine) {
		p.carry = carry(s.Engine)
	}
	windowStart := c.now - c.settings.StoreRateWindow
	p.unread = p.unread || c.now < reportsSettle && c.succeeds
	c.storeStarts = slices.DeleteFunc(c.storeStarts, func(t Time) bool { return t < windowStart })
	return p
}

// index adds a runner to the indexes and counts of models.
func (p *planner) index(r *runner) {
	p.indexWeights(r, r.state.InMemory, tierMemory)
	p.indexWeights(r, r.state.OnDisk, tierDisk)
	for name, h := range r.models {
		p.holders[name] = append(p.holders[name], r)
		ready := 0
		if r.isAvailable() && !h.hidden && p.takes(r, name) {
			ready = 1
		}
		p.addCopies(name, copies{ready: ready, withWeights: 1})
	}
	p.countLoading(r, 1)
}

// indexWeights adds the weights in a runner's memory or on its disk. Those in memory come first.
func (p *planner) indexWeights(r *runner, models []string, t tier) {
	for _, name := range models {
		if list := p.weights[name]; len(list) == 0 || list[len(list)-1].on != r {
			p.weights[name] = append(list, placedWeights{r, t})
		}
		p.addCopies(name, copies{withWeights: 1})
	}
}

// countLoading adds n times the load that a runner executes or makes room for to the counts.
func (p *planner) countLoading(r *runner, n int) {
	if name := r.loadingModel(); name != "" && r.isAvailable() && r.models[name] == nil {
		p.addCopies(name, copies{loading: n, withWeights: n})
	}
	forTarget := r.target != "" && p.tier(r, r.target) == tierStore
	if o := r.openOrder(); o != nil && o.fromStore || r.load != nil || forTarget {
		p.storeLoads += n
		if r.load == nil && (o == nil || !o.fromStore) {
			p.storePending += n
		}
		if r.load != nil && r.load.prefetch || r.load == nil && forTarget && r.targetAhead {
			p.prefetchLoads += n
		}
	}
}

func (p *planner) addCopies(model string, n copies) {
	c := p.copies[model]
	p.copies[model] = copies{c.ready + n.ready, c.loading + n.loading, c.withWeights + n.withWeights}
}

// setTarget changes the model that room is being made for on a runner; empty: none.
func (p *planner) setTarget(r *runner, model, reason string) {
	p.countLoading(r, -1)
	r.target, r.targetReason, r.targetAhead, r.targetReplica = model, reason, p.prefetching, p.scaling
	p.countLoading(r, 1)
}

// loadingModel returns the model that a runner loads or makes room for, or "".
func (u *upstream) loadingModel() string {
	if o := u.openOrder(); o != nil && !o.order.Unload && o.order.Adapter == "" {
		return o.order.Model
	}
	return u.target
}

func (p *planner) stats(model string) *modelStats { return p.c.models[modelKey{p.service, model}] }

// isAnswerOverdue reports whether the answer to a runner's open order may be lost.
func (p *planner) isAnswerOverdue(u *upstream) bool {
	return u.sent != nil && p.c.now-u.sent.sentAt >= p.c.settings.AnswerTimeout
}

// canOrder reports whether a runner can take an order now.
func (p *planner) canOrder(r *runner) bool {
	return r.isAvailable() && r.sequenceKnown && r.sent == nil && r.executing == nil && p.c.now >= max(r.pauseUntil, r.quietUntil) &&
		(r.limit == nil || p.c.mayCall(r.upstream))
}

// reportsSettle is the time after the start of a term in which the reports of all runners are awaited before
// a load from the store, since they tell of loads that an earlier coordinator ordered. If there was one, the
// heartbeats of all runners are awaited too.
const reportsSettle = 1500 * time.Millisecond

// storeAvailable reports whether the weight store may start another load while reserved
// of its concurrent loads stay free. Its rate is limited, and beyond its concurrency
// every load becomes slower. A load that room is being made for takes its place already, so
// that no more models are unloaded than the store can replace.
//
// Prefetches must not keep requests waiting: beside them alone one more load may start. It shares the
// store's throughput with them, which is no later for it than to wait for their end.
func (p *planner) storeAvailable(reserved int) bool {
	if p.unread || p.isDemandUnclear() {
		return false
	}
	if len(p.c.storeStarts)+p.storePending >= p.storeRate() {
		return false
	}
	return p.storeLoads < p.storeLimit-reserved || !p.prefetching && reserved == 0 && p.storeLoads == p.prefetchLoads
}

// storeRate returns how many loads from the store may begin within the window: at least one, or models would not be
// loaded at all at a rate of less than one in a window.
func (p *planner) storeRate() int {
	if p.engine.StoreLoadsPerSecond <= 0 {
		return 0
	}
	rate := max(1, int(p.engine.StoreLoadsPerSecond*p.c.settings.StoreRateWindow.Seconds()))
	if p.c.succeeds && p.c.now < p.c.settings.StoreRateWindow {
		// An earlier coordinator may have used all of the rate in this window.
		return min(rate, storeRateSlack+rate/storeRateOverage)
	}
	return rate
}

// The store tolerates storeRateSlack loads in a window beyond its rate, and a share of 1/storeRateOverage more.
const (
	storeRateSlack   = 3
	storeRateOverage = 10
)

// order sends an order and records its expected effect.
func (p *planner) order(r *runner, o Order) {
	c := p.c
	p.countLoading(r, -1)
	o.ExpectedSequence = r.sequence
	sent := &sentOrder{order: o, sentAt: c.now, due: c.now + c.settings.OrderSlack}
	h := r.models[o.Model]
	switch {
	case o.Adapter != "" && o.Unload:
		h.adapters[o.Adapter].hidden = true
	case o.Adapter != "":
		h.adapters[o.Adapter] = &heldAdapter{hidden: true, lastUsed: c.now}
	case o.Unload:
		if !h.hidden && r.isAvailable() && p.takes(r, o.Model) {
			p.addCopies(o.Model, copies{ready: -1})
		}
		h.hidden = true
		for _, holder := range p.holders[o.Model] {
			holder.victimsKnown = false // the copies that are left are dearer
		}
	default:
		t := p.tier(r, o.Model)
		sent.fromStore = t == tierStore
		sent.due += loadTime(p.models[o.Model], t)
		if sent.fromStore {
			c.storeStarts = append(c.storeStarts, c.now)
			r.load = p.store.begin(c.now, p.models[o.Model].StoreLoadTime)
			r.load.prefetch = p.prefetching
		}
	}
	r.sent = sent
	r.memoryKnown, r.victimsKnown = false, false
	p.countLoading(r, 1)
	c.limits.Spend(c.now, r.limitKey(), false)
	c.emit(SendOrder{Upstream: r.id(), BornUnixMs: r.state.BornUnixMs, Address: r.state.Address, Order: o})
	c.publish(r.upstream)
}

// continueTargets loads the models that room was made for, and abandons targets that
// have expired or whose runner is unavailable or holds the model already.
func (p *planner) continueTargets() {
	for _, r := range p.runners {
		if r.target == "" {
			continue
		}
		if p.c.now >= r.targetUntil || !r.isAvailable() || r.models[r.target] != nil || p.isLatePrefetch(r) {
			p.setTarget(r, "", "")
			continue
		}
		if p.canOrder(r) {
			p.prefetching, p.scaling = r.targetAhead, r.targetReplica
			p.loadOrEvict(r, p.models[r.target], r.targetReason)
			p.prefetching, p.scaling = false, false
		}
	}
}

// isLatePrefetch reports whether room is being made for a long prefetch although requests have come since.
func (p *planner) isLatePrefetch(r *runner) bool {
	return r.targetAhead && len(p.active) > 0 && p.storeTime > shortLoad && p.tier(r, r.target) == tierStore
}

// targetTTL limits how long a runner is reserved for one model. It is longer than an
// unload that waits for running requests.
const targetTTL = 8 * time.Second

// loadOrEvict loads a model on a runner, or unloads the cheapest victim there and makes
// the model the runner's target. Without a model or victims it clears the target.
func (p *planner) loadOrEvict(r *runner, m *routing.Model, reason string) {
	if m == nil {
		p.setTarget(r, "", "")
		return
	}
	if p.fits(r, m, 0) {
		p.setTarget(r, "", "")
		p.order(r, Order{Model: m.Name, Reason: reason})
		return
	}
	first, _, ok := p.makeRoom(r, m)
	if !ok {
		p.setTarget(r, "", "")
		return
	}
	p.setTarget(r, m.Name, reason)
	r.targetUntil = p.c.now + targetTTL
	p.order(r, Order{Unload: true, Model: first, Reason: "makes room for " + m.Name + ": " + reason})
}

// candidate is a runner for a load and its cost in seconds.
type candidate struct {
	r    *runner
	cost float64
	free bool // the runner can take an order now
}

// timeUntilFree estimates when a runner can take its next order.
func (p *planner) timeUntilFree(r *runner) time.Duration {
	wait := r.reserved
	if o := r.openOrder(); o != nil {
		wait += max(0, o.due-p.c.now)
	}
	if m := p.models[r.target]; m != nil {
		wait += loadTime(m, p.tier(r, r.target))
	}
	if !r.sequenceKnown || p.c.now < max(r.pauseUntil, r.quietUntil) {
		wait += p.c.settings.ReportReadInterval
	}
	return wait
}

// sharedBatchCost is the cost, in seconds, of each request that already runs on a
// runner: a model loaded there shares its batch.
const sharedBatchCost = 0.15

// sharedBatchCost returns sharedBatchCost for the engine: the constant was measured with 16 slots at most.
func (p *planner) sharedBatchCost() float64 {
	return sharedBatchCost * min(1, manySlots/float64(max(1, p.engine.Slots)))
}

// maxSearches bounds the searches of all runners in one plan, which grow with the models that requests
// wait for. Beyond it only runners that have a model's weights are considered.
const maxSearches = 32

// chooseRunner returns the runner on which loading a model costs least; false if there is
// none. A load from the store must leave reserved of its concurrent loads free. The
// runner may be busy: a short wait for one with the weights on its disk can be cheaper
// than a load from the store on a free one.
func (p *planner) chooseRunner(m *routing.Model, reserved int) (candidate, bool) {
	best, found := candidate{}, false
	consider := func(r *runner, t tier) {
		p.c.examined++
		if cand, ok := p.candidate(r, m, t); ok && (!found || cand.cost < best.cost) {
			best, found = cand, true
		}
	}
	placed := p.weights[m.Name]
	if !p.storeAvailable(reserved) || p.searches >= maxSearches {
		for _, w := range placed {
			consider(w.on, w.tier)
		}
		return best, found
	}
	p.searches++
	for _, r := range p.runners {
		t := tierStore
		if len(placed) > 0 && placed[0].on == r { // both are sorted by the runner's id
			t, placed = placed[0].tier, placed[1:]
		}
		consider(r, t)
	}
	return best, found
}

// candidate returns what loading a model on a runner costs; false if the runner can't load it.
func (p *planner) candidate(r *runner, m *routing.Model, t tier) (candidate, bool) {
	if !r.isAvailable() || r.models[m.Name] != nil || !p.takes(r, m.Name) {
		return candidate{}, false
	}
	if p.scaling && p.carry > 0 && float64(r.running) > maxReplicaLoad*p.carry {
		return candidate{}, false
	}
	free := r.target == "" && r.reserved == 0 && p.canOrder(r)
	cost := loadTime(m, t).Seconds() + p.timeUntilFree(r).Seconds() + float64(p.sharedBatchCost()*float64(r.running))
	if free && !p.fits(r, m, 0) {
		_, victimCost, ok := p.makeRoom(r, m)
		if !ok {
			return candidate{}, false
		}
		cost += victimCost
	}
	if t == tierStore {
		// Weights spread over runners allow later swaps to run in parallel.
		cost += float64(0.02 * float64(len(r.state.OnDisk)))
	}
	return candidate{r, cost, free}, true
}

// findMissing finds the models that requests wait for and no runner serves.
func (p *planner) findMissing() {
	for _, name := range p.active {
		if p.stats(name).waiting > 0 && p.copies[name].ready == 0 {
			p.missing = append(p.missing, name)
		}
	}
	p.sortMissing()
}

// loadMissing loads the missing models, the longest waiting first.
func (p *planner) loadMissing() {
	for _, name := range p.missing {
		if p.copies[name].loading == 0 {
			p.loadMissingModel(name)
		}
	}
}

// sortMissing sorts the missing models, the longest waiting first.
func (p *planner) sortMissing() {
	slices.SortFunc(p.missing, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.stats(a).oldest, p.stats(b).oldest), strings.Compare(a, b))
	})
}

// loadMissingModel loads a model that requests wait for on the runner where that costs least, or reserves that
// runner if it is busy.
func (p *planner) loadMissingModel(name string) {
	m := p.models[name]
	chosen, ok := p.chooseRunner(m, 0)
	switch {
	case !ok:
	case chosen.free:
		if p.tier(chosen.r, name) == tierStore {
			p.store.replicaStreak = 0
		}
		p.loadOrEvict(chosen.r, m, "requests wait and no runner holds it")
	default:
		p.eta[name] = time.Duration(chosen.cost * float64(time.Second))
		chosen.r.reserved += loadTime(m, p.tier(chosen.r, name))
	}
}
