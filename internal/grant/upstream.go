package grant

import (
	"cmp"
	"slices"
	"strings"

	"gentiankeel/internal/ratelimit"
)

// upstream is the state of one upstream's current incarnation.
type upstream struct {
	UpstreamState
	ready          map[string]Ready
	pools          []*pool // sorted by key
	inFlight       int
	longInFlight   int // long attempts among those in flight
	running        map[string]*attempt
	usages         map[usageKey]*ModelUsage
	inFlightByPool map[*pool]int // attempts in flight by model or service
	// excess counts attempts beyond the slots that this core did not grant: an entry
	// reported them, or the upstream lowered its slots while they ran.
	excess int
	// unaccounted counts slots held back for attempts of entries that have not reported to
	// a recovering core. minInFlight is the fewest attempts in flight since the last load
	// report.
	unaccounted int
	minInFlight int
	ageCredit   [classCount]float64 // grants earned by aged classes
	limit       limiter
	rate        *ratelimit.Bucket // of the requests that it takes; nil: any number
	score       score
}

// poolKey names a model or a plain service. Exactly one of the two is set.
type poolKey struct{ model, service string }

func (k poolKey) compare(o poolKey) int {
	if n := strings.Compare(k.model, o.model); n != 0 {
		return n
	}
	return strings.Compare(k.service, o.service)
}

// pool holds the upstreams and the waiting attempts of one model or service.
type pool struct {
	key       poolKey
	members   []*upstream // sorted by id
	queue     queue
	demands   map[string]*demandStats // by adapter
	timing    timing
	lastTrial Time // when an attempt was last admitted against the estimates
	// runningByClass counts the running attempts by class.
	runningByClass [classCount]int
	loadTime       loadTime
}

func (c *Core) poolOf(k poolKey) *pool {
	p, ok := c.pools[k]
	if !ok {
		p = &pool{key: k, demands: map[string]*demandStats{}, queue: newQueue(c.settings)}
		c.pools[k] = p
	}
	return p
}

func compareID(u *upstream, id string) int { return strings.Compare(u.ID, id) }

func (c *Core) updateUpstream(ev UpstreamState) {
	u, ok := c.upstreams[ev.ID]
	if ok && ev.Incarnation < u.Incarnation {
		return
	}
	if ok && ev.Incarnation > u.Incarnation {
		c.endIncarnation(u)
		ok = false
	}
	if !ok {
		u = &upstream{running: map[string]*attempt{}, usages: map[usageKey]*ModelUsage{}, inFlightByPool: map[*pool]int{}, limit: newLimiter(ev.Slots)}
		c.upstreams[ev.ID] = u
		i, _ := slices.BinarySearchFunc(c.sortedUpstreams, ev.ID, compareID)
		c.sortedUpstreams = slices.Insert(c.sortedUpstreams, i, u)
	}
	u.UpstreamState = ev
	u.limit.resize(ev.Slots)
	c.limitRate(u)
	u.excess = max(u.excess, u.inFlight-ev.Slots)
	c.joinPools(u)
	u.dropUnusedUsages()
	if ok {
		c.lowerUnaccounted(u)
	} else {
		c.adoptOrphans(u)
		c.assumeUnaccounted(u)
	}
	c.touch(u)
	c.dispatch(u)
}

// joinPools makes the upstream a member of exactly the pools that it is ready for.
func (c *Core) joinPools(u *upstream) {
	u.ready = map[string]Ready{}
	var keys []poolKey
	for _, r := range u.Ready {
		if _, twice := u.ready[r.Model]; !twice {
			keys = append(keys, poolKey{model: r.Model})
		}
		u.ready[r.Model] = r
	}
	if u.Service != "" {
		keys = []poolKey{{service: u.Service}}
	}
	slices.SortFunc(keys, poolKey.compare)
	for _, p := range u.pools {
		if _, kept := slices.BinarySearchFunc(keys, p.key, poolKey.compare); !kept {
			p.leave(u)
		}
	}
	u.pools = u.pools[:0]
	for _, k := range keys {
		p := c.poolOf(k)
		p.join(u)
		u.pools = append(u.pools, p)
		c.observeReady(p, u)
	}
}

func (p *pool) join(u *upstream) {
	i, found := slices.BinarySearchFunc(p.members, u.ID, compareID)
	if !found {
		p.members = slices.Insert(p.members, i, u)
	}
}

func (p *pool) leave(u *upstream) {
	i, found := slices.BinarySearchFunc(p.members, u.ID, compareID)
	if found {
		p.members = slices.Delete(p.members, i, i+1)
	}
}

func (c *Core) upstreamGone(ev UpstreamGone) {
	c.endOrphansUpTo(ev.ID, ev.Incarnation)
	u, ok := c.upstreams[ev.ID]
	if !ok {
		c.resolveCuts(ev.ID, ev.Incarnation, false)
		return
	}
	if ev.Incarnation >= u.Incarnation {
		c.endIncarnation(u)
	}
}

