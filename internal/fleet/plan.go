package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// plan orders what the demand asks for. Each runner carries out one order at a time, so
// a plan takes the runners that are free and is made again soon.
func (c *Core) plan() {
	if c.config == nil || c.stopped || c.now < c.nextPlan {
		return
	}
	c.nextPlan = c.now + c.set.PlanInterval + Time(len(c.byID))*c.set.PlanPerRunner
	c.sumDemand()
	var waits []*wire.ModelWait
	for i := range c.config.Services {
		s := &c.config.Services[i]
		if s.Engine == nil {
			continue
		}
		p := c.planner(s)
		p.continueGoals()
		p.loadAdapters()
		p.loadMissing()
		p.addReplicas()
		p.prefetch()
		waits = append(waits, p.waits()...)
	}
	c.publishWaits(waits)
}

// planner plans for the runners of one service.
type planner struct {
	c       *Core
	service string
	engine  *routing.Engine
	models  map[string]*routing.Model
	runners []*upstream // sorted by id
	active  []string    // models with running or waiting requests, sorted
	wanted  []string    // models with waiting requests and no replica, oldest first

	tight  bool                        // a model waits for a replica
	booked map[*upstream]time.Duration // work that wanted models leave to busy runners
	eta    map[string]time.Duration    // of wanted models that wait for a busy runner
	copies map[string]copies           // by model; made anew after each order
}

// copies counts where a model is.
type copies struct {
	ready  int // runners that serve it
	coming int // runners on which it is on its way
	kept   int // runners that hold it or keep its weights
}

func (c *Core) planner(s *routing.Service) *planner {
	p := &planner{c: c, service: s.Name, engine: s.Engine, models: c.index[s.Name],
		booked: map[*upstream]time.Duration{}, eta: map[string]time.Duration{}}
	for _, u := range c.sorted() {
		if u.state.Service == s.Name {
			p.runners = append(p.runners, u)
		}
	}
	for k, st := range c.models {
		if k.service == s.Name && st.waiting+st.running > 0 && p.models[k.model] != nil {
			p.active = append(p.active, k.model)
		}
	}
	slices.Sort(p.active)
	p.count()
	return p
}

// count looks at all runners once: a question for each model and runner would cost the
// product of both.
func (p *planner) count() {
	p.copies = map[string]copies{}
	for _, u := range p.runners {
		for _, list := range [][]string{u.state.InMemory, u.state.OnDisk} {
			for _, name := range list {
				p.add(name, copies{kept: 1})
			}
		}
		for name, h := range u.models {
			ready := 0
			if u.usable() && !h.hidden {
				ready = 1
			}
			p.add(name, copies{ready: ready, kept: 1})
		}
		if name := u.loading(); name != "" && u.usable() && u.models[name] == nil {
			p.add(name, copies{coming: 1, kept: 1})
		}
	}
}

func (p *planner) add(model string, n copies) {
	c := p.copies[model]
	p.copies[model] = copies{c.ready + n.ready, c.coming + n.coming, c.kept + n.kept}
}

// loading is the model that a runner loads or makes room for; empty: none.
func (u *upstream) loading() string {
	if o := u.open(); o != nil && !o.order.Unload && o.order.Adapter == "" {
		return o.order.Model
	}
	return u.goal
}

func (p *planner) stats(model string) *modelStats { return p.c.models[modelKey{p.service, model}] }

// mayOrder reports whether a runner can take an order now.
func (p *planner) mayOrder(u *upstream) bool {
	return u.usable() && u.seqKnown && u.sent == nil && u.doing == nil && p.c.now >= u.pause
}

// tier is where a model's weights lie nearest to a runner.
type tier int

const (
	tierMemory tier = iota
	tierDisk
	tierStore
)

func (p *planner) tier(u *upstream, model string) tier {
	switch {
	case slices.Contains(u.state.InMemory, model):
		return tierMemory
	case slices.Contains(u.state.OnDisk, model):
		return tierDisk
	}
	return tierStore
}

