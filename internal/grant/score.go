package grant

import (
	"cmp"
	"slices"
	"time"

	"gentiankeel/internal/wire"
)

// sample holds the latencies of one ended attempt.
type sample struct {
	firstToken time.Duration // time to the first token; 0: unknown
	tokenGap   time.Duration // mean time between two tokens; 0: unknown
	duration   time.Duration
	tokens     int
}

// minGapTokens is the number of tokens from which a mean gap is meaningful.
const minGapTokens = 4

func sampleOf(ev Release) sample {
	s := sample{firstToken: ev.FirstToken, duration: ev.Duration, tokens: ev.Tokens}
	if ev.Tokens >= minGapTokens && ev.Duration > ev.FirstToken {
		s.tokenGap = (ev.Duration - ev.FirstToken) / time.Duration(ev.Tokens-1)
	}
	return s
}

// score rates how slow an upstream is, by the latencies of its attempts.
type score struct {
	value          float64 // moving mean of latency in multiples of the model's usual latency; 0: no sample
	samples        int
	avoided        bool
	probeAt        Time // earliest time of the next probe of an avoided upstream
	backoff        time.Duration
	probing        bool // a probe is running
	probeSuccesses int  // consecutive successful probes
}

const (
	// scoreWeight is the weight of an ended attempt in the score.
	scoreWeight = 0.2
	// progressWeight is the weight of a progress report in the score.
	progressWeight = 0.5
	// minScoreSamples is the number of samples from which a score is used, and the number
	// of scored upstreams from which a group has a meaningful median.
	minScoreSamples = 3
	// maxBackoff bounds the time between two probes.
	maxBackoff = 30 * time.Second
)

// loadFactor returns the factor by which the score scales an upstream's load; 1 when the
// score is unknown.
func (s *score) loadFactor() float64 {
	if s.samples < minScoreSamples {
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

const (
	// maxRatio bounds the effect of one sample on the score.
	maxRatio = 20
	// failureRatio is the ratio that a failure counts as: two in a row make an outlier,
	// while a single one may be the fault of the request.
	failureRatio = 5
)

// abandonedFactor is the assumed time to the first token of an attempt that was cancelled
// before it, in multiples of the time waited.
const abandonedFactor = 2

// scoreAttempt updates the upstream's score from an ended attempt.
func (c *Core) scoreAttempt(a *attempt, s sample, o wire.Outcome) {
	u := a.upstream
	ratio, ok := a.pool.timing.ratio(s)
	if o == wire.Outcome_OUTCOME_CANCELLED && s.firstToken == 0 {
		// It was cancelled before its first token, which would have taken longer still.
		ratio, ok = a.pool.timing.ratio(sample{firstToken: abandonedFactor * s.duration})
		if ok && ratio <= max(1, u.score.value) {
			// The speed remains unknown, but a probe that was this slow has failed.
			c.recordAbandonedProbe(a, ratio)
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
		c.recordProbe(u, ratio)
	}
}

// recordAbandonedProbe counts a slow probe that was cancelled, by its caller or because
// the other attempt of a hedged request won, as failed.
func (c *Core) recordAbandonedProbe(a *attempt, ratio float64) {
	if a.probe && ratio >= c.settings.OutlierRatio {
		c.recordProbe(a.upstream, ratio)
	}
}

// progress updates the score from a slow running attempt.
func (c *Core) progress(ev Progress) {
	a, ok := c.attempts[ev.Attempt]
	if !ok || a.state != stateRunning {
		return
	}
	ratio, ok := a.pool.timing.ratio(sample{firstToken: ev.Waited, tokenGap: ev.Gap})
	if !ok || ratio <= a.upstream.score.value {
		return
	}
	a.upstream.score.add(ratio, progressWeight)
	if a.probe && ratio > c.settings.OutlierRatio {
		c.recordProbe(a.upstream, ratio)
	}
}

// recordProbe applies the result of a probe. Once ProbeSuccesses consecutive probes have
// succeeded, the upstream is no longer avoided. A failed probe doubles the time until the
// next.
func (c *Core) recordProbe(u *upstream, ratio float64) {
	s := &u.score
	if !s.avoided {
		return
	}
	if ratio >= c.settings.OutlierRatio {
		s.probeSuccesses = 0
		s.backoff = min(2*s.backoff, maxBackoff)
		s.probeAt = c.now + s.backoff
		return
	}
	s.probeSuccesses++
	if s.probeSuccesses >= c.settings.ProbeSuccesses {
		*s = score{value: 1, samples: minScoreSamples}
	}
}

// avoidanceAllows reports whether the straggler policy lets the attempt use the upstream.
// An avoided upstream takes a single probe at a time, unless its model has no other
// upstream.
func (c *Core) avoidanceAllows(a *attempt, u *upstream) bool {
	s := &u.score
	if !s.avoided {
		return true
	}
	if !s.probing && c.now >= s.probeAt && !a.req.Hedge {
		return true
	}
	return !slices.ContainsFunc(a.pool.members, func(o *upstream) bool {
		return !o.score.avoided && !o.Leaving && c.isReady(a, o) && !slices.Contains(a.req.Exclude, o.ID)
	})
}

// detectOutliers compares each upstream with the median of its peers and avoids outliers,
// worst first, up to a bounded share of the group.
func (c *Core) detectOutliers() {
	if !c.settings.AvoidStragglers {
		return
	}
	byGroup := map[string][]*upstream{}
	var names []string
	for _, u := range c.sortedUpstreams {
		if _, known := byGroup[u.Service]; !known {
			names = append(names, u.Service)
		}
		byGroup[u.Service] = append(byGroup[u.Service], u)
	}
	for _, name := range names {
		c.detectGroupOutliers(byGroup[name])
	}
}

func (c *Core) detectGroupOutliers(group []*upstream) {
	scored := make([]*upstream, 0, len(group))
	avoided := 0
	for _, u := range group {
		if u.score.avoided {
			avoided++
		}
		if u.score.samples >= minScoreSamples {
			scored = append(scored, u)
		}
	}
	allowed := int(float64(len(group))*c.settings.MaxAvoidShare) - avoided
	if allowed <= 0 || len(scored) < minScoreSamples {
		return
	}
	slices.SortStableFunc(scored, func(a, b *upstream) int { return cmp.Compare(b.score.value, a.score.value) })
	median := scored[len(scored)/2].score.value
	for _, u := range scored {
		if allowed == 0 || u.score.value < c.settings.OutlierRatio*max(1, median) {
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
	u.score.probeSuccesses = 0
	u.score.backoff = c.settings.AvoidFor
	u.score.probeAt = c.now + c.settings.AvoidFor
}
