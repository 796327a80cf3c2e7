package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// harness steps one core and fails the test on a violated invariant.
type harness struct {
	is   *is.I
	core *Core
	now  Time
}

const testTakeover = 5 * time.Second

func newHarness(t *testing.T, o Options) *harness {
	o.Cell, o.Lease, o.Fence = testCell, testLease, 7
	return &harness{is: is.New(t), core: New(o)}
}

func (h *harness) step(ev Event) []Action {
	acts, err := h.core.Step(h.now, ev)
	h.is.NoErr(err)
	return append([]Action(nil), acts...)
}

// tickAt advances the time to d and steps a Tick.
func (h *harness) tickAt(d Time) []Action {
	h.now = d
	return h.step(Tick{})
}

func findAction[T Action](acts []Action) (T, bool) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			return x, true
		}
	}
	var zero T
	return zero, false
}

func specWithOneModel() *wire.Spec {
	return &wire.Spec{Index: 1, Models: []*wire.Model{{Name: "m", Version: "1", Replicas: 1, MemoryMib: 40}}}
}

func runnerRecord(checks bool) *wire.UpstreamRecord {
	return &wire.UpstreamRecord{
		Id: "r", Incarnation: 3, Cell: testCell, Zone: "a", Address: "10.0.0.1:80", MemoryMib: 100, Slots: 4, ChecksFencing: checks,
	}
}

func committedLoad(state wire.OrderState) *wire.Order {
	return &wire.Order{
		Id: "tay/6/1", Kind: wire.OrderKind_ORDER_LOAD, Cell: testCell, Upstream: "r", Incarnation: 3,
		Model: "m", Version: "1", MemoryMib: 40, Fence: 6, State: state, Index: 5,
	}
}

// recoverLog starts a term with one runner and, unless load is nil, one load in the log.
func (h *harness) recoverLog(checks bool, load *wire.Order) []Action {
	ev := LogRead{Index: 9, Spec: specWithOneModel(), Upstreams: []*wire.UpstreamRecord{runnerRecord(checks)}}
	if load != nil {
		ev.Placements = []*wire.Placement{{Order: load}}
	}
	return h.step(ev)
}

func (h *harness) announce(sequence uint64, change func(*upstream.Announcement)) []Action {
	a := upstream.Announcement{
		ID: "r", Incarnation: 3, Sequence: sequence, Address: "10.0.0.1:80", Zone: "a", Cell: testCell,
		MemoryMiB: 100, Slots: 4, ChecksFencing: true, State: upstream.State{Incarnation: 3},
	}
	if change != nil {
		change(&a)
	}
	return h.step(Announced{a})
}

func stateHolding(order string, loading bool) upstream.State {
	return upstream.State{Incarnation: 3, Held: []upstream.HeldModel{{Model: "m", Version: "1", MemoryMiB: 40, OrderID: order, Loading: loading}}}
}

func (h *harness) stateRead(s upstream.State) []Action {
	return h.step(StateRead{Upstream: "r", State: s})
}

func findSettlement(acts []Action) *wire.Settlement {
	p, _ := findAction[Propose](acts)
	s := p.Command.GetSettleOrders().GetSettlements()
	if len(s) == 0 {
		return &wire.Settlement{}
	}
	return s[0]
}

func planWithLoad() Planned {
	return Planned{placement.Plan{Orders: []placement.Order{{
		Kind: wire.OrderKind_ORDER_LOAD, Runner: "r", Model: "m", Version: "1", MemoryMiB: 40, Tier: wire.Tier_TIER_DISK,
	}}}}
}

// A load that the former holder started must not be loaded again.
func TestTakeover_LoadInProgress(t *testing.T) {
	h := newHarness(t, Options{TakeoverWait: testTakeover})
	_, reads := findAction[ReadState](h.recoverLog(true, committedLoad(wire.OrderState_ORDER_OPEN)))
	h.is.True(reads) // the runner's state is read first
	for _, acts := range [][]Action{h.stateRead(stateHolding("tay/6/1", true)), h.step(planWithLoad()), h.tickAt(10 * time.Second)} {
		_, sent := findAction[Send](acts)
		h.is.True(!sent)
	}
	acts := h.announce(1, func(a *upstream.Announcement) { a.State = stateHolding("tay/6/1", false) })
	h.is.Equal(findSettlement(acts).State, wire.OrderState_ORDER_LOADED)
	g, _ := findAction[GrantUpdate](acts)
	h.is.Equal(g.Event.(grant.UpstreamState).Ready, []grant.Ready{{Model: "m", Version: "1"}})
}

