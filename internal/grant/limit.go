package grant

// limiter learns how many attempts an upstream can run while it keeps the token targets:
// additive increase while the targets are met at the limit, multiplicative decrease else.
type limiter struct {
	value float64
	cutAt Time
	most  int
}

// limitCut is the factor of one decrease.
const limitCut = 0.9

func newLimiter(slots int) limiter {
	return limiter{value: float64(slots), most: slots}
}

// resize follows a change of the upstream's slots; a learnt cut is kept.
func (l *limiter) resize(slots int) {
	if l.value >= float64(l.most) {
		l.value = float64(slots)
	}
	l.most = slots
	l.value = min(l.value, float64(slots))
}

// slots returns the number of slots that may be in use.
func (l *limiter) slots(s Settings) int {
	if l.most == 0 {
		return 0
	}
	least := max(1, int(float64(l.most)*s.MinLimitShare))
	return max(least, int(l.value))
}

// observe takes one sample into account; inFlight counts the ended attempt as well.
func (l *limiter) observe(x sample, inFlight int, now Time, s Settings) {
	if !s.AdaptiveLimit || x.first == 0 {
		return
	}
	if x.gap > s.TargetGap || x.first > s.TargetFirstToken {
		if now >= l.cutAt {
			l.cutAt = now + s.LimitInterval
			l.value = max(1, float64(l.most)*s.MinLimitShare, l.value*limitCut)
		}
		return
	}
	if inFlight >= int(l.value) {
		l.value = min(float64(l.most), l.value+1/l.value)
	}
}
