package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// learned returns a core that has seen streams of 100 expected tokens with 25 events of 100 ms on r1.
func learned() *Core {
	c := largeCore(64, "r1", "r2")
	id, now := uint64(1000), time.Duration(0)
	for range 40 {
		id++
		r := withTargets(id, 100)
		r.Exclude = map[string]bool{"r2": true}
		r.Deadline = now + time.Minute
		c.Submit(now, r)
		for n := range 25 {
			now += 100 * ms
			c.RecordEvent(now, id, time.Duration(min(n, 1))*100*ms)
		}
		c.Release(now, id, Served)
	}
	c.now = 0 // the tests count from here
	return c
}

// A stream that no runner can complete in time must be refused at once: it would take a slot until its deadline. One
// that might be completed must not.
func TestPredict_RefusesWhatCannotBeCompleted(t *testing.T) {
	tests := []struct {
		name    string
		tokens  int
		resumed bool
		fast    bool // r2 takes a fifth of the time
		want    errkind.Kind
	}{
		{"short", 100, false, false, ""},
		{"long, 15 s expected", 600, false, false, ""},
		{"too long, 100 s expected", 4000, false, false, errkind.DeadlineUnmeetable},
		{"too long for all but the fast one", 4000, false, true, ""},
		{"the rest of a stream", 4000, true, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := learned()
			if tt.fast {
				l := fleetLoads(0, 0)
				l.Pace = []uint32{1000, 200}
				c.Apply(0, &wire.FleetUpdate{Loads: l})
			}
			r := withTargets(1, 100)
			r.OutputTokens, r.Resumed = tt.tokens, tt.resumed
			d := c.Submit(0, r)
			is.Equal(len(d), 1)
			is.Equal(d[0].Kind, tt.want)
			is.Equal(d[0].Target == nil, tt.want != "")
		})
	}
}

// A prediction from the starting values alone says nothing about the engine: nothing is refused by it.
func TestPredict_NotConfidentYet(t *testing.T) {
	is := is.New(t)
	c := largeCore(64, "r1")
	r := withTargets(1, 100)
	r.OutputTokens = 100_000
	is.True(c.Submit(0, r)[0].Target != nil)
}

// A hint is capped by the bound on the output.
func TestPredict_HintAboveTheBound(t *testing.T) {
	is := is.New(t)
	c := learned()
	r := withTargets(1, 100)
	r.Hinted, r.OutputTokens, r.OutputBound = true, 100_000, 100
	is.True(c.forecast(&waiter{request: r}).high <= 100)
}

// Long work prefers a fast runner even if more runs there; short work uses the slow one.
func TestPredict_LongWorkOnFastRunner(t *testing.T) {
	is := is.New(t)
	c := learned()
	l := fleetLoads(0, 45)
	l.Pace = []uint32{1600, 600}
	c.Apply(0, &wire.FleetUpdate{Loads: l})
	for id := range uint64(5) {
		long, short := withTargets(2*id+1, 1000), withTargets(2*id+2, 1000)
		long.OutputTokens, short.OutputTokens = 350, 20 // 8.8 s on a runner of average speed
		is.Equal(c.Submit(0, long)[0].Target.ID, "r2")
		c.Release(0, long.ID, Cancelled)
		is.Equal(c.Submit(0, short)[0].Target.ID, "r1")
		c.Release(0, short.ID, Cancelled)
	}
}

// Entries whose requests wait all see the same free slot. Only as many may use it at once as there is room for.
func TestTurn_EntriesShareTheRoom(t *testing.T) {
	is := is.New(t)
	const entries = 64
	var cores []*Core
	rng := rand.New(rand.NewPCG(1, 1))
	for range entries {
		c := largeCore(16, "r1")
		c.drawSeed = rng.Uint64()
		cores = append(cores, c)
	}
	sent := func(contenders uint32) int {
		n := 0
		for i, c := range cores {
			for step := range 20 {
				now := time.Duration(step) * 50 * ms
				l := fleetLoads(10)
				l.Contenders = []uint32{contenders}
				c.Apply(now, &wire.FleetUpdate{Loads: l})
				id := uint64(100*i + step + 1)
				if d := c.Submit(now, withTargets(id, 100)); len(d) > 0 {
					n++
					c.Release(now, id, Cancelled)
				}
				c.Cancel(now, id)
			}
		}
		return n
	}
	n := sent(entries)
	t.Log(n)
	is.True(n > 8 && n < 50) // 20 intervals with room for one
	is.Equal(sent(1), 20*entries)
}

// A runner that has refused a request is full, whatever the loads say: the waiting ones must not be sent there
// one after the other.
func TestTurn_RunnerRefuses(t *testing.T) {
	is := is.New(t)
	c := largeCore(16, "r1")
	c.Submit(0, withTargets(1, 100))
	c.Release(0, 1, Refused)
	is.Equal(len(c.Submit(0, withTargets(2, 100))), 0)
	is.Equal(len(c.Tick(130*ms)), 1)
}
