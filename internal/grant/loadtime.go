package grant

import "time"

// wake learns how long a model takes from its first waiting ask to a ready replica.
type wake struct {
	since   Time // when an ask first found no replica
	waiting bool
	took    mean // nanoseconds
}

// wanted notes an ask that found a replica or none.
func (w *wake) wanted(now Time, ready bool) {
	if ready || w.waiting {
		return
	}
	w.waiting = true
	w.since = now
}

// remaining estimates the time until a replica is ready; 0 when unknown.
func (w *wake) remaining(now Time, byDefault time.Duration) time.Duration {
	whole := byDefault
	if w.took.n > 0 {
		whole = time.Duration(w.took.value)
	}
	if whole == 0 || !w.waiting {
		return whole
	}
	return max(0, whole-(now-w.since))
}

// observeReady notes that an upstream became ready for a pool.
func (c *Core) observeReady(p *pool, u *upstream) {
	if u.Leaving || !p.wake.waiting {
		return
	}
	p.wake.waiting = false
	if p.queue.size > 0 {
		p.wake.took.add(float64(c.now - p.wake.since))
	}
}
