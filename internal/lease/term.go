package lease

import "time"

// driftShare is the part of a lease's span by which a holder stops early; it covers
// clocks that run at slightly different rates.
const driftShare = 10

// Term tells a holder until when it may act on a lease. It is a pure core; time is the
// holder's monotonic clock.
type Term struct {
	ttl   time.Duration
	fence uint64
	until time.Duration
	held  bool
}

// NewTerm returns a term that is not held.
func NewTerm(ttl time.Duration) *Term { return &Term{ttl: ttl} }

// Granted starts the term. sent is when the request was sent, not when its answer
// came: the keeper may have started counting right after the sending.
func (t *Term) Granted(sent time.Duration, fence uint64) {
	t.held = true
	t.fence = fence
	t.until = sent + t.ttl - t.ttl/driftShare
}

// Renewed extends the term by a renewal sent at sent. A renewal under another fence
// number or of an ended term changes nothing.
func (t *Term) Renewed(sent time.Duration, fence uint64) {
	if !t.held || t.fence != fence {
		return
	}
	if until := sent + t.ttl - t.ttl/driftShare; until > t.until {
		t.until = until
	}
}

// Lost ends the term.
func (t *Term) Lost() { t.held = false }

// Valid reports whether the holder may act now. A term that ran out once stays ended:
// a process that was frozen must not act after it wakes.
func (t *Term) Valid(now time.Duration) bool {
	if t.held && now >= t.until {
		t.held = false
	}
	return t.held
}

// Fence returns the fence number of the last grant.
func (t *Term) Fence() uint64 { return t.fence }

// Until returns the end of the term on the holder's clock.
func (t *Term) Until() time.Duration { return t.until }
