package ratelimit

import "time"

// Bucket is a token bucket for one limit. It starts empty. It does no I/O and is not safe for
// concurrent use.
type Bucket struct {
	perSecond float64
	burst     float64
	tokens    float64 // units that may be granted now; negative after some that could not wait
	reserved  float64 // units granted that may still be used
	refilled  Time    // time up to which tokens is computed
}

// NewBucket returns a bucket of an upstream's limit that fills from a time on.
func NewBucket(from Time, perSecond float64) *Bucket {
	return &Bucket{perSecond: rateOf(perSecond), burst: burstOf(perSecond), refilled: from}
}

// newQuotaBucket returns a bucket of an organisation's quota that fills from a time on.
func newQuotaBucket(from Time, q Quota) *Bucket {
	return &Bucket{perSecond: q.PerSecond, burst: q.Burst, refilled: from}
}

// SetLimit changes the rate of an upstream from now on.
func (b *Bucket) SetLimit(now Time, perSecond float64) {
	b.set(now, rateOf(perSecond), burstOf(perSecond))
}

func (b *Bucket) set(now Time, perSecond, burst float64) {
	b.refill(now)
	b.perSecond, b.burst = perSecond, burst
	b.tokens = min(b.tokens, burst)
}

// Available returns the number of requests that may be sent now.
func (b *Bucket) Available(now Time) int {
	b.refill(now)
	return int(max(b.tokens, 0))
}

// PerSecond returns the rate at which requests may be sent.
func (b *Bucket) PerSecond() float64 { return b.perSecond }

// Take counts a request.
func (b *Bucket) Take() { b.tokens-- }

// capacity returns how many units may be saved up. Units that were granted and may be used later count
// as saved up, since both could be used at once. Requests that wait long for an upstream hold theirs, and
// must not stop the refill altogether, so at most half of the burst is taken off for them.
func (b *Bucket) capacity() float64 { return b.burst - min(b.reserved, b.burst/2) }

func (b *Bucket) refill(now Time) {
	if now > b.refilled {
		b.put(b.perSecond * (now - b.refilled).Seconds())
		b.refilled = now
	}
}

// put adds units up to the capacity.
func (b *Bucket) put(units float64) { b.tokens = max(b.tokens, min(b.tokens+units, b.capacity())) }

// correct changes the level by units that were wrongly counted as used, or as not used.
func (b *Bucket) correct(units float64) {
	if units < 0 {
		b.tokens += units
		return
	}
	b.put(units)
}

// covers reports whether a grant of so many units is due. One larger than the capacity, which is the burst
// unless units are reserved, is due once the bucket is full, and its level is negative after that.
func (b *Bucket) covers(now Time, units float64) bool {
	b.refill(now)
	return b.tokens >= min(units, b.capacity())
}

// grant takes units that an entry may use later.
func (b *Bucket) grant(units float64) {
	b.tokens -= units
	b.reserved += units
}

// timeTo returns the time until so many units are due.
func (b *Bucket) timeTo(now Time, units float64) time.Duration {
	b.refill(now)
	return max(b.refilled-now, 0) + unitTime(max(units-b.tokens, 0), b.perSecond)
}

// unitTime returns the time in which units refill, at most maxReturnAfter.
func unitTime(units, perSecond float64) time.Duration {
	if units <= 0 {
		return 0
	}
	if s := units / perSecond; s < maxReturnAfter.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return maxReturnAfter
}
