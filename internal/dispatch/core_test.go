package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

const (
	ms  = time.Millisecond
	llm = "llm"
)

var config = &routing.Config{Version: 1, Services: []routing.Service{
	{Name: llm, Engine: &routing.Engine{Slots: 4, KVCacheTokens: 10_000, Models: []routing.Model{{Name: "m"}, {Name: "rare"}}}},
	{Name: "desk"},
}}

// fleetLoads returns the running requests of all entries on r1, r2, ...
func fleetLoads(running ...uint32) *wire.FleetLoads {
	l := &wire.FleetLoads{Running: running}
	for i := range running {
		l.Upstreams = append(l.Upstreams, uint32(i+1))
	}
	return l
}

// runner returns the state of runner r1, r2, ..., whose number is 1, 2, ...
func runner(id string, models ...string) *wire.UpstreamState {
	s := &wire.UpstreamState{Id: id, BornUnixMs: 1, Sequence: 1, Service: llm, Address: id + ":1", Zone: "a", Slots: 4,
		Phase: wire.UpstreamPhase_PHASE_READY}
	s.Number = uint32(id[len(id)-1] - '0')
	for _, m := range models {
		s.Models = append(s.Models, &wire.HeldModel{Name: m, Version: 3})
	}
	return s
}

func newCore(states ...*wire.UpstreamState) *Core {
	c := New(Options{Settings: DefaultSettings(), Zone: "a"})
	c.SetConfig(0, config)
	c.Apply(0, &wire.FleetUpdate{Term: 1, Snapshot: true, Upstreams: states})
	return c
}

func request(id uint64, model string) SlotRequest {
	return SlotRequest{ID: id, Service: llm, Model: model, PromptTokens: 1000, OutputTokens: 100, Deadline: 10 * time.Second, MinServeTime: 100 * ms}
}

func TestSubmit_ModelHeldByOneRunner(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "rare"), runner("r2", "m"))
	d := c.Submit(0, request(1, "m"))
	is.Equal(len(d), 1)
	is.Equal(d[0].Target.ID, "r2")
	is.Equal(d[0].Target.ModelVersion, uint64(3))
}

func TestSubmit_ModelPublishedLater(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	is.Equal(len(c.Submit(0, request(1, "rare"))), 0)
	is.Equal(c.Waiting(), 1)
	d := c.Apply(500*ms, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{runner("r1", "m", "rare")}})
	is.Equal(len(d), 1)
	is.Equal(d[0].Target.ID, "r1")
	is.Equal(c.Waiting(), 0)
}

func TestSubmit_ModelReadyAfterDeadline(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	c.Apply(0, &wire.FleetUpdate{HasWaits: true, Waits: []*wire.ModelWait{{Service: llm, Model: "rare", ReadyInMs: 12_000}}})
	d := c.Submit(0, request(1, "rare"))
	is.Equal(len(d), 1)
	is.Equal(d[0].Kind, errkind.DeadlineUnmeetable)
	is.Equal(d[0].RetryAfter, 12*time.Second)
}

func TestTick_DeadlineNear(t *testing.T) {
	is := is.New(t)
	full := runner("r1", "m")
	full.Slots = 0
	c := newCore(full)
	c.Submit(0, request(1, "m"))
	is.Equal(len(c.Tick(9800*ms)), 0)
	d := c.Tick(9901 * ms)
	is.Equal(len(d), 1)
	is.Equal(d[0].Kind, errkind.DeadlineUnmeetable)
}

func TestRelease_WaitersOfTwoPriorities(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	for id := uint64(1); id <= 4; id++ {
		is.Equal(len(c.Submit(0, request(id, "m"))), 1)
	}
	normal, urgent := request(5, "m"), request(6, "m")
	normal.Priority, urgent.Priority = 2, 0
	is.Equal(len(c.Submit(0, normal)), 0)
	is.Equal(len(c.Submit(0, urgent)), 0)
	d := c.Release(100*ms, 1, Served)
	is.Equal(len(d), 1)
	is.Equal(d[0].RequestID, uint64(6))
}

