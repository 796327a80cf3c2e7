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

// rig steps one core by hand.
type rig struct {
	is  *is.I
	c   *Core
	now Time
}

const testTakeover = 5 * time.Second

func newRig(t *testing.T, o Options) *rig {
	o.Cell, o.Lease, o.Fence = testCell, testLease, 7
	return &rig{is: is.New(t), c: New(o)}
}

func (r *rig) step(ev Event) []Action {
	acts, err := r.c.Step(r.now, ev)
	r.is.NoErr(err)
	return append([]Action(nil), acts...)
}

// at lets time pass until d.
func (r *rig) at(d Time) []Action {
	r.now = d
	return r.step(Tick{})
}

func find[T Action](acts []Action) (T, bool) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			return x, true
		}
	}
	var zero T
	return zero, false
}

func oneModel() *wire.Spec {
	return &wire.Spec{Index: 1, Models: []*wire.Model{{Name: "m", Version: "1", Replicas: 1, MemoryMib: 40}}}
}

func runnerRecord(checks bool) *wire.UpstreamRecord {
	return &wire.UpstreamRecord{
		Id: "r", Incarnation: 3, Cell: testCell, Zone: "a", Address: "10.0.0.1:80", MemoryMib: 100, Slots: 4, ChecksFencing: checks,
	}
}

func loadInLog(state wire.OrderState) *wire.Order {
	return &wire.Order{
		Id: "tay/6/1", Kind: wire.OrderKind_ORDER_LOAD, Cell: testCell, Upstream: "r", Incarnation: 3,
		Model: "m", Version: "1", MemoryMib: 40, Fence: 6, State: state, Index: 5,
	}
}

// recovered starts a term with one runner and, if any, one load in the log.
func (r *rig) recovered(checks bool, load *wire.Order) []Action {
	ev := Recovered{Index: 9, Spec: oneModel(), Upstreams: []*wire.UpstreamRecord{runnerRecord(checks)}}
	if load != nil {
		ev.Placements = []*wire.Placement{{Order: load}}
	}
	return r.step(ev)
}

func (r *rig) announce(sequence uint64, change func(*upstream.Announcement)) []Action {
	a := upstream.Announcement{
		ID: "r", Incarnation: 3, Sequence: sequence, Address: "10.0.0.1:80", Zone: "a", Cell: testCell,
		MemoryMiB: 100, Slots: 4, ChecksFencing: true, State: upstream.State{Incarnation: 3},
	}
	if change != nil {
		change(&a)
	}
	return r.step(Announced{a})
}

func heldBy(order string, loading bool) upstream.State {
	return upstream.State{Incarnation: 3, Held: []upstream.Held{{Model: "m", Version: "1", MemoryMiB: 40, OrderID: order, Loading: loading}}}
}

func (r *rig) readShows(s upstream.State) []Action {
	return r.step(StateRead{Upstream: "r", State: s})
}

func settlement(acts []Action) *wire.Settlement {
	p, _ := find[Propose](acts)
	s := p.Command.GetSettleOrders().GetSettlements()
	if len(s) == 0 {
		return &wire.Settlement{}
	}
	return s[0]
}

func planLoad() Planned {
	return Planned{placement.Plan{Orders: []placement.Order{{
		Kind: wire.OrderKind_ORDER_LOAD, Runner: "r", Model: "m", Version: "1", MemoryMiB: 40, Tier: wire.Tier_TIER_DISK,
	}}}}
}

func TestTakeover_LoadUnderWayIsNotLoadedAgain(t *testing.T) {
	r := newRig(t, Options{Takeover: testTakeover})
	_, reads := find[ReadState](r.recovered(true, loadInLog(wire.OrderState_ORDER_OPEN)))
	r.is.True(reads) // what the runner really holds is read first
	for _, acts := range [][]Action{r.readShows(heldBy("tay/6/1", true)), r.step(planLoad()), r.at(10 * time.Second)} {
		_, sent := find[Send](acts)
		r.is.True(!sent)
	}
	acts := r.announce(1, func(a *upstream.Announcement) { a.State = heldBy("tay/6/1", false) })
	r.is.Equal(settlement(acts).State, wire.OrderState_ORDER_LOADED)
	g, _ := find[GrantUpdate](acts)
	r.is.Equal(g.Event.(grant.UpstreamState).Ready, []grant.Ready{{Model: "m", Version: "1"}})
}

