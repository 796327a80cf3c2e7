package fleet

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"gentiankeel/internal/routing"
)

const (
	// maxReplicaCost is the highest cost, in seconds, of adding a replica. From
	// storeScaleRunning requests on each of the model's runners, streams pause for too
	// long and the limit does not apply: a load from the store is then worth it.
	maxReplicaCost    = 3.0
	storeScaleRunning = 6
	// maxReplicasLoading limits the replicas of one model that are being loaded.
	maxReplicasLoading = 2
)

// addReplicas adds a replica to models whose runners all run more than
// RequestsPerReplica requests, the busiest first. All requests on a runner count, as its
// models share one batch.
func (p *planner) addReplicas() {
	type busyModel struct {
		name  string
		least int
	}
	var list []busyModel
	for _, name := range p.active {
		least, ready := p.leastRunning(name)
		if ready > 0 && least > p.c.settings.RequestsPerReplica && p.copies[name].loading < maxReplicasLoading &&
			p.c.now-p.stats(name).lastScaled >= p.c.settings.ScaleInterval {
			list = append(list, busyModel{name, least})
		}
	}
	slices.SortStableFunc(list, func(a, b busyModel) int { return b.least - a.least })
	for _, busy := range list {
		p.addReplica(busy.name, busy.least)
	}
}

// urgentShare is the share of the slots of its runners that a model's requests must take to get a replica before
// missing models: twice the requests from which addReplica takes a load from the store to be worth it.
const urgentShare = 0.75

// addUrgentReplicas adds replicas to models whose requests take more than urgentShare of the slots of their runners
// and of those that are loading them. The rules of addReplicas and the order after all missing models would leave such a model at a fraction of
// its demand for as long as it is the busiest. While missing models wait for the store, they get every second load.
func (p *planner) addUrgentReplicas() {
	p.scaling = true
	defer func() { p.scaling = false }()
	for _, name := range p.active {
		st, n := p.stats(name), p.copies[name]
		slots := urgentShare * float64(p.engine.Slots*(n.ready+n.loading))
		if n.ready == 0 || float64(st.running+st.waiting) <= slots {
			continue
		}
		demand := min(float64(st.running+st.waiting), p.flowOf(st))
		if demand <= slots {
			continue
		}
		if least, _ := p.leastRunning(name); least <= p.c.settings.RequestsPerReplica {
			continue // its requests wait for no other reason than that entries have not placed them yet
		}
		reserved := 0
		if p.store.replicaStreak > 0 && p.waitsForStore() {
			reserved = noStore
		}
		m := p.models[name]
		if chosen, ok := p.chooseRunner(m, reserved); ok && chosen.free {
			p.loadReplica(chosen.r, m, fmt.Sprintf("%.0f requests at once, its runners bear %.0f", demand, slots))
		}
	}
}

// loadReplica loads a further replica of a model on a runner, and counts loads from the store.
func (p *planner) loadReplica(r *runner, m *routing.Model, reason string) {
	if p.tier(r, m.Name) == tierStore {
		p.store.replicaStreak++
	}
	p.loadOrEvict(r, m, reason)
}

// addReplica adds a replica of a model if a runner with clearly fewer requests than
// least, those of the model's least busy runner, can take it at an acceptable cost.
func (p *planner) addReplica(name string, least int) {
	chosen, ok := p.chooseRunner(p.models[name], 1)
	if !ok || !chosen.free {
		// No runner or store capacity is free. A prefetch would take the next that is.
		p.scalingBlocked = true
		return
	}
	if chosen.r.running+minReplicaGain > least || chosen.cost > maxReplicaCost && least < storeScaleRunning {
		return
	}
	p.stats(name).lastScaled = p.c.now
	p.loadOrEvict(chosen.r, p.models[name], "its runners have more work than requests bear")
}

// minReplicaGain is how many requests fewer than the model's least busy runner a runner
// must run to get another replica.
const minReplicaGain = 3

// leastRunning returns the running requests of the least busy runner that serves a
// model, and how many runners serve it.
func (p *planner) leastRunning(model string) (least, ready int) {
	for _, r := range p.holders[model] {
		if r.serving(model) != nil && p.takes(r, model) {
			if ready == 0 || r.running < least {
				least = r.running
			}
			ready++
		}
	}
	return least, ready
}

// maxPrefetchCost is the highest cost, in seconds, of what a prefetch evicts: a copy
// without recent use whose weights stay on its runner's disk.
const maxPrefetchCost = 0.5

// prefetch loads models whose weights are on no runner while the store has capacity to
// spare, so that the first request needs only a load from disk. Further copies of busy
// models follow, so that a peak can be spread without loads from the store.
func (p *planner) prefetch() {
	reserved, ok := p.prefetchReserve()
	if !ok || !p.c.settings.Prefetch || p.scalingBlocked {
		return
	}
	p.prefetching = true
	defer func() { p.prefetching = false }()
	if p.carry > 0 {
		p.prefetchAll(p.busiestPlaced(), p.needsMoreCopies, reserved)
		p.prefetchAll(p.allModels(), p.weightsMissing, reserved)
		return
	}
	p.prefetchAll(p.allModels(), p.weightsMissing, reserved)
	p.prefetchAll(p.allModels(), p.needsMoreCopies, reserved)
}

