package fleet

import (
	"cmp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// Entries that are told of few upstreams must know whether a version of software still runs somewhere.
func TestSoftware_VersionLeavesAndEnds(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	beat := func(id, software string, seq uint64, phase wire.UpstreamPhase) []Action {
		s := heartbeat(id, seq, "m1")
		s.Software, s.Phase = software, phase
		c.Step(0, HeartbeatReceived{s})
		return c.Step(0, Tick{})
	}
	ready, draining := wire.UpstreamPhase_PHASE_READY, wire.UpstreamPhase_PHASE_DRAINING
	is.Equal(len(actionsOf[PublishSoftware](beat("r1", "v1", 1, ready))), 1)
	is.Equal(len(actionsOf[PublishSoftware](beat("r2", "v1", 1, ready))), 0)
	is.Equal(len(actionsOf[PublishSoftware](beat("r3", "v2", 1, ready))), 1)
	is.Equal(len(actionsOf[PublishSoftware](beat("r1", "v1", 2, draining))), 0) // r2 stays
	is.Equal(len(actionsOf[PublishSoftware](beat("r2", "v1", 2, draining))), 1)
	list := c.Software()
	is.Equal(len(list), 2)
	is.True(list[0].Version == "v1" && list[0].Leaving)
	is.True(list[1].Version == "v2" && !list[1].Leaving)
	c.Step(0, HeartbeatReceived{&wire.UpstreamState{Id: "r1", Leaves: true}})
	c.Step(0, HeartbeatReceived{&wire.UpstreamState{Id: "r2", Leaves: true}})
	is.Equal(len(actionsOf[PublishSoftware](c.Step(0, Tick{}))), 1)
	list = c.Software()
	is.Equal(len(list), 2) // a stream of unknown origin may be of the version that has ended
	is.True(list[0].Version == "v1" && list[0].Leaving && list[0].EndedMs > 0)
	is.True(list[1].Version == "v2" && !list[1].Leaving && list[1].EndedMs == 0)
	r3 := heartbeat("r3", 2, "m1")
	r3.Software = "v2"
	c.Step(streamorigin.TTL-1, HeartbeatReceived{r3})
	is.Equal(len(actionsOf[PublishSoftware](c.Step(streamorigin.TTL-1, Tick{}))), 0)
	is.Equal(len(actionsOf[PublishSoftware](c.Step(streamorigin.TTL-1+softwareInterval, Tick{}))), 1)
	list = c.Software()
	is.Equal(len(list), 1)
	is.Equal(list[0].Version, "v2")
}

// A new coordinator took the version that it heard of first for the only one, although entries knew that another one had
// run until lately.
func TestSoftware_EndedVersionTakenOverFromEntry(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	now := Time(0)
	for range 3 { // however often a new coordinator is told of it, it is forgotten in time
		now += streamorigin.TTL / 4
		c.Step(now, EntrySnapshot{Entry: "e1", Software: []*wire.ServiceSoftware{{Service: llm, Version: "v1", EndedMs: uint32(now.Milliseconds())}}})
	}
	list := c.Software()
	is.Equal(len(list), 1)
	is.True(list[0].Leaving)
	is.Equal(list[0].EndedMs, uint32(now.Milliseconds()))
	c.Step(streamorigin.TTL, Tick{})
	is.Equal(len(c.Software()), 0)
}

// recordOf returns the record that the actions commit, nil if there is none.
func recordOf(actions []Action) *wire.SoftwareRecord {
	for _, a := range actionsOf[RecordSoftware](actions) {
		return a.Record
	}
	return nil
}

// Guards against streams that begin at a version of which no coordinator knows after a restart of all processes.
func TestSoftware_RecordedBeforeItIsPublished(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, SoftwareRestored{Complete: true, Recorded: true})
	beat := func(now Time, id, software string, seq uint64) []Action {
		s := heartbeat(id, seq, "m1")
		s.Software = software
		return c.Step(now, HeartbeatReceived{s})
	}
	actions := beat(1, "r1", "v1", 1)
	first := recordOf(actions)
	is.True(first.Complete)
	is.Equal(len(first.Versions), 1)
	is.Equal(len(actionsOf[Publish](actions)), 0)
	is.Equal(len(c.Upstreams()), 0) // for entries that attach meanwhile
	is.Equal(len(c.UpstreamsHolding(llm, []string{"m1"})), 0)
	is.Equal(recordOf(beat(2, "r2", "v2", 1)), (*wire.SoftwareRecord)(nil)) // one at a time

	actions = c.Step(3, SoftwareRecorded{Record: first})
	is.Equal(len(actionsOf[Publish](actions)), 1)
	is.Equal(len(actionsOf[PublishSoftware](actions)), 1) // beside the upstream
	is.Equal(len(c.Upstreams()), 1)
	second := recordOf(actions)
	is.Equal(len(second.Versions), 2)
	is.Equal(len(actionsOf[Publish](c.Step(4, SoftwareRecorded{Record: second, Failed: true}))), 0)
	is.Equal(recordOf(c.Step(4+recordRetryInterval/2, Tick{})), (*wire.SoftwareRecord)(nil))
	again := recordOf(c.Step(4+recordRetryInterval, Tick{}))
	is.Equal(len(again.Versions), 2)
	is.Equal(len(actionsOf[Publish](c.Step(5+recordRetryInterval, SoftwareRecorded{Record: again}))), 1)
	is.Equal(len(actionsOf[Publish](beat(6+recordRetryInterval, "r3", "v2", 1))), 1) // at once
	is.Equal(recordOf(c.Step(7+recordRetryInterval, Tick{})), (*wire.SoftwareRecord)(nil))
}

