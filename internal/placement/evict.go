package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gentiankeel/internal/wire"
)

const (
	// needHorizon is how far ahead the likely need of an idle model counts.
	needHorizon = time.Minute
	// Likely need of a model with a learnt interval, by when its next burst is due.
	needDue     = 0.9
	needOverdue = 0.3
	needLater   = 0.05
)

// victim is one idle model or adapter that may make room.
type victim struct {
	rep  *replica
	m    *model // of the replica, or of the adapter
	mem  int64  // MiB, a model's with its adapters
	cost time.Duration
}

// victimsOf lists what may be unloaded on a runner, the cheapest for each MiB first.
func (p *planner) victimsOf(r *runner) []*victim {
	if r.victims != nil {
		return r.victims
	}
	r.victims = []*victim{}
	for _, rep := range r.replicas {
		if v := p.asVictim(rep); v != nil {
			r.victims = append(r.victims, v)
		}
	}
	slices.SortStableFunc(r.victims, func(a, b *victim) int {
		return cmp.Compare(float64(a.cost)/float64(a.mem), float64(b.cost)/float64(b.mem))
	})
	return r.victims
}

func (p *planner) asVictim(rep *replica) *victim {
	m := p.byName[rep.h.Model]
	if m == nil || !p.mayEvict(rep) || rep.h.MemoryMiB == 0 {
		return nil
	}
	v := &victim{rep: rep, m: m, mem: int64(rep.h.MemoryMiB)}
	if rep.h.Adapter != "" {
		if m.waitsForAdapter(rep.h.Adapter) {
			return nil
		}
		v.cost = p.adapterReloadCost(rep)
		return v
	}
	if m.waiting > 0 {
		return nil
	}
	for _, a := range rep.r.replicas {
		if a.h.Adapter == "" || a.h.Model != rep.h.Model {
			continue
		}
		if a.h.State != Loaded {
			return nil // the model goes after its adapters' outcomes are known
		}
		v.mem += int64(a.h.MemoryMiB)
	}
	v.cost = p.reloadCost(m, rep)
	return v
}

// reloadCost is the likely need of a model times the cost to load it again.
func (p *planner) reloadCost(m *model, rep *replica) time.Duration {
	idle := p.in.Now - max(rep.h.LastUsed, rep.h.Since)
	if !p.mech.evictByNeed {
		return recencyCost(p.in.Settings.LoadCost[wire.Tier_TIER_REMOTE], idle)
	}
	cost := p.in.Settings.LoadCost[p.tier(m, rep.r)]
	return time.Duration(p.likelyNeed(m) * float64(cost))
}

// recencyCost orders victims by their last use alone.
func recencyCost(cost, idle time.Duration) time.Duration {
	return time.Duration(float64(cost) / (1 + idle.Seconds()))
}

// likelyNeed is the probability that a model is asked for within the horizon.
func (p *planner) likelyNeed(m *model) float64 {
	if m.interval == 0 {
		return 1 - math.Exp(-m.rate*needHorizon.Seconds())
	}
	until := m.nextBurst() - p.in.Now
	switch margin := m.margin(); {
	case until > needHorizon+margin:
		return needLater
	case until >= -margin:
		return needDue
	default:
		return needOverdue
	}
}

func (p *planner) adapterReloadCost(rep *replica) time.Duration {
	return recencyCost(p.in.Settings.AdapterCost, p.in.Now-max(rep.h.LastUsed, rep.h.Since))
}

// withEviction returns the runner as a candidate after its cheapest victims have gone,
// or nil when that can't be cheaper than best.
func (p *planner) withEviction(l load, r *runner, best *candidate) *candidate {
	tier := p.tier(l.m, r)
	cost := p.baseCost(l.m, r, tier) + p.in.Settings.UnloadCost
	if best != nil && best.cost <= cost {
		return nil
	}
	victims, evictCost := p.pickVictims(r, p.need(l.m)-r.pending, l.m, "")
	if victims == nil {
		return nil
	}
	return &candidate{r: r, tier: tier, victims: victims, cost: cost + evictCost}
}

