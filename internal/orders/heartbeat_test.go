package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

func announcement(sequence, stateSequence uint64) upstream.Announcement {
	return upstream.Announcement{ID: "r", Incarnation: 5, Sequence: sequence, StateSequence: stateSequence,
		Address: "10.0.0.1:80", Zone: "a", Cell: "tay", MemoryMiB: 100, Slots: 4,
		State: upstream.State{Incarnation: 5}}
}

func heardCore(t *testing.T) *Core {
	t.Helper()
	c := New(Options{Cell: "tay", Lease: "scheduler/tay", Fence: 1})
	for _, ev := range []Event{Recovered{Spec: &wire.Spec{}}, Announced{announcement(1, 0)}} {
		if _, err := c.Step(0, ev); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func TestHeartbeat_KeepsAnUpstreamSeen(t *testing.T) {
	is := is.New(t)
	c := heardCore(t)
	beat := announcement(2, 1)
	beat.State.Running = 3
	_, err := c.Step(time.Second, Announced{beat})
	is.NoErr(err)
	is.True(c.Knows(&beat))
	is.Equal(c.upstreams["r"].lastSeen, time.Second)
	is.Equal(c.upstreams["r"].state.Running, uint32(3))
}

func TestHeartbeat_OnAnUnknownStateAsksForTheWholeState(t *testing.T) {
	is := is.New(t)
	c := heardCore(t)
	beat := announcement(9, 8) // the announcement 8 went to another scheduler
	_, err := c.Step(time.Second, Announced{beat})
	is.NoErr(err)
	is.True(!c.Knows(&beat))
	is.Equal(c.upstreams["r"].lastSeen, Time(0)) // it proves nothing of what is held
	whole := announcement(10, 0)
	_, err = c.Step(2*time.Second, Announced{whole})
	is.NoErr(err)
	is.True(c.Knows(&whole))
}

func TestHeartbeat_OfAStrangerRegistersNothing(t *testing.T) {
	is := is.New(t)
	c := New(Options{Cell: "tay", Lease: "scheduler/tay", Fence: 1})
	_, err := c.Step(0, Recovered{Spec: &wire.Spec{}})
	is.NoErr(err)
	beat := announcement(2, 1)
	_, err = c.Step(0, Announced{beat})
	is.NoErr(err)
	is.True(!c.Knows(&beat))
	is.Equal(c.Upstreams(), 0)
}