func TestTakeover_MissingOrderIsSentAgainUnderItsIdentity(t *testing.T) {
	r := newRig(t, Options{Takeover: testTakeover})
	r.recovered(true, loadInLog(wire.OrderState_ORDER_OPEN))
	s, ok := find[Send](r.readShows(upstream.State{Incarnation: 3, Fence: 6}))
	r.is.True(ok)
	r.is.Equal(s.Order.ID, "tay/6/1")
	r.is.Equal(s.Order.Fence, uint64(7)) // under the new fencing number
}

func TestTakeover_IgnoredFencingWaitsForTheOldHolder(t *testing.T) {
	r := newRig(t, Options{Takeover: testTakeover})
	r.recovered(false, loadInLog(wire.OrderState_ORDER_OPEN))
	_, sent := find[Send](r.readShows(upstream.State{Incarnation: 3}))
	r.is.True(!sent)
	r.at(testTakeover - 1)
	_, sent = find[Send](r.readShows(upstream.State{Incarnation: 3}))
	r.is.True(!sent)
	_, reads := find[ReadState](r.at(testTakeover + DefaultReadEvery))
	r.is.True(reads) // read again after the wait
	s, sent := find[Send](r.readShows(upstream.State{Incarnation: 3}))
	r.is.True(sent && s.Serial)
}

// ready returns a rig past its takeover with a runner that was read.
func ready(t *testing.T, load *wire.Order, held upstream.State) *rig {
	r := newRig(t, Options{})
	r.recovered(true, load)
	r.readShows(held)
	r.announce(1, func(a *upstream.Announcement) { a.State = held })
	return r
}

func TestPlanned_CommitsBeforeItSends(t *testing.T) {
	r := ready(t, nil, upstream.State{Incarnation: 3})
	acts := r.step(planLoad())
	p, ok := find[Propose](acts)
	r.is.True(ok)
	_, sent := find[Send](acts)
	r.is.True(!sent)
	id := p.Command.GetCommitOrders().GetOrders()[0].GetId()
	s, sent := find[Send](r.step(Committed{p.Batch, 10, []*wire.OrderResult{{Id: id, Accepted: true}}}))
	r.is.True(sent)
	r.is.Equal(s.Order.ID, id)
}

func TestPlanned_RestartUnderTheSameFenceUsesOtherIdentities(t *testing.T) {
	id := func(index uint64) string {
		r := newRig(t, Options{})
		r.step(Recovered{Index: index, Spec: oneModel(), Upstreams: []*wire.UpstreamRecord{runnerRecord(true)}})
		r.readShows(upstream.State{Incarnation: 3})
		p, _ := find[Propose](r.step(planLoad()))
		return p.Command.GetCommitOrders().GetOrders()[0].GetId()
	}
	is := is.New(t)
	is.True(id(9) != id(12))
}

func TestSend_UnknownOutcomeIsNeverFreedByTime(t *testing.T) {
	r := ready(t, nil, upstream.State{Incarnation: 3})
	p, _ := find[Propose](r.step(planLoad()))
	id := p.Command.GetCommitOrders().GetOrders()[0].GetId()
	r.step(Committed{p.Batch, 10, []*wire.OrderResult{{Id: id, Accepted: true}}})
	r.step(SendFailed{Upstream: "r", Order: id, Unknown: true})
	for s := range 120 {
		r.at(Time(s) * time.Second)
		r.step(ReadFailed{Upstream: "r"})
	}
	in := r.c.Snapshot(r.now, nil)
	r.is.Equal(len(in.Runners), 1)
	r.is.Equal(in.Runners[0].Held[0].State, placement.Unsettled)
	_, again := find[Propose](r.step(planLoad()))
	r.is.True(!again) // no second load meanwhile
}

