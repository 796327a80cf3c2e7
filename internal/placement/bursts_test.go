package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// observeBursts feeds a detector with bursts of three requests, separated by the gaps.
func observeBursts(detector *BurstDetector, gaps ...time.Duration) map[string]BurstPattern {
	at := time.Second
	var got map[string]BurstPattern
	for _, gap := range append([]time.Duration{0}, gaps...) {
		at += gap
		for i := range 3 {
			got = detector.Observe([]Demand{{Model: "m", LastUsed: at + time.Duration(i)*time.Second}})
		}
	}
	return got
}

func TestBursts_Regular(t *testing.T) {
	is := is.New(t)
	b := observeBursts(NewBurstDetector(), 20*time.Minute, 21*time.Minute, 20*time.Minute)["m"]
	is.Equal(b.Interval, 20*time.Minute)
	is.Equal(b.Deviation, time.Minute)
	is.Equal(b.LastStart, time.Second+61*time.Minute)
}

func TestBursts_IrregularOrTooFew(t *testing.T) {
	is := is.New(t)
	is.Equal(len(observeBursts(NewBurstDetector(), 5*time.Minute, 40*time.Minute, 12*time.Minute, 90*time.Minute)), 0)
	is.Equal(len(observeBursts(NewBurstDetector(), 20*time.Minute, 20*time.Minute)), 0) // too few
}
