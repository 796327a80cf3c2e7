package retry

import "sync"

// unitsPerRetry makes the balance count hundredths of a retry, so that each request
// adds a whole number of units.
const unitsPerRetry = 100

// RatioBudget is a token bucket that limits retries to a percentage of the requests
// that use it. It is safe for concurrent use.
type RatioBudget struct {
	percent int
	limit   int // hundredths of a retry

	mu      sync.Mutex
	balance int // hundredths of a retry
}

// NewRatioBudget returns a budget that allows percent retries per hundred requests. It
// holds at most burst unused retries and starts with as many.
func NewRatioBudget(percent int, burst float64) *RatioBudget {
	b := &RatioBudget{percent: percent, balance: int(burst * unitsPerRetry)}
	b.SetBurst(burst)
	return b
}

// SetBurst changes the bound on unused retries. With a burst between 0 and 1 the budget can
// still save up one.
func (b *RatioBudget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = int(burst * unitsPerRetry)
	if burst > 0 {
		b.limit = max(b.limit, unitsPerRetry)
	}
	b.balance = min(b.balance, b.limit)
}

// RecordRequest credits the budget for one request.
func (b *RatioBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.percent, b.limit)
}

// Take implements Budget.
func (b *RatioBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < unitsPerRetry {
		return false
	}
	b.balance -= unitsPerRetry
	return true
}