func TestSubmit_RunnerFullByOtherEntries(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	c.Apply(0, &wire.FleetUpdate{Loads: fleetLoads(4)})
	is.Equal(len(c.Submit(0, request(1, "m"))), 0)
	d := c.Apply(0, &wire.FleetUpdate{Loads: fleetLoads(3)})
	is.Equal(len(d), 1)
}

func TestSubmit_KVCacheFull(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	large := request(1, "m")
	large.PromptTokens = 8500
	is.Equal(len(c.Submit(0, large)), 1)
	is.Equal(len(c.Submit(0, request(2, "m"))), 0)
}

func TestSubmit_DrainingRunner(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"), runner("r2", "m"))
	draining := runner("r1", "m")
	draining.Phase = wire.UpstreamPhase_PHASE_DRAINING
	c.Apply(0, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{draining}})
	for id := uint64(1); id <= 4; id++ {
		is.Equal(c.Submit(0, request(id, "m"))[0].Target.ID, "r2")
	}
	is.Equal(len(c.Submit(0, request(5, "m"))), 0)
}

func TestApply_OlderIncarnation(t *testing.T) {
	is := is.New(t)
	newer := runner("r1", "m")
	newer.BornUnixMs = 9
	c := newCore(newer)
	c.Apply(0, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{runner("r1", "rare")}})
	is.Equal(c.Submit(0, request(1, "m"))[0].Target.BornUnixMs, int64(9))
}

func TestRelease_UpstreamUnreachable(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"), runner("r2", "m"))
	first := c.Submit(0, request(1, "m"))[0].Target.ID
	c.Release(0, 1, Unreachable)
	for id := uint64(2); id <= 4; id++ {
		is.True(c.Submit(0, request(id, "m"))[0].Target.ID != first)
	}
	// It is used if there is no other.
	r := request(9, "m")
	r.Exclude = map[string]bool{"r1": first != "r1", "r2": first != "r2"}
	is.Equal(c.Submit(0, r)[0].Target.ID, first)
}

func TestSubmit_SharedPrefixAtTwoEntries(t *testing.T) {
	is := is.New(t)
	states := []*wire.UpstreamState{runner("r1", "m"), runner("r2", "m"), runner("r3", "m")}
	r := request(1, "m")
	r.PrefixHash, r.PrefixTokens = 77, 2000
	first, second := newCore(states...), newCore(states...)
	is.Equal(first.Submit(0, r)[0].Target.ID, second.Submit(0, r)[0].Target.ID)
}

func TestDrain_RequestsWaiting(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	c.Submit(0, request(1, "rare"))
	is.Equal(len(c.Drain(time.Second, 4*time.Second)), 0) // the request may still be served
	d := c.Tick(4 * time.Second)
	is.Equal(len(d), 1)
	is.Equal(d[0].Kind, errkind.Draining)
	is.Equal(len(c.Submit(5*time.Second, request(2, "rare"))), 1)
}

func TestTick_ServiceWithoutUpstream(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Submit(0, SlotRequest{ID: 1, Service: "desk", Deadline: 10 * time.Second})
	is.Equal(len(c.Tick(900*ms)), 0)
	d := c.Tick(time.Second)
	is.Equal(len(d), 1)
	is.Equal(d[0].Kind, errkind.NoCapacity)
}

func TestDelta_RequestReleased(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	c.Submit(0, request(1, "m"))
	c.Submit(0, request(2, "rare"))
	first := c.Report(0)
	is.Equal(len(first.Demand), 2)
	is.Equal(first.Loads[0].Running, uint32(1))
	is.Equal(Delta(first, c.Report(50*ms)), nil) // only the waiting time has changed
	c.Release(60*ms, 1, Served)
	d := Delta(first, c.Report(60*ms))
	is.Equal(len(d.Demand), 1)
	is.Equal(d.Demand[0].Model, "m")
	is.Equal(d.Loads[0].Running, uint32(0))
}

