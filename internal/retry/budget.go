package retry

import "sync"

// Unit of a share: the balance counts hundredths of a retry.
const wholeRetry = 100

// ShareBudget allows retries up to a share of recent requests, which share it. It is
// safe for concurrent use.
type ShareBudget struct {
	percent int
	limit   int // in hundredths of a retry

	mu      sync.Mutex
	balance int
}

// NewShareBudget allows percent retries per hundred requests. burst is the number of
// retries that may be saved up, and is there at the start.
func NewShareBudget(percent, burst int) *ShareBudget {
	limit := burst * wholeRetry
	return &ShareBudget{percent: percent, limit: limit, balance: limit}
}

// Request counts one request.
func (b *ShareBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.percent, b.limit)
}

// Take implements Budget.
func (b *ShareBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < wholeRetry {
		return false
	}
	b.balance -= wholeRetry
	return true
}
