package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/state"
	"gentiankeel/internal/wire"
)

// commit applies a record to a state machine as coordinator 7 and returns the result for the core.
func commit(m *state.Machine, index uint64, r *wire.SoftwareRecord) SoftwareRecorded {
	r.Token = 7
	res := m.Apply(index, &wire.Command{Op: &wire.Command_RecordSoftware{RecordSoftware: &wire.RecordSoftware{Record: r}}})
	return SoftwareRecorded{Record: r, Failed: res.Code != wire.ResultCode_RESULT_OK}
}

func versionedHeartbeat(id, service, software string, seq uint64) *wire.UpstreamState {
	s := heartbeat(id, seq)
	s.Service, s.Software = service, software
	return s
}

// Guards against a heartbeat with a name that the log does not take, of which no upstream is published any more.
func TestSoftware_HeartbeatWithNameThatTheLogRefuses(t *testing.T) {
	long := strings.Repeat("x", 300)
	for name, odd := range map[string]*wire.UpstreamState{
		"service": versionedHeartbeat("odd", long, "v1", 1),
		"version": versionedHeartbeat("odd", "desk", long, 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, m := New(testSettings()), state.New(state.Options{})
			c.Step(0, SoftwareRestored{Complete: true, Recorded: true})
			commits, published := uint64(0), 0
			step := func(now Time, ev Event) {
				for actions := c.Step(now, ev); ; {
					for _, p := range actionsOf[Publish](actions) {
						if p.State.Id == "r1" {
							published++
						}
					}
					r := recordOf(actions)
					if r == nil {
						return
					}
					commits++
					actions = c.Step(now, commit(m, commits, r))
				}
			}
			step(0, HeartbeatReceived{odd})
			for i := range uint64(100) {
				now := Time(i+1) * 100 * time.Millisecond
				step(now, HeartbeatReceived{versionedHeartbeat("r1", llm, "v1", i+1)})
				step(now, Tick{})
			}
			t.Logf("%d commits in 10 s, r1 published %d times", commits, published)
			is.Equal(published, 1)
			is.True(commits < 10)
		})
	}
}

// Guards against upstreams that are held back for 1.5 s after a change of coordinator, since their version had ended before.
func TestSoftware_EndedVersionRunsAgainAtStartOfTerm(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, SoftwareRestored{Complete: true, Recorded: true, Versions: []*wire.ServiceSoftware{{Service: llm, Version: "v1", EndedMs: 5000}}})
	var publishedAt Time
	step := func(now Time, ev Event) {
		actions := c.Step(now, ev)
		for r := recordOf(actions); r != nil; r = recordOf(actions) {
			actions = append(c.Step(now, SoftwareRecorded{Record: r}), actions[:0:0]...)
		}
		if len(actionsOf[Publish](actions)) > 0 && publishedAt == 0 {
			publishedAt = now
		}
	}
	for i := range uint64(40) {
		now := Time(i+1) * 50 * time.Millisecond
		if i%10 == 0 {
			step(now, HeartbeatReceived{versionedHeartbeat("r1", llm, "v1", i+1)})
		}
		step(now, Tick{})
	}
	t.Logf("published %v after the start of the term, heard from after 50ms", publishedAt)
	is.True(publishedAt > 0 && publishedAt <= 200*time.Millisecond)
}

// Guards against requests that are sent to an upstream whose process is known to have ended, while its successor waits for the record.
func TestSoftware_NewIncarnationUnderTheSameIDWaits(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, SoftwareRestored{Complete: true, Recorded: true, Versions: []*wire.ServiceSoftware{{Service: llm, Version: "v1"}}})
	is.Equal(len(actionsOf[Publish](c.Step(time.Millisecond, HeartbeatReceived{versionedHeartbeat("r1", llm, "v1", 1)}))), 1)
	again := versionedHeartbeat("r1", llm, "v2", 1)
	again.BornUnixMs = 2000
	actions := c.Step(2*time.Second, HeartbeatReceived{again})
	is.True(recordOf(actions) != nil)
	published := actionsOf[Publish](actions)
	is.Equal(len(published), 1) // that the process born at 1000 is gone
	is.Equal(published[0].State.Phase, wire.UpstreamPhase_PHASE_GONE)
}

