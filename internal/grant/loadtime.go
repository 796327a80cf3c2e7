package grant

import "time"

// loadTime estimates how long a model takes from its first waiting attempt to a ready
// replica.
type loadTime struct {
	since    Time // arrival of the first attempt that found no replica
	waiting  bool
	observed mean // nanoseconds
}

// recordDemand records an arrival. ready reports whether a replica was ready.
func (l *loadTime) recordDemand(now Time, ready bool) {
	if ready || l.waiting {
		return
	}
	l.waiting = true
	l.since = now
}

// remaining estimates the time until a replica is ready; 0: unknown.
func (l *loadTime) remaining(now Time, fallback time.Duration) time.Duration {
	total := fallback
	if l.observed.n > 0 {
		total = time.Duration(l.observed.value)
	}
	if total == 0 || !l.waiting {
		return total
	}
	return max(0, total-(now-l.since))
}

// observeReady records that an upstream became ready for a pool.
func (c *Core) observeReady(p *pool, u *upstream) {
	if u.Leaving || !p.loadTime.waiting {
		return
	}
	p.loadTime.waiting = false
	if p.queue.size > 0 {
		p.loadTime.observed.add(float64(c.now - p.loadTime.since))
	}
}
