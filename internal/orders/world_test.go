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
	leaseTime = 3 * time.Second
)

// fakeUpstream is a runner that counts what must not happen to it.
type fakeUpstream struct {
	a       upstream.Announcement
	alive   bool
	held    []upstream.Held
	replies map[string]*upstream.OrderReply
	fence   uint64
	running map[placement.Subject]int  // a model's include those of its adapters
	used    map[placement.Subject]Time // last end of a request
	seq     uint64
	full    uint64 // number of the last full announcement
	silent  bool   // cut off from the schedulers
}

func (u *fakeUpstream) state() upstream.State {
	s := upstream.State{Incarnation: u.a.Incarnation, Fence: u.fence, Held: slices.Clone(u.held)}
	for _, r := range u.replies {
		s.Orders = append(s.Orders, *r)
	}
	return s
}

// drop frees what is held; the adapters of a model go with it.
func (u *fakeUpstream) drop(i int) {
	gone := u.held[i]
	u.held = slices.DeleteFunc(u.held, func(h upstream.Held) bool {
		return h.Model == gone.Model && (gone.Adapter == "" || h.Adapter == gone.Adapter)
	})
}

func (u *fakeUpstream) memory() uint64 {
	var sum uint64
	for _, h := range u.held {
		sum += h.MemoryMiB
	}
	return sum
}

func (u *fakeUpstream) find(model, adapter string) int {
	return slices.IndexFunc(u.held, func(h upstream.Held) bool { return h.Model == model && h.Adapter == adapter })
}

// task is something that happens later.
type task struct {
	at  Time
	seq int
	do  func()
}

type tasks []task

func (q tasks) Len() int { return len(q) }
func (q tasks) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q tasks) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *tasks) Push(x any)   { *q = append(*q, x.(task)) }
func (q *tasks) Pop() any {
	t := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return t
}

// faults are probabilities of what goes wrong.
type faults struct {
	lostCommit, lateCommit, lostSend, lostReply, lostRead, dupAnnounce float64
	// idleRequests is the share of requests that come for models without demand.
	idleRequests float64
	// Mean pauses; 0: never.
	crashEvery, takeoverEvery, silentEvery, strayEvery time.Duration
}

// world runs cores against the fakes in virtual time.
type world struct {
	now       Time
	rnd       *rand.Rand
	f         faults
	log       *fakeLog
	ups       []*fakeUpstream
	core      *Core
	opts      Options
	ready     map[readyKey]grant.UpstreamState
	demand    []placement.Demand
	queue     tasks
	seq       int
	fails     []string
	loads     int
	takeovers int
	quiet     bool // no new demand
	trace     []traced
}

func newWorld(seed uint64, log *fakeLog, runners int, f faults) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 9)), f: f, log: log, ready: map[readyKey]grant.UpstreamState{}}
	for i := range runners {
		u := &fakeUpstream{alive: true, replies: map[string]*upstream.OrderReply{}, running: map[placement.Subject]int{}, used: map[placement.Subject]Time{}}
		u.a = upstream.Announcement{
			ID: fmt.Sprintf("r%d", i), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:80", i), Cell: testCell,
			Zone: string(rune('a' + i%3)), MemoryMiB: 100, Slots: 4, ChecksFencing: i%2 == 0,
		}
		w.ups = append(w.ups, u)
		w.after(w.rndTime(time.Second), func() { w.heartbeat(u) })
	}
	if f.crashEvery > 0 {
		w.after(w.rndTime(f.crashEvery), w.crashOne)
	}
	if f.silentEvery > 0 {
		w.after(w.rndTime(f.silentEvery), w.silenceOne)
	}
	if f.strayEvery > 0 {
		w.after(w.rndTime(f.strayEvery), w.loadStray)
	}
	w.after(w.rndTime(requestEvery), w.requestAny)
	if f.takeoverEvery > 0 {
		w.after(w.rndTime(f.takeoverEvery), w.takeover)
	}
	return w
}

func (w *world) after(d Time, do func()) {
	w.seq++
	heap.Push(&w.queue, task{w.now + d, w.seq, do})
}

func (w *world) rndTime(limit Time) Time { return 1 + Time(w.rnd.Int64N(int64(limit))) }

func (w *world) chance(p float64) bool { return w.rnd.Float64() < p }

func (w *world) fail(format string, args ...any) {
	w.fails = append(w.fails, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) run(until Time) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.fails) == 0 {
		t := heap.Pop(&w.queue).(task)
		w.now = t.at
		t.do()
		w.check()
	}
	w.now = until
}

// check looks at what the upstreams really hold.
func (w *world) check() {
	counts := map[string]int{}
	for _, u := range w.ups {
		var used uint64
		for _, h := range u.held {
			if w.isByHand(h) {
				continue
			}
			used += h.MemoryMiB
			if h.Adapter == "" {
				counts[h.Model]++
			}
		}
		if used > u.a.MemoryMiB {
			w.fail("%s holds %d MiB of %d", u.a.ID, used, u.a.MemoryMiB)
		}
	}
	for m, n := range counts {
		if n > replicasOf(w.log.spec, m) {
			w.fail("%d replicas of %s are loaded, the file allows %d", n, m, replicasOf(w.log.spec, m))
		}
	}
}

