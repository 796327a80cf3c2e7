package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// plan orders loads and unloads to meet the demand. Each runner executes one order at a
// time, so a plan uses the runners that are free now, and further plans follow soon.
func (c *Core) plan() {
	if c.config == nil || c.fenced || c.now < c.nextPlan {
		return
	}
	c.nextPlan = c.now + c.settings.PlanInterval + Time(len(c.byID))*c.settings.PlanIntervalPerUpstream
	c.aggregateDemand()
	var waitEstimates []*wire.ModelWait
	for i := range c.config.Services {
		s := &c.config.Services[i]
		if s.Engine == nil {
			continue
		}
		p := c.newPlanner(s)
		p.continueTargets()
		p.loadAdapters()
		p.loadMissing()
		p.addReplicas()
		p.prefetch()
		waitEstimates = append(waitEstimates, p.waitEstimates()...)
	}
	c.publishWaits(waitEstimates)
}

// planner computes one plan for the runners of one service.
type planner struct {
	c       *Core
	service string
	engine  *routing.Engine
	models  map[string]*routing.Model // of the engine, by name
	runners []*upstream               // sorted by id
	active  []string                  // models with running or waiting requests, sorted
	missing []string                  // models with waiting requests and no replica, longest waiting first

	scalingBlocked bool                        // a busy model found no runner or store capacity for a replica
	reservedTime   map[*upstream]time.Duration // load times of missing models that wait for a busy runner
	eta            map[string]time.Duration    // time until each of these models is loaded
	copies         map[string]copies           // by model; recounted after each order
}

// copies counts the runners that have a model.
type copies struct {
	ready       int // runners that serve it
	loading     int // runners that are loading it or making room for it
	withWeights int // runners that hold it or have its weights in memory or on disk
}

