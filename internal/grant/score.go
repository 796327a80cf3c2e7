package grant

import (
	"cmp"
	"slices"
	"time"

	"gentiankeel/internal/wire"
)

// sample is what one ended attempt tells of its upstream's speed.
type sample struct {
	first    time.Duration // time to the first token; 0: unknown
	gap      time.Duration // mean time between two tokens; 0: unknown
	duration time.Duration
	tokens   int
}

// minGapTokens is the number of tokens from which a mean gap is meaningful.
const minGapTokens = 4

func sampleOf(ev Release) sample {
	s := sample{first: ev.FirstToken, duration: ev.Duration, tokens: ev.Tokens}
	if ev.Tokens >= minGapTokens && ev.Duration > ev.FirstToken {
		s.gap = (ev.Duration - ev.FirstToken) / time.Duration(ev.Tokens-1)
	}
	return s
}

// score tells how slow an upstream is, from our own latencies.
type score struct {
	value   float64 // moving mean of latency in multiples of what is usual for the model
	samples int
	avoided bool
	probeAt Time // from when an avoided upstream may be probed
	backoff time.Duration
	probing bool // a probe is running
	good    int  // good probes in a row
}

// Weights of one new sample in the moving mean.
const (
	scoreWeight    = 0.2
	progressWeight = 0.5
	minScores      = 3
	maxBackoff     = 30 * time.Second
)

// factor weighs the load of an upstream; unknown ones count as usual.
func (s *score) factor() float64 {
	if s.samples < minScores {
		return 1
	}
	return max(0.5, s.value)
}

func (s *score) add(ratio, weight float64) {
	if s.samples == 0 {
		s.value = 1
	}
	s.value += weight * (min(ratio, maxRatio) - s.value)
	s.samples++
}

// maxRatio bounds the effect of one sample. A failure counts as failureRatio: two in a
// row make an outlier, a single one may be the request's own fault.
const (
	maxRatio     = 20
	failureRatio = 5
)

// givenUpFactor is the assumed time to the first token of an attempt that was given up
// before it, in multiples of the time waited.
const givenUpFactor = 2

// scoreSample learns from one ended attempt.
func (c *Core) scoreSample(a *attempt, s sample, o wire.Outcome) {
	u := a.upstream
	ratio, ok := a.pool.timing.ratio(s)
	if o == wire.Outcome_OUTCOME_CANCELLED && s.first == 0 {
		// It was given up before its first token and would have taken longer still.
		ratio, ok = a.pool.timing.ratio(sample{first: givenUpFactor * s.duration})
		if ok && ratio <= max(1, u.score.value) {
			// Nothing is learnt of the speed, but a probe that shows no good is a bad one.
			c.judgeGivenUp(a, ratio)
			return
		}
	}
	if o == wire.Outcome_OUTCOME_FAILED || o == wire.Outcome_OUTCOME_CUT {
		ratio, ok = failureRatio, true
	}
	if !ok {
		return
	}
	u.score.add(ratio, scoreWeight)
	if a.probe {
		c.judgeProbe(u, ratio)
	}
}

// judgeGivenUp judges a probe that a hedge's winner or the caller's leaving has ended.
func (c *Core) judgeGivenUp(a *attempt, ratio float64) {
	if a.probe && ratio >= c.set.OutlierRatio {
		c.judgeProbe(a.upstream, ratio)
	}
}

// progress learns from a running attempt that is late.
func (c *Core) progress(ev Progress) {
	a, ok := c.attempts[ev.Attempt]
	if !ok || a.state != stateRunning {
		return
	}
	ratio, ok := a.pool.timing.ratio(sample{first: ev.Waited, gap: ev.Gap})
	if !ok || ratio <= a.upstream.score.value {
		return
	}
	a.upstream.score.add(ratio, progressWeight)
	if a.probe && ratio > c.set.OutlierRatio {
		c.judgeProbe(a.upstream, ratio)
	}
}

// judgeProbe is slow to trust: several good probes in a row end the avoiding, one bad
// probe doubles the time until the next.
func (c *Core) judgeProbe(u *upstream, ratio float64) {
	s := &u.score
	if !s.avoided {
		return
	}
	if ratio >= c.set.OutlierRatio {
		s.good = 0
		s.backoff = min(2*s.backoff, maxBackoff)
		s.probeAt = c.now + s.backoff
		return
	}
	s.good++
	if s.good >= c.set.ProbeGood {
		*s = score{value: 1, samples: minScores}
	}
}

// mayUse tells whether the straggler policy lets the attempt use the upstream: an
// avoided one takes a single probe at a time, unless its model has no other.
func (c *Core) mayUse(a *attempt, u *upstream) bool {
	s := &u.score
	if !s.avoided {
		return true
	}
	if !s.probing && c.now >= s.probeAt && !a.ask.Hedge {
		return true
	}
	return !slices.ContainsFunc(a.pool.members, func(o *upstream) bool {
		return !o.score.avoided && !o.Leaving && c.isReady(a, o) && !slices.Contains(a.ask.Exclude, o.ID)
	})
}

// reviewScores compares each upstream with the median of its peers and marks outliers,
// worst first, up to a bounded share of the group.
func (c *Core) reviewScores() {
	if !c.set.AvoidStragglers {
		return
	}
	byGroup := map[string][]*upstream{}
	var names []string
	for _, u := range c.order {
		if _, known := byGroup[u.Service]; !known {
			names = append(names, u.Service)
		}
		byGroup[u.Service] = append(byGroup[u.Service], u)
	}
	for _, name := range names {
		c.reviewGroup(byGroup[name])
	}
}

func (c *Core) reviewGroup(group []*upstream) {
	scored := make([]*upstream, 0, len(group))
	avoided := 0
	for _, u := range group {
		if u.score.avoided {
			avoided++
		}
		if u.score.samples >= minScores {
			scored = append(scored, u)
		}
	}
	allowed := int(float64(len(group))*c.set.MaxAvoidShare) - avoided
	if allowed <= 0 || len(scored) < minScores {
		return
	}
	slices.SortStableFunc(scored, func(a, b *upstream) int { return cmp.Compare(b.score.value, a.score.value) })
	median := scored[len(scored)/2].score.value
	for _, u := range scored {
		if allowed == 0 || u.score.value < c.set.OutlierRatio*max(1, median) {
			return
		}
		if !u.score.avoided {
			c.avoid(u)
			allowed--
		}
	}
}

func (c *Core) avoid(u *upstream) {
	u.score.avoided = true
	u.score.good = 0
	u.score.backoff = c.set.AvoidFor
	u.score.probeAt = c.now + c.set.AvoidFor
}