// start begins the term of a new scheduler.
func (w *world) start(takeover Time) { w.begin(w.log.nextHolder(), takeover) }

func (w *world) begin(fence uint64, takeover Time) {
	o := w.opts
	o.Cell, o.Lease, o.Fence, o.Takeover = testCell, testLease, fence, takeover
	c := New(o)
	w.core = c
	w.after(w.rndTime(5*time.Millisecond), func() { w.step(c, w.log.read()) })
	w.tick(c)
}

// takeover lets a new scheduler begin while the old one goes on until its lease ends.
func (w *world) takeover() {
	if w.f.takeoverEvery == 0 {
		return
	}
	w.takeovers++
	old := w.core
	life := old.o.OrderLife
	if w.chance(0.4) { // the process dies and its restart keeps the fencing number
		w.endTerm(old)
		w.begin(w.log.fence, leaseTime+life)
	} else {
		w.after(leaseTime, func() { w.endTerm(old) })
		w.start(leaseTime + life)
	}
	w.after(w.rndTime(w.f.takeoverEvery), w.takeover)
}

func (w *world) endTerm(c *Core) {
	w.step(c, LeaseEnded{})
	maps.DeleteFunc(w.ready, func(k readyKey, _ grant.UpstreamState) bool { return k.fence == c.o.Fence })
}

func (w *world) tick(c *Core) {
	if c.stopped {
		return
	}
	w.step(c, Tick{})
	w.plan(c)
	w.after(100*time.Millisecond, func() { w.tick(c) })
}

func (w *world) plan(c *Core) {
	in := c.Snapshot(w.now, func(id, model, adapter string) (int, Time) {
		u := w.upstream(id)
		subject := placement.Subject{Model: model, Adapter: adapter}
		return u.running[subject], u.used[subject]
	})
	if in.Spec == nil {
		return
	}
	in.Demand = w.demand
	in.Settings = placement.DefaultSettings()
	in.Settings.MinResident = time.Second
	w.step(c, Planned{placement.Make(in)})
}

func (w *world) upstream(id string) *fakeUpstream {
	for _, u := range w.ups {
		if u.a.ID == id {
			return u
		}
	}
	return nil
}

func (w *world) step(c *Core, ev Event) {
	actions, err := c.Step(w.now, ev)
	w.note(c, ev, actions)
	if err != nil {
		w.fail("%v", err)
		return
	}
	for _, a := range slices.Clone(actions) {
		w.act(c, a)
	}
}

// note keeps the last steps for a failure's report.
func (w *world) note(c *Core, ev Event, actions []Action) {
	if _, quiet := ev.(Tick); quiet && len(actions) == 0 {
		return
	}
	w.trace = append(w.trace, traced{w.now, c.o.Fence, ev, slices.Clone(actions)})
	if len(w.trace) > 2*traceLength {
		w.trace = slices.Clone(w.trace[traceLength:])
	}
}

const traceLength = 30

// traced is one step of a core.
type traced struct {
	at      Time
	fence   uint64
	ev      Event
	actions []Action
}

// report returns the failures with the last steps.
func (w *world) report() string {
	var b strings.Builder
	fmt.Fprintln(&b, w.fails)
	for _, t := range w.trace {
		fmt.Fprintf(&b, "%v fence %d: %T%+v -> %T%+v\n", t.at, t.fence, t.ev, t.ev, t.actions, t.actions)
	}
	return b.String()
}

func (w *world) act(c *Core, a Action) {
	switch a := a.(type) {
	case Propose:
		w.commit(c, a)
	case Send:
		w.send(c, a)
	case ReadState:
		w.readState(c, a)
	case ReadLog:
		w.after(w.rndTime(5*time.Millisecond), func() { w.step(c, w.log.read()) })
	case GrantUpdate:
		w.grantUpdate(c.o.Fence, a.Event)
	}
}

func (w *world) commit(c *Core, p Propose) {
	answer := func() {
		r := w.log.apply(p.Command)
		if w.chance(w.f.lostCommit) {
			w.after(w.rndTime(time.Second), func() { w.step(c, CommitFailed{p.Batch, CommitUnknown}) })
			return
		}
		w.after(w.rndTime(3*time.Millisecond), func() {
			switch r.Code {
			case wire.ResultCode_RESULT_OK:
				w.step(c, Committed{p.Batch, r.Index, r.Orders})
			case wire.ResultCode_RESULT_FENCED:
				w.step(c, CommitFailed{p.Batch, CommitFenced})
			default:
				w.step(c, CommitFailed{p.Batch, CommitRefused})
			}
		})
	}
	if w.chance(w.f.lateCommit) { // the answer is lost and the command commits long after
		w.after(w.rndTime(time.Second), func() { w.step(c, CommitFailed{p.Batch, CommitUnknown}) })
		w.after(w.rndTime(5*time.Second), func() { w.log.apply(p.Command) })
		return
	}
	w.after(w.rndTime(3*time.Millisecond), answer)
}