// pickVictims returns the cheapest victims that free the MiB, or nil. What is not
// needed after a larger victim was taken is left alone. Replicas and adapters that
// serve the model itself are spared.
func (p *planner) pickVictims(r *runner, mib int64, forModel *model, forAdapter string) ([]*victim, time.Duration) {
	var picked []*victim
	var freed int64
	for _, v := range p.victimsOf(r) {
		if freed >= mib {
			break
		}
		if !p.stillSpare(v, picked) || v.m == forModel && v.rep.h.Adapter == "" || forAdapter != "" && v.rep.h.Adapter == forAdapter {
			continue
		}
		picked = append(picked, v)
		freed += v.mem
	}
	if freed < mib || len(picked) == 0 {
		return nil, 0
	}
	picked = dropUnneeded(picked, freed-mib)
	var cost time.Duration
	for _, v := range picked {
		cost += v.cost
	}
	return picked, cost
}

// stillSpare tells whether the victim may go beside those picked already.
func (p *planner) stillSpare(v *victim, picked []*victim) bool {
	if v.rep.fate != fateStay {
		return false
	}
	if v.rep.h.Adapter == "" {
		return v.m.spare() > 0
	}
	for _, o := range picked {
		if o.rep.h.Adapter == "" && o.rep.h.Model == v.rep.h.Model {
			return false // it goes with its model
		}
	}
	return true
}

// dropUnneeded leaves out victims, the dearest first, while the rest frees enough.
func dropUnneeded(picked []*victim, over int64) []*victim {
	byCost := slices.Clone(picked)
	slices.SortStableFunc(byCost, func(a, b *victim) int { return cmp.Compare(b.cost, a.cost) })
	for _, v := range byCost {
		if v.mem <= over && len(picked) > 1 {
			over -= v.mem
			picked = slices.DeleteFunc(picked, func(o *victim) bool { return o == v })
		}
	}
	return picked
}

func (p *planner) evict(v *victim, roomFor Subject) {
	if v.rep.fate != fateStay {
		return
	}
	p.unload(v.rep, "makes room for "+roomFor.String(), roomFor)
	if v.rep.h.Adapter == "" {
		v.m.serving--
	}
	v.rep.r.victims = nil
}

// keepRoom claims the room that loads in flight need for their adapters, and the room
// that an earlier plan makes. So the load that waits finds it, and no second victim
// goes for the same load.
func (p *planner) keepRoom() {
	for _, m := range p.models {
		if m.room == 0 {
			continue
		}
		for _, rep := range m.replicas {
			if rep.h.State == Loading || rep.h.State == Unsettled {
				rep.r.pending -= m.room
			}
		}
	}
	if !p.mech.roomKept {
		return
	}
	for _, r := range p.runners {
		for _, rep := range r.replicas {
			if rep.fate == fateGoing && rep.h.RoomFor.Model != "" {
				p.keepRoomFor(rep.h.RoomFor, r)
			}
		}
	}
}

func (p *planner) keepRoomFor(s Subject, r *runner) {
	m := p.byName[s.Model]
	if m != nil && s.Adapter != "" {
		p.keepAdapterRoom(m, s.Adapter, r)
		return
	}
	if m == nil || m.want <= m.serving || !p.mayHold(m, r) {
		return
	}
	m.kept = append(m.kept, r)
	r.pending -= p.need(m)
}

// shrinkOther drains one replica of a model that is served elsewhere as well, for a
// model of the same or a more urgent class that nothing serves.
func (p *planner) shrinkOther(l load) {
	var best *replica
	for _, r := range p.runners {
		if !p.mayHold(l.m, r) {
			continue
		}
		for _, rep := range r.replicas {
			if p.mayShrink(rep, l) && (best == nil || compareUse(rep, best) < 0) {
				best = rep
			}
		}
	}
	if best == nil {
		return
	}
	m := p.byName[best.h.Model]
	p.unload(best, "shared memory is wanted by "+l.m.spec.GetName()+", which nothing serves", Subject{Model: l.m.spec.GetName()})
	m.serving--
	m.want, m.keep = min(m.want, m.serving), min(m.keep, m.serving)
	best.r.pending -= p.need(l.m)
	l.m.missing = "waits until a busy replica on " + best.r.ID + " has drained"
}

func (p *planner) mayShrink(rep *replica, l load) bool {
	if rep.fate != fateStay || rep.h.State != Loaded || rep.h.Adapter != "" || !rep.r.usable() {
		return false
	}
	m := p.byName[rep.h.Model]
	if m == nil || m.serving <= max(1, m.floor) || m.waiting > 0 && m.class < l.m.class {
		return false
	}
	resident := p.in.Now-rep.h.Since >= p.in.Settings.MinResident
	return resident && rep.r.pending+int64(rep.h.MemoryMiB) >= p.need(l.m)
}
