package placement

import (
	"cmp"
	"slices"
	"time"

	"gentiankeel/internal/wire"
)

// storeBudget counts the loads from the weight store that may still start.
type storeBudget struct {
	starts   int
	places   int
	reserved int // places that a load without waiting requests leaves free
}

func newStoreBudget(b Budget) storeBudget {
	return storeBudget{
		starts:   b.StoreStarts,
		places:   b.StoreMax - b.StoreInFlight,
		reserved: min(1, b.StoreMax-1),
	}
}

// allows keeps one place for requests that wait: a preload does not take the last.
func (b storeBudget) allows(waiting bool) bool {
	if waiting {
		return b.starts > 0 && b.places > 0
	}
	return b.starts > 0 && b.places > b.reserved
}

func (b *storeBudget) take() {
	b.starts--
	b.places--
}

// load is one replica that is wanted and missing.
type load struct {
	m        *model
	waiting  bool // requests wait for it
	serving  int  // replicas that serve already
	optional bool // only expected: takes no room from others
}

// loadModels loads what is wanted and missing, the most urgent first.
func (p *planner) loadModels() {
	for _, l := range p.missingLoads() {
		p.place(l)
	}
}

func (p *planner) missingLoads() []load {
	var loads []load
	for _, m := range p.models {
		need := m.want - m.serving
		if need <= 0 {
			continue
		}
		room := need
		if p.mech.countLimit {
			p.freeLostReplicas(m, need)
			room = int(m.spec.GetReplicas()) - m.countedReplicas(p.mech)
		}
		if room < need {
			m.missing = "waits until a replica that goes has been seen gone"
		}
		for i := range min(need, room) {
			loads = append(loads, load{
				m: m, waiting: m.waiting > 0, serving: m.serving + i,
				optional: m.waiting == 0 && m.why == "expected by its learnt interval",
			})
		}
	}
	if p.mech.urgency {
		slices.SortStableFunc(loads, compareUrgency)
	}
	return loads
}

// countedReplicas is the number of replicas that hold a slot of the file. What is
// going holds its slot until it is seen gone.
func (m *model) countedReplicas(mech mechanisms) int {
	if mech.oldFirst {
		return m.count
	}
	n := 0
	for _, rep := range m.replicas {
		if rep.fate != fateGoing && rep.fate != fateDrain {
			n++
		}
	}
	return n
}

// freeLostReplicas unloads idle replicas on leaving runners when they hold the slots
// that the missing ones need.
func (p *planner) freeLostReplicas(m *model, need int) {
	over := need - (int(m.spec.GetReplicas()) - m.count)
	for _, rep := range m.replicas {
		if over <= 0 {
			return
		}
		if rep.fate == fateGoing {
			over--
			continue
		}
		if rep.fate == fateLost && rep.h.State == Loaded && rep.h.Running == 0 && !rep.r.Suspect {
			p.unload(rep, "its runner is leaving and the replica is wanted elsewhere", Subject{})
			over--
		}
	}
}

// compareUrgency sorts loads that requests wait for first, by class; among those, a
// model that nothing serves, then the earliest deadline, then the oldest request.
func compareUrgency(a, b load) int {
	switch {
	case a.waiting != b.waiting:
		return boolFirst(a.waiting)
	case a.waiting && a.m.class != b.m.class:
		return cmp.Compare(a.m.class, b.m.class)
	case (a.serving == 0) != (b.serving == 0):
		return boolFirst(a.serving == 0)
	case a.waiting && a.m.deadline != b.m.deadline:
		return cmp.Compare(a.m.deadline, b.m.deadline)
	case a.waiting && a.m.oldest != b.m.oldest:
		return cmp.Compare(a.m.oldest, b.m.oldest)
	case a.optional != b.optional:
		return boolFirst(b.optional)
	default:
		return cmp.Compare(a.m.spec.GetName(), b.m.spec.GetName())
	}
}

func boolFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// candidate is a runner that can take a load, now or after room is made.
type candidate struct {
	r       *runner
	tier    wire.Tier
	victims []*victim // to be unloaded first
	cost    time.Duration
}

// place orders one load, or makes room for it, or notes why it is missing.
func (p *planner) place(l load) {
	if len(l.m.kept) > 0 {
		p.placeInKeptRoom(l)
		return
	}
	best, why := p.choose(l)
	if best == nil {
		l.m.missing = why
		if why == noRoom && l.waiting && l.serving == 0 {
			p.shrinkOther(l)
		}
		return
	}
	if p.lacksStore(l, best.tier) {
		p.waitForStore(l, best)
		return
	}
	for _, v := range best.victims {
		p.evict(v, Subject{Model: l.m.spec.GetName()})
	}
	best.r.pending -= p.need(l.m)
	if !p.hasFree(best.r, l.m) {
		l.m.claimed = append(l.m.claimed, best.r)
		l.m.missing = "waits for room on " + best.r.ID
		return
	}
	p.start(l.m, best.r, best.tier)
}

func (p *planner) lacksStore(l load, tier wire.Tier) bool {
	return tier == wire.Tier_TIER_REMOTE && p.mech.storeBudget && !p.store.allows(l.waiting)
}

