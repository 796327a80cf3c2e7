package grant

import (
	"cmp"
	"slices"
	"strings"
)

// upstream is what the core knows of one upstream's current incarnation.
type upstream struct {
	UpstreamState
	ready    map[string]Ready
	pools    []*pool // sorted by key
	inFlight int
	long     int // long attempts among those in flight
	running  map[string]*attempt
	uses     map[useKey]*Use
	byPool   map[*pool]int // attempts in flight by model or service
	// excess counts attempts beyond the slots that were not granted here: they were
	// reported by an entry, or the upstream lowered its slots under them.
	excess int
	// foreign counts slots held back for attempts of entries that a recovering core has
	// never heard; low is the fewest attempts in flight since the last load report.
	foreign int
	low     int
	aged    [classCount]float64 // grants earned by classes that were passed over
	limit   limiter
	score   score
}

// poolKey names a model or a plain service; the two never share a pool.
type poolKey struct{ model, service string }

func (k poolKey) compare(o poolKey) int {
	if n := strings.Compare(k.model, o.model); n != 0 {
		return n
	}
	return strings.Compare(k.service, o.service)
}

// pool is one model or service: its upstreams and its waiting asks.
type pool struct {
	key     poolKey
	members []*upstream // sorted by id
	queue   queue
	usages  map[string]*usage // by adapter
	timing  timing
	trialAt Time // when an ask was last tried against the estimates
	// classRunning counts the running attempts by class.
	classRunning [classCount]int
	wake         wake
}

func (c *Core) poolOf(k poolKey) *pool {
	p, ok := c.pools[k]
	if !ok {
		p = &pool{key: k, usages: map[string]*usage{}, queue: newQueue(c.set)}
		c.pools[k] = p
	}
	return p
}

func compareID(u *upstream, id string) int { return strings.Compare(u.ID, id) }