// During a peak on one model, many entries choose by the same published loads and must
// not all choose the same upstream.
func TestSubmit_StaleLoadsAtManyEntries(t *testing.T) {
	is := is.New(t)
	placed := map[string]int{}
	for entry := range uint64(40) {
		c := New(Options{Settings: DefaultSettings(), Zone: "a", Seed: entry})
		c.SetConfig(0, config)
		c.Apply(0, &wire.FleetUpdate{Term: 1, Snapshot: true, ReportMs: 300, Upstreams: []*wire.UpstreamState{
			runner("r1", "m"), runner("r2", "m"), runner("r3", "m"), runner("r4", "m")}})
		c.Apply(0, &wire.FleetUpdate{Loads: fleetLoads(0, 2, 2, 2)})
		placed[c.Submit(0, request(1, "m"))[0].Target.ID]++
	}
	is.True(placed["r1"] <= 30) // all 40 without random candidates
	is.True(placed["r1"] >= 10) // it is still preferred
}

// A new coordinator may assign the numbers differently, so loads are attributed by the
// numbers of the newest snapshot.
func TestApply_SnapshotRenumbersUpstreams(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"), runner("r2", "other"))
	c.Apply(0, &wire.FleetUpdate{Loads: fleetLoads(4, 0)})
	r1, r2 := runner("r1", "m"), runner("r2", "other")
	r1.Number, r2.Number = 2, 1
	c.Apply(0, &wire.FleetUpdate{Term: 2, Snapshot: true, Upstreams: []*wire.UpstreamState{r1, r2}, Loads: fleetLoads(4, 0)})
	is.Equal(len(c.Submit(0, request(1, "m"))), 1) // r1 runs nothing
}

// An upstream restarts, and a new coordinator assigns its old number to another upstream.
// The removal of the old incarnation must not remove that assignment.
func TestApply_NumberReassignedToAnotherUpstream(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"), runner("r2", "other"))
	r1, r2 := runner("r1", "m"), runner("r2", "other")
	r1.Number, r2.Number = 2, 1
	r2.BornUnixMs++
	c.Apply(0, &wire.FleetUpdate{Term: 2, Snapshot: true, Upstreams: []*wire.UpstreamState{r1, r2}, Loads: fleetLoads(0, 4)})
	is.Equal(len(c.Submit(0, request(1, "m"))), 0) // r1 is full
}

func TestApply_LoadsOfGoneUpstream(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	gone := runner("r1")
	gone.Phase = wire.UpstreamPhase_PHASE_GONE
	c.Apply(0, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{gone}, Loads: fleetLoads(4)})
	is.Equal(len(c.byNumber), 0)
}

func TestApply_RunningOnReplacedIncarnation(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	is.Equal(len(c.Submit(0, request(1, "m"))), 1)
	gone := &wire.UpstreamState{Id: "r1", BornUnixMs: 1, Phase: wire.UpstreamPhase_PHASE_GONE}
	c.Apply(ms, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{gone}})
	is.Equal(len(c.TakeEnded()), 0) // it may be leaving
	next := runner("r2", "m")
	next.Address, next.BornUnixMs = "r1:1", 2
	c.Apply(ms, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{next}})
	is.Equal(c.TakeEnded(), []uint64{1})
	is.Equal(len(c.TakeEnded()), 0)
}

func TestApply_RunningOnRestartedUpstream(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	is.Equal(len(c.Submit(0, request(1, "m"))), 1)
	again := runner("r1", "m")
	again.BornUnixMs, again.Address = 2, "r1:2"
	c.Apply(ms, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{again}})
	is.Equal(c.TakeEnded(), []uint64{1})
}

// A run on the process that had restarted was given up as soon as that process was published.
func TestApply_RunningOnProcessPublishedLater(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	is.Equal(len(c.Submit(0, request(1, "m"))), 1)
	c.RecordProcess(1, 2)
	again := runner("r1", "m")
	again.BornUnixMs = 2
	c.Apply(ms, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{again}})
	is.Equal(len(c.TakeEnded()), 0)
	third := runner("r1", "m")
	third.BornUnixMs = 3
	c.Apply(2*ms, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{third}})
	is.Equal(c.TakeEnded(), []uint64{1})
}