// waitForStore keeps the room that a load has chosen, if it is there without an
// eviction. The choice does not depend on the store's budget, which a less urgent load
// may use up, so that the next plan makes it again.
func (p *planner) waitForStore(l load, c *candidate) {
	l.m.missing = noStore
	if len(c.victims) == 0 {
		l.m.claimed = append(l.m.claimed, c.r)
		c.r.pending -= p.need(l.m)
	}
}

// placeInKeptRoom orders the load where an earlier plan made room for it, once that
// room is there. keepRoom has claimed it.
func (p *planner) placeInKeptRoom(l load) {
	r := l.m.kept[0]
	l.m.kept = l.m.kept[1:]
	tier := p.tier(l.m, r)
	switch {
	case !p.hasFree(r, l.m):
		l.m.missing = "waits for room on " + r.ID
	case p.lacksStore(l, tier):
		l.m.missing = noStore
	default:
		p.start(l.m, r, tier)
	}
}

func (p *planner) start(m *model, r *runner, tier wire.Tier) {
	r.free -= int64(m.spec.GetMemoryMib())
	r.loading++
	if tier == wire.Tier_TIER_REMOTE {
		p.store.take()
	}
	m.count++
	m.serving++
	m.started = append(m.started, r)
	p.out.Orders = append(p.out.Orders, Order{
		Kind: wire.OrderKind_ORDER_LOAD, Runner: r.ID, Model: m.spec.GetName(),
		Version: m.spec.GetVersion(), MemoryMiB: m.spec.GetMemoryMib(), Tier: tier, Reason: m.why,
	})
}

// need is the memory of a replica and of the largest adapter that is waited for.
func (p *planner) need(m *model) int64 { return int64(m.spec.GetMemoryMib()) + m.room }

// Why a wanted replica can't be loaded anywhere now.
const (
	noRunner = "no runner may hold it"
	noRoom   = "no runner has room, and nothing may be unloaded for it"
	noStore  = "waits for the weight store"
)

// choose returns the cheapest candidate, or nil and why there is none. Runners where
// the load fits now come first into the comparison; making room is looked at only
// where the nearer weights could make up for it.
func (p *planner) choose(l load) (*candidate, string) {
	var best *candidate
	why := noRunner
	evictable := make([]*runner, 0)
	for _, r := range p.runners {
		if !p.mayHold(l.m, r) {
			continue
		}
		tier := p.tier(l.m, r)
		why = noRoom
		c := &candidate{r: r, tier: tier, cost: p.baseCost(l.m, r, tier)}
		switch {
		case p.fits(r, l.m):
		case p.need(l.m) <= r.pending-r.draining:
			c.cost += p.in.Settings.UnloadCost
		case p.need(l.m) <= r.pending:
			c.cost += p.in.Settings.DrainCost
		default:
			evictable = append(evictable, r)
			continue
		}
		best = p.cheaper(best, c)
	}
	if l.optional {
		return best, why
	}
	for _, r := range evictable {
		best = p.cheaper(best, p.withEviction(l, r, best))
	}
	return best, why
}

func (p *planner) mayHold(m *model, r *runner) bool {
	if r.Leaving && p.mech.leavingAvoid || r.Suspect || !m.allowsZone(r.Zone) {
		return false
	}
	for _, rep := range m.replicas {
		if rep.r == r {
			return false
		}
	}
	return !slices.Contains(m.started, r) && !slices.Contains(m.claimed, r) && !slices.Contains(m.kept, r)
}

func (p *planner) fits(r *runner, m *model) bool {
	return p.hasFree(r, m) && (p.need(m) <= r.pending || !p.mech.memoryLimit)
}

func (p *planner) hasFree(r *runner, m *model) bool {
	return int64(m.spec.GetMemoryMib()) <= r.free || !p.mech.memoryLimit
}

func (p *planner) tier(m *model, r *runner) wire.Tier {
	if t, ok := r.Checkpoints[CheckpointKey{m.spec.GetName(), m.spec.GetVersion()}]; ok && t != wire.Tier_TIER_UNSPECIFIED {
		return t
	}
	return wire.Tier_TIER_REMOTE
}

// baseCost is the load time, plus a remote load for every replica of the model that
// serves or is to be loaded in the same availability zone.
func (p *planner) baseCost(m *model, r *runner, tier wire.Tier) time.Duration {
	var cost time.Duration
	if p.mech.nearestTier {
		cost = p.in.Settings.LoadCost[tier]
	}
	if !p.mech.zoneSpread {
		return cost
	}
	remote := p.in.Settings.LoadCost[wire.Tier_TIER_REMOTE]
	for _, rep := range m.replicas {
		if rep.r.Zone == r.Zone && p.serves(m, rep) {
			cost += remote
		}
	}
	for _, planned := range [][]*runner{m.started, m.claimed, m.kept} {
		for _, o := range planned {
			if o.Zone == r.Zone {
				cost += remote
			}
		}
	}
	return cost
}

func (p *planner) cheaper(a, b *candidate) *candidate {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.cost != b.cost:
		return cheapest(a, b, a.cost < b.cost)
	case a.r.loading != b.r.loading:
		return cheapest(a, b, a.r.loading < b.r.loading)
	case a.r.pending != b.r.pending:
		return cheapest(a, b, a.r.pending > b.r.pending)
	default:
		return a // the first by name
	}
}

func cheapest(a, b *candidate, first bool) *candidate {
	if first {
		return a
	}
	return b
}