// An open order that never reached its upstream is sent under the same id, so that a late
// copy of the first sending can't load twice.
func TestTakeover_OpenOrderUnknownToUpstream(t *testing.T) {
	h := newHarness(t, Options{TakeoverWait: testTakeover})
	h.recoverLog(true, committedLoad(wire.OrderState_ORDER_OPEN))
	s, ok := findAction[Send](h.stateRead(upstream.State{Incarnation: 3, Fence: 6}))
	h.is.True(ok)
	h.is.Equal(s.Order.ID, "tay/6/1")
	h.is.Equal(s.Order.Fence, uint64(7)) // under the new fencing number
}

// An upstream that ignores fencing numbers gets no order until the takeover wait is over: an
// order of the former holder could still arrive.
func TestTakeover_UpstreamIgnoresFencing(t *testing.T) {
	h := newHarness(t, Options{TakeoverWait: testTakeover})
	h.recoverLog(false, committedLoad(wire.OrderState_ORDER_OPEN))
	_, sent := findAction[Send](h.stateRead(upstream.State{Incarnation: 3}))
	h.is.True(!sent)
	h.tickAt(testTakeover - 1)
	_, sent = findAction[Send](h.stateRead(upstream.State{Incarnation: 3}))
	h.is.True(!sent)
	_, reads := findAction[ReadState](h.tickAt(testTakeover + DefaultReadInterval))
	h.is.True(reads) // the state is read again after the wait
	s, sent := findAction[Send](h.stateRead(upstream.State{Incarnation: 3}))
	h.is.True(sent && s.Serial)
}

// newReadyHarness returns a harness without a takeover wait whose runner has announced itself
// and whose state was read.
func newReadyHarness(t *testing.T, load *wire.Order, held upstream.State) *harness {
	h := newHarness(t, Options{})
	h.recoverLog(true, load)
	h.stateRead(held)
	h.announce(1, func(a *upstream.Announcement) { a.State = held })
	return h
}

func TestPlanned_LoadNotYetCommitted(t *testing.T) {
	h := newReadyHarness(t, nil, upstream.State{Incarnation: 3})
	acts := h.step(planWithLoad())
	p, ok := findAction[Propose](acts)
	h.is.True(ok)
	_, sent := findAction[Send](acts)
	h.is.True(!sent)
	id := p.Command.GetCommitOrders().GetOrders()[0].GetId()
	s, sent := findAction[Send](h.step(Committed{p.CommandID, 10, []*wire.OrderResult{{Id: id, Accepted: true}}}))
	h.is.True(sent)
	h.is.Equal(s.Order.ID, id)
}

// A restarted holder keeps its fencing number and must not reuse order ids: an upstream
// answers a repeated id with the state of the first order.
func TestPlanned_RestartUnderSameFence(t *testing.T) {
	id := func(index uint64) string {
		h := newHarness(t, Options{})
		h.step(LogRead{Index: index, Spec: specWithOneModel(), Upstreams: []*wire.UpstreamRecord{runnerRecord(true)}})
		h.stateRead(upstream.State{Incarnation: 3})
		p, _ := findAction[Propose](h.step(planWithLoad()))
		return p.Command.GetCommitOrders().GetOrders()[0].GetId()
	}
	is := is.New(t)
	is.True(id(9) != id(12))
}

