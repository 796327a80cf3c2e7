package grant

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestGrant_RandomEventsKeepEveryInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, drawSettings(t))
		t.Repeat(w.actions())
		// Whatever happened, every ask is answered by its deadline.
		w.moveTo(w.now + time.Minute)
		w.step(Tick{})
		if len(w.asks) != 0 || w.core.Waiting() != 0 {
			t.Fatalf("%d asks have no answer after their deadlines", len(w.asks))
		}
	})
}

// TestGrant_RandomRunReplaysToTheSameActions replays what one core went through on a
// twin: the same options and events give the same actions.
func TestGrant_RandomRunReplaysToTheSameActions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, drawSettings(t))
		t.Repeat(w.actions())
		w.replay(t)
	})
}

// drawSettings draws any mix of policies: the invariants hold under each.
func drawSettings(t *rapid.T) Settings {
	s := DefaultSettings()
	s.Pick = rapid.SampledFrom([]PickPolicy{PickTwoChoices, PickRandom, PickLeastReported, PickLeastInFlight}).Draw(t, "pick")
	s.Queue = rapid.SampledFrom([]QueuePolicy{QueueFair, QueueFIFO}).Draw(t, "queue")
	s.EarlyRefusal = rapid.Bool().Draw(t, "early refusal")
	s.AvoidStragglers = rapid.Bool().Draw(t, "avoid stragglers")
	s.AdaptiveLimit = rapid.Bool().Draw(t, "adaptive limit")
	s.MaxWaiting = rapid.SampledFrom([]int{3, 1000}).Draw(t, "max waiting")
	return s
}
