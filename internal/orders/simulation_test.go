package orders

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

const (
	testCell  = "tay"
	testLease = "scheduler/tay"
	leaseTTL  = 3 * time.Second
)

// fakeUpstream is a simulated runner.
type fakeUpstream struct {
	announcement     upstream.Announcement
	alive            bool
	held             []upstream.HeldModel
	replies          map[string]*upstream.OrderReply
	fence            uint64
	running          map[placement.Subject]int  // requests; those of adapters count for the model too
	lastUsed         map[placement.Subject]Time // end of the last request
	sequence         uint64
	lastFullSequence uint64 // sequence number of the last full announcement
	isolated         bool   // partitioned from the schedulers
}

func (u *fakeUpstream) state() upstream.State {
	s := upstream.State{Incarnation: u.announcement.Incarnation, Fence: u.fence, Held: slices.Clone(u.held)}
	for _, r := range u.replies {
		s.Orders = append(s.Orders, *r)
	}
	return s
}

// removeHeld removes a model with its adapters, or an adapter.
func (u *fakeUpstream) removeHeld(i int) {
	removed := u.held[i]
	u.held = slices.DeleteFunc(u.held, func(h upstream.HeldModel) bool {
		return h.Model == removed.Model && (removed.Adapter == "" || h.Adapter == removed.Adapter)
	})
}

func (u *fakeUpstream) memory() uint64 {
	var sum uint64
	for _, h := range u.held {
		sum += h.MemoryMiB
	}
	return sum
}

func (u *fakeUpstream) heldIndex(model, adapter string) int {
	return slices.IndexFunc(u.held, func(h upstream.HeldModel) bool { return h.Model == model && h.Adapter == adapter })
}

// task is a function that runs at a time. seq orders tasks of the same time.
type task struct {
	at  Time
	seq int
	run func()
}

type taskQueue []task

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }
func (q *taskQueue) Pop() any {
	t := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return t
}

// faults are the probabilities and mean intervals of injected faults.
type faults struct {
	lostCommit, lateCommit, lostSend, lostReply, lostRead, duplicateAnnounce float64
	// idleRequests is the probability that a request for a model without demand is started.
	idleRequests float64
	// Mean intervals; 0: never.
	crashEvery, takeoverEvery, isolateEvery, manualLoadEvery time.Duration
}

// simulation runs cores against fakes in virtual time.
type simulation struct {
	now           Time
	rng           *rand.Rand
	faults        faults
	log           *fakeLog
	upstreams     []*fakeUpstream
	core          *Core
	opts          Options
	ready         map[readyUpstreamKey]grant.UpstreamState
	demand        []placement.Demand
	queue         taskQueue
	seq           int
	failures      []string
	loads         int
	takeovers     int
	demandStopped bool // no new demand
	recentSteps   []tracedStep
}

func newSimulation(seed uint64, log *fakeLog, runners int, f faults) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 9)), faults: f, log: log, ready: map[readyUpstreamKey]grant.UpstreamState{}}
	for i := range runners {
		u := &fakeUpstream{alive: true, replies: map[string]*upstream.OrderReply{}, running: map[placement.Subject]int{}, lastUsed: map[placement.Subject]Time{}}
		u.announcement = upstream.Announcement{
			ID: fmt.Sprintf("r%d", i), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:80", i), Cell: testCell,
			Zone: string(rune('a' + i%3)), MemoryMiB: 100, Slots: 4, ChecksFencing: i%2 == 0,
		}
		sim.upstreams = append(sim.upstreams, u)
		sim.after(sim.randomDuration(time.Second), func() { sim.heartbeat(u) })
	}
	if f.crashEvery > 0 {
		sim.after(sim.randomDuration(f.crashEvery), sim.crashUpstream)
	}
	if f.isolateEvery > 0 {
		sim.after(sim.randomDuration(f.isolateEvery), sim.isolateUpstream)
	}
	if f.manualLoadEvery > 0 {
		sim.after(sim.randomDuration(f.manualLoadEvery), sim.loadManually)
	}
	sim.after(sim.randomDuration(requestInterval), sim.startRandomRequest)
	if f.takeoverEvery > 0 {
		sim.after(sim.randomDuration(f.takeoverEvery), sim.takeover)
	}
	return sim
}