// Guards against a coordinator that takes the version which it hears of for the only one of the last minute, since it began
// after the one before had ended.
func TestSoftware_RestoredFromTheRecord(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, SoftwareRestored{Complete: true, Recorded: true, Versions: []*wire.ServiceSoftware{
		{Service: llm, Version: "v1", EndedMs: 20_000}, {Service: llm, Version: "v2"}, {Service: llm, Version: "v3"}}})
	is.Equal(c.AllSoftwareKnown(), streamorigin.TTL)
	ages := func() map[string]uint32 {
		out := map[string]uint32{}
		for _, s := range c.Software() {
			out[s.Version] = s.EndedMs
		}
		return out
	}
	seq := uint64(0)
	beat := func(now Time) []Action {
		seq++
		s := heartbeat("r1", seq, "m1")
		s.Software = "v3"
		return c.Step(now, HeartbeatReceived{s})
	}
	is.Equal(len(actionsOf[Publish](beat(time.Second))), 1) // recorded by an earlier term
	is.Equal(ages(), map[string]uint32{"v1": 21_000, "v2": 1000, "v3": 0})
	is.Equal(recordOf(c.Step(time.Second, Tick{})), (*wire.SoftwareRecord)(nil)) // not all upstreams have been heard from
	step := func(now Time) *wire.SoftwareRecord {
		return cmp.Or(recordOf(beat(now)), recordOf(c.Step(now, Tick{})))
	}
	record := step(2 * time.Second)
	is.True(record.Complete)
	is.Equal(record.Versions[0].EndedMs, uint32(22_000))
	c.Step(2*time.Second, SoftwareRecorded{Record: record})
	is.Equal(step(4*time.Second), (*wire.SoftwareRecord)(nil))
	record = step(2*time.Second + recordAgeStep) // so that ages survive the next change of coordinator
	is.Equal(record.Versions[0].EndedMs, uint32(32_000))
	c.Step(2*time.Second+recordAgeStep, SoftwareRecorded{Record: record})
	step(streamorigin.TTL)
	is.Equal(ages(), map[string]uint32{"v3": 0})
}