// Rests of streams are not sent to an upstream once another process than the published one has answered there.
func TestSubmit_ResumedWhereAnotherProcessAnswered(t *testing.T) {
	is := is.New(t)
	old := runner("r1", "m")
	old.Software = "v1"
	c := newCore(old)
	is.Equal(len(c.Submit(0, request(1, "m"))), 1)
	c.RecordProcess(1, old.BornUnixMs+1)
	rest := request(2, "m")
	rest.Software, rest.NeedsSoftware = "v1", true
	d := c.Submit(0, rest)
	is.Equal(len(d), 1)
	is.Equal(d[0].Target, nil)
	d = c.Submit(0, request(3, "m")) // others are
	is.Equal(len(d), 1)
	is.True(d[0].Target != nil)
}

func TestSubmit_RefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	r := request(1, "rare")
	r.Deadline = 50 * ms // shorter than any answer takes
	d := c.Submit(0, r)
	is.Equal(len(d), 1)
	is.Equal(d[0].Kind, errkind.DeadlineUnmeetable)
	is.Equal(c.Waiting(), 0)
	loaded := runner("r1", "m", "rare")
	loaded.Sequence = 2
	is.Equal(len(c.Apply(ms, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{loaded}})), 0) // nobody would release a slot
	is.Equal(c.Running(), 0)
}

func TestSubmit_ResumedAtItsSoftware(t *testing.T) {
	is := is.New(t)
	old, current := runner("r1", "m"), runner("r2", "m")
	old.Software, current.Software = "v1", "v2"
	c := newCore(old, current)
	_, ok := c.OnlySoftware(llm)
	is.Equal(ok, false)
	for id := range uint64(4) {
		r := request(id, "m")
		r.Software, r.NeedsSoftware = "v2", true
		is.Equal(c.Submit(0, r)[0].Target.ID, "r2")
	}
	c.Apply(0, &wire.FleetUpdate{Term: 1, Snapshot: true, Upstreams: []*wire.UpstreamState{old}})
	r := request(9, "m")
	r.Software, r.NeedsSoftware = "v2", true
	is.Equal(c.Submit(0, r)[0].Kind, errkind.NoCapacity)
}

func TestSubmit_OtherSoftwareVersionLeaves(t *testing.T) {
	is := is.New(t)
	old, current := runner("r1", "m"), runner("r2", "m")
	old.Software, current.Software = "v1", "v2"
	c := newCore(old, current)
	r := request(1, "m")
	r.ExcludeSoftware = map[string]bool{"v2": true}
	r.Exclude = map[string]bool{"r1": true}
	is.Equal(len(c.Submit(0, r)), 0) // it waits for another upstream of that version
	d := c.Apply(ms, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{{Id: "r1", BornUnixMs: 1, Phase: wire.UpstreamPhase_PHASE_GONE}}})
	is.Equal(d[0].Kind, errkind.NoCapacity)
}

// An upstream looked full for ever: the loads of a coordinator that is gone outlived its successor's
// snapshot.
func TestApply_SnapshotDropsEarlierLoads(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	c.Apply(0, &wire.FleetUpdate{Term: 1, Loads: fleetLoads(4)})
	c.Apply(0, &wire.FleetUpdate{Term: 2, Snapshot: true, Upstreams: []*wire.UpstreamState{runner("r1", "m")}})
	is.Equal(len(c.Submit(0, request(1, "m"))), 1)
}