func (sim *simulation) after(d Time, do func()) {
	sim.seq++
	heap.Push(&sim.queue, task{sim.now + d, sim.seq, do})
}

func (sim *simulation) randomDuration(limit Time) Time { return 1 + Time(sim.rng.Int64N(int64(limit))) }

func (sim *simulation) randomBool(p float64) bool { return sim.rng.Float64() < p }

func (sim *simulation) fail(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

func (sim *simulation) run(until Time) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until && len(sim.failures) == 0 {
		next := heap.Pop(&sim.queue).(task)
		sim.now = next.at
		next.run()
		sim.check()
	}
	sim.now = until
}

// check verifies the memory and replica limits against what the upstreams hold.
func (sim *simulation) check() {
	counts := map[string]int{}
	for _, u := range sim.upstreams {
		var used uint64
		for _, h := range u.held {
			if sim.isManualLoad(h) {
				continue
			}
			used += h.MemoryMiB
			if h.Adapter == "" {
				counts[h.Model]++
			}
		}
		if used > u.announcement.MemoryMiB {
			sim.fail("%s holds %d MiB of %d MiB", u.announcement.ID, used, u.announcement.MemoryMiB)
		}
	}
	for m, n := range counts {
		if n > allowedReplicas(sim.log.spec, m) {
			sim.fail("%d replicas of %s are loaded, the applied file allows %d", n, m, allowedReplicas(sim.log.spec, m))
		}
	}
}

// startScheduler starts the term of a new scheduler under a new fencing number.
func (sim *simulation) startScheduler(takeover Time) {
	sim.startUnderFence(sim.log.nextHolder(), takeover)
}

func (sim *simulation) startUnderFence(fence uint64, takeover Time) {
	o := sim.opts
	o.Cell, o.Lease, o.Fence, o.TakeoverWait = testCell, testLease, fence, takeover
	c := New(o)
	sim.core = c
	sim.after(sim.randomDuration(5*time.Millisecond), func() { sim.step(c, sim.log.read()) })
	sim.tick(c)
}

// takeover starts a new scheduler while the old one continues until its lease ends, or
// restarts the scheduler under the same fencing number.
func (sim *simulation) takeover() {
	if sim.faults.takeoverEvery == 0 {
		return
	}
	sim.takeovers++
	old := sim.core
	orderLife := old.opts.OrderLife
	if sim.randomBool(0.4) { // the process crashes; its restart keeps the fencing number
		sim.endTerm(old)
		sim.startUnderFence(sim.log.fence, leaseTTL+orderLife)
	} else {
		sim.after(leaseTTL, func() { sim.endTerm(old) })
		sim.startScheduler(leaseTTL + orderLife)
	}
	sim.after(sim.randomDuration(sim.faults.takeoverEvery), sim.takeover)
}

func (sim *simulation) endTerm(c *Core) {
	sim.step(c, LeaseEnded{})
	maps.DeleteFunc(sim.ready, func(k readyUpstreamKey, _ grant.UpstreamState) bool { return k.fence == c.opts.Fence })
}

func (sim *simulation) tick(c *Core) {
	if c.stopped {
		return
	}
	sim.step(c, Tick{})
	sim.plan(c)
	sim.after(100*time.Millisecond, func() { sim.tick(c) })
}

func (sim *simulation) plan(c *Core) {
	in := c.Snapshot(sim.now, func(id, model, adapter string) (int, Time) {
		u := sim.upstream(id)
		subject := placement.Subject{Model: model, Adapter: adapter}
		return u.running[subject], u.lastUsed[subject]
	})
	if in.Spec == nil {
		return
	}
	in.Demand = sim.demand
	in.Settings = placement.DefaultSettings()
	in.Settings.MinResidence = time.Second
	sim.step(c, Planned{placement.ComputePlan(in)})
}

