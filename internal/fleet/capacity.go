package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/routing"
)

const (
	// manySlots is the number of slots above which replicas are wanted by capacity. The rules for
	// fewer slots count requests, by numbers that were measured with 12 and 16 slots.
	manySlots = 16
	// carryShare is the share of a runner's slots that can be in use within the latency targets. A runner with 64 slots
	// keeps its targets with 8 to 10 requests a second of 2.2 s each, about 19 at once; one with 12 to
	// 16 slots with 4 to 5.
	carryShare = 0.3
	// minCarryShare is the share of that which a model gets on a runner that others fill.
	minCarryShare = 0.25
	// replicaShare is the share of a runner's capacity that a further replica is expected to add, beside the
	// other models there.
	replicaShare = 0.8
	// demandHeadroom covers the swing of demand, 27 in 100 within 11 s, which is the time of a load.
	demandHeadroom = 1.25
	// minNeed and minStoreNeed are the shares of a runner's capacity that must be missing for a
	// load from disk or memory, and for one from the store, which others have to wait for.
	minNeed      = 0.15
	minStoreNeed = 0.5
	// busyShare is the share of its capacity that a model must use for its waiting requests to count.
	busyShare = 0.5
	// maxReplicaLoad is the share of its capacity in use up to which a runner gets a further replica.
	maxReplicaLoad = 0.6
	// valueHorizon is the time over which the requests are counted that a load serves.
	valueHorizon = 15 * time.Second
	// missingValue is the value of a request that no runner can serve, relative to one that waits for a
	// place: the second may be served without the load.
	missingValue = 5.0
	// waitShare is the load time at which all waiting requests still count for the value of a load. Of those
	// that wait for a longer one some have gone when it ends.
	waitShare = 4 * time.Second
)

// residence estimates how long requests of a service run, over all models.
type residence struct {
	running float64 // requests times seconds, decayed
	begun   float64 // requests that began to run, decayed
	updated Time
}

// defaultResidence is assumed until minBegun requests have begun. The estimate is too low until those of the
// first seconds have ended, so that these don't look like many.
const (
	defaultResidence = 1.5
	minBegun         = 10
)

// advance adds the running requests since the last update.
func (r *residence) advance(now Time, running int, halfLife time.Duration) {
	if now <= r.updated {
		return
	}
	span := now - r.updated
	factor := math.Exp2(-float64(span) / float64(halfLife))
	r.running = float64(r.running*factor) + float64(float64(running)*span.Seconds())
	r.begun *= factor
	r.updated = now
}

// seconds returns the estimate.
func (r *residence) seconds() float64 {
	if r.begun < minBegun {
		return defaultResidence
	}
	return min(20, r.running/r.begun)
}

// Products are converted before they are added, so that arm64 does not fuse them and decides like amd64.

// usesCapacity reports whether replicas of a service's models are wanted by capacity.
func usesCapacity(e *routing.Engine) bool { return e.Slots > manySlots }

// carry returns how many requests a runner of the engine runs at once within the latency targets.
func carry(e *routing.Engine) float64 { return max(1, carryShare*float64(e.Slots)) }

// demandOf returns the number of requests of a model that run at once if none has to wait, at least those
// that are there.
func (p *planner) demandOf(st *modelStats) float64 {
	return max(float64(st.running+st.waiting), p.flowOf(st))
}

// flowOf returns the number of requests of a model that run at once by Little's law: arrivals times residence.
func (p *planner) flowOf(st *modelStats) float64 {
	st.decay(p.c.now, p.c.settings)
	// In the first seconds of traffic the decayed rates know only part of the time that they average over.
	return max(st.rate/p.knownShare, st.fastRate/p.knownFastShare) * p.residence
}

// minRateTime is the shortest time over which a rate is averaged.
const minRateTime = 500 * time.Millisecond

// knownShare returns the weight of the last known seconds in a decayed rate.
func knownShare(known, halfLife time.Duration) float64 {
	return 1 - math.Exp2(-float64(known)/float64(halfLife))
}

const (
	// demandUnclear is the time of traffic in which the store waits for the models that need it most, if
	// requests come for unclearModels models or more: each of its few places is taken for the time of a load.
	demandUnclear = 1500 * time.Millisecond
	unclearModels = 8
)

// isDemandUnclear reports whether traffic has just begun and the store has few places.
func (p *planner) isDemandUnclear() bool {
	return p.carry > 0 && p.storeTime > shortLoad && p.c.now-p.c.firstDemand < demandUnclear && len(p.active) >= unclearModels
}

// capacityOf returns how many requests of a model its runners bear at once beside those of other models,
// with the replicas that are being loaded.
func (p *planner) capacityOf(model string) float64 {
	whole, sum := p.carry, 0.0
	for _, r := range p.holders[model] {
		if h := r.serving(model); h != nil && p.takes(r, model) {
			sum += max(minCarryShare*whole, whole-float64(r.running-h.running))
		}
	}
	return sum + float64(replicaShare*whole*float64(p.copies[model].loading))
}

// want is a model that is worth a load.
type want struct {
	name    string
	missing bool    // no runner serves it
	demand  float64 // requests that would run at once
	borne   float64 // those that its runners bear
	value   float64 // requests served within valueHorizon, by urgency
}

// replicas returns how many replicas are missing.
func (w *want) replicas(carry float64) int {
	return int(math.Ceil((float64(w.demand*demandHeadroom) - w.borne) / (replicaShare * carry)))
}