// allModels yields the models of the configuration.
func (p *planner) allModels() iter.Seq[*routing.Model] {
	return func(yield func(*routing.Model) bool) {
		for i := range p.engine.Models {
			if !yield(&p.engine.Models[i]) {
				return
			}
		}
	}
}

// placedOnMany is the number of runners from which a model's placement says that it will be busy.
const placedOnMany = 3

// busiestPlaced yields the models that are placed on many runners or had requests, those on most runners first.
func (p *planner) busiestPlaced() iter.Seq[*routing.Model] {
	var list []*routing.Model
	for m := range p.allModels() {
		if p.copies[m.Name].ready >= placedOnMany || p.stats(m.Name) != nil {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *routing.Model) int { return p.copies[b.Name].ready - p.copies[a.Name].ready })
	return slices.Values(list)
}

// prefetchAll loads the eligible ones of some models from the store while that leaves reserved of its loads free.
func (p *planner) prefetchAll(models iter.Seq[*routing.Model], eligible func(*routing.Model) bool, reserved int) {
	tooLargeMB := math.Inf(1) // weights from which a model without any copy is known to evict too much
	for m := range models {
		if !p.storeAvailable(reserved) || p.searches >= maxSearches {
			return
		}
		if !eligible(m) || len(p.weights[m.Name]) == 0 && m.WeightsMB >= tooLargeMB {
			continue
		}
		chosen, ok := p.chooseRunner(m, reserved)
		if !ok || !chosen.free {
			return // other models would not find a free runner either
		}
		if chosen.cost-m.StoreLoadTime.Seconds() <= maxPrefetchCost {
			p.loadOrEvict(chosen.r, m, "few runners have its weights")
		} else if len(p.weights[m.Name]) == 0 {
			tooLargeMB = min(tooLargeMB, m.WeightsMB)
		}
	}
}

const (
	// prefetchSettle is the time after the start of a term in which entries attach and report
	// requests that wait.
	prefetchSettle = time.Second
	// prefetchFresh is the time after the start of a term in which prefetches of long loads may begin if there
	// were no requests yet. Later they would still hold the store when the first requests come.
	prefetchFresh = 5 * time.Second
	// prefetchIdle is the time without requests after which the store is at the disposal of prefetches.
	prefetchIdle = time.Minute
)

// prefetchReserve returns how many of the store's concurrent loads prefetches must leave free; false if
// they have to wait.
func (p *planner) prefetchReserve() (reserved int, ok bool) {
	c := p.c
	trial := p.storeLimit - c.boundedByStore(p.store.settled(p.storeTime))
	switch {
	case len(p.missing) > 0 || len(p.active) > 0:
		return 2 + trial, true
	case c.now < prefetchSettle:
		return 0, false
	case c.now-c.lastDemand >= prefetchIdle:
		return 0, true
	case c.lastDemand > 0:
		return 1 + trial, true
	case p.storeTime <= shortLoad:
		// The loads show how many the store serves. It will do others before requests come.
		if p.store.ceiling > 0 || p.storeLimit > maxFirstLoads {
			return 1 + trial, true
		}
		return 0, true
	}
	return trial, c.now < prefetchFresh
}

// weightsMissing reports whether no runner has a model's weights.
func (p *planner) weightsMissing(m *routing.Model) bool { return p.copies[m.Name].withWeights == 0 }

const (
	// busyModelCopies is the number of runners that should have the weights of a busy
	// model: half of a small deployment's.
	busyModelCopies = 4
	// busyModelRate is the request rate, in requests a second, from which a model
	// counts as busy.
	busyModelRate = 0.5
)

// needsMoreCopies reports whether few runners have the weights of a model that is busy
// or, by its placement on several runners, expected to be.
func (p *planner) needsMoreCopies(m *routing.Model) bool {
	n := p.copies[m.Name]
	if p.carry > 0 {
		return p.needsCopiesForDemand(m, n)
	}
	if n.withWeights >= min(busyModelCopies, len(p.runners)) || n.loading > 0 {
		return false
	}
	st := p.stats(m.Name)
	if st == nil {
		return n.ready > 1
	}
	st.decay(p.c.now, p.c.settings)
	return st.rate >= busyModelRate
}

// spareCopies is the number of runners that have the weights of a model beyond the replicas that its demand or, before
// there were requests, its placement wants.
const spareCopies = 1

// needsCopiesForDemand reports whether a model is expected to get more requests than the runners that have its
// weights bear. Another replica is then a load from disk or memory.
func (p *planner) needsCopiesForDemand(m *routing.Model, n copies) bool {
	withWeights := max(n.ready, len(p.weights[m.Name])) // a runner may both hold a model and have it on disk
	if n.loading > 0 || withWeights >= len(p.runners) {
		return false
	}
	st := p.stats(m.Name)
	if st == nil {
		return n.ready >= placedOnMany && withWeights < n.ready+spareCopies
	}
	wanted := int(math.Ceil(p.demandOf(st) * demandHeadroom / p.carry))
	return wanted > 1 && withWeights < wanted+spareCopies
}