func loadTime(m *routing.Model, t tier) time.Duration {
	switch t {
	case tierMemory:
		return m.WarmTime
	case tierDisk:
		return m.DiskTime
	}
	return m.LoadTime
}

// used is the memory of all that a runner holds, in MB. A model that the configuration
// does not name counts as the largest one.
func (p *planner) used(u *upstream) float64 {
	sum := 0.0
	for name, h := range u.models {
		m := p.models[name]
		if m == nil {
			sum += p.largest()
			continue
		}
		sum += m.WeightsMB + float64(len(h.adapters))*m.AdapterMB
	}
	return sum
}

func (p *planner) largest() float64 {
	most := 0.0
	for i := range p.engine.Models {
		most = max(most, p.engine.Models[i].WeightsMB)
	}
	return most
}

// reserveMB leaves room for a full set of adapters.
func (p *planner) reserveMB() float64 {
	most := 0.0
	for i := range p.engine.Models {
		most = max(most, p.engine.Models[i].AdapterMB)
	}
	return most * float64(p.engine.AdapterSlots)
}

func (p *planner) storeLoads() int {
	n := 0
	for _, u := range p.runners {
		if o := u.open(); o != nil && o.store {
			n++
		}
	}
	return n
}

// storeFree reports whether the weight store may start another load: its rate is a
// limit, and beyond its concurrency every load gets slower.
func (p *planner) storeFree(spare int) bool {
	c := p.c
	first := c.now - c.set.CeilingWindow
	c.storeStarts = slices.DeleteFunc(c.storeStarts, func(t Time) bool { return t < first })
	limit := int(p.engine.LoadsPerS * c.set.CeilingWindow.Seconds())
	return len(c.storeStarts) < limit && p.storeLoads() < c.set.StoreConcurrency-spare
}

// order sends one order and notes what it will change.
func (p *planner) order(u *upstream, o Order) {
	c := p.c
	o.Expected = u.sequence
	sent := &sentOrder{order: o, at: c.now, due: c.now + c.set.OrderSlack}
	h := u.models[o.Model]
	switch {
	case o.Adapter != "" && o.Unload:
		h.adapters[o.Adapter].hidden = true
	case o.Adapter != "":
		h.adapters[o.Adapter] = &heldAdapter{hidden: true, lastUsed: c.now}
	case o.Unload:
		h.hidden = true
	default:
		t := p.tier(u, o.Model)
		sent.store = t == tierStore
		sent.due += loadTime(p.models[o.Model], t)
		if sent.store {
			c.storeStarts = append(c.storeStarts, c.now)
		}
	}
	u.sent = sent
	p.count()
	c.emit(Send{Upstream: u.id(), Born: u.state.BornUnixMs, Address: u.state.Address, Order: o})
	c.publish(u)
}

// continueGoals loads the models that room was made for.
func (p *planner) continueGoals() {
	for _, u := range p.runners {
		if u.goal == "" {
			continue
		}
		if p.c.now >= u.goalTill || !u.usable() || u.models[u.goal] != nil {
			u.goal = ""
			continue
		}
		if p.mayOrder(u) {
			p.makeOrLoad(u, p.models[u.goal], "room was made")
		}
	}
}

// goalTime bounds how long a runner is kept for one model: longer than an unload that
// waits for the requests that run.
const goalTime = 8 * time.Second

// makeOrLoad loads a model, or unloads the cheapest one in its way first.
func (p *planner) makeOrLoad(u *upstream, m *routing.Model, reason string) {
	if m == nil {
		u.goal = ""
		return
	}
	if p.fits(u, m, 0) {
		u.goal = ""
		p.order(u, Order{Model: m.Name, Reason: reason})
		return
	}
	victims, _ := p.victims(u, m)
	if len(victims) == 0 {
		u.goal = ""
		return
	}
	u.goal, u.goalTill = m.Name, p.c.now+goalTime
	p.order(u, Order{Unload: true, Model: victims[0], Reason: "makes room for " + m.Name})
}

