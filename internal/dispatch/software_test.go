package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// resumed returns a request that needs a version of the software.
func resumed(id uint64, software string) SlotRequest {
	r := request(id, "m")
	r.Software, r.NeedsSoftware = software, true
	return r
}

// coreOfVersions returns a core with one runner of each version, r1 and so on.
func coreOfVersions(versions ...string) *Core {
	var states []*wire.UpstreamState
	for i, v := range versions {
		r := runner("r"+string(rune('1'+i)), "m")
		r.Software = v
		states = append(states, r)
	}
	return newCore(states...)
}

func TestSubmit_ResumedWithoutCoordinator(t *testing.T) {
	is := is.New(t)
	c := coreOfVersions("v1", "v2")
	c.LoseContact(0)
	is.Equal(len(c.Submit(0, resumed(1, "v1"))), 0)
	is.Equal(len(c.Submit(0, request(2, "m"))), 1) // it may run on any version
	d := c.Apply(100*ms, &wire.FleetUpdate{Term: 1, Snapshot: true, Upstreams: c.Upstreams()})
	is.Equal(d[0].Target.ID, "r1")

	// A new coordinator takes an upstream that has restarted for the old one until it is heard from.
	c.LoseContact(200 * ms)
	c.Apply(200*ms, &wire.FleetUpdate{Term: 2, Snapshot: true, Upstreams: c.Upstreams()})
	is.Equal(len(c.Submit(200*ms, resumed(3, "v1"))), 0)
	d = c.Tick(200*ms + c.settings.NoUpstreamWait)
	is.Equal(d[0].Kind, errkind.NoCapacity)
	is.Equal(d[0].RetryAfter, time.Second)
	is.Equal(c.Submit(200*ms+firstHeartbeatTime, resumed(4, "v1"))[0].Target.ID, "r1")
}

func TestSubmit_ResumedWithoutCoordinatorAtOnlyVersion(t *testing.T) {
	is := is.New(t)
	c := coreOfVersions("v1", "v1")
	c.LoseContact(0)
	c.RecordEnded(0, "r1", 1, 0)
	c.RecordEnded(0, "r2", 1, 0)
	is.Equal(len(c.Submit(0, resumed(1, "v1"))), 1)
}

func TestRecordEnded_UntilHeardOf(t *testing.T) {
	is := is.New(t)
	c := coreOfVersions("v1", "v2", "v1")
	r1 := &Target{ID: "r1", BornUnixMs: 1, Software: "v1"}
	c.RecordEnded(10*ms, "r1", 1, 10*ms)
	for id := range uint64(4) {
		is.Equal(c.Submit(10*ms, resumed(id, "v1"))[0].Target.ID, "r3")
	}
	for id := range uint64(4) {
		is.True(c.Submit(10*ms, request(10+id, "m"))[0].Target.ID != "r1")
	}
	ok, _ := c.KnowsSoftware(10*ms, r1, 5*ms) // sent before its end
	is.True(ok)
	ok, isLasting := c.KnowsSoftware(10*ms, r1, 20*ms)
	is.True(!ok && !isLasting)

	// Other signs of life than a state of the coordinator's don't count.
	c.Tick(10*ms + rebirthTime)
	ok, _ = c.KnowsSoftware(10*ms+rebirthTime, r1, 20*ms)
	is.True(!ok)
	c.Apply(10*ms+rebirthTime, &wire.FleetUpdate{Term: 1})
	ok, _ = c.KnowsSoftware(10*ms+rebirthTime, r1, 20*ms)
	is.True(ok)

	again := runner("r1", "m")
	again.BornUnixMs, again.Software = 2, "v2"
	c.Apply(10*ms+rebirthTime, &wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{again}})
	ok, isLasting = c.KnowsSoftware(10*ms+rebirthTime, r1, 20*ms)
	is.True(!ok && isLasting)
}

func TestSoftwareChanged_RunningOnRestartedUpstream(t *testing.T) {
	for _, software := range []string{"v1", "v2"} {
		t.Run(software, func(t *testing.T) {
			is := is.New(t)
			c := coreOfVersions("v1")
			is.Equal(len(c.Submit(0, request(1, "m"))), 1)
			again := runner("r1", "m")
			again.BornUnixMs, again.Software = 2, software
			c.Apply(ms, &wire.FleetUpdate{Term: 1, Upstreams: []*wire.UpstreamState{again}})
			is.Equal(c.TakeEnded(), []uint64{1})
			is.Equal(c.SoftwareChanged(1), software == "v2")
		})
	}
}

func TestUntilAllKnown_EntryJustStarted(t *testing.T) {
	is := is.New(t)
	c := newCore()
	is.Equal(c.UntilAllKnown(0), firstHeartbeatTime)
	is.Equal(c.UntilAllKnown(firstHeartbeatTime), time.Duration(0))
	c.Apply(firstHeartbeatTime, &wire.FleetUpdate{Term: 2, Snapshot: true})
	is.Equal(c.UntilAllKnown(firstHeartbeatTime), time.Duration(0)) // it has versions of its own
}