func TestReadiness_UpstreamLeaves(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"), runner("r2", "m"))
	is.True(c.RecordReadiness(0, "r1", 1, Readiness{Leaving: true}))
	is.True(!c.RecordReadiness(0, "r1", 1, Readiness{Leaving: true}))
	is.True(!c.RecordReadiness(0, "r1", 1, Readiness{})) // named once and not again
	ready := runner("r1", "m")
	ready.Sequence = 9
	c.Apply(0, &wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{ready}})                                                // an older heartbeat
	c.Apply(0, &wire.FleetUpdate{Term: 2, Snapshot: true, Upstreams: []*wire.UpstreamState{runner("r1", "m"), runner("r2", "m")}}) // another coordinator
	for id := range uint64(4) {
		is.Equal(c.Submit(0, request(id, "m"))[0].Target.ID, "r2")
	}
	is.Equal(len(c.TakeUnready(0, false)), 1)
	is.Equal(len(c.TakeUnready(0, false)), 0)
	is.Equal(len(c.TakeUnready(0, true)), 1)
	next := runner("r1", "m")
	next.BornUnixMs = 2 // the new incarnation at the address leaves no more
	c.Apply(0, &wire.FleetUpdate{Term: 2, Upstreams: []*wire.UpstreamState{next}})
	is.Equal(c.Submit(0, request(9, "m"))[0].Target.ID, "r1")
}

func TestReadiness_AllLeave(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	c.RecordReadiness(0, "r1", 1, Readiness{Leaving: true})
	is.Equal(len(c.Submit(0, request(1, "m"))), 0)
	d := c.Tick(DefaultSettings().NoUpstreamWait)
	is.Equal(d[0].Kind, errkind.NoCapacity)
}

func TestReadiness_Pause(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	is.True(c.RecordReadiness(0, "r1", 1, Readiness{RetryAfter: 3 * time.Second}))
	is.True(!c.RecordReadiness(time.Second, "r1", 1, Readiness{RetryAfter: time.Second})) // shorter
	is.Equal(len(c.Submit(time.Second, request(1, "m"))), 0)                              // it waits
	late := request(2, "m")
	late.Deadline = 2 * time.Second
	d := c.Submit(time.Second, late)
	is.Equal(d[0].Kind, errkind.NoCapacity) // at once
	is.Equal(d[0].RetryAfter, 2*time.Second)
	c.Submit(time.Second, request(3, "m"))
	d = c.Tick(3 * time.Second)
	is.Equal(len(d), 1) // one at a time, until it answers
	is.Equal(d[0].RequestID, uint64(1))
	is.Equal(c.Release(3100*ms, 1, Cancelled)[0].RequestID, uint64(3))
	c.Submit(3100*ms, request(4, "m"))
	is.Equal(c.Release(3200*ms, 3, Served)[0].RequestID, uint64(4))
	is.Equal(c.Submit(3200*ms, request(5, "m"))[0].Target.ID, "r1")
	is.True(c.RecordReadiness(4*time.Second, "r1", 1, Readiness{RetryAfter: 1000 * time.Hour}))
	is.Equal(c.readiness[ratelimit.Incarnation{Upstream: "r1", BornUnixMs: 1}].quietUntil, 4*time.Second+maxRetryAfter)
}

func TestReadiness_Bounded(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	for born := range int64(maxReadiness + 100) {
		c.RecordReadiness(time.Duration(born)*ms, "r1", born, Readiness{Leaving: true})
	}
	is.True(len(c.readiness) <= maxReadiness)
	c.RecordReadiness(readinessTTL+time.Hour, "r2", 1, Readiness{Leaving: true})
	is.Equal(len(c.readiness), 1)
}

// A coordinator that is slow or gone says nothing of a model that no upstream holds. The request must not
// wait for its deadline then; one that waits for a full upstream or has an estimate goes on waiting.
func TestWait_NobodySaysWhenTheModelIsLoaded(t *testing.T) {
	is := is.New(t)
	blind := DefaultSettings().MaxBlindWait
	full := runner("r1", "m")
	full.Slots = 0
	c := newCore(full)
	for id, model := range map[uint64]string{1: "rare", 2: "m", 3: "estimated"} {
		r := request(id, model)
		r.Deadline = 25 * time.Second
		is.Equal(len(c.Submit(0, r)), 0)
	}
	c.Apply(0, &wire.FleetUpdate{HasWaits: true, Waits: []*wire.ModelWait{{Service: llm, Model: "estimated", ReadyInMs: 12_000}}})
	is.Equal(len(c.Tick(blind-ms)), 0)
	d := c.Tick(blind)
	is.Equal(len(d), 1)
	is.Equal(d[0].RequestID, uint64(1))
	is.Equal(d[0].Target, nil)
	is.True(d[0].RetryAfter > 0)
}

