package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// withTargets returns a stream request on a route with targets. At 45 µs a token and 40 ms an event, 5,777 tokens
// are read within a target of 300 ms.
func withTargets(id uint64, promptTokens int) SlotRequest {
	r := request(id, "m")
	r.Streams, r.GapTarget, r.LatencyTarget = true, 300*ms, 500*ms
	r.PromptTokens = promptTokens
	return r
}

// largeCore returns a core with runners of a number of slots, in a configuration without a bound on the KV cache.
func largeCore(slots uint32, ids ...string) *Core {
	var states []*wire.UpstreamState
	for _, id := range ids {
		s := runner(id, "m")
		s.Slots = slots
		states = append(states, s)
	}
	c := newCore(states...)
	engine := &routing.Engine{Slots: int(slots), Models: []routing.Model{{Name: "m"}}}
	c.settings.GapShare = 1 // the numbers of tokens in the tests are for the whole target
	c.SetConfig(0, &routing.Config{Version: 2, Services: []routing.Service{{Name: llm, Engine: engine}}})
	return c
}

// Prompts that arrive together must not pile up on a runner: its streams would pause for longer than
// the target while it reads them.
func TestPrefill_BoundedByTheTarget(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	is.Equal(len(c.Submit(0, withTargets(1, 3000))), 1)
	is.Equal(len(c.Submit(0, withTargets(2, 2500))), 1)
	is.Equal(len(c.Submit(0, withTargets(3, 500))), 0) // 6,000 tokens
	is.Equal(c.PrefillWaits(), uint64(1))
	is.Equal(len(c.Tick(10*ms)), 0)
	d := c.RecordEvent(175*ms, 1, 0) // the first prompt has been read
	is.Equal(len(d), 1)
	is.Equal(d[0].RequestID, uint64(3))
	c.RecordEvent(215*ms, 1, 0)
	is.Equal(c.byID["r1"].prefillTokens, 3000)
	c.Release(240*ms, 2, Served)
	c.Release(240*ms, 1, Served)
	is.Equal(c.byID["r1"].prefillTokens, 500)
}

// A prompt longer than all that may be in prefill must still be served: alone, or on an idle runner.
func TestPrefill_LongPromptAlone(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	is.Equal(len(c.Submit(0, withTargets(1, 9000))), 1) // it is idle
	is.Equal(len(c.Submit(0, withTargets(2, 100))), 0)
	is.Equal(len(c.RecordEvent(445*ms, 1, 0)), 1)
	is.Equal(len(c.Submit(450*ms, withTargets(3, 9000))), 0)
	is.Equal(len(c.RecordEvent(490*ms, 2, 0)), 1)
}

// Short prompts must not keep a longer one waiting for ever that came before them.
func TestPrefill_LongPromptIsNotOvertakenForLong(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	is.Equal(len(c.Submit(0, withTargets(1, 3000))), 1)
	is.Equal(len(c.Submit(0, withTargets(2, 4000))), 0)
	is.Equal(len(c.Submit(0, withTargets(3, 2000))), 1) // there is room for it
	is.Equal(len(c.RecordEvent(175*ms, 1, 0)), 0)
	is.Equal(len(c.Tick(300*ms)), 0)
	later := withTargets(4, 1000)
	later.Deadline += ms
	is.Equal(len(c.Submit(310*ms, later)), 0) // the long one claims the runner
	d := c.RecordEvent(320*ms, 3, 0)
	is.Equal(len(d), 2)
	is.Equal(d[0].RequestID, uint64(2))
	is.Equal(d[1].RequestID, uint64(4))
}

// A claim must end with its request.
func TestPrefill_ClaimantCancelled(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	c.Submit(0, withTargets(1, 3000))
	c.Submit(0, withTargets(2, 4000))
	c.Tick(300 * ms)
	is.Equal(len(c.Submit(310*ms, withTargets(3, 100))), 0)
	c.Cancel(320*ms, 2)
	is.Equal(len(c.Tick(330*ms)), 1)
}

// Other entries' prompts are not seen here, so they must count as well. The own ones in the published
// sum must not count twice.
func TestPrefill_OtherEntries(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	c.Submit(0, withTargets(1, 1000))
	rep := c.Report(0)
	is.Equal(rep.Loads[0].PrefillTokens, uint32(1000))
	is.Equal(rep.Loads[0].KvTokens, uint32(1100))
	loads := func(prefill, kv int) *wire.FleetUpdate {
		l := fleetLoads(2)
		l.PrefillUnits, l.KvUnits = []uint32{wire.Units(prefill, wire.PrefillUnit)}, []uint32{wire.Units(kv, wire.KVUnit)}
		return &wire.FleetUpdate{Loads: l}
	}
	c.Apply(0, loads(1000, 1100))
	is.Equal(c.byID["r1"].otherPrefill, 0)
	is.Equal(c.byID["r1"].otherKV, 0)
	c.Apply(0, loads(5000, 7000))
	is.Equal(len(c.Submit(0, withTargets(2, 1000))), 0) // 6,000 tokens
	is.Equal(len(c.Submit(0, withTargets(3, 500))), 1)
}

// Without a coordinator the published prompts of other entries stay as they are. They must not block the
// runner, which has long read them.
func TestPrefill_CoordinatorGone(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	l := fleetLoads(4)
	l.PrefillUnits = []uint32{wire.Units(8000, wire.PrefillUnit)}
	c.Apply(0, &wire.FleetUpdate{Loads: l})
	is.Equal(len(c.Submit(0, withTargets(1, 1000))), 0)
	is.Equal(len(c.Tick(600*ms)), 0)
	is.Equal(len(c.Tick(700*ms)), 1)
}

// The KV cache of a runner must be checked also at an entry that has no request there.
func TestSubmit_KVCacheFullByOtherEntries(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m")) // 10,000 tokens
	l := fleetLoads(2)
	l.KvUnits = []uint32{wire.Units(8500, wire.KVUnit)}
	c.Apply(0, &wire.FleetUpdate{Loads: l})
	is.Equal(len(c.Submit(0, request(1, "m"))), 0)
	l.KvUnits = []uint32{wire.Units(1000, wire.KVUnit)}
	is.Equal(len(c.Apply(0, &wire.FleetUpdate{Loads: l})), 1)
}

// Requests must not wait at a large runner that is nearly idle. Small runners and requests without a
// target keep the limit of 11.
func TestSubmit_LimitOfRunningRequests(t *testing.T) {
	tests := []struct {
		name    string
		slots   uint32
		targets bool
		want    int
	}{
		{"many slots", 64, true, 60},
		{"many slots without a target", 64, false, 11},
		{"few slots", 16, true, 11},
		{"fewer slots than the limit", 8, true, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := largeCore(tt.slots, "r1")
			granted := 0
			for id := uint64(1); id <= 70; id++ {
				r := withTargets(id, 10)
				if !tt.targets {
					r.GapTarget = 0
				}
				granted += len(c.Submit(0, r))
			}
			is.Equal(granted, tt.want)
			granted += len(c.Tick(400 * ms))
			is.Equal(granted, int(tt.slots))
		})
	}
}