func (p *planner) fits(u *upstream, m *routing.Model, freed float64) bool {
	adapters := 0.0
	for name, h := range u.models {
		if held := p.models[name]; held != nil {
			adapters += float64(len(h.adapters)) * held.AdapterMB
		}
	}
	reserve := max(0, p.reserveMB()-adapters)
	return p.used(u)-freed+m.WeightsMB+reserve <= p.engine.WeightsMB
}

const (
	// busyCost is the cost, in seconds, of unloading a model whose requests must end first:
	// about the length of a stream; runningShare is what each of them adds.
	busyCost     = 1.5
	runningShare = 0.05
	// spareFrom is the number of requests for each remaining replica up to which the loss
	// of one costs nothing, spareCost what each one beyond costs, in seconds: below ten
	// requests on a runner hardly any stream pauses for too long.
	spareFrom = 5.0
	spareCost = 0.5
	// unusedSpare keeps several copies of a model that nobody has asked for yet: whoever
	// placed them expected it to be busy.
	unusedSpare = 1.0
)

// keepValue is what the loss of a runner's copy of a model would cost, in seconds of
// waiting that requests would meet; infinite where it must stay.
func (p *planner) keepValue(u *upstream, model string) float64 {
	h := u.models[model]
	if h.hidden {
		return math.Inf(1)
	}
	value := 0.0
	if h.running > 0 {
		value += busyCost + runningShare*float64(h.running)
	}
	m, st := p.models[model], p.stats(model)
	if m == nil {
		return value
	}
	if st == nil {
		if p.copies[model].ready > 1 {
			value += unusedSpare
		}
		return value
	}
	st.decay(p.c.now, p.c.set)
	ready := p.copies[model].ready
	if ready > 1 {
		return value + p.spareValue(st, ready)
	}
	if st.waiting > 0 {
		return math.Inf(1)
	}
	again := m.DiskTime
	if p.tier(u, model) == tierStore {
		again = m.LoadTime
	}
	value += st.rate * again.Seconds()
	if st.used && p.c.now-st.lastUsed < p.c.set.RecentUse {
		value++
	}
	return value
}

// spareValue is the worth of one of several replicas: what the others would have to
// take over.
func (p *planner) spareValue(st *modelStats, ready int) float64 {
	left := float64(st.running+st.waiting) / float64(ready-1)
	return spareCost * max(0, left-spareFrom)
}

// victims returns the models to unload for m, cheapest first, and what their loss
// costs; none where that is not possible.
func (p *planner) victims(u *upstream, m *routing.Model) ([]string, float64) {
	type candidate struct {
		name  string
		value float64
	}
	var list []candidate
	for name := range u.models {
		if v := p.keepValue(u, name); !math.IsInf(v, 1) {
			list = append(list, candidate{name, v})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.value, b.value), strings.Compare(a.name, b.name))
	})
	var names []string
	freed, cost := 0.0, 0.0
	for _, v := range list {
		names = append(names, v.name)
		cost += v.value
		if held := p.models[v.name]; held != nil {
			freed += held.WeightsMB
		} else {
			freed += p.largest()
		}
		if p.fits(u, m, freed) {
			return names, cost
		}
	}
	return nil, 0
}

// choice is a runner for a load and what it costs, in seconds.
type choice struct {
	u    *upstream
	cost float64
	free bool // the runner takes an order now
}

// freeIn estimates when a runner takes its next order.
func (p *planner) freeIn(u *upstream) time.Duration {
	wait := p.booked[u]
	if o := u.open(); o != nil {
		wait += max(0, o.due-p.c.now)
	}
	if m := p.models[u.goal]; m != nil {
		wait += loadTime(m, p.tier(u, u.goal))
	}
	if !u.seqKnown || p.c.now < u.pause {
		wait += p.c.set.ReadRetry
	}
	return wait
}

// runningCost is the cost, in seconds, of each request that runs on a runner already: a
// model that joins it shares its batch.
const runningCost = 0.15

