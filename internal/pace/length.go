package pace

const (
	// stepNow and stepLater are the relative steps of the quantiles of a Length after the first and after many
	// answers.
	stepNow, stepLater = 0.5, 0.03
	// lowShare and highShare are the shares of answers that are shorter than Low and High say.
	lowShare, highShare = 0.15, 0.85
	// startSpread is the factor between the quantiles at the start.
	startSpread = 1.5
	// minLengths is the number of answers from which on the quantiles can be relied on.
	minLengths = 30
)

// Length learns how long answers are in relation to what was expected, by quantiles: a few
// expectations that are a hundred times off do not move them far.
type Length struct {
	Low, Mid, High float64 // events per expected token
	n              int
}

// NewLength returns a Length that starts from a ratio.
func NewLength(start float64) *Length {
	return &Length{Low: start / startSpread, Mid: start, High: start * startSpread}
}

// Observe learns from one answer.
func (l *Length) Observe(ratio float64) {
	if ratio <= 0 {
		return
	}
	step := max(stepLater, stepNow/(1+float64(l.n)/4))
	l.n++
	l.Low = towards(l.Low, ratio, step, lowShare)
	l.Mid = towards(l.Mid, ratio, step, 0.5)
	l.High = towards(l.High, ratio, step, highShare)
	l.Low, l.High = min(l.Low, l.Mid), max(l.High, l.Mid)
}

// towards moves a quantile to a value: up more often than down by how many values are to lie below it.
func towards(quantile, value, step, share float64) float64 {
	switch {
	case value > quantile:
		return min(value, quantile*(1+float64(2*step*share)))
	case value < quantile:
		return max(value, quantile/(1+float64(2*step*(1-share))))
	}
	return quantile
}

// Confident reports whether enough answers have been observed.
func (l *Length) Confident() bool { return l.n >= minLengths }
