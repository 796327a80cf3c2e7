package grant

// limiter adapts the number of attempts that an upstream may run to the token targets:
// additive increase while the targets are met at the limit, multiplicative decrease when
// they are missed.
type limiter struct {
	value        float64
	nextDecrease Time
	maxSlots     int
}

// limitDecrease is the factor of one decrease.
const limitDecrease = 0.9

func newLimiter(slots int) limiter {
	return limiter{value: float64(slots), maxSlots: slots}
}

// resize follows a change of the upstream's slots. A limit below the old slots is kept, but
// lowered to the new slots if it exceeds them.
func (l *limiter) resize(slots int) {
	if l.value >= float64(l.maxSlots) {
		l.value = float64(slots)
	}
	l.maxSlots = slots
	l.value = min(l.value, float64(slots))
}

// slots returns the number of slots that may be in use.
func (l *limiter) slots(s Settings) int {
	if l.maxSlots == 0 {
		return 0
	}
	minSlots := max(1, int(float64(l.maxSlots)*s.MinLimitShare))
	return max(minSlots, int(l.value))
}

// observe updates the limit from one sample. inFlight still includes the ended attempt.
func (l *limiter) observe(x sample, inFlight int, now Time, s Settings) {
	if !s.AdaptiveLimit || x.firstToken == 0 {
		return
	}
	if x.tokenGap > s.TargetGap || x.firstToken > s.TargetFirstToken {
		if now >= l.nextDecrease {
			l.nextDecrease = now + s.LimitInterval
			l.value = max(1, float64(l.maxSlots)*s.MinLimitShare, l.value*limitDecrease)
		}
		return
	}
	if inFlight >= int(l.value) {
		l.value = min(float64(l.maxSlots), l.value+1/l.value)
	}
}