// choose returns the runner on which a model costs least. It may be one that is busy: a
// short wait for a runner that keeps the weights on its disk beats a load from the
// store on another one.
func (p *planner) choose(m *routing.Model, storeSpare int) (choice, bool) {
	best, found := choice{}, false
	storeFree := p.storeFree(storeSpare)
	for _, u := range p.runners {
		if !u.usable() || u.models[m.Name] != nil {
			continue
		}
		t := p.tier(u, m.Name)
		if t == tierStore && !storeFree {
			continue
		}
		free := p.mayOrder(u) && u.goal == "" && p.booked[u] == 0
		cost := loadTime(m, t).Seconds() + p.freeIn(u).Seconds() + runningCost*float64(u.running)
		if free && !p.fits(u, m, 0) {
			names, value := p.victims(u, m)
			if len(names) == 0 {
				continue
			}
			cost += value
		}
		if t == tierStore {
			// Copies that are spread let swaps run side by side later.
			cost += 0.02 * float64(len(u.state.OnDisk))
		}
		if !found || cost < best.cost {
			best, found = choice{u, cost, free}, true
		}
	}
	return best, found
}

// loadMissing loads the models that requests wait for and no runner holds, the longest
// waiting first.
func (p *planner) loadMissing() {
	for _, name := range p.active {
		if p.stats(name).waiting > 0 && p.copies[name].ready == 0 {
			p.wanted = append(p.wanted, name)
		}
	}
	slices.SortFunc(p.wanted, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.stats(a).oldest, p.stats(b).oldest), strings.Compare(a, b))
	})
	for _, name := range p.wanted {
		if p.copies[name].coming > 0 {
			continue
		}
		m := p.models[name]
		ch, ok := p.choose(m, 0)
		switch {
		case !ok:
		case ch.free:
			p.makeOrLoad(ch.u, m, "requests wait and no runner holds it")
		default:
			p.eta[name] = time.Duration(ch.cost * float64(time.Second))
			p.booked[ch.u] += loadTime(m, p.tier(ch.u, name))
		}
	}
}

const (
	// maxScaleCost is the highest cost, in seconds, of a replica that its model could do
	// without; above storeScaleFrom requests on each of its runners streams pause for too
	// long, and a load from the store is worth it.
	maxScaleCost   = 3.0
	storeScaleFrom = 6
	// maxComing bounds the replicas of one model that are on their way.
	maxComing = 2
)

// addReplicas adds a replica to models whose runners all have more work than requests
// bear, the busiest first. What counts is the runner's work, as all its models share one
// batch.
func (p *planner) addReplicas() {
	type tight struct {
		name  string
		least int
	}
	var list []tight
	for _, name := range p.active {
		least, ready := p.leastWork(name)
		if ready > 0 && least > p.c.set.RequestsPerReplica && p.copies[name].coming < maxComing &&
			p.c.now-p.stats(name).scaled >= p.c.set.ScaleInterval {
			list = append(list, tight{name, least})
		}
	}
	slices.SortStableFunc(list, func(a, b tight) int { return b.least - a.least })
	for _, t := range list {
		p.addReplica(t.name, t.least)
	}
}

func (p *planner) addReplica(name string, least int) {
	ch, ok := p.choose(p.models[name], 1)
	if !ok || !ch.free {
		// No runner or no place at the store: prefetching would take the next one.
		p.tight = true
		return
	}
	if ch.u.running+replicaGain > least || ch.cost > maxScaleCost && least < storeScaleFrom {
		return
	}
	p.stats(name).scaled = p.c.now
	p.makeOrLoad(ch.u, p.models[name], "its runners have more work than requests bear")
}

// replicaGain is how much less work a runner must have to take another replica.
const replicaGain = 3

// leastWork returns the running requests of the least busy runner that holds a model, and
// how many hold it.
func (p *planner) leastWork(model string) (least, ready int) {
	for _, u := range p.runners {
		if h := u.models[model]; h != nil && !h.hidden && u.usable() {
			if ready == 0 || u.running < least {
				least = u.running
			}
			ready++
		}
	}
	return least, ready
}

