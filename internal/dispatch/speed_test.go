package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

// withPace returns loads with a factor of r1, in thousandths.
func withPace(thousandths uint32) *wire.FleetUpdate {
	l := fleetLoads(0)
	l.Pace = []uint32{thousandths}
	return &wire.FleetUpdate{Loads: l}
}

// The factor of an incarnation must hold without a coordinator and with one that has learned nothing yet, but a new
// incarnation may run on another machine.
func TestSpeed_FactorHoldsForTheIncarnation(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	is.Equal(c.byID["r1"].factor(), 1.0)
	c.Apply(0, withPace(1600))
	c.Apply(0, &wire.FleetUpdate{Loads: fleetLoads(1)})
	is.Equal(c.byID["r1"].factor(), 1.6)
	c.Apply(time.Second, &wire.FleetUpdate{Term: 2, Snapshot: true, Upstreams: []*wire.UpstreamState{runner("r1", "m")}})
	is.Equal(c.byID["r1"].factor(), 1.6)
	is.Equal(c.Paces().Max, uint32(1600))
	next := runner("r1", "m")
	next.BornUnixMs = 2
	c.Apply(2*time.Second, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{next}})
	is.Equal(c.byID["r1"].factor(), 1.0)
	next = runner("r1", "m")
	next.BornUnixMs, next.Pace = 3, 700 // known to the coordinator before it is to this entry
	c.Apply(3*time.Second, &wire.FleetUpdate{Upstreams: []*wire.UpstreamState{next}})
	is.Equal(c.byID["r1"].factor(), 0.7)
}

// A slow runner reads fewer prompt tokens within the same target.
func TestSpeed_SlowRunnerTakesFewerPrompts(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	c.Apply(0, withPace(2000))
	is.Equal(len(c.Submit(0, withTargets(1, 1500))), 1)
	is.Equal(len(c.Submit(0, withTargets(2, 1500))), 0) // 3,000 tokens; 2,443 are read within 220 ms
	is.Equal(len(c.Submit(0, withTargets(3, 500))), 1)
}

// Observations are reported at most once a second, with what the gaps were expected to take.
func TestSpeed_Report(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	c.Submit(0, withTargets(1, 100))
	c.RecordEvent(45*ms, 1, 0)
	for i := 1; i <= 10; i++ {
		c.RecordEvent(45*ms+time.Duration(i)*60*ms, 1, 60*ms)
	}
	c.RecordEvent(time.Second, 1, 0) // the entry was suspended
	paces := c.TakePaces(time.Second)
	is.Equal(len(paces), 1)
	is.Equal(paces[0].Number, uint32(1))
	is.Equal(paces[0].Model, "m")
	is.Equal(paces[0].Gaps, uint32(10))
	is.Equal(paces[0].GapsMs, uint32(600))
	is.Equal(paces[0].Work, uint32(10_000)) // alone on the runner
	c.RecordEvent(1060*ms, 1, 60*ms)
	is.Equal(len(c.TakePaces(1500*ms)), 0)
	is.Equal(len(c.TakePaces(2*time.Second)), 1)
	is.Equal(len(c.TakePaces(3*time.Second)), 0)
}

// In a slow phase of a runner, prompts sent to it would prolong its gaps even more.
func TestSpeed_SlowPhase(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	c.Submit(0, withTargets(1, 100))
	u := c.byID["r1"]
	now := 45 * ms
	c.RecordEvent(now, 1, 0)
	for range 100 {
		now += 40 * ms
		c.RecordEvent(now, 1, 40*ms)
	}
	usual := c.readTime(u, 1000)
	for range 6 {
		now += 100 * ms
		c.RecordEvent(now, 1, 100*ms)
	}
	is.True(c.readTime(u, 1000) > usual*13/10)
	is.Equal(u.factor(), 1.0)
	c.Tick(now + 3*time.Second)
	is.True(c.readTime(u, 1000) < usual*11/10)
}

// With 11 requests on each, a slow runner's pauses were too long and fast ones were not used.
func TestSpeed_LimitOfRunningRequests(t *testing.T) {
	for _, tt := range []struct {
		pace uint32
		want int
	}{{0, 11}, {1000, 11}, {1667, 7}, {600, 13}, {900, 12}} {
		is := is.New(t)
		c := largeCore(16, "r1")
		c.Apply(0, withPace(tt.pace))
		granted := 0
		for id := uint64(1); id <= 20; id++ {
			granted += len(c.Submit(0, withTargets(id, 10)))
		}
		is.Equal(granted, tt.want)
	}
}

