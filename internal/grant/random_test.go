package grant

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiankeel/internal/wire"
)

func TestGrant_RandomEventsKeepEveryInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, DefaultSettings())
		t.Repeat(w.actions())
		// Whatever happened, every ask is answered by its deadline.
		w.moveTo(w.now + time.Minute)
		w.step(Tick{})
		if len(w.asks) != 0 || w.core.Waiting() != 0 {
			t.Fatalf("%d asks have no answer after their deadlines", len(w.asks))
		}
	})
}

// TestGrant_RandomReplayGivesTheSameActions replays one event sequence on two cores.
func TestGrant_RandomReplayGivesTheSameActions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, DefaultSettings())
		var log []string
		twin := New(Options{Settings: w.settings, Seed: 1})
		core := w.core
		twin.Step(0, SpecChanged{testSpec(8)})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			k := Ask{
				Attempt: fmt.Sprint("t", len(log)), Entry: "e1", Model: "m1", Deadline: w.now + time.Hour,
				Class: wire.Class(rapid.IntRange(1, 3).Draw(t, "class")),
			}
			log = append(log, k.Attempt)
			var ev Event = k
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				ev = UpstreamState{ID: rapid.SampledFrom(worldUpstreams).Draw(t, "u"), Incarnation: 1, Slots: 3,
					Ready: []Ready{{Model: "m1"}}}
			case 1:
				ev = okRelease(rapid.SampledFrom(log).Draw(t, "attempt"), 30)
			}
			if a, b := core.Step(w.now, ev), twin.Step(w.now, ev); fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("replay differs: %v and %v", a, b)
			}
			w.now += 10 * time.Millisecond
		}
	})
}