// An order of unknown outcome keeps its slot and memory, however long the upstream is
// silent.
func TestSend_OutcomeUnknownUpstreamSilent(t *testing.T) {
	h := newReadyHarness(t, nil, upstream.State{Incarnation: 3})
	p, _ := findAction[Propose](h.step(planWithLoad()))
	id := p.Command.GetCommitOrders().GetOrders()[0].GetId()
	h.step(Committed{p.CommandID, 10, []*wire.OrderResult{{Id: id, Accepted: true}}})
	h.step(SendFailed{Upstream: "r", OrderID: id, MaybeDelivered: true})
	for s := range 120 {
		h.tickAt(Time(s) * time.Second)
		h.step(ReadFailed{Upstream: "r"})
	}
	in := h.core.Snapshot(h.now, nil)
	h.is.Equal(len(in.Runners), 1)
	h.is.Equal(in.Runners[0].Allocations[0].State, placement.OutcomeUnknown)
	_, again := findAction[Propose](h.step(planWithLoad()))
	h.is.True(!again) // no second load while the outcome is unknown
}

// A leaving upstream is reported to the grant core at once.
func TestAnnounced_UpstreamLeaving(t *testing.T) {
	h := newReadyHarness(t, committedLoad(wire.OrderState_ORDER_LOADED), stateHolding("tay/6/1", false))
	g, ok := findAction[GrantUpdate](h.announce(2, func(a *upstream.Announcement) { a.Leaving = true; a.State = stateHolding("tay/6/1", false) }))
	h.is.True(ok)
	h.is.True(g.Event.(grant.UpstreamState).Leaving)
	g, ok = findAction[GrantUpdate](h.announce(1, func(a *upstream.Announcement) { a.State.Running = 3 }))
	h.is.True(!ok) // an older announcement changes nothing
	_ = g
}

// Guards against an upstream that leaves being granted again by the next scheduler, which gets a late
// announcement first.
func TestAnnounced_LeavingAtNextScheduler(t *testing.T) {
	first := newReadyHarness(t, committedLoad(wire.OrderState_ORDER_LOADED), stateHolding("tay/6/1", false))
	p, ok := findAction[Propose](first.announce(2, func(a *upstream.Announcement) { a.Leaving = true; a.State = stateHolding("tay/6/1", false) }))
	first.is.True(ok)
	rec := p.Command.GetPutUpstream().GetUpstream()
	first.is.True(rec.GetLeaving())
	first.step(Committed{CommandID: p.CommandID, Index: 10})
	_, again := findAction[Propose](first.announce(3, func(a *upstream.Announcement) { a.Leaving = true; a.State = stateHolding("tay/6/1", false) }))
	first.is.True(!again) // recorded once

	next := newHarness(t, Options{})
	next.step(LogRead{Index: 10, Spec: specWithOneModel(), Upstreams: []*wire.UpstreamRecord{rec},
		Placements: []*wire.Placement{{Order: committedLoad(wire.OrderState_ORDER_LOADED)}}})
	late := next.announce(1, func(a *upstream.Announcement) { a.State = stateHolding("tay/6/1", false) })
	read := next.stateRead(stateHolding("tay/6/1", false))
	granted := 0
	for _, act := range append(late, read...) {
		update, _ := act.(GrantUpdate)
		if state, ok := update.Event.(grant.UpstreamState); ok {
			granted++
			next.is.True(state.Leaving)
		}
	}
	next.is.True(granted > 0)
	_, again = findAction[Propose](append(late, read...))
	next.is.True(!again)
}

func TestPlanned_UnloadOfServingModel(t *testing.T) {
	h := newReadyHarness(t, committedLoad(wire.OrderState_ORDER_LOADED), stateHolding("tay/6/1", false))
	acts := h.step(Planned{placement.Plan{Orders: []placement.Order{{
		Kind: wire.OrderKind_ORDER_UNLOAD, Runner: "r", Model: "m", Version: "1", MemoryMiB: 40, LoadOrderID: "tay/6/1",
	}}}})
	h.is.Equal(len(acts), 2)
	h.is.Equal(acts[0].(GrantUpdate).Event.(grant.UpstreamState).Ready, nil)
	_, ok := acts[1].(Propose)
	h.is.True(ok)
}