func (sim *simulation) upstream(id string) *fakeUpstream {
	for _, u := range sim.upstreams {
		if u.announcement.ID == id {
			return u
		}
	}
	return nil
}

func (sim *simulation) step(c *Core, ev Event) {
	actions, err := c.Step(sim.now, ev)
	sim.recordStep(c, ev, actions)
	if err != nil {
		sim.fail("%v", err)
		return
	}
	for _, a := range slices.Clone(actions) {
		sim.execute(c, a)
	}
}

// recordStep keeps the latest steps for the report of a failure.
func (sim *simulation) recordStep(c *Core, ev Event, actions []Action) {
	if _, isTick := ev.(Tick); isTick && len(actions) == 0 {
		return
	}
	sim.recentSteps = append(sim.recentSteps, tracedStep{sim.now, c.opts.Fence, ev, slices.Clone(actions)})
	if len(sim.recentSteps) > 2*maxTraceSteps {
		sim.recentSteps = slices.Clone(sim.recentSteps[maxTraceSteps:])
	}
}

const maxTraceSteps = 30

// tracedStep is one step of a core.
type tracedStep struct {
	at      Time
	fence   uint64
	event   Event
	actions []Action
}

// report returns the failures and the latest steps.
func (sim *simulation) report() string {
	var b strings.Builder
	fmt.Fprintln(&b, sim.failures)
	for _, step := range sim.recentSteps {
		fmt.Fprintf(&b, "%v fence %d: %T%+v -> %T%+v\n", step.at, step.fence, step.event, step.event, step.actions, step.actions)
	}
	return b.String()
}

func (sim *simulation) execute(c *Core, a Action) {
	switch a := a.(type) {
	case Propose:
		sim.commit(c, a)
	case Send:
		sim.send(c, a)
	case ReadState:
		sim.readState(c, a)
	case ReadLog:
		sim.after(sim.randomDuration(5*time.Millisecond), func() { sim.step(c, sim.log.read()) })
	case GrantUpdate:
		sim.grantUpdate(c.opts.Fence, a.Event)
	}
}

func (sim *simulation) commit(c *Core, p Propose) {
	answer := func() {
		r := sim.log.apply(p.Command)
		if sim.randomBool(sim.faults.lostCommit) {
			sim.after(sim.randomDuration(time.Second), func() { sim.step(c, CommitFailed{p.CommandID, CommitOutcomeUnknown}) })
			return
		}
		sim.after(sim.randomDuration(3*time.Millisecond), func() {
			switch r.Code {
			case wire.ResultCode_RESULT_OK:
				sim.step(c, Committed{p.CommandID, r.Index, r.Orders})
			case wire.ResultCode_RESULT_FENCED:
				sim.step(c, CommitFailed{p.CommandID, CommitFenced})
			default:
				sim.step(c, CommitFailed{p.CommandID, CommitRefused})
			}
		})
	}
	if sim.randomBool(sim.faults.lateCommit) { // the answer is lost and the command commits later
		sim.after(sim.randomDuration(time.Second), func() { sim.step(c, CommitFailed{p.CommandID, CommitOutcomeUnknown}) })
		sim.after(sim.randomDuration(5*time.Second), func() { sim.log.apply(p.Command) })
		return
	}
	sim.after(sim.randomDuration(3*time.Millisecond), answer)
}

func (sim *simulation) send(c *Core, s Send) {
	lost := func() {
		sim.after(s.Timeout, func() { sim.step(c, SendFailed{Upstream: s.Upstream, OrderID: s.Order.ID, MaybeDelivered: true}) })
	}
	if sim.randomBool(sim.faults.lostSend) {
		if sim.randomBool(0.5) { // the order arrives late or never
			sim.after(sim.randomDuration(s.Timeout), func() { sim.deliverOrder(s.Order, s.Upstream) })
		}
		lost()
		return
	}
	sim.after(sim.randomDuration(5*time.Millisecond), func() {
		u := sim.upstream(s.Upstream)
		if u.isolated {
			lost()
			return
		}
		if !u.alive || u.announcement.Address != s.Address {
			sim.step(c, SendFailed{Upstream: s.Upstream, OrderID: s.Order.ID, ConnRefused: true})
			return
		}
		r := sim.deliverOrder(s.Order, s.Upstream)
		if sim.randomBool(sim.faults.lostReply) {
			lost()
			return
		}
		sim.after(sim.randomDuration(5*time.Millisecond), func() { sim.step(c, OrderReplied{s.Upstream, r}) })
	})
}

