package grant

import (
	"math"
	"time"
)

// histogram counts durations in exponential buckets. The counts are halved after a number
// of values, so that old values fade.
type histogram struct {
	counts [histogramBuckets]uint32
	total  uint32
}

const (
	histogramBuckets = 64
	histogramMin     = float64(time.Millisecond) // upper bound of the first bucket, in nanoseconds
	histogramGrowth  = 1.2                       // ratio of the upper bounds of adjacent buckets
	histogramHalveAt = 2048                      // number of values at which the counts are halved
)

var logGrowth = math.Log(histogramGrowth)

func (h *histogram) add(d time.Duration) {
	i := 0
	if float64(d) > histogramMin {
		i = int(math.Log(float64(d)/histogramMin)/logGrowth) + 1
	}
	h.counts[min(i, histogramBuckets-1)]++
	h.total++
	if h.total >= histogramHalveAt {
		h.halve()
	}
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile returns the upper bound of the bucket that holds the q-quantile; 0 when the
// histogram is empty.
func (h *histogram) quantile(q float64) time.Duration {
	rank := uint32(math.Ceil(q * float64(h.total)))
	seen := uint32(0)
	for i, n := range h.counts {
		seen += n
		if n > 0 && seen >= rank {
			return time.Duration(histogramMin * math.Pow(histogramGrowth, float64(i)))
		}
	}
	return 0
}