// maxPrefetchLoss is the highest cost, in seconds, of what a prefetch evicts: a copy
// that nobody has used of late and that its runner's disk keeps.
const maxPrefetchLoss = 0.5

// prefetch loads models that lie on no runner, while the store has room: a first request
// then meets a load from a disk. After them come further copies of busy models, so that a
// crest can be spread without a load from the store.
func (p *planner) prefetch() {
	if !p.c.set.Prefetch || p.tight {
		return
	}
	spare := 1
	if len(p.wanted)+len(p.active) > 0 {
		spare = 2
	}
	for _, few := range []func(*routing.Model) bool{p.isNowhere, p.isBusyOnFew} {
		for i := range p.engine.Models {
			if !p.storeFree(spare) {
				return
			}
			if m := &p.engine.Models[i]; few(m) && !p.prefetchOne(m, spare) {
				return
			}
		}
	}
}

// prefetchOne loads a model where that costs little; it reports whether other models may
// be tried.
func (p *planner) prefetchOne(m *routing.Model, spare int) bool {
	ch, ok := p.choose(m, spare)
	if !ok || !ch.free {
		return false
	}
	if ch.cost-m.LoadTime.Seconds() <= maxPrefetchLoss {
		p.makeOrLoad(ch.u, m, "few runners have its weights")
	}
	return true
}

func (p *planner) isNowhere(m *routing.Model) bool { return p.copies[m.Name].kept == 0 }

const (
	// busyCopies is the number of runners that shall keep the weights of a busy model: half
	// of a small deployment's.
	busyCopies = 4
	// busyRate is the rate, in requests a second, from which a model counts as busy.
	busyRate = 0.5
)

// isBusyOnFew reports whether a model is busy, or was placed on several runners by whoever
// expected that, and few of them keep its weights.
func (p *planner) isBusyOnFew(m *routing.Model) bool {
	n := p.copies[m.Name]
	if n.kept >= min(busyCopies, len(p.runners)) || n.coming > 0 {
		return false
	}
	st := p.stats(m.Name)
	if st == nil {
		return n.ready > 1
	}
	st.decay(p.c.now, p.c.set)
	return st.rate >= busyRate
}

// waits estimates when the wanted models will be loaded.
func (p *planner) waits() []*wire.ModelWait {
	var out []*wire.ModelWait
	queued := 0
	for _, name := range p.wanted {
		left, known := p.comingIn(name)
		if !known {
			left, known = p.eta[name]
		}
		if !known { // every runner is taken, or the store is
			queued++
			rounds := time.Duration(1 + queued/max(1, p.c.set.StoreConcurrency))
			left = p.models[name].LoadTime * rounds
		}
		out = append(out, &wire.ModelWait{Service: p.service, Model: name, ReadyInMs: uint32(left.Milliseconds())})
	}
	return out
}

func (p *planner) comingIn(model string) (time.Duration, bool) {
	for _, u := range p.runners {
		if o := u.open(); o != nil && !o.order.Unload && o.order.Model == model && o.order.Adapter == "" {
			return max(0, o.due-p.c.now), true
		}
		if u.goal == model {
			return loadTime(p.models[model], p.tier(u, model)) + p.c.set.OrderSlack, true
		}
	}
	return 0, false
}

// waitStep is the change of an estimate that is worth telling.
const waitStep = time.Second

// publishWaits tells entries of changed estimates. They count down by themselves.
func (c *Core) publishWaits(waits []*wire.ModelWait) {
	next := make(map[modelKey]Time, len(waits))
	changed := len(waits) != len(c.lastWaits)
	for _, w := range waits {
		k := modelKey{w.Service, w.Model}
		at := c.now + Time(w.ReadyInMs)*1e6
		old, known := c.lastWaits[k]
		if known && (at-old).Abs() < waitStep {
			at = old
		} else {
			changed = true
		}
		next[k] = at
	}
	if !changed {
		return
	}
	c.lastWaits = next
	c.emit(PublishWaits{waits})
}