// An entry that knows no upstream of a service yet must not refuse requests for lack of one, nor take the
// only version that it knows for the only one that runs.
func TestSoftware_RunsOnUpstreamsNotKnownHere(t *testing.T) {
	is := is.New(t)
	software := func(versions ...string) (out []*wire.ServiceSoftware) {
		for _, v := range versions {
			out = append(out, &wire.ServiceSoftware{Service: llm, Version: v})
		}
		return out
	}
	c := newCore()
	c.Apply(0, &wire.FleetUpdate{Term: 1, Snapshot: true, HasSoftware: true, Software: software("v1", "v2")})
	r := request(1, "rare")
	r.Software, r.NeedsSoftware = "v1", true
	is.Equal(len(c.Submit(0, r)), 0)
	is.Equal(len(c.Tick(2*time.Second)), 0)
	_, only := c.OnlySoftware(llm)
	is.True(!only)

	// A new coordinator that has heard of v2 alone may not have heard of all upstreams yet.
	c.Apply(2*time.Second, &wire.FleetUpdate{Term: 2, Snapshot: true, HasSoftware: true, Software: software("v2")})
	_, only = c.OnlySoftware(llm)
	is.True(!only)
	is.Equal(len(c.Tick(2*time.Second)), 0)
	d := c.Tick(2*time.Second + softwareMergeTime)
	is.Equal(len(d), 1)
	is.Equal(d[0].Kind, errkind.NoCapacity)
	_, only = c.OnlySoftware(llm)
	is.True(!only) // a stream of unknown origin may be of v1
	c.Tick(2*time.Second + streamorigin.TTL - 1)
	_, only = c.OnlySoftware(llm)
	is.True(!only)
	c.Tick(2*time.Second + streamorigin.TTL)
	version, only := c.OnlySoftware(llm)
	is.True(only && version == "v2")
}

// A stream of unknown origin went on at the version that all upstreams had restarted with meanwhile.
func TestSoftware_EndedLately(t *testing.T) {
	is := is.New(t)
	before, after := runner("r1", "m"), runner("r1", "m")
	before.Software, after.Software, after.BornUnixMs = "v1", "v2", before.BornUnixMs+1
	c := newCore(before)
	c.Apply(time.Second, &wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{after}})
	_, only := c.OnlySoftware(llm)
	is.True(!only)
	c.Tick(time.Second + streamorigin.TTL)
	version, only := c.OnlySoftware(llm)
	is.True(only && version == "v2")

	// So is what the coordinator tells to have ended.
	ended := &wire.ServiceSoftware{Service: llm, Version: "v1", Leaving: true, EndedMs: 1000}
	c = newCore(after)
	c.Apply(0, &wire.FleetUpdate{Term: 1, Snapshot: true, Upstreams: []*wire.UpstreamState{after}, HasSoftware: true,
		Software: []*wire.ServiceSoftware{ended, {Service: llm, Version: "v2"}}})
	_, only = c.OnlySoftware(llm)
	is.True(!only)
	c.Tick(streamorigin.TTL - time.Second)
	version, only = c.OnlySoftware(llm)
	is.True(only && version == "v2")
}