// endIncarnation removes the upstream and ends all attempts that ran on it.
func (c *Core) endIncarnation(u *upstream) {
	delete(c.upstreams, u.ID)
	i, _ := slices.BinarySearchFunc(c.sortedUpstreams, u.ID, compareID)
	c.sortedUpstreams = slices.Delete(c.sortedUpstreams, i, i+1)
	for _, p := range u.pools {
		p.leave(u)
	}
	u.pools = nil
	c.prefixes.drop(u.ID)
	lost := make([]*attempt, 0, len(u.running))
	for _, a := range u.running {
		lost = append(lost, a)
	}
	sortBySequence(lost)
	for _, a := range lost {
		c.endRunning(a)
		if !u.Leaving {
			c.recordDeath(a.req.BodyDigest, u.ID, u.Incarnation)
		}
	}
	c.resolveCuts(u.ID, u.Incarnation, u.Leaving)
	// Waiting attempts with the same digests may now run, or must be refused.
	c.redispatchBodies(lost)
}

// takeSlot starts an attempt on an upstream.
func (c *Core) takeSlot(a *attempt, u *upstream) {
	a.state = stateRunning
	a.upstream = u
	a.started = c.now
	u.running[a.req.Attempt] = a
	c.countRunning(a, 1)
	c.suspects.addRunning(a.req.BodyDigest, u.ID)
	c.touch(u)
}

// endRunning releases an attempt's slot and removes the attempt.
func (c *Core) endRunning(a *attempt) {
	u := a.upstream
	if a.state != stateRunning || u.running[a.req.Attempt] != a {
		c.invariantFailed("attempt %s ends but holds no slot", a.req.Attempt)
	}
	a.state = stateEnded
	delete(u.running, a.req.Attempt)
	delete(c.attempts, a.req.Attempt)
	c.holds.remove(a)
	c.countRunning(a, -1)
	u.minInFlight = min(u.minInFlight, u.inFlight)
	u.excess = min(u.excess, max(0, u.inFlight-u.Slots))
	a.demand.lastUsed = c.now
	c.suspects.removeRunning(a.req.BodyDigest, u.ID)
	c.touch(u)
}

// countRunning counts an attempt that starts (1) or ends (-1).
func (c *Core) countRunning(a *attempt, n int) {
	u := a.upstream
	u.inFlight += n
	if a.long {
		u.longInFlight += n
	}
	u.inFlightByPool[a.pool] += n
	if u.inFlightByPool[a.pool] == 0 {
		delete(u.inFlightByPool, a.pool)
	}
	c.running += n
	a.demand.running += n
	a.pool.runningByClass[a.pool.queue.classOf(a)] += n
	a.pool.queue.addRunning(a, n)
	u.recordUse(a, n, c.now)
}

// freeSlots returns the number of an upstream's slots that may be granted now.
func (c *Core) freeSlots(u *upstream) int {
	if c.recovery.active || c.draining || (u.Leaving && !c.disabled.leaving) {
		return 0
	}
	slots := u.Slots
	if c.settings.AdaptiveLimit {
		slots = min(slots, u.limit.slots(c.settings))
	}
	free := slots - u.inFlight - u.unaccounted
	if u.rate != nil {
		free = min(free, u.rate.Available(c.now))
	}
	return free
}

// limitRate follows the requests a second that an upstream takes.
func (c *Core) limitRate(u *upstream) {
	switch {
	case u.MaxPerSecond == nil:
		u.rate = nil
	case u.rate == nil:
		u.rate = ratelimit.NewBucket(c.now, *u.MaxPerSecond)
	default:
		u.rate.SetLimit(c.now, *u.MaxPerSecond)
	}
}

// dispatchLimited dispatches the upstreams that take a limited number of requests a second: they
// may take another one now.
func (c *Core) dispatchLimited() {
	if c.waiting == 0 {
		return
	}
	for _, u := range c.sortedUpstreams {
		if u.rate != nil {
			c.dispatch(u)
		}
	}
}

func (c *Core) touch(u *upstream) { c.touched = append(c.touched, u) }

// InUse returns the number of an upstream's slots that are granted and not released.
func (c *Core) InUse(id string) int {
	u, ok := c.upstreams[id]
	if !ok {
		return 0
	}
	return u.inFlight
}

// Waiting returns the number of attempts that wait for a slot.
func (c *Core) Waiting() int { return c.waiting }

// Running returns the number of attempts that hold a slot.
func (c *Core) Running() int { return c.running }

// Recovering reports whether the core still waits for entries to report their grants.
func (c *Core) Recovering() bool { return c.recovery.active }

// UpstreamStatus is the state of one upstream as shown to an operator.
type UpstreamStatus struct {
	ID          string
	Incarnation uint64
	Slots       int
	Limit       int // number of slots that the adaptive limit allows to be in use
	InUse       int
	LongInUse   int // long attempts among those in use
	Leaving     bool
	Avoided     bool
	Score       float64 // latency in multiples of the model's usual latency; 0: no sample
}

// Status returns the status of all upstreams, sorted by id.
func (c *Core) Status() []UpstreamStatus {
	list := make([]UpstreamStatus, 0, len(c.sortedUpstreams))
	for _, u := range c.sortedUpstreams {
		list = append(list, UpstreamStatus{
			ID:          u.ID,
			Incarnation: u.Incarnation,
			Slots:       u.Slots,
			Limit:       min(u.Slots, u.limit.slots(c.settings)),
			InUse:       u.inFlight,
			LongInUse:   u.longInFlight,
			Leaving:     u.Leaving,
			Avoided:     u.score.avoided,
			Score:       u.score.value,
		})
	}
	slices.SortFunc(list, func(a, b UpstreamStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
