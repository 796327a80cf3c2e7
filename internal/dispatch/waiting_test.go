package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// submitAll submits equal requests and returns the refusals.
func submitAll(c *Core, n int, change func(r *SlotRequest)) []Decision {
	var refused []Decision
	for id := range n {
		r := withTargets(uint64(id+1), 100)
		if change != nil {
			change(&r)
		}
		for _, d := range c.Submit(0, r) {
			if d.Target == nil {
				refused = append(refused, d)
			}
		}
	}
	return refused
}

// fullRunners returns a core that knows how long streams take (2.5 s), before two runners with 64 slots that other
// entries fill.
func fullRunners(contenders uint32) *Core {
	c := learned()
	l := fleetLoads(64, 64)
	l.Contenders = []uint32{contenders, contenders}
	c.Apply(0, &wire.FleetUpdate{Loads: l})
	return c
}

// Requests whose callers leave before a slot can be free for them waited until then: 563 of a day ended without an
// answer, and the slots that they got late were lost. 51 streams end in a second, so those with more than 2.4 s worth of
// requests before them must be refused at once, and return one after the other.
func TestWaiting_RefusedIfTheStartIsTooLate(t *testing.T) {
	is := is.New(t)
	c := fullRunners(0)
	refused := submitAll(c, 200, nil)
	t.Log(c.Waiting())
	is.True(c.Waiting() > 100 && c.Waiting() < 125)
	is.Equal(len(refused), 200-c.Waiting())
	for i, d := range refused {
		is.Equal(d.Kind, errkind.DeadlineUnmeetable)
		is.True(d.RetryAfter > 2*time.Second)
		is.True(i == 0 || d.RetryAfter > refused[i-1].RetryAfter)
	}
	is.True(refused[len(refused)-1].RetryAfter < 5*time.Second)
}

// Requests at other entries take as many of the free slots as those here.
func TestWaiting_OtherEntriesContend(t *testing.T) {
	is := is.New(t)
	c := fullRunners(4) // this entry and at least two others
	submitAll(c, 200, nil)
	is.True(c.Waiting() > 33 && c.Waiting() < 42)
}

// A request that may still be served must not be refused.
func TestWaiting_NotRefused(t *testing.T) {
	tests := []struct {
		name       string
		contenders uint32
		requests   int
		change     func(r *SlotRequest)
		prepare    func(c *Core)
	}{
		{"the first one", 1024, 1, nil, func(*Core) {}},
		{"callers that stay until their deadline", 0, 200, func(r *SlotRequest) { r.LatencyTarget = 8 * time.Second }, func(*Core) {}},
		{"routes without targets", 0, 200, func(r *SlotRequest) { r.LatencyTarget, r.GapTarget = 0, 0 }, func(*Core) {}},
		{"rests of streams", 0, 200, func(r *SlotRequest) { r.Resumed = true }, func(*Core) {}},
		{"a replica is ready soon", 0, 200, nil, func(c *Core) {
			c.Apply(0, &wire.FleetUpdate{HasWaits: true, Waits: []*wire.ModelWait{{Service: llm, Model: "m", ReadyInMs: 1500}}})
		}},
		{"too few streams have ended", 0, 200, nil, func(c *Core) { clear(c.servings) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := fullRunners(tt.contenders)
			tt.prepare(c)
			is.Equal(len(submitAll(c, tt.requests, tt.change)), 0)
		})
	}
}

// A replica that comes after the caller has left changes nothing.
func TestWaiting_ReplicaReadyTooLate(t *testing.T) {
	is := is.New(t)
	c := fullRunners(0)
	c.Apply(0, &wire.FleetUpdate{HasWaits: true, Waits: []*wire.ModelWait{{Service: llm, Model: "m", ReadyInMs: 5000}}})
	is.True(len(submitAll(c, 200, nil)) > 0)
}

// Requests that the queue lets go first are before a request also if they came later.
func TestWaiting_MoreUrgentOnesComeFirst(t *testing.T) {
	is := is.New(t)
	c := fullRunners(0)
	less := withTargets(1000, 100)
	less.Priority = 1
	is.Equal(len(c.Submit(0, less)), 0)
	submitAll(c, 100, nil)
	is.Equal(len(c.Tick(0)), 0)
	for id := range uint64(30) {
		c.Submit(0, withTargets(2000+id, 100))
	}
	d := c.Tick(0)
	is.Equal(len(d), 1)
	is.Equal(d[0].RequestID, uint64(1000))
}