// An entry that had just started took the first version that its coordinator had heard of for the only one.
func TestSoftware_EntryJustStarted(t *testing.T) {
	is := is.New(t)
	c := New(Options{Settings: DefaultSettings()})
	is.Equal(c.UntilAllKnown(0), firstHeartbeatTime)
	c.Apply(time.Second, &wire.FleetUpdate{Term: 1, Snapshot: true, SoftwareKnownMs: ttlMs})
	is.Equal(c.UntilAllKnown(time.Second), firstHeartbeatTime)
	c.Apply(time.Second+firstHeartbeatTime, &wire.FleetUpdate{Term: 2, Snapshot: true, SoftwareKnownMs: ttlMs}) // it has been in contact for long enough
	is.Equal(c.UntilAllKnown(time.Second+firstHeartbeatTime), time.Duration(0))
}

const ttlMs = uint32(streamorigin.TTL / time.Millisecond)

// Guards against the only version heard of since the start that counts as the only one of the last minute.
func TestSoftware_VersionsEndedBeforeTheCoordinatorBegan(t *testing.T) {
	is := is.New(t)
	for _, knownMs := range []uint32{0, 1000} { // 0: a build that keeps no record
		c := New(Options{Settings: DefaultSettings()})
		c.Apply(time.Second, &wire.FleetUpdate{Term: 1, Snapshot: true, SoftwareKnownMs: knownMs})
		left := streamorigin.TTL - time.Duration(knownMs)*time.Millisecond
		if knownMs == 0 {
			left += firstHeartbeatTime
		}
		is.Equal(c.UntilAllKnown(time.Second), left)
		is.Equal(c.UntilAllKnown(time.Second+left), time.Duration(0))
	}
}

// Guards against a version that ran between two coordinators of an entry, the later of which does not know of that time.
func TestSoftware_VersionsEndedBetweenCoordinators(t *testing.T) {
	is := is.New(t)
	c := New(Options{Settings: DefaultSettings()})
	c.Apply(0, &wire.FleetUpdate{Term: 1, Snapshot: true, SoftwareKnownMs: ttlMs})
	c.Apply(10*time.Second, &wire.FleetUpdate{Term: 1})
	c.Apply(15*time.Second, &wire.FleetUpdate{Term: 2, Snapshot: true, SoftwareKnownMs: 5000})
	is.Equal(c.UntilAllKnown(15*time.Second), time.Duration(0)) // all that this entry knew still counts
	c.Apply(16*time.Second, &wire.FleetUpdate{Term: 2})
	c.Apply(25*time.Second, &wire.FleetUpdate{Term: 3, Snapshot: true, SoftwareKnownMs: 8000})
	is.Equal(c.UntilAllKnown(25*time.Second), streamorigin.TTL-8*time.Second)
	c.Apply(26*time.Second, &wire.FleetUpdate{Term: 4, Snapshot: true, SoftwareKnownMs: ttlMs})
	is.Equal(c.UntilAllKnown(26*time.Second), time.Duration(0))
}

// Guards against streams of unknown origin that go on at the only version published, though a process of which nothing is
// published serves the address of one upstream.
func TestSoftware_OtherProcessServesAddress(t *testing.T) {
	is := is.New(t)
	one, two := runner("r1", "m"), runner("r2", "m")
	one.Software, two.Software = "v1", "v1"
	c := newCore(one, two)
	version, only := c.OnlySoftware(llm)
	is.True(only && version == "v1")
	is.Equal(len(c.Submit(0, request(1, "m"))), 1)
	c.RecordProcess(1, one.BornUnixMs+1)
	_, only = c.OnlySoftware(llm)
	is.True(!only)
}

// Guards against a version that runs and isn't counted, because many versions of other services ran lately.
func TestSoftware_ManyServices(t *testing.T) {
	is := is.New(t)
	var states []*wire.UpstreamState
	for i := range 255 {
		other := runner(fmt.Sprintf("a%d", i))
		other.Service, other.Software = fmt.Sprintf("s%d", i), "v1"
		states = append(states, other)
	}
	one, two := runner("r1", "m"), runner("r2", "m")
	one.Software, two.Software = "v1", "v2"
	c := newCore(append(states, one, two)...)
	_, only := c.OnlySoftware(llm)
	is.True(!only)
}