// A new coordinator knows nothing of runners that stay silent, and entries send little to those that were slow. Their
// factors must not hold for ever.
func TestSpeed_FactorOfAnEarlierCoordinatorEnds(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	c.Apply(0, withPace(1600))
	c.Apply(time.Minute, &wire.FleetUpdate{}) // the same coordinator: it would have reset the factor
	is.Equal(c.byID["r1"].factor(), 1.6)
	snapshot := &wire.FleetUpdate{Term: 2, Snapshot: true, Upstreams: []*wire.UpstreamState{runner("r1", "m")}}
	c.Apply(time.Minute, snapshot)
	c.Apply(89*time.Second, &wire.FleetUpdate{})
	is.Equal(c.byID["r1"].factor(), 1.6)
	c.Apply(91*time.Second, &wire.FleetUpdate{})
	is.Equal(c.byID["r1"].factor(), 1.0)
	c.Apply(92*time.Second, withPace(1600))
	c.Apply(93*time.Second, snapshot)
	c.Apply(94*time.Second, withPace(1700))
	c.Apply(150*time.Second, &wire.FleetUpdate{})
	is.Equal(c.byID["r1"].factor(), 1.7)
}

// What was observed before another coordinator assigned new numbers, maybe minutes ago without one, must not be
// reported to it: it would take it for the present speed of another runner.
func TestSpeed_ObservedBeforeASnapshot(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	c.Submit(0, withTargets(1, 100))
	c.RecordEvent(45*ms, 1, 0)
	c.RecordEvent(105*ms, 1, 60*ms)
	s := runner("r1", "m")
	s.Number = 7
	c.Apply(time.Minute, &wire.FleetUpdate{Term: 2, Snapshot: true, Upstreams: []*wire.UpstreamState{s}})
	is.Equal(len(c.TakePaces(time.Minute)), 0)
	c.RecordEvent(time.Minute+60*ms, 1, 60*ms)
	paces := c.TakePaces(2 * time.Minute)
	is.Equal(len(paces), 1)
	is.Equal(paces[0].Number, uint32(7))
	is.Equal(paces[0].Gaps, uint32(1))
}

// The time for which an entry was suspended must not count as time of its upstreams: all attempts in progress would
// be taken for slow ones at once.
func TestSpeed_EntrySuspended(t *testing.T) {
	is := is.New(t)
	c := learned()
	e := c.engineOf(llm)
	read, first, ratio := e.ReadPerToken(), e.FirstEventTime(1000), e.RunRatio()
	for id := uint64(1); id <= 30; id++ {
		now := time.Duration(id) * 20 * time.Second
		r := withTargets(id, 1000)
		r.Deadline = now + time.Minute
		is.Equal(len(c.Submit(now, r)), 1)
		c.Resumed(now + 10*time.Second)
		c.RecordEvent(now+10*time.Second, id, 0)
		for range 24 {
			c.RecordEvent(now+11*time.Second, id, 0)
		}
		c.Release(now+12*time.Second, id, Served)
	}
	is.Equal(e.ReadPerToken(), read)
	is.Equal(e.FirstEventTime(1000), first)
	is.Equal(e.RunRatio(), ratio)
	is.Equal(c.Running(), 0)
}

// A sum of tokens beyond 32 bits must not be reported as a small one.
func TestReport_HugeTokens(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	for id := uint64(1); id <= 4; id++ {
		r := withTargets(id, 1<<30)
		r.OutputTokens, r.GapTarget = 1<<30, 0
		is.Equal(len(c.Submit(0, r)), 1)
	}
	load := c.Report(0).Loads[0]
	is.Equal(load.PrefillTokens, uint32(math.MaxUint32))
	is.Equal(load.KvTokens, uint32(math.MaxUint32))
}

// The predicted end of an output of the largest size on a slow runner must not overflow to a time in the past.
func TestPredict_EndlessOutput(t *testing.T) {
	c := learned()
	c.Apply(0, withPace(10_000))
	r := withTargets(1, 1<<30)
	r.OutputTokens = 1 << 30
	c.lengths[lengthKey{}].Mid = 5
	w := &waiter{request: r}
	f := c.forecast(w)
	p := c.predict(c.byID["r1"], w, &f, false)
	p.gap *= 8 // of an engine with 0.8 s between two events
	if end := p.end(f.mid); end <= time.Hour {
		t.Errorf("an output of %.0f events ends after %v", f.mid, end)
	}
	if risk := p.lateRisk(&f, time.Minute); risk != 1 {
		t.Errorf("it ends too late with probability %v", risk)
	}
}
