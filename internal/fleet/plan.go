package fleet

import (
	"cmp"
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

// isUnanswered reports whether an order to a runner may be lost.
func (p *planner) isUnanswered(u *upstream) bool {
	return u.sent != nil && p.c.now-u.sent.at >= p.c.set.AnswerPatience
}

// mayOrder reports whether a runner can take an order now.
func (p *planner) mayOrder(u *upstream) bool {
	return u.usable() && u.seqKnown && u.sent == nil && u.doing == nil && p.c.now >= u.pause
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
