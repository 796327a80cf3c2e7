package grant

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestGrant_RandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := newEnvironment(t, drawSettings(t))
		t.Repeat(env.actions())
		// Whatever happened, every attempt is answered by its deadline.
		env.advanceTo(env.now + time.Minute)
		env.step(Tick{})
		if len(env.waiting) != 0 || env.core.Waiting() != 0 {
			t.Fatalf("%d attempts have no answer after their deadlines", len(env.waiting))
		}
	})
}

// TestGrant_RandomReplay replays the events of one core on another: the same options and
// events must give the same actions.
func TestGrant_RandomReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := newEnvironment(t, drawSettings(t))
		t.Repeat(env.actions())
		env.replay(t)
	})
}

// drawSettings draws a combination of policies. The invariants hold under each.
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