// deliverOrder executes an order at its upstream.
func (sim *simulation) deliverOrder(o upstream.Order, id string) upstream.OrderReply {
	u := sim.upstream(id)
	if !u.alive {
		return upstream.OrderReply{}
	}
	if r := u.replies[o.ID]; r != nil {
		return *r
	}
	if o.Incarnation != u.announcement.Incarnation || u.announcement.ChecksFencing && o.Fence < u.fence {
		return upstream.OrderReply{ID: o.ID, State: upstream.OrderFenced}
	}
	u.fence = max(u.fence, o.Fence)
	r := &upstream.OrderReply{ID: o.ID, State: upstream.OrderAccepted}
	u.replies[o.ID] = r
	i := u.heldIndex(o.Model, o.Adapter)
	if o.Kind == upstream.OrderLoad || o.Kind == upstream.OrderLoadAdapter {
		sim.load(u, o, r, i)
	} else {
		sim.unload(u, o, r, i)
	}
	return *r
}

func (sim *simulation) load(u *fakeUpstream, o upstream.Order, r *upstream.OrderReply, i int) {
	if i >= 0 && sim.isManualLoad(u.held[i]) {
		r.State = upstream.OrderFailed
		return
	}
	if i >= 0 {
		sim.fail("%s: second load of %s by %s", u.announcement.ID, o.Model, o.ID)
		return
	}
	if o.Adapter != "" && u.heldIndex(o.Model, "") < 0 {
		r.State = upstream.OrderFailed
		return
	}
	if slices.ContainsFunc(u.held, sim.isManualLoad) && u.memory()+o.MemoryMiB > u.announcement.MemoryMiB {
		r.State = upstream.OrderFailed
		return
	}
	sim.loads++
	u.held = append(u.held, upstream.HeldModel{Model: o.Model, Adapter: o.Adapter, Version: o.Version, MemoryMiB: o.MemoryMiB, Loading: true, OrderID: o.ID})
	incarnation := u.announcement.Incarnation
	sim.after(sim.randomDuration(2*time.Second), func() {
		if j := u.heldIndex(o.Model, o.Adapter); u.announcement.Incarnation == incarnation && j >= 0 {
			u.held[j].Loading = false
			r.State = upstream.OrderDone
			sim.announce(u)
		}
	})
}

func (sim *simulation) unload(u *fakeUpstream, o upstream.Order, r *upstream.OrderReply, i int) {
	if i < 0 {
		r.State = upstream.OrderDone
		return
	}
	subject := placement.Subject{Model: o.Model, Adapter: o.Adapter}
	if u.running[subject] > 0 {
		sim.fail("%s: %s is unloaded while %d requests run", u.announcement.ID, subject, u.running[subject])
	}
	incarnation := u.announcement.Incarnation
	sim.after(sim.randomDuration(200*time.Millisecond), func() {
		if j := u.heldIndex(o.Model, o.Adapter); u.announcement.Incarnation == incarnation && j >= 0 {
			u.removeHeld(j)
			r.State = upstream.OrderDone
			sim.announce(u)
		}
	})
}

func (sim *simulation) readState(c *Core, r ReadState) {
	sim.after(sim.randomDuration(5*time.Millisecond), func() {
		u := sim.upstream(r.Upstream)
		if !u.alive || u.isolated || sim.randomBool(sim.faults.lostRead) {
			refused := !u.alive
			sim.after(sim.randomDuration(time.Second), func() { sim.step(c, ReadFailed{r.Upstream, refused}) })
			return
		}
		s := u.state()
		sim.after(sim.randomDuration(5*time.Millisecond), func() { sim.step(c, StateRead{r.Upstream, s}) })
	})
}
