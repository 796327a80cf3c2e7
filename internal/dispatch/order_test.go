package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func ofOrganisation(id uint64, name string) SlotRequest {
	r := request(id, "m")
	r.Organisation = name
	return r
}

// serve ends one running attempt after the other, and returns the ids of those that start in their places.
func serve(c *Core, now Time, n int) []uint64 {
	var started []uint64
	for range n {
		ids := make([]uint64, 0, len(c.running))
		for id := range c.running {
			ids = append(ids, id)
		}
		for _, d := range c.Release(now, slices.Min(ids), Served) {
			if d.Target != nil {
				started = append(started, d.RequestID)
			}
		}
	}
	return started
}

// An organisation that sends many times its usual rate must not take the slots of another one that sends little.
func TestOrganisations_ServedInTurn(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m")) // 4 slots
	for id := range uint64(60) {
		c.Submit(0, ofOrganisation(id, "large"))
	}
	for id := range uint64(10) {
		r := ofOrganisation(100+id, "small")
		r.Deadline += time.Second
		c.Submit(0, r)
	}
	started := serve(c, 0, 20)
	small := 0
	for _, id := range started {
		if id >= 100 {
			small++
		}
	}
	is.Equal(len(started), 20)
	is.Equal(small, 10)
	is.True(slices.IsSorted(slices.DeleteFunc(slices.Clone(started), func(id uint64) bool { return id >= 100 })))
	is.True(slices.IsSorted(slices.DeleteFunc(started, func(id uint64) bool { return id < 100 })))
}

// What was served long ago must not count.
func TestOrganisations_ServedLongAgo(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	c.charge("early", 100_000)
	c.Tick(60 * time.Second)
	for id := range uint64(12) {
		r := ofOrganisation(id, []string{"early", "other"}[id%2])
		r.Deadline = 100 * time.Second
		c.Submit(60*time.Second, r)
	}
	started := serve(c, 60*time.Second, 4)
	is.Equal(len(slices.DeleteFunc(started, func(id uint64) bool { return id%2 == 1 })), 2)
}

// Requests that did not run must not count as served.
func TestOrganisations_NotRun(t *testing.T) {
	for _, o := range []Outcome{Refused, Misdirected, Unreachable} {
		is := is.New(t)
		c := newCore(runner("r1", "m"))
		is.Equal(len(c.Submit(0, ofOrganisation(1, "a"))), 1)
		is.Equal(c.served("a"), 1100.0)
		c.Release(0, 1, o)
		is.Equal(c.served("a"), 0.0)
	}
}

// A new request must leave a slot that is free to one of an organisation that was served less.
func TestOrganisations_NewRequestDoesNotOvertake(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	c.charge("large", 100_000)
	for id := range uint64(4) {
		c.Submit(0, ofOrganisation(id, "large"))
	}
	is.Equal(len(c.Submit(0, ofOrganisation(10, "small"))), 0)
	c.byID["r1"].state.Slots = 5 // without an event of the core
	d := c.Submit(0, ofOrganisation(20, "large"))
	is.Equal(len(d), 1)
	is.Equal(d[0].RequestID, uint64(10))
}

// The urgent priority comes first, whatever its organisation was served.
func TestOrganisations_PriorityComesFirst(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	for id := range uint64(4) {
		c.Submit(0, ofOrganisation(id, "urgent"))
	}
	less := ofOrganisation(10, "other")
	less.Priority = 1
	c.Submit(0, less)
	c.Submit(0, ofOrganisation(11, "urgent"))
	is.Equal(serve(c, 0, 1), []uint64{11})
}

// The state must stay bounded while organisations come and go.
func TestOrganisations_StateIsBounded(t *testing.T) {
	is := is.New(t)
	c := newCore(runner("r1", "m"))
	c.charge("busy", 1_000_000)
	for n := range 3 * maxShares {
		c.charge(fmt.Sprint(n), 10)
	}
	is.Equal(len(c.shares), maxShares)
	is.True(c.served("busy") > 0)
}

// Without organisations and targets the order is by priority, deadline and arrival.
func TestOrder_WithoutOrganisationsAndTargets(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 3))
	c := newCore(runner("r1", "m"))
	for id := range uint64(200) {
		r := request(id, "m")
		r.Priority, r.Deadline = rng.IntN(3), 10*time.Second+time.Duration(rng.IntN(50))*ms
		r.Streams = rng.IntN(2) == 0
		c.Submit(time.Duration(id)*ms, r)
	}
	is.True(len(c.waiting) > 150)
	is.True(slices.IsSortedFunc(c.order(), compareWaiters))
	is.Equal(len(c.shares), 0)
}

// fullRunner returns a core before a runner with 4 slots that are taken by requests 1 to 4.
func fullRunner() *Core {
	c := largeCore(4, "r1")
	for id := uint64(1); id <= 4; id++ {
		c.Submit(0, withTargets(id, 10))
	}
	return c
}

// A first event after its target is worth little, so a request that can still meet its target must not wait behind
// late ones until it is late as well.
func TestLate_YieldsToPunctualRequests(t *testing.T) {
	is := is.New(t)
	c := fullRunner()
	late, more := withTargets(10, 10), withTargets(11, 10)
	more.Priority = 1
	is.Equal(len(c.Submit(0, late)), 0)
	punctual := withTargets(12, 10)
	punctual.Deadline += 600 * ms
	is.Equal(len(c.Submit(600*ms, more)), 0)
	is.Equal(len(c.Submit(600*ms, punctual)), 0)
	is.Equal(serve(c, 650*ms, 3), []uint64{12, 10, 11}) // also a late one comes before less urgent ones
}

// Late requests must not wait for ever: after three others one of them starts before its caller leaves.
func TestLate_StartsAfterThreeOthers(t *testing.T) {
	is := is.New(t)
	c := fullRunner()
	is.Equal(len(c.Submit(0, withTargets(10, 10))), 0)
	var started []uint64
	for n := range uint64(30) {
		now := 600*ms + time.Duration(n)*100*ms
		r := withTargets(100+n, 10)
		r.Deadline += now
		c.Submit(now, r)
		started = append(started, serve(c, now, 1)...)
	}
	at := slices.Index(started, 10)
	t.Log(at)
	is.True(at >= 10 && at < 18) // from 1.8 s on; its caller leaves after 2.4 s
}

// A request with a target of seconds must let one with a short target go first while most of its own is left.
func TestPatient_YieldsToUrgentRequests(t *testing.T) {
	tests := []struct {
		name string
		at   time.Duration
		want uint64
	}{
		{"most of its target is left", 500 * ms, 11},
		{"half of its target has passed", 4100 * ms, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := fullRunner()
			patient := withTargets(10, 10)
			patient.LatencyTarget = 8 * time.Second
			is.Equal(len(c.Submit(0, patient)), 0)
			urgent := withTargets(11, 10)
			urgent.Deadline += tt.at
			is.Equal(len(c.Submit(tt.at, urgent)), 0)
			is.Equal(serve(c, tt.at, 1), []uint64{tt.want})
		})
	}
}

// While there is room, nothing yields.
func TestLate_RoomIsFree(t *testing.T) {
	is := is.New(t)
	c := largeCore(4, "r1")
	w := &waiter{request: withTargets(1, 10), key: modelKey{llm, "m", ""}}
	c.now = time.Second
	is.Equal(c.yieldOf(w, c.roomIsShort), yieldsNot)
}
