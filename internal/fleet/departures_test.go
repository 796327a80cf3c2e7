package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func drainingHeartbeat(id string, seq uint64, models ...string) *wire.UpstreamState {
	s := heartbeat(id, seq, models...)
	s.Phase = wire.UpstreamPhase_PHASE_DRAINING
	return s
}

// successor returns the core of the next term, which has what the replicated log holds.
func successor(before *Core) *Core {
	c := New(testSettings())
	for _, inc := range before.departures.order {
		c.Step(0, DepartureRestored{before.departures.known[inc]})
	}
	return c
}

// Guards against an upstream that has left being used again by the next coordinator.
func TestDeparture_LateHeartbeatAtNextCoordinator(t *testing.T) {
	is := is.New(t)
	first := New(testSettings())
	first.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	first.Step(0, HeartbeatReceived{&wire.UpstreamState{Id: "r1", Leaves: true}})

	c := successor(first)
	c.Step(0, HeartbeatReceived{heartbeat("r1", 2, "m1")}) // sent before the notice
	is.Equal(len(c.Upstreams()), 0)
	c.Step(0, EntrySnapshot{Entry: "e1", States: []*wire.UpstreamState{heartbeat("r1", 1, "m1")}}) // the entry missed the notice
	is.Equal(len(c.Upstreams()), 0)
	c.Step(2*testSettings().TombstoneTTL, Tick{})
	c.Step(2*testSettings().TombstoneTTL, HeartbeatReceived{heartbeat("r1", 2, "m1")})
	is.Equal(len(c.Upstreams()), 0)
	again := heartbeat("r1", 1, "m1")
	again.BornUnixMs = 2000 // a new incarnation under the same id
	c.Step(0, HeartbeatReceived{again})
	is.Equal(len(c.Upstreams()), 1)
}

// Guards against an upstream that is refused for good: its clock was set back before it started again.
func TestDeparture_NextIncarnationBornEarlier(t *testing.T) {
	is := is.New(t)
	first := New(testSettings())
	first.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	first.Step(0, HeartbeatReceived{&wire.UpstreamState{Id: "r1", Leaves: true}})
	c := successor(first)
	earlier := heartbeat("r1", 1, "m1")
	earlier.BornUnixMs = 900
	c.Step(0, HeartbeatReceived{earlier})
	is.Equal(len(c.Upstreams()), 0) // a late heartbeat of an older incarnation, as far as can be told
	c.Step(testSettings().TombstoneTTL, Tick{})
	c.Step(testSettings().TombstoneTTL, HeartbeatReceived{earlier})
	is.Equal(len(c.Upstreams()), 1)
	c.Step(testSettings().TombstoneTTL, HeartbeatReceived{&wire.UpstreamState{Id: "r1", Leaves: true}})
	is.True(c.Departure(&wire.UpstreamState{Id: "r1", BornUnixMs: 900}).Gone)
}

// Guards against an upstream that drains being ready again at the next coordinator.
func TestDeparture_DrainingAtNextCoordinator(t *testing.T) {
	is := is.New(t)
	first := New(testSettings())
	first.Step(0, HeartbeatReceived{drainingHeartbeat("r1", 5, "m1")})

	c := successor(first)
	c.Step(0, HeartbeatReceived{heartbeat("r1", 4, "m1")}) // sent before it drained
	is.Equal(c.Upstreams()[0].Phase, wire.UpstreamPhase_PHASE_DRAINING)

	c = successor(first)
	c.Step(0, EntrySnapshot{Entry: "e1", States: []*wire.UpstreamState{heartbeat("r1", 4, "m1")}})
	is.Equal(c.Upstreams()[0].Phase, wire.UpstreamPhase_PHASE_DRAINING)
}

// Guards against a late heartbeat hiding that an upstream drains, which an entry was told.
func TestEntryState_DrainingAfterLateHeartbeat(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 4, "m1")})
	c.Step(0, EntrySnapshot{Entry: "e1", States: []*wire.UpstreamState{drainingHeartbeat("r1", 5, "m1")}})
	is.Equal(c.Upstreams()[0].Phase, wire.UpstreamPhase_PHASE_DRAINING)
}

// Guards against an acknowledged notice that nothing is kept of.
func TestLeave_UpstreamUnknown(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	notice := HeartbeatReceived{&wire.UpstreamState{Id: "r1", Leaves: true}}
	c.Step(0, notice)
	is.Equal(c.Departure(notice.State), nil)
	c.Step(0, EntrySnapshot{Entry: "e1", States: []*wire.UpstreamState{heartbeat("r1", 1, "m1")}})
	c.Step(0, notice)
	is.Equal(len(c.Upstreams()), 0)
	is.True(c.Departure(notice.State).Gone)
	c.Step(0, notice) // sent again
	is.Equal(c.Departure(notice.State).BornUnixMs, int64(1000))

	// The next coordinator knows it as one that drained.
	first := New(testSettings())
	first.Step(0, HeartbeatReceived{drainingHeartbeat("r1", 5, "m1")})
	c = successor(first)
	c.Step(0, notice)
	is.True(c.Departure(notice.State).Gone)
}

// Guards against a late notice that drops the next incarnation under its id.
func TestLeave_LateOfAnOlderIncarnation(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	next := heartbeat("r1", 1, "m1")
	next.BornUnixMs = 2000
	c.Step(0, HeartbeatReceived{next})
	c.Step(0, HeartbeatReceived{&wire.UpstreamState{Id: "r1", BornUnixMs: 1000, Leaves: true}})
	is.Equal(len(c.Upstreams()), 1)
	c.Step(0, HeartbeatReceived{&wire.UpstreamState{Id: "r1", BornUnixMs: 2000, Leaves: true}})
	is.Equal(len(c.Upstreams()), 0)
}

func TestLeave_AfterSilence(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")})
	c.Step(testSettings().ForgetAfter, Tick{})
	notice := &wire.UpstreamState{Id: "r1", Leaves: true}
	c.Step(testSettings().ForgetAfter, HeartbeatReceived{notice})
	is.Equal(c.Departure(notice).BornUnixMs, int64(1000))
}

func TestDepartures_Bound(t *testing.T) {
	is := is.New(t)
	ds := newDepartures()
	for i := range maxDepartures + 1 {
		ds.add(&wire.Departure{Upstream: fmt.Sprint(i), BornUnixMs: 1})
		ds.add(&wire.Departure{Upstream: fmt.Sprint(i), BornUnixMs: 1, Gone: true})
	}
	is.Equal(len(ds.known), maxDepartures)
	is.Equal(len(ds.order), maxDepartures)
	is.Equal(ds.of(&wire.UpstreamState{Id: "0", BornUnixMs: 1}), nil)
	is.True(ds.of(&wire.UpstreamState{Id: "1", BornUnixMs: 1}).Gone)
}
