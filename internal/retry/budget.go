package retry

import "sync"

// unitsPerRetry makes the balance count hundredths of a retry, so that each request
// adds a whole number of units.
const unitsPerRetry = 100

// ShareBudget is a token bucket that limits retries to a percentage of the requests
// that use it. It is safe for concurrent use.
type ShareBudget struct {
	percent int
	limit   int // hundredths of a retry

	mu      sync.Mutex
	balance int // hundredths of a retry
}

// NewShareBudget returns a budget that allows percent retries per hundred requests. It
// holds at most burst unused retries and starts full.
func NewShareBudget(percent, burst int) *ShareBudget {
	limit := burst * unitsPerRetry
	return &ShareBudget{percent: percent, limit: limit, balance: limit}
}

// Request credits the budget for one request.
func (b *ShareBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.percent, b.limit)
}

// Take implements Budget.
func (b *ShareBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < unitsPerRetry {
		return false
	}
	b.balance -= unitsPerRetry
	return true
}
