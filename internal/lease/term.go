package lease

import "time"

// driftDivisor sets the margin by which a holder stops early: the TTL divided by it. The
// margin covers clocks that run at slightly different rates.
const driftDivisor = 10

// Term decides at the holder until when it may act on a lease. It does no I/O; times are on
// the holder's monotonic clock. It is not safe for concurrent use.
type Term struct {
	ttl   time.Duration
	fence uint64
	until time.Duration
	held  bool
}

// NewTerm returns a term that is not held.
func NewTerm(ttl time.Duration) *Term { return &Term{ttl: ttl} }

// Start starts the term. sent is the time at which the request was sent, not that of its
// answer: the keeper may have started the TTL right after the request was sent.
func (t *Term) Start(sent time.Duration, fence uint64) {
	t.held = true
	t.fence = fence
	t.until = sent + t.ttl - t.ttl/driftDivisor
}

// Extend extends the term by a renewal that was requested at sent. It has no effect for
// another fencing number or a term that End or Valid has ended.
func (t *Term) Extend(sent time.Duration, fence uint64) {
	if !t.held || t.fence != fence {
		return
	}
	if until := sent + t.ttl - t.ttl/driftDivisor; until > t.until {
		t.until = until
	}
}

// End ends the term.
func (t *Term) End() { t.held = false }

// Valid reports whether the holder may act now, and ends an expired term: a process that was
// paused must not act when it resumes, even if a renewal arrives later.
func (t *Term) Valid(now time.Duration) bool {
	if t.held && now >= t.until {
		t.held = false
	}
	return t.held
}

// Fence returns the fencing number of the last grant.
func (t *Term) Fence() uint64 { return t.fence }

// Until returns the end of the term on the holder's clock.
func (t *Term) Until() time.Duration { return t.until }