func (w *world) send(c *Core, s Send) {
	lost := func() {
		w.after(s.Timeout, func() { w.step(c, SendFailed{Upstream: s.Upstream, Order: s.Order.ID, Unknown: true}) })
	}
	if w.chance(w.f.lostSend) {
		if w.chance(0.5) { // it arrives late, or never
			w.after(w.rndTime(s.Timeout), func() { w.arrive(s.Order, s.Upstream) })
		}
		lost()
		return
	}
	w.after(w.rndTime(5*time.Millisecond), func() {
		u := w.upstream(s.Upstream)
		if u.silent {
			lost()
			return
		}
		if !u.alive || u.a.Address != s.Address {
			w.step(c, SendFailed{Upstream: s.Upstream, Order: s.Order.ID, Refused: true})
			return
		}
		r := w.arrive(s.Order, s.Upstream)
		if w.chance(w.f.lostReply) {
			lost()
			return
		}
		w.after(w.rndTime(5*time.Millisecond), func() { w.step(c, Replied{s.Upstream, r}) })
	})
}

// arrive carries an order out at its upstream.
func (w *world) arrive(o upstream.Order, id string) upstream.OrderReply {
	u := w.upstream(id)
	if !u.alive {
		return upstream.OrderReply{}
	}
	if r := u.replies[o.ID]; r != nil {
		return *r
	}
	if o.Incarnation != u.a.Incarnation || u.a.ChecksFencing && o.Fence < u.fence {
		return upstream.OrderReply{ID: o.ID, State: upstream.OrderFenced}
	}
	u.fence = max(u.fence, o.Fence)
	r := &upstream.OrderReply{ID: o.ID, State: upstream.OrderAccepted}
	u.replies[o.ID] = r
	i := u.find(o.Model, o.Adapter)
	if o.Kind == upstream.OrderLoad || o.Kind == upstream.OrderLoadAdapter {
		w.load(u, o, r, i)
	} else {
		w.unload(u, o, r, i)
	}
	return *r
}

func (w *world) load(u *fakeUpstream, o upstream.Order, r *upstream.OrderReply, i int) {
	if i >= 0 && w.isByHand(u.held[i]) {
		r.State = upstream.OrderFailed
		return
	}
	if i >= 0 {
		w.fail("%s: second load of %s by %s", u.a.ID, o.Model, o.ID)
		return
	}
	if o.Adapter != "" && u.find(o.Model, "") < 0 {
		r.State = upstream.OrderFailed
		return
	}
	if slices.ContainsFunc(u.held, w.isByHand) && u.memory()+o.MemoryMiB > u.a.MemoryMiB {
		r.State = upstream.OrderFailed
		return
	}
	w.loads++
	u.held = append(u.held, upstream.Held{Model: o.Model, Adapter: o.Adapter, Version: o.Version, MemoryMiB: o.MemoryMiB, Loading: true, OrderID: o.ID})
	incarnation := u.a.Incarnation
	w.after(w.rndTime(2*time.Second), func() {
		if j := u.find(o.Model, o.Adapter); u.a.Incarnation == incarnation && j >= 0 {
			u.held[j].Loading = false
			r.State = upstream.OrderDone
			w.announce(u)
		}
	})
}

func (w *world) unload(u *fakeUpstream, o upstream.Order, r *upstream.OrderReply, i int) {
	if i < 0 {
		r.State = upstream.OrderDone
		return
	}
	subject := placement.Subject{Model: o.Model, Adapter: o.Adapter}
	if u.running[subject] > 0 {
		w.fail("%s: %s is unloaded while %d requests run", u.a.ID, subject, u.running[subject])
	}
	incarnation := u.a.Incarnation
	w.after(w.rndTime(200*time.Millisecond), func() {
		if j := u.find(o.Model, o.Adapter); u.a.Incarnation == incarnation && j >= 0 {
			u.drop(j)
			r.State = upstream.OrderDone
			w.announce(u)
		}
	})
}

func (w *world) readState(c *Core, r ReadState) {
	w.after(w.rndTime(5*time.Millisecond), func() {
		u := w.upstream(r.Upstream)
		if !u.alive || u.silent || w.chance(w.f.lostRead) {
			refused := !u.alive
			w.after(w.rndTime(time.Second), func() { w.step(c, ReadFailed{r.Upstream, refused}) })
			return
		}
		s := u.state()
		w.after(w.rndTime(5*time.Millisecond), func() { w.step(c, StateRead{r.Upstream, s}) })
	})
}