func (c *Core) newPlanner(s *routing.Service) *planner {
	p := &planner{c: c, service: s.Name, engine: s.Engine, models: c.modelIndex[s.Name],
		reservedTime: map[*upstream]time.Duration{}, eta: map[string]time.Duration{}}
	for _, u := range c.upstreamsByID() {
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
	p.countCopies()
	return p
}

// countCopies counts the copies of all models in one pass over the runners. Counting
// for each model would cost the product of models and runners.
func (p *planner) countCopies() {
	p.copies = map[string]copies{}
	for _, u := range p.runners {
		for _, list := range [][]string{u.state.InMemory, u.state.OnDisk} {
			for _, name := range list {
				p.addCopies(name, copies{withWeights: 1})
			}
		}
		for name, h := range u.models {
			ready := 0
			if u.isAvailable() && !h.hidden && p.takes(u, name) {
				ready = 1
			}
			p.addCopies(name, copies{ready: ready, withWeights: 1})
		}
		if name := u.loadingModel(); name != "" && u.isAvailable() && u.models[name] == nil {
			p.addCopies(name, copies{loading: 1, withWeights: 1})
		}
	}
}

func (p *planner) addCopies(model string, n copies) {
	c := p.copies[model]
	p.copies[model] = copies{c.ready + n.ready, c.loading + n.loading, c.withWeights + n.withWeights}
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
func (p *planner) canOrder(u *upstream) bool {
	return u.isAvailable() && u.sequenceKnown && u.sent == nil && u.executing == nil && p.c.now >= max(u.pauseUntil, u.quietUntil) && p.c.mayCall(u)
}

// storeLoads returns the number of open orders that load from the weight store.
func (p *planner) storeLoads() int {
	n := 0
	for _, u := range p.runners {
		if o := u.openOrder(); o != nil && o.fromStore {
			n++
		}
	}
	return n
}

// storeAvailable reports whether the weight store may start another load while reserved
// of its concurrent loads stay free. Its rate is limited, and beyond its concurrency
// every load becomes slower.
func (p *planner) storeAvailable(reserved int) bool {
	c := p.c
	windowStart := c.now - c.settings.StoreRateWindow
	c.storeStarts = slices.DeleteFunc(c.storeStarts, func(t Time) bool { return t < windowStart })
	limit := int(p.engine.StoreLoadsPerSecond * c.settings.StoreRateWindow.Seconds())
	return len(c.storeStarts) < limit && p.storeLoads() < c.settings.StoreConcurrency-reserved
}

// order sends an order and records its expected effect.
func (p *planner) order(u *upstream, o Order) {
	c := p.c
	o.ExpectedSequence = u.sequence
	sent := &sentOrder{order: o, sentAt: c.now, due: c.now + c.settings.OrderSlack}
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
		sent.fromStore = t == tierStore
		sent.due += loadTime(p.models[o.Model], t)
		if sent.fromStore {
			c.storeStarts = append(c.storeStarts, c.now)
		}
	}
	u.sent = sent
	c.limits.Spend(c.now, u.limitKey(), false)
	p.countCopies()
	c.emit(SendOrder{Upstream: u.id(), BornUnixMs: u.state.BornUnixMs, Address: u.state.Address, Order: o})
	c.publish(u)
}

// continueTargets loads the models that room was made for, and abandons targets that
// have expired or whose runner is unavailable or holds the model already.
func (p *planner) continueTargets() {
	for _, u := range p.runners {
		if u.target == "" {
			continue
		}
		if p.c.now >= u.targetUntil || !u.isAvailable() || u.models[u.target] != nil {
			u.target = ""
			continue
		}
		if p.canOrder(u) {
			p.loadOrEvict(u, p.models[u.target], "room was made")
		}
	}
}

// targetTTL limits how long a runner is reserved for one model. It is longer than an
// unload that waits for running requests.
const targetTTL = 8 * time.Second

// loadOrEvict loads a model on a runner, or unloads the cheapest victim there and makes
// the model the runner's target. Without a model or victims it clears the target.
func (p *planner) loadOrEvict(u *upstream, m *routing.Model, reason string) {
	if m == nil {
		u.target = ""
		return
	}
	if p.fits(u, m, 0) {
		u.target = ""
		p.order(u, Order{Model: m.Name, Reason: reason})
		return
	}
	victims, _ := p.victims(u, m)
	if len(victims) == 0 {
		u.target = ""
		return
	}
	u.target, u.targetUntil = m.Name, p.c.now+targetTTL
	p.order(u, Order{Unload: true, Model: victims[0], Reason: "makes room for " + m.Name})
}

// candidate is a runner for a load and its cost in seconds.
type candidate struct {
	u    *upstream
	cost float64
	free bool // the runner can take an order now
}

// timeUntilFree estimates when a runner can take its next order.
func (p *planner) timeUntilFree(u *upstream) time.Duration {
	wait := p.reservedTime[u]
	if o := u.openOrder(); o != nil {
		wait += max(0, o.due-p.c.now)
	}
	if m := p.models[u.target]; m != nil {
		wait += loadTime(m, p.tier(u, u.target))
	}
	if !u.sequenceKnown || p.c.now < max(u.pauseUntil, u.quietUntil) {
		wait += p.c.settings.ReportReadInterval
	}
	return wait
}

// sharedBatchCost is the cost, in seconds, of each request that already runs on a
// runner: a model loaded there shares its batch.
const sharedBatchCost = 0.15

// chooseRunner returns the runner on which loading a model costs least; false if there is
// none. A load from the store must leave reserved of its concurrent loads free. The
// runner may be busy: a short wait for one with the weights on its disk can be cheaper
// than a load from the store on a free one.
func (p *planner) chooseRunner(m *routing.Model, reserved int) (candidate, bool) {
	best, found := candidate{}, false
	storeAvailable := p.storeAvailable(reserved)
	for _, u := range p.runners {
		if !u.isAvailable() || u.models[m.Name] != nil || !p.takes(u, m.Name) {
			continue
		}
		t := p.tier(u, m.Name)
		if t == tierStore && !storeAvailable {
			continue
		}
		free := p.canOrder(u) && u.target == "" && p.reservedTime[u] == 0
		cost := loadTime(m, t).Seconds() + p.timeUntilFree(u).Seconds() + sharedBatchCost*float64(u.running)
		if free && !p.fits(u, m, 0) {
			names, victimCost := p.victims(u, m)
			if len(names) == 0 {
				continue
			}
			cost += victimCost
		}
		if t == tierStore {
			// Weights spread over runners allow later swaps to run in parallel.
			cost += 0.02 * float64(len(u.state.OnDisk))
		}
		if !found || cost < best.cost {
			best, found = candidate{u, cost, free}, true
		}
	}
	return best, found
}

// loadMissing loads models that requests wait for and no runner serves, the longest
// waiting first.
func (p *planner) loadMissing() {
	for _, name := range p.active {
		if p.stats(name).waiting > 0 && p.copies[name].ready == 0 {
			p.missing = append(p.missing, name)
		}
	}
	slices.SortFunc(p.missing, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.stats(a).oldest, p.stats(b).oldest), strings.Compare(a, b))
	})
	for _, name := range p.missing {
		if p.copies[name].loading > 0 {
			continue
		}
		m := p.models[name]
		chosen, ok := p.chooseRunner(m, 0)
		switch {
		case !ok:
		case chosen.free:
			p.loadOrEvict(chosen.u, m, "requests wait and no runner holds it")
		default:
			p.eta[name] = time.Duration(chosen.cost * float64(time.Second))
			p.reservedTime[chosen.u] += loadTime(m, p.tier(chosen.u, name))
		}
	}
}
