package dispatch

import (
	"math"
	"time"

	"gentiankeel/internal/pace"
	"gentiankeel/internal/wire"
)

// speed is what is known of an upstream's speed.
type speed struct {
	engine   *pace.Engine // of its service
	pace     float64      // time for the same work in relation to the mean of the service, as published; 0: not known
	moment   float64      // result of momentary at momentAt; 0: not valid
	momentAt Time
	// inherited is set if pace was published before the last snapshot, and not since.
	inherited bool
	recent    pace.Recent    // the last moment, by this entry's streams
	sums      pace.ModelSums // observed gaps that are not reported yet
}

// progress is what the speed is observed by in a running attempt.
type progress struct {
	grantedAt Time
	tokens    int        // prompt tokens in prefill at the last event, or at the grant
	predicted prediction // at the grant
}

func (c *Core) newSpeed(service string) speed {
	return speed{engine: c.engineOf(service), sums: pace.ModelSums{}}
}

// engineOf returns what was learned of the engines of a service.
func (c *Core) engineOf(service string) *pace.Engine {
	e := c.engines[service]
	if e == nil {
		s := c.settings
		e = pace.NewEngine(pace.Start{
			EventTime: s.EventTime, ReadPerToken: s.PrefillPerToken,
			BatchSlope: float64(s.TokenDelayPerRequest) * float64(s.TokensPerEvent) / float64(s.EventTime),
		})
		c.engines[service] = e
	}
	return e
}

// inheritTime is how long a factor holds that an earlier coordinator has published, unless another one is. It is the
// silence after which a coordinator resets the factor of a runner, but a new one knows nothing of those that stay
// silent: a runner that was slow would be avoided for ever.
const inheritTime = 30 * time.Second

// inheritPaces prepares for the numbers and factors of another coordinator. Gaps observed until now are not
// reported to it: their upstreams have other numbers there, and they may be minutes old.
func (c *Core) inheritPaces() {
	c.inheritedAt = max(c.now, 1)
	for _, u := range c.upstreams {
		u.inherited = u.pace > 0
		clear(u.sums)
	}
}

// expirePaces drops the factors of earlier coordinators that have not been published again.
func (c *Core) expirePaces() {
	if c.inheritedAt == 0 || c.now-c.inheritedAt < inheritTime {
		return
	}
	c.inheritedAt = 0
	for _, u := range c.upstreams {
		if u.inherited {
			u.pace, u.moment, u.inherited = 0, 0, false
		}
	}
}

// Resumed records that the process was suspended until now. The times of attempts that were in progress tell
// nothing about upstreams.
func (c *Core) Resumed(now Time) {
	c.now = max(c.now, now)
	c.resumedAt = c.now
}

// wasSuspended reports whether the process was suspended during an attempt.
func (c *Core) wasSuspended(a *attempt) bool { return a.grantedAt < c.resumedAt }

// setPace sets the published factor, in thousandths; 0 leaves it as it is, so that the last one holds
// until a new coordinator has learned another.
func (s *speed) setPace(thousandths uint32) {
	if thousandths > 0 {
		s.pace, s.moment, s.inherited = float64(thousandths)/pace.Average, 0, false
	}
}

// factor returns the time that the upstream takes for the same work in relation to the mean of its
// service, over some seconds.
func (s *speed) factor() float64 {
	if s.pace == 0 {
		return 1
	}
	return s.pace
}

const (
	// recentPrior is the number of expected gaps that the short-term ratio starts from.
	recentPrior = 3
	// minRecent and maxRecent bound it.
	minRecent, maxRecent = 0.5, 4
)

// momentary returns the same for the next moment.
func (c *Core) momentary(u *upstream) float64 {
	if u.momentAt == c.now && u.moment > 0 {
		return u.moment
	}
	f := u.factor()
	prior := time.Duration(recentPrior * f * float64(u.engine.EventTime("")))
	u.moment, u.momentAt = f*min(max(u.recent.Ratio(c.now, prior), minRecent), maxRecent), c.now
	return u.moment
}

// readTime returns the time in which an upstream reads a number of prompt tokens.
func (c *Core) readTime(u *upstream, tokens int) time.Duration {
	return scale(time.Duration(tokens)*u.engine.ReadPerToken(), c.momentary(u))
}

// eventTime returns the time between two events of a stream on an upstream, without prefills.
func (c *Core) eventTime(u *upstream, model string) time.Duration {
	return scale(u.engine.EventTime(model), c.momentary(u)*u.engine.Work(model, u.running+u.otherRunning, 0))
}

// maxScaled bounds the result of scale, so that sums of a few don't overflow. A conversion beyond the range of a
// time.Duration is negative on amd64: a stream of endless length would seem to end in time.
const maxScaled = 1 << 60

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(math.Round(float64(d)*factor), maxScaled))
}

// RecordEvent records an event of an attempt's stream, identified by the id of its SlotRequest. gap is
// the time since the previous one, as far as it was the upstream that took it; 0: it tells nothing. With the
// first event the prompt has been read.
func (c *Core) RecordEvent(now Time, id uint64, gap time.Duration) []Decision {
	c.beginEvent(now)
	a := c.running[id]
	if a == nil {
		return c.decisions
	}
	a.endPrefill()
	a.events++
	switch {
	case a.events == 1:
		if a.tokens == a.request.PromptTokens && !c.wasSuspended(a) { // else the others' share is known too badly
			a.target.engine.ObserveFirstEvent(c.now, c.now-a.grantedAt, a.target.factor(), a.tokens)
		}
		a.tokens = c.tokensInPrefill(a.target)
		c.dispatch()
	case gap > 0:
		c.observeGap(a, gap)
	default:
		a.tokens = c.tokensInPrefill(a.target)
	}
	return c.decisions
}

// observeGap learns from the time between two events of an attempt's stream.
func (c *Core) observeGap(a *attempt, gap time.Duration) {
	u := a.target
	before := a.tokens
	a.tokens = c.tokensInPrefill(u)
	g := pace.Gap{Time: gap, Factor: u.factor(), Others: u.running + u.otherRunning - 1, Tokens: (before + a.tokens) / 2}
	gap, work, ok := u.engine.ObserveGap(c.now, a.key.model, g)
	if !ok {
		return
	}
	u.sums.Add(a.key.model, gap, work)
	u.moment = 0
	u.recent.Add(c.now, gap, scale(u.engine.EventTime(a.key.model), u.factor()*work))
}

// TakePaces returns the sums of the gaps observed since they were taken last, at most once in each PaceInterval.
func (c *Core) TakePaces(now Time) []*wire.UpstreamPace {
	c.now = max(c.now, now)
	if c.now < c.nextPaces {
		return nil
	}
	c.nextPaces = c.now + c.settings.PaceInterval
	var out []*wire.UpstreamPace
	for _, u := range c.upstreams {
		for _, model := range u.sums.Names() {
			s := u.sums[model]
			out = append(out, &wire.UpstreamPace{Number: u.state.Number, Model: model, Gaps: uint32(s.Gaps),
				GapsMs: uint32(s.Time.Milliseconds()), Work: uint32(math.Round(s.Work * 1000))})
		}
		clear(u.sums)
	}
	return out
}

// Paces returns the distribution of the published factors of speed.
func (c *Core) Paces() pace.Spread {
	var factors []uint32
	for _, u := range c.upstreams {
		if u.pace > 0 {
			factors = append(factors, uint32(math.Round(u.pace*pace.Average)))
		}
	}
	return pace.SpreadOf(factors)
}