// Guards against the same after an update from a build that keeps no record.
func TestSoftware_WithoutARecord(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, SoftwareRestored{})
	record := recordOf(c.Step(0, HeartbeatReceived{heartbeat("r1", 1, "m1")}))
	is.True(!record.Complete)
	is.Equal(c.AllSoftwareKnown(), time.Duration(0))
	c.Step(0, SoftwareRecorded{Record: record})
	known := &wire.UpstreamState{Id: "r9", BornUnixMs: 1, Service: llm, Software: "v9", Address: "10.0.0.9:1", Slots: 1, Phase: wire.UpstreamPhase_PHASE_READY}
	actions := c.Step(time.Second, EntrySnapshot{Entry: "e1", States: []*wire.UpstreamState{known}})
	is.Equal(len(actionsOf[Publish](actions)), 1) // an earlier coordinator had published it
	record = recordOf(actions)
	is.Equal(len(record.Versions), 2)
	c.Step(2*time.Second, SoftwareRecorded{Record: record})
	record = recordOf(c.Step(firstHeartbeatTime+streamorigin.TTL, HeartbeatReceived{heartbeat("r1", 2, "m1")}))
	is.Equal(c.AllSoftwareKnown(), streamorigin.TTL)
	is.True(record.Complete)
}

// Guards against one upstream whose version the log refuses, so that no new version of any service is published any more.
func TestSoftware_VersionThatCannotBeRecorded(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, SoftwareRestored{Complete: true, Recorded: true})
	beat := func(id, software string) []Action {
		s := heartbeat(id, 1, "m1")
		s.Software = software
		return c.Step(0, HeartbeatReceived{s})
	}
	is.Equal(recordOf(beat("r1", strings.Repeat("v", 257))), (*wire.SoftwareRecord)(nil))
	is.Equal(len(c.Software()), 0)
	record := recordOf(beat("r2", "v2"))
	is.Equal(len(record.Versions), 1)
	is.Equal(record.Versions[0].Version, "v2")
	published := actionsOf[Publish](c.Step(0, SoftwareRecorded{Record: record}))
	is.Equal(len(published), 1)
	is.Equal(published[0].State.Id, "r2")
	is.Equal(len(c.Upstreams()), 1)
}

// Guards against streams that are refused for a minute since the first coordinator was lost between the first configuration
// and the first record.
func TestSoftware_FirstRecordIsCommittedAtOnce(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	record := recordOf(c.Step(0, SoftwareRestored{Complete: true}))
	is.True(record.GetComplete())
	c = New(testSettings())
	is.Equal(recordOf(c.Step(0, SoftwareRestored{Complete: true, Recorded: true})), (*wire.SoftwareRecord)(nil))
	is.Equal(recordOf(c.Step(0, SoftwareRestored{})), (*wire.SoftwareRecord)(nil)) // it would say nothing
}

// Guards against a version that counts as ended, though an entry out of contact still begins streams at its upstream, which is
// out of contact too.
func TestSoftware_RunsWhereNobodyHearsOfIt(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, SoftwareRestored{Complete: true, Recorded: true})
	beat := func(now Time, id, software string, seq uint64) []Action {
		s := heartbeat(id, seq, "m1")
		s.Software = software
		return append(c.Step(now, HeartbeatReceived{s}), c.Step(now, Tick{})...)
	}
	commit := func(now Time, actions []Action) {
		for rec := recordOf(actions); rec != nil; rec = recordOf(c.Step(now, SoftwareRecorded{Record: rec})) {
		}
	}
	commit(0, beat(0, "r1", "v1", 1))
	commit(0, beat(0, "r2", "v2", 1))
	c.Step(0, EntrySnapshot{Entry: "front/1"})
	c.Step(time.Second, EntryGone{Entry: "front/1"}) // nothing shows that its process has ended
	end := testSettings().ForgetAfter + streamorigin.TTL + 5*time.Second
	for now := time.Second; now <= end; now += time.Second {
		commit(now, beat(now, "r2", "v2", uint64(now/time.Second)+1))
	}
	versions := len(c.Software())
	is.True(versions == 2 || c.AllSoftwareKnown() < streamorigin.TTL) // v1 may run, or that is said to be unknown
}