func TestAnnounced_LeavingReachesTheGrantsAtOnce(t *testing.T) {
	r := ready(t, loadInLog(wire.OrderState_ORDER_LOADED), heldBy("tay/6/1", false))
	g, ok := find[GrantUpdate](r.announce(2, func(a *upstream.Announcement) { a.Leaving = true; a.State = heldBy("tay/6/1", false) }))
	r.is.True(ok)
	r.is.True(g.Event.(grant.UpstreamState).Leaving)
	g, ok = find[GrantUpdate](r.announce(1, func(a *upstream.Announcement) { a.State.Running = 3 }))
	r.is.True(!ok) // an older announcement changes nothing
	_ = g
}

func TestPlanned_GrantsStopBeforeAnUnloadIsProposed(t *testing.T) {
	r := ready(t, loadInLog(wire.OrderState_ORDER_LOADED), heldBy("tay/6/1", false))
	acts := r.step(Planned{placement.Plan{Orders: []placement.Order{{
		Kind: wire.OrderKind_ORDER_UNLOAD, Runner: "r", Model: "m", Version: "1", MemoryMiB: 40, Replaces: "tay/6/1",
	}}}})
	r.is.Equal(len(acts), 2)
	r.is.Equal(acts[0].(GrantUpdate).Event.(grant.UpstreamState).Ready, nil)
	_, ok := acts[1].(Propose)
	r.is.True(ok)
}

func TestDrains_KeepNewRequestsAway(t *testing.T) {
	r := ready(t, loadInLog(wire.OrderState_ORDER_LOADED), heldBy("tay/6/1", false))
	acts := r.step(Planned{placement.Plan{Drains: []placement.Drain{{Runner: "r", Model: "m", Version: "1", OrderID: "tay/6/1"}}}})
	g, ok := find[GrantUpdate](acts)
	r.is.True(ok)
	r.is.Equal(g.Event.(grant.UpstreamState).Ready, nil)
	g, ok = find[GrantUpdate](r.step(Planned{}))
	r.is.True(ok) // the next plan lets it serve again
	r.is.Equal(len(g.Event.(grant.UpstreamState).Ready), 1)
}

func TestFence_HigherOneStopsTheTerm(t *testing.T) {
	r := ready(t, nil, upstream.State{Incarnation: 3})
	r.at(time.Second)
	higher := loadInLog(wire.OrderState_ORDER_OPEN)
	higher.Fence = 8
	_, stopped := find[Stop](r.step(Recovered{Index: 20, Spec: oneModel(), Placements: []*wire.Placement{{Order: higher}}}))
	r.is.True(stopped)
	r.is.Equal(len(r.step(planLoad())), 0) // nothing more is done
}

func TestSilence_DropsOnlyWhatIsKnownDead(t *testing.T) {
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
			r := ready(t, loadInLog(wire.OrderState_ORDER_LOADED), heldBy("tay/6/1", false))
			r.announce(2, func(a *upstream.Announcement) { a.Leaving = c.leaving; a.State = heldBy("tay/6/1", false) })
			dropped := false
			for s := range 60 {
				acts := r.at(Time(s) * time.Second)
				acts = append(acts, r.step(ReadFailed{Upstream: "r", Refused: c.refused})...)
				for _, a := range acts {
					p, ok := a.(Propose)
					dropped = dropped || ok && p.Command.GetDropUpstream() != nil
				}
			}
			r.is.Equal(dropped, c.drops)
		})
	}
}

func TestIncarnation_NewOneEndsWhatTheOldHeld(t *testing.T) {
	r := ready(t, loadInLog(wire.OrderState_ORDER_LOADED), heldBy("tay/6/1", false))
	acts := r.announce(1, func(a *upstream.Announcement) { a.Incarnation = 4; a.State.Incarnation = 4 })
	g, _ := find[GrantUpdate](acts)
	r.is.Equal(g.Event, grant.UpstreamGone{ID: "r", Incarnation: 3})
	p, _ := find[Propose](acts)
	r.is.Equal(p.Command.GetPutUpstream().GetUpstream().GetIncarnation(), uint64(4))
	r.is.Equal(len(r.c.Snapshot(r.now, nil).Runners[0].Held), 1) // counted until the log has it
	r.step(Committed{p.Batch, 11, nil})
	r.is.Equal(len(r.c.Snapshot(r.now, nil).Runners[0].Held), 0)
}