// wants returns the models that are worth a load, the most valuable first, and notes those that are missing.
func (p *planner) wants() []want {
	var out []want
	for _, name := range p.active {
		st, n := p.stats(name), p.copies[name]
		if n.ready == 0 {
			if st.waiting == 0 {
				continue
			}
			p.missing = append(p.missing, name)
			if n.loading == 0 {
				out = append(out, want{name: name, missing: true, value: p.missingValue(name, st)})
				continue
			}
		}
		w := want{name: name, demand: p.demandOf(st), borne: p.capacityOf(name)}
		if float64(st.running) < busyShare*w.borne {
			// Requests that wait beside runners with room are yet to be placed by their entries.
			w.demand = max(float64(st.running), p.flowOf(st))
		}
		if short := float64(w.demand*demandHeadroom) - w.borne; short > minNeed*p.carry {
			w.value = min(short, replicaShare*p.carry) / p.residence * valueHorizon.Seconds()
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b want) int {
		return cmp.Or(cmp.Compare(b.value, a.value), strings.Compare(a.name, b.name))
	})
	return out
}

// missingValue returns the value of loading a model that no runner serves.
func (p *planner) missingValue(name string, st *modelStats) float64 {
	st.decay(p.c.now, p.c.settings)
	load := p.models[name].DiskLoadTime
	if p.copies[name].withWeights == 0 {
		load = p.models[name].StoreLoadTime
	}
	inTime := min(1, float64(waitShare)/float64(max(1, load)))
	return missingValue * (float64(float64(st.waiting)*inTime) + float64(st.rate*valueHorizon.Seconds()))
}

// noStore, as the number of loads to leave free, excludes the store.
const noStore = math.MaxInt32

// loadByValue loads missing models and further replicas of those that have more requests than their runners bear,
// the most valuable load first.
func (p *planner) loadByValue() {
	list := p.wants()
	p.sortMissing()
	for i := range list {
		if w := &list[i]; w.missing {
			p.loadMissingModel(w.name)
		} else {
			p.loadReplicas(w)
		}
	}
}

// loadReplicas loads the replicas that a model needs, several at once if need be.
func (p *planner) loadReplicas(w *want) {
	p.scaling = true
	defer func() { p.scaling = false }()
	m := p.models[w.name]
	reason := fmt.Sprintf("%.0f requests at once, its runners bear %.0f", w.demand, w.borne)
	for range w.replicas(p.carry) {
		reserved := noStore
		if p.mayScaleFromStore(w) {
			reserved = 0
		}
		chosen, ok := p.chooseRunner(m, reserved)
		if !ok {
			p.scalingBlocked = true // a prefetch would take the next place that is free
			return
		}
		if !chosen.free {
			p.scalingBlocked = true
			chosen.r.reserved += loadTime(m, p.tier(chosen.r, m.Name))
			continue
		}
		p.loadReplica(chosen.r, m, reason)
		w.borne += float64(replicaShare * p.carry)
	}
}

// maxReplicaStreak is the number of loads from the store in a row for further replicas while missing models
// wait for it. Rare models would otherwise wait as long as any busy model grows.
const maxReplicaStreak = 2

// mayScaleFromStore reports whether the store may load a further replica of a model: if it clearly lacks
// capacity, and missing models had their turn.
func (p *planner) mayScaleFromStore(w *want) bool {
	if w.demand-w.borne < minStoreNeed*p.carry {
		return false
	}
	return p.store.replicaStreak < maxReplicaStreak || !p.waitsForStore()
}

// waitsForStore reports whether a missing model is on no runner's disk and not being loaded.
func (p *planner) waitsForStore() bool {
	return slices.ContainsFunc(p.missing, func(name string) bool { return p.copies[name].withWeights == 0 })
}

// spareCapacityCost returns the cost of unloading one of several replicas: the requests that the others
// would not bear.
func (p *planner) spareCapacityCost(st *modelStats, ready int) float64 {
	return spareRequestCost * max(0, p.demandOf(st)-float64(replicaShare*p.carry*float64(ready-1)))
}

const (
	// onlyCopyCost and onlyWeightsCost are the costs, in seconds, of unloading the only replica of a model
	// without requests so far: its next request has to wait for a load from disk or, if its weights are not there,
	// from the store. Copies of models that turned out not to be busy are unloaded before these.
	onlyCopyCost    = 0.3
	onlyWeightsCost = 2.0
	// demandKnownAfter is the time of traffic after which a model without requests is taken for an idle one.
	demandKnownAfter = 5 * time.Second
)

// unusedCost returns the cost of unloading a replica of a model that had no requests so far.
func (p *planner) unusedCost(r *runner, model string) float64 {
	ready := p.copies[model].ready
	switch {
	case ready > 1 && p.carry > 0 && p.c.firstDemand > 0 && p.c.now-p.c.firstDemand >= demandKnownAfter:
		return 0
	case ready > 1:
		return unusedCopyCost
	case p.carry == 0:
		return 0
	case p.tier(r, model) == tierStore:
		return onlyWeightsCost
	}
	return onlyCopyCost
}

// Summary is what the last plan found for a service.
type Summary struct {
	WantedReplicas   int // of the models with requests, by what a runner bears at once
	HeldReplicas     int // of the same models
	StoreConcurrency int // loads from the weight store at once that are taken for full speed
}

// Summaries returns what the last plan found, by service.
func (c *Core) Summaries() map[string]Summary { return c.summaries }

// summaryInterval is the shortest time between two summaries, which metrics show.
const summaryInterval = 500 * time.Millisecond

// summarize notes what the plan found.
func (p *planner) summarize() {
	s := Summary{StoreConcurrency: p.c.boundedByStore(p.store.settled(p.storeTime))}
	borne := carry(p.engine)
	for _, name := range p.active {
		s.WantedReplicas += max(1, int(math.Ceil(p.demandOf(p.stats(name))*demandHeadroom/borne)))
		s.HeldReplicas += p.copies[name].ready
	}
	p.c.summaries[p.service] = s
}