func TestPlanned_DrainStartsAndEnds(t *testing.T) {
	h := newReadyHarness(t, committedLoad(wire.OrderState_ORDER_LOADED), stateHolding("tay/6/1", false))
	acts := h.step(Planned{placement.Plan{Drains: []placement.Drain{{Runner: "r", Model: "m", Version: "1", OrderID: "tay/6/1"}}}})
	g, ok := findAction[GrantUpdate](acts)
	h.is.True(ok)
	h.is.Equal(g.Event.(grant.UpstreamState).Ready, nil)
	g, ok = findAction[GrantUpdate](h.step(Planned{}))
	h.is.True(ok) // the next plan ends the drain
	h.is.Equal(len(g.Event.(grant.UpstreamState).Ready), 1)
}

func TestLogRead_HigherFence(t *testing.T) {
	h := newReadyHarness(t, nil, upstream.State{Incarnation: 3})
	h.tickAt(time.Second)
	higher := committedLoad(wire.OrderState_ORDER_OPEN)
	higher.Fence = 8
	_, stopped := findAction[Stop](h.step(LogRead{Index: 20, Spec: specWithOneModel(), Placements: []*wire.Placement{{Order: higher}}}))
	h.is.True(stopped)
	h.is.Equal(len(h.step(planWithLoad())), 0) // a stopped core emits no actions
}

func TestLiveness_UpstreamSilent(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused bool
		leaving bool
		drops   bool
	}{
		{"unreachable", false, false, false},
		{"refused", true, false, true},
		{"leaving and unreachable", false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newReadyHarness(t, committedLoad(wire.OrderState_ORDER_LOADED), stateHolding("tay/6/1", false))
			h.announce(2, func(a *upstream.Announcement) { a.Leaving = c.leaving; a.State = stateHolding("tay/6/1", false) })
			dropped := false
			for s := range 60 {
				acts := h.tickAt(Time(s) * time.Second)
				acts = append(acts, h.step(ReadFailed{Upstream: "r", ConnRefused: c.refused})...)
				for _, a := range acts {
					p, ok := a.(Propose)
					dropped = dropped || ok && p.Command.GetDropUpstream() != nil
				}
			}
			h.is.Equal(dropped, c.drops)
		})
	}
}

// A new incarnation ends the reservations of the old one, but only once the log has it.
func TestAnnounced_NewIncarnation(t *testing.T) {
	h := newReadyHarness(t, committedLoad(wire.OrderState_ORDER_LOADED), stateHolding("tay/6/1", false))
	acts := h.announce(1, func(a *upstream.Announcement) { a.Incarnation = 4; a.State.Incarnation = 4 })
	g, _ := findAction[GrantUpdate](acts)
	h.is.Equal(g.Event, grant.UpstreamGone{ID: "r", Incarnation: 3})
	p, _ := findAction[Propose](acts)
	h.is.Equal(p.Command.GetPutUpstream().GetUpstream().GetIncarnation(), uint64(4))
	h.is.Equal(len(h.core.Snapshot(h.now, nil).Runners[0].Allocations), 1) // counted until the registration is committed
	h.step(Committed{p.CommandID, 11, nil})
	h.is.Equal(len(h.core.Snapshot(h.now, nil).Runners[0].Allocations), 0)
}

func TestAnnounced_LimitBeginsAndEnds(t *testing.T) {
	h := newReadyHarness(t, committedLoad(wire.OrderState_ORDER_LOADED), stateHolding("tay/6/1", false))
	announce := func(sequence uint64, limit *float64) *float64 {
		g, ok := findAction[GrantUpdate](h.announce(sequence, func(a *upstream.Announcement) { a.MaxPerSecond, a.State = limit, stateHolding("tay/6/1", false) }))
		h.is.True(ok)
		return g.Event.(grant.UpstreamState).MaxPerSecond
	}
	two, invalid, one := 2.0, -1.0, 1.0
	h.is.Equal(*announce(2, &two), 2.0)
	_, ok := findAction[GrantUpdate](h.announce(3, func(a *upstream.Announcement) { a.MaxPerSecond, a.State = &invalid, stateHolding("tay/6/1", false) }))
	h.is.True(!ok) // ignored
	h.is.Equal(*announce(4, &one), 1.0)
	h.is.Equal(announce(5, nil), nil)
}
