package orders

import (
	"container/heap"
	"fmt"
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

// fakeLog is the state machine as far as orders go.
type fakeLog struct {
	index     uint64
	fence     uint64
	spec      *wire.Spec
	upstreams map[string]*wire.UpstreamRecord
	loads     map[string]*wire.Order // placements by order id
	unloads   map[string]*wire.Order // open unloads by order id
}

func newFakeLog(s *wire.Spec) *fakeLog {
	return &fakeLog{spec: s, upstreams: map[string]*wire.UpstreamRecord{}, loads: map[string]*wire.Order{}, unloads: map[string]*wire.Order{}}
}

// apply returns false when the fencing number has ended.
func (l *fakeLog) apply(cmd *wire.Command) ([]*wire.OrderResult, bool) {
	l.index++
	switch op := cmd.Op.(type) {
	case *wire.Command_CommitOrders:
		if op.CommitOrders.Fence != l.fence {
			return nil, false
		}
		var rs []*wire.OrderResult
		for _, o := range op.CommitOrders.Orders {
			rs = append(rs, &wire.OrderResult{Id: o.Id, Accepted: l.accept(o)})
		}
		return rs, true
	case *wire.Command_SettleOrders:
		if op.SettleOrders.Fence != l.fence {
			return nil, false
		}
		for _, s := range op.SettleOrders.Settlements {
			l.settle(s)
		}
	case *wire.Command_PutUpstream:
		return nil, l.put(op.PutUpstream)
	case *wire.Command_DropUpstream:
		if op.DropUpstream.Fence != l.fence {
			return nil, false
		}
		if u := l.upstreams[op.DropUpstream.Id]; u != nil && u.Incarnation == op.DropUpstream.Incarnation {
			delete(l.upstreams, u.Id)
			l.end(u.Id, 0)
		}
	}
	return nil, true
}

func (l *fakeLog) put(p *wire.PutUpstream) bool {
	if p.Fence != l.fence {
		return false
	}
	if old := l.upstreams[p.Upstream.Id]; old == nil || old.Incarnation <= p.Upstream.Incarnation {
		l.upstreams[p.Upstream.Id] = p.Upstream
		l.end(p.Upstream.Id, p.Upstream.Incarnation)
	}
	return true
}

// end drops what other incarnations of an upstream held.
func (l *fakeLog) end(id string, keep uint64) {
	for _, m := range []map[string]*wire.Order{l.loads, l.unloads} {
		for k, o := range m {
			if o.Upstream == id && o.Incarnation != keep {
				delete(m, k)
			}
		}
	}
}

func (l *fakeLog) accept(o *wire.Order) bool {
	u := l.upstreams[o.Upstream]
	if u == nil || u.Incarnation != o.Incarnation {
		return false
	}
	o = cloneOrder(o)
	o.Index = l.index
	o.State = wire.OrderState_ORDER_OPEN
	if !isLoad(o.Kind) {
		for _, p := range l.loads {
			if p.Upstream == o.Upstream && p.Model == o.Model && p.Adapter == o.Adapter && p.State == wire.OrderState_ORDER_LOADED {
				l.unloads[o.Id] = o
				return true
			}
		}
		return false
	}
	used, count := o.MemoryMib, 1
	for _, p := range l.loads {
		if p.Upstream == o.Upstream {
			used += p.MemoryMib
			if p.Model == o.Model && p.Adapter == o.Adapter {
				return false
			}
		}
		if p.Model == o.Model && p.Adapter == "" {
			count++
		}
	}
	if used > u.MemoryMib || o.Adapter == "" && count > replicasOf(l.spec, o.Model) {
		return false
	}
	l.loads[o.Id] = o
	return true
}

func cloneOrder(o *wire.Order) *wire.Order {
	return &wire.Order{
		Id: o.Id, Kind: o.Kind, Cell: o.Cell, Upstream: o.Upstream, Incarnation: o.Incarnation,
		Model: o.Model, Version: o.Version, Adapter: o.Adapter, MemoryMib: o.MemoryMib, State: o.State, Index: o.Index, Fence: o.Fence,
	}
}

func replicasOf(s *wire.Spec, model string) int {
	for _, m := range s.Models {
		if m.Name == model {
			return int(m.Replicas)
		}
	}
	return 0
}

func (l *fakeLog) settle(s *wire.Settlement) {
	if o := l.loads[s.OrderId]; o != nil {
		if s.State == wire.OrderState_ORDER_LOADED {
			o.State = s.State
		} else {
			delete(l.loads, s.OrderId)
		}
		return
	}
	o := l.unloads[s.OrderId]
	if o == nil {
		return
	}
	delete(l.unloads, s.OrderId)
	if s.State != wire.OrderState_ORDER_GONE {
		return
	}
	for k, p := range l.loads {
		if p.Upstream == o.Upstream && p.Model == o.Model && p.Adapter == o.Adapter {
			delete(l.loads, k)
		}
	}
}

func (l *fakeLog) read() Recovered {
	r := Recovered{Index: l.index, Spec: l.spec}
	for _, u := range l.upstreams {
		r.Upstreams = append(r.Upstreams, u)
	}
	for _, o := range l.loads {
		r.Placements = append(r.Placements, &wire.Placement{Order: cloneOrder(o)})
	}
	for _, o := range l.unloads {
		r.OpenOrders = append(r.OpenOrders, cloneOrder(o))
	}
	slices.SortFunc(r.Upstreams, func(a, b *wire.UpstreamRecord) int { return compareStrings(a.Id, b.Id) })
	slices.SortFunc(r.Placements, func(a, b *wire.Placement) int { return compareStrings(a.Order.Id, b.Order.Id) })
	slices.SortFunc(r.OpenOrders, func(a, b *wire.Order) int { return compareStrings(a.Id, b.Id) })
	return r
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// fakeUpstream is a runner that counts what must not happen to it.
type fakeUpstream struct {
	a       upstream.Announcement
	alive   bool
	held    []upstream.Held
	replies map[string]*upstream.OrderReply
	fence   uint64
	running map[string]int
	seq     uint64
}

func (u *fakeUpstream) state() upstream.State {
	s := upstream.State{Incarnation: u.a.Incarnation, Fence: u.fence, Held: slices.Clone(u.held)}
	for _, r := range u.replies {
		s.Orders = append(s.Orders, *r)
	}
	return s
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
	crashEvery, takeoverEvery                                          time.Duration
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
	ready     map[string][]grant.Ready
	demand    []placement.Demand
	queue     tasks
	seq       int
	fails     []string
	loads     int
	takeovers int
	quiet     bool // no new demand
	trace     []traced
}

func newWorld(seed uint64, s *wire.Spec, runners int, f faults) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 9)), f: f, log: newFakeLog(s), ready: map[string][]grant.Ready{}}
	for i := range runners {
		u := &fakeUpstream{alive: true, replies: map[string]*upstream.OrderReply{}, running: map[string]int{}}
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

// start begins the term of a scheduler.
func (w *world) start(takeover Time) {
	w.log.fence++
	o := w.opts
	o.Cell, o.Lease, o.Fence, o.Takeover = testCell, testLease, w.log.fence, takeover
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
	w.after(leaseTime, func() { w.step(old, LeaseEnded{}) })
	life := old.o.OrderLife
	w.start(leaseTime + life)
	w.after(w.rndTime(w.f.takeoverEvery), w.takeover)
}

func (w *world) tick(c *Core) {
	if c.stopped {
		return
	}
	w.step(c, Tick{})
	w.plan(c)
	w.after(50*time.Millisecond, func() { w.tick(c) })
}

func (w *world) plan(c *Core) {
	in := c.Snapshot(w.now, func(id, model, adapter string) (int, Time) {
		return w.upstream(id).running[model], w.now
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
		if c == w.core {
			w.grantUpdate(a.Event)
		}
	}
}

func (w *world) commit(c *Core, p Propose) {
	answer := func() {
		results, ok := w.log.apply(p.Command)
		index := w.log.index
		if w.chance(w.f.lostCommit) {
			w.after(w.rndTime(time.Second), func() { w.step(c, CommitFailed{p.Batch, CommitUnknown}) })
			return
		}
		w.after(w.rndTime(3*time.Millisecond), func() {
			if !ok {
				w.step(c, CommitFailed{p.Batch, CommitFenced})
				return
			}
			w.step(c, Committed{p.Batch, index, results})
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
	if i >= 0 {
		w.fail("%s: second load of %s by %s", u.a.ID, o.Model, o.ID)
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
	if u.running[o.Model] > 0 {
		w.fail("%s: %s is unloaded while %d requests run", u.a.ID, o.Model, u.running[o.Model])
	}
	incarnation := u.a.Incarnation
	w.after(w.rndTime(200*time.Millisecond), func() {
		if j := u.find(o.Model, o.Adapter); u.a.Incarnation == incarnation && j >= 0 {
			u.held = slices.Delete(u.held, j, j+1)
			r.State = upstream.OrderDone
			w.announce(u)
		}
	})
}

func (w *world) readState(c *Core, r ReadState) {
	w.after(w.rndTime(5*time.Millisecond), func() {
		u := w.upstream(r.Upstream)
		if !u.alive || w.chance(w.f.lostRead) {
			refused := !u.alive
			w.after(w.rndTime(time.Second), func() { w.step(c, ReadFailed{r.Upstream, refused}) })
			return
		}
		s := u.state()
		w.after(w.rndTime(5*time.Millisecond), func() { w.step(c, StateRead{r.Upstream, s}) })
	})
}

func (w *world) heartbeat(u *fakeUpstream) {
	w.announce(u)
	w.after(time.Second, func() { w.heartbeat(u) })
}

// announce sends an announcement; it may come late, twice or out of order.
func (w *world) announce(u *fakeUpstream) {
	if !u.alive {
		return
	}
	u.seq++
	a := u.a
	a.Sequence = u.seq
	a.State = u.state()
	times := 1
	if w.chance(w.f.dupAnnounce) {
		times = 2
	}
	for range times {
		w.after(w.rndTime(300*time.Millisecond), func() { w.step(w.core, Announced{a}) })
	}
}

// crashOne ends an upstream; it starts again as a new incarnation.
func (w *world) crashOne() {
	if w.f.crashEvery == 0 {
		return
	}
	u := w.ups[w.rnd.IntN(len(w.ups))]
	u.alive = false
	u.held, u.replies = nil, map[string]*upstream.OrderReply{}
	clear(u.running)
	w.after(w.rndTime(10*time.Second), func() {
		if !u.alive {
			u.alive = true
			u.a.Incarnation++
			u.fence = 0
			u.seq = 0
			w.announce(u)
		}
	})
	w.after(w.rndTime(w.f.crashEvery), w.crashOne)
}

// grantUpdate starts requests on what is ready, as the grant core would.
func (w *world) grantUpdate(ev grant.Event) {
	s, ok := ev.(grant.UpstreamState)
	if !ok {
		return
	}
	w.ready[s.ID] = s.Ready
	u := w.upstream(s.ID)
	if u.a.Incarnation != s.Incarnation || !u.alive {
		return
	}
	for _, r := range s.Ready {
		if w.chance(0.3) && u.find(r.Model, "") >= 0 {
			w.request(u, r.Model)
		}
	}
}

func (w *world) request(u *fakeUpstream, model string) {
	incarnation := u.a.Incarnation
	u.running[model]++
	w.after(w.rndTime(time.Second), func() {
		if u.a.Incarnation == incarnation && u.alive && u.running[model] > 0 {
			u.running[model]--
		}
	})
}