func (c *Core) upstreamState(ev UpstreamState) {
	u, ok := c.upstreams[ev.ID]
	if ok && ev.Incarnation < u.Incarnation {
		return
	}
	if ok && ev.Incarnation > u.Incarnation {
		c.endIncarnation(u)
		ok = false
	}
	if !ok {
		u = &upstream{running: map[string]*attempt{}, uses: map[useKey]*Use{}, byPool: map[*pool]int{}, limit: newLimiter(ev.Slots)}
		c.upstreams[ev.ID] = u
		i, _ := slices.BinarySearchFunc(c.order, ev.ID, compareID)
		c.order = slices.Insert(c.order, i, u)
	}
	u.UpstreamState = ev
	u.limit.resize(ev.Slots)
	u.excess = max(u.excess, u.inFlight-ev.Slots)
	c.joinPools(u)
	u.forgetUses()
	if ok {
		c.reviewForeign(u)
	} else {
		c.adoptOrphans(u)
		c.assumeForeign(u)
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
	c.orphanDeaths(ev.ID, ev.Incarnation)
	u, ok := c.upstreams[ev.ID]
	if !ok {
		c.settleDoubts(ev.ID, ev.Incarnation, false)
		return
	}
	if ev.Incarnation >= u.Incarnation {
		c.endIncarnation(u)
	}
}

// endIncarnation drops the upstream and all that ran on it.
func (c *Core) endIncarnation(u *upstream) {
	delete(c.upstreams, u.ID)
	i, _ := slices.BinarySearchFunc(c.order, u.ID, compareID)
	c.order = slices.Delete(c.order, i, i+1)
	for _, p := range u.pools {
		p.leave(u)
	}
	u.pools = nil
	c.prefixes.forget(u.ID)
	lost := make([]*attempt, 0, len(u.running))
	for _, a := range u.running {
		lost = append(lost, a)
	}
	sortBySequence(lost)
	for _, a := range lost {
		c.endRunning(a)
		if !u.Leaving {
			c.death(a.ask.BodyDigest, u.ID, u.Incarnation)
		}
	}
	c.settleDoubts(u.ID, u.Incarnation, u.Leaving)
	// The lost bodies may free others that share their digest or refuse them.
	c.dispatchDigests(lost)
}

// takeSlot accounts for an attempt on an upstream.
func (c *Core) takeSlot(a *attempt, u *upstream) {
	a.state = stateRunning
	a.upstream = u
	a.began = c.now
	u.running[a.ask.Attempt] = a
	c.countRunning(a, 1)
	c.suspects.began(a.ask.BodyDigest, u.ID)
	c.touch(u)
}

// endRunning gives an attempt's slot back and forgets the attempt.
func (c *Core) endRunning(a *attempt) {
	u := a.upstream
	if a.state != stateRunning || u.running[a.ask.Attempt] != a {
		c.broken("attempt %s is ended but holds no slot", a.ask.Attempt)
	}
	a.state = stateEnded
	delete(u.running, a.ask.Attempt)
	delete(c.attempts, a.ask.Attempt)
	c.holds.remove(a)
	c.countRunning(a, -1)
	u.low = min(u.low, u.inFlight)
	u.excess = min(u.excess, max(0, u.inFlight-u.Slots))
	a.usage.last = c.now
	c.suspects.ended(a.ask.BodyDigest, u.ID)
	c.touch(u)
}

// countRunning counts an attempt that begins (1) or ends (-1).
func (c *Core) countRunning(a *attempt, n int) {
	u := a.upstream
	u.inFlight += n
	if a.long {
		u.long += n
	}
	u.byPool[a.pool] += n
	if u.byPool[a.pool] == 0 {
		delete(u.byPool, a.pool)
	}
	c.running += n
	a.usage.running += n
	a.pool.classRunning[a.pool.queue.classOf(a)] += n
	a.pool.queue.runs(a, n)
	u.used(a, n, c.now)
}

// free returns the slots of an upstream that may be granted now.
func (c *Core) free(u *upstream) int {
	if c.recovery.active || c.draining || (u.Leaving && !c.off.leaving) {
		return 0
	}
	slots := u.Slots
	if c.set.AdaptiveLimit {
		slots = min(slots, u.limit.slots(c.set))
	}
	return slots - u.inFlight - u.foreign
}

func (c *Core) touch(u *upstream) { c.touched = append(c.touched, u) }

// InUse returns the slots of an upstream that are granted and not given back.
func (c *Core) InUse(id string) int {
	u, ok := c.upstreams[id]
	if !ok {
		return 0
	}
	return u.inFlight
}

// Waiting returns the number of asks that wait for a slot.
func (c *Core) Waiting() int { return c.waiting }

// Running returns the number of attempts that hold a slot.
func (c *Core) Running() int { return c.running }

// Recovering tells whether the core still waits for entries to report their grants.
func (c *Core) Recovering() bool { return c.recovery.active }

// UpstreamStatus is what an operator may want to see of one upstream.
type UpstreamStatus struct {
	ID          string
	Incarnation uint64
	Slots       int
	Limit       int // slots in use at most, by the learnt limit
	InUse       int
	Long        int // long attempts among those in use
	Leaving     bool
	Avoided     bool
	Score       float64 // latency in multiples of what is usual
}

// Status returns all upstreams sorted by id.
func (c *Core) Status() []UpstreamStatus {
	list := make([]UpstreamStatus, 0, len(c.order))
	for _, u := range c.order {
		list = append(list, UpstreamStatus{
			ID:          u.ID,
			Incarnation: u.Incarnation,
			Slots:       u.Slots,
			Limit:       min(u.Slots, u.limit.slots(c.set)),
			InUse:       u.inFlight,
			Long:        u.long,
			Leaving:     u.Leaving,
			Avoided:     u.score.avoided,
			Score:       u.score.value,
		})
	}
	slices.SortFunc(list, func(a, b UpstreamStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
