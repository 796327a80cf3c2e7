package fleet

import (
	"slices"

	"gentiankeel/internal/routing"
)

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
		if u.serving(model) != nil {
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
