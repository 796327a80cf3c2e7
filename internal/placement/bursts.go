package placement

import (
	"slices"
	"time"
)

const (
	// burstGap is the time without requests after which the next one starts a new
	// burst.
	burstGap = time.Minute
	// maxIntervals is how many intervals between bursts are kept for each model.
	maxIntervals = 8
	// minIntervals is how many intervals are needed for a prediction.
	minIntervals = 3
	// minDeviationDivisor sets the least deviation assumed for an interval: the
	// interval divided by this.
	minDeviationDivisor = 50
)

// BurstDetector detects models whose bursts of requests come at regular intervals. Only a
// regular interval is worth a preload: the mean of irregular ones predicts nothing and
// would keep replicas idle. It is not safe for concurrent use.
type BurstDetector struct {
	models map[string]*burstHistory
}

// burstHistory is what was observed of one model's bursts.
type burstHistory struct {
	lastUsed  time.Duration
	lastStart time.Duration   // start of the last burst
	intervals []time.Duration // between the starts of bursts, oldest first
}

// NewBurstDetector returns a detector without observations.
func NewBurstDetector() *BurstDetector { return &BurstDetector{models: map[string]*burstHistory{}} }

// Observe records the demand and returns the burst pattern of each model whose bursts
// are regular, in the form of Input.Bursts. It must be called at least once in each
// burstGap, or continuous use would be taken for a new burst.
func (b *BurstDetector) Observe(demand []Demand) map[string]BurstPattern {
	bursts := make(map[string]BurstPattern, len(b.models))
	for i := range demand {
		b.observe(&demand[i])
	}
	for name, h := range b.models {
		if interval, deviation := h.interval(); interval > 0 {
			bursts[name] = BurstPattern{LastStart: h.lastStart, Interval: interval, Deviation: deviation}
		}
	}
	return bursts
}

func (b *BurstDetector) observe(d *Demand) {
	if d.LastUsed == 0 {
		return
	}
	h := b.models[d.Model]
	if h == nil {
		b.models[d.Model] = &burstHistory{lastUsed: d.LastUsed, lastStart: d.LastUsed}
		return
	}
	if d.LastUsed-h.lastUsed > burstGap {
		h.intervals = append(h.intervals, d.LastUsed-h.lastStart)
		if len(h.intervals) > maxIntervals {
			h.intervals = slices.Delete(h.intervals, 0, 1)
		}
		h.lastStart = d.LastUsed
	}
	h.lastUsed = max(h.lastUsed, d.LastUsed)
}

// interval returns the median interval and the largest deviation from it among the
// intervals within a tenth of it; the deviation is at least the median divided by
// minDeviationDivisor. It returns 0, 0 for fewer than minIntervals, and unless at least
// three quarters of the intervals are that near.
func (h *burstHistory) interval() (median, deviation time.Duration) {
	if len(h.intervals) < minIntervals {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(h.intervals))
	median = sorted[len(sorted)/2]
	near := 0
	for _, x := range sorted {
		if diff := (x - median).Abs(); diff <= median/intervalMarginDivisor {
			near++
			deviation = max(deviation, diff)
		}
	}
	if near*4 < len(sorted)*3 {
		return 0, 0
	}
	return median, max(deviation, median/minDeviationDivisor)
}