// Guards against a stream that begins at a version which the log then says has ended long ago: the record in flight counts too.
func TestSoftware_VersionRunsAgainWhileItsEndIsCommitted(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, SoftwareRestored{Complete: true, Recorded: true, Versions: []*wire.ServiceSoftware{{Service: llm, Version: "v1"}}})
	c.Step(time.Millisecond, HeartbeatReceived{versionedHeartbeat("r1", llm, "v1", 1)})
	c.Step(time.Millisecond, HeartbeatReceived{&wire.UpstreamState{Id: "r1", BornUnixMs: 1000, Leaves: true}})
	var r *wire.SoftwareRecord
	now := Time(0)
	for ; r == nil || r.Versions[0].EndedMs == 0; now += 100 * time.Millisecond {
		if r = recordOf(c.Step(now, Tick{})); r != nil && r.Versions[0].EndedMs == 0 {
			c.Step(now, SoftwareRecorded{Record: r})
		}
	}
	t.Logf("at %v: the record in flight says that v1 ended %d ms ago", now, r.Versions[0].EndedMs)
	actions := c.Step(now, HeartbeatReceived{versionedHeartbeat("r2", llm, "v1", 1)})
	is.Equal(len(actionsOf[Publish](actions)), 0) // before the log says again that v1 runs
}

// Guards against a group whose first coordinator ends before it has written a record: its successor knows nothing for a minute.
func TestSoftware_FirstTermWritesARecordAtOnce(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	is.True(recordOf(c.Step(0, SoftwareRestored{Complete: true})) != nil)
}

// Guards against an upstream that an entry has been using and loses when it attaches, since its heartbeat came before the entry did and
// its version is not recorded yet (the first term after an update).
func TestSoftware_EntryAttachesWhileItsUpstreamWaits(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, SoftwareRestored{})
	known := versionedHeartbeat("r1", llm, "v1", 5)
	is.True(recordOf(c.Step(time.Millisecond, HeartbeatReceived{versionedHeartbeat("r1", llm, "v1", 6)})) != nil)
	c.Step(2*time.Millisecond, EntrySnapshot{Entry: "e1", States: []*wire.UpstreamState{known}})
	is.Equal(len(c.Upstreams()), 1) // what the snapshot to e1 lists; e1 removes the others
}

// Guards against a version that entries run streams at while the log doesn't have it.
func TestSoftware_VersionThatAnEntryKnowsIsRecordedAtOnce(t *testing.T) {
	for name, ev := range map[string]EntrySnapshot{
		"upstream": {Entry: "e1", States: []*wire.UpstreamState{versionedHeartbeat("r1", llm, "v1", 5)}},
		"version":  {Entry: "e1", Software: []*wire.ServiceSoftware{{Service: llm, Version: "v1", EndedMs: 100}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New(testSettings())
			c.Step(0, SoftwareRestored{Complete: true, Recorded: true}) // forgotten while the entry and the upstream were cut off
			var recordedAt Time
			actions := c.Step(time.Millisecond, ev)
			for now := time.Millisecond; recordedAt == 0 && now < 5*time.Second; now += 10 * time.Millisecond {
				if recordOf(actions) != nil {
					recordedAt = now
				}
				actions = c.Step(now, Tick{})
			}
			t.Logf("the record is committed %v after the entry attached, published %d", recordedAt, len(c.Upstreams()))
			is.True(recordedAt > 0 && recordedAt < 100*time.Millisecond)
		})
	}
}

// Guards against a recorded age that exceeds the true one: an entry saw the version later than the coordinator.
func TestSoftware_AgeInTheRecordAboveTheTrueOne(t *testing.T) {
	is := is.New(t)
	c := New(testSettings())
	c.Step(0, SoftwareRestored{Complete: true, Recorded: true, Versions: []*wire.ServiceSoftware{{Service: llm, Version: "v1", EndedMs: 50_000}}})
	var last *wire.SoftwareRecord
	step := func(now Time, ev Event) {
		if r := recordOf(c.Step(now, ev)); r != nil {
			last = r
			c.Step(now, SoftwareRecorded{Record: r})
		}
	}
	step(2*time.Second, Tick{})
	step(3*time.Second, EntrySnapshot{Entry: "e1", Software: []*wire.ServiceSoftware{{Service: llm, Version: "v1", EndedMs: 1000}}})
	is.Equal(c.Software()[0].EndedMs, uint32(1000))
	for now := 3 * time.Second; now < 12*time.Second; now += 500 * time.Millisecond {
		step(now, Tick{})
	}
	t.Logf("after 9 s: known %d ms, recorded %d ms", c.Software()[0].EndedMs, last.Versions[0].EndedMs)
	is.True(last.Versions[0].EndedMs <= c.Software()[0].EndedMs)
}
