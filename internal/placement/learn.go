package placement

import (
	"slices"
	"time"
)

const (
	// burstGap is the quiet time after which an ask starts a new burst.
	burstGap = time.Minute
	// learntIntervals is how many intervals between bursts are kept for each model.
	learntIntervals = 8
	// leastIntervals is how many are needed before they are trusted.
	leastIntervals = 3
	// leastSpread bounds the trust in an interval: to one part in this many.
	leastSpread = 50
)

// Learner learns from the demand whether the bursts of a model come at regular
// intervals. Only a regular interval is worth a preload: the mean of irregular ones
// predicts nothing and would keep replicas idle. It is not safe for concurrent use.
type Learner struct {
	models map[string]*history
}

// history is what was seen of one model's bursts.
type history struct {
	last      time.Duration // last use
	burst     time.Duration // start of the last burst
	intervals []time.Duration
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner { return &Learner{models: map[string]*history{}} }

// Observe takes note of the demand and returns what is known of each model's bursts,
// for Input.Bursts. It is to be called at least once in each burstGap.
func (l *Learner) Observe(demand []Demand) map[string]Burst {
	bursts := make(map[string]Burst, len(l.models))
	for i := range demand {
		l.observe(&demand[i])
	}
	for name, h := range l.models {
		if interval, spread := h.interval(); interval > 0 {
			bursts[name] = Burst{Start: h.burst, Interval: interval, Spread: spread}
		}
	}
	return bursts
}

func (l *Learner) observe(d *Demand) {
	if d.LastUsed == 0 {
		return
	}
	h := l.models[d.Model]
	if h == nil {
		l.models[d.Model] = &history{last: d.LastUsed, burst: d.LastUsed}
		return
	}
	if d.LastUsed-h.last > burstGap {
		h.intervals = append(h.intervals, d.LastUsed-h.burst)
		if len(h.intervals) > learntIntervals {
			h.intervals = slices.Delete(h.intervals, 0, 1)
		}
		h.burst = d.LastUsed
	}
	h.last = max(h.last, d.LastUsed)
}

// interval returns the median interval, if most lie within its margin, and the largest
// difference of those; else 0.
func (h *history) interval() (median, spread time.Duration) {
	if len(h.intervals) < leastIntervals {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(h.intervals))
	median = sorted[len(sorted)/2]
	near := 0
	for _, x := range sorted {
		if diff := (x - median).Abs(); diff <= median/intervalMargin {
			near++
			spread = max(spread, diff)
		}
	}
	if near*4 < len(sorted)*3 {
		return 0, 0
	}
	return median, max(spread, median/leastSpread)
}
