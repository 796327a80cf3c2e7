package dispatch

import (
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/pace"
)

type lengthKey struct {
	route  string
	hinted bool
}

// length returns what was learned of the answers to requests like this one.
func (c *Core) length(r *SlotRequest) *pace.Length {
	k := lengthKey{r.Route, r.Hinted}
	l := c.lengths[k]
	if l == nil {
		l = pace.NewLength(1 / float64(c.settings.TokensPerEvent))
		c.lengths[k] = l
	}
	return l
}

// forecast is what is expected of a request wherever it runs.
type forecast struct {
	low, mid, high float64       // events of its output: quantiles
	event          time.Duration // time between two events on an idle runner of average speed
	slope          float64       // share of it that each other request adds
	read           time.Duration // for one token of the prompt
	jitter         time.Duration // bound of the random part of costs
}

func (c *Core) forecast(w *waiter) forecast {
	r := &w.request
	e := c.engineOf(r.Service)
	l := c.length(r)
	events := func(ratio float64) float64 {
		n := float64(r.OutputTokens) * ratio
		if r.OutputBound > 0 {
			n = min(n, float64(r.OutputBound)) // an event has a token at least
		}
		return max(n, 1)
	}
	f := forecast{low: events(l.Low), mid: events(l.Mid), high: events(l.High),
		event: e.EventTime(r.Model), slope: e.BatchSlope(), read: e.ReadPerToken()}
	f.jitter = max(c.settings.CostJitter, scale(f.delayOfOthers(r.PromptTokens), jitterShare))
	return f
}

// jitterShare is the random part of costs in relation to what one more request costs another one. With the
// starting values and 1,000 and 100 tokens it is the 15 ms of CostJitter.
const jitterShare = 0.6

// prefillInterference is the share of a prompt's prefill time that delays each request
// running beside it: engines interleave pieces of a prefill with the others' tokens.
const prefillInterference = 0.5

// delayOfOthers returns the delay that the request causes to each that runs beside it on a runner of average speed.
func (f *forecast) delayOfOthers(promptTokens int) time.Duration {
	return scale(time.Duration(promptTokens)*f.read, prefillInterference) + scale(f.event, float64(f.mid*f.slope))
}

// prediction is when a request's events would come from an upstream, from now on.
type prediction struct {
	first time.Duration // until the first event
	gap   time.Duration // between two later ones
	read  time.Duration // for all prompts that the upstream has to read then, its own included
	ratio float64       // of the time of whole streams to the predicted one, as learned
}

// end returns the time until the last of a number of events.
func (p *prediction) end(events float64) time.Duration {
	return p.first + scale(p.gap, float64(max(0, events-1)*p.ratio))
}

// predict predicts the events of a request from an upstream.
func (c *Core) predict(u *upstream, w *waiter, f *forecast, cached bool) prediction {
	own := w.request.PromptTokens
	if cached {
		own = max(0, own-w.request.PrefixTokens)
	}
	now := c.momentary(u)
	tokens := c.tokensInPrefill(u) + own
	others := float64(u.running + u.otherRunning)
	return prediction{
		first: scale(u.engine.FirstEventTime(tokens), now),
		gap:   scale(f.event, u.factor()*(1+float64(f.slope*others))),
		read:  scale(time.Duration(tokens)*f.read, now),
		ratio: u.engine.RunRatio(),
	}
}

const (
	// lateCost is the cost of a request that ends after its deadline: its work is lost.
	lateCost = 5 * time.Second
	// missCost is the cost of a first event later than its target by as much again.
	missCost = 500 * time.Millisecond
	// gapCost is the cost, for each stream on the runner, of prompts that take all of a target for
	// gaps. It rises with the square of the time beyond calmShare of the target. A runner slowed by a neighbour
	// takes 2.5 times as long, so gaps above 0.4 of the target are at risk.
	gapCost   = 300 * time.Millisecond
	calmShare = 0.3
	// runShare is the share of a stream's own time in its cost. It lets long streams prefer fast
	// runners more than short ones do, which then fill the slow ones.
	runShare = 0.1
)

// modelCost estimates the delay, in seconds, that a request for a model would meet and cause on an
// upstream, and what it would miss.
func (c *Core) modelCost(u *upstream, w *waiter, f *forecast, cached bool) float64 {
	r := &w.request
	p := c.predict(u, w, f, cached)
	cost := p.first.Seconds() + float64(runShare*p.end(f.mid).Seconds())
	others := float64(u.running + u.otherRunning)
	cost += float64(others * c.momentary(u) * f.delayOfOthers(r.PromptTokens).Seconds())
	cost += float64(lateCost.Seconds() * p.lateRisk(f, r.Deadline-c.now))
	if r.LatencyTarget > 0 {
		late := (p.first + (c.now - w.queuedAt) - r.LatencyTarget).Seconds() / r.LatencyTarget.Seconds()
		cost += float64(missCost.Seconds() * min(max(late, 0), 1))
	}
	if r.GapTarget > 0 {
		excess := max(0, (p.gap+p.read).Seconds()/r.GapTarget.Seconds()-calmShare) / (1 - calmShare)
		cost += float64(gapCost.Seconds() * (others + 1) * min(excess*excess, 1))
	}
	return cost
}

// lateRisk estimates the probability that the request ends after the time that remains.
func (p *prediction) lateRisk(f *forecast, remaining time.Duration) float64 {
	low, high := p.end(f.low), p.end(f.high)
	switch {
	case high <= remaining:
		return 0
	case low >= remaining:
		return 1
	}
	return (high - remaining).Seconds() / (high - low).Seconds()
}

// certainlyLate is the ratio of the expected time on the fastest runner, idle, to the time that remains from
// which on a request is refused at once.
const certainlyLate = 2

// refuseIfTooLong refuses a stream that no upstream can complete before its deadline, and reports whether it did. It
// relies on confident predictions only: a request that might be served must not be refused.
func (c *Core) refuseIfTooLong(w *waiter) bool {
	r := &w.request
	e := c.engineOf(r.Service)
	if !r.Streams || r.Resumed || r.Model == "" || !e.Confident() || !c.length(r).Confident() {
		return false
	}
	f := c.forecast(w)
	remaining := r.Deadline - c.now
	known := false
	for _, u := range c.possible(w) {
		if !c.canServe(u, w) {
			continue
		}
		known = true
		p := prediction{first: 0, gap: scale(f.event, u.factor()), ratio: 1}
		if p.end(f.low) <= remaining || p.end(f.mid) <= certainlyLate*remaining {
			return false
		}
	}
	if !known {
		return false
	}
	c.refuse(w, errkind.DeadlineUnmeetable, "no upstream can complete the answer before the deadline", c.retryAfter(w))
	return true
}

// learnFromEnd learns from an attempt that has ended. One that did not end by itself only shows that its answer is
// longer than what was received.
func (c *Core) learnFromEnd(a *attempt, o Outcome) {
	r := &a.request
	if !r.Streams || r.Resumed || a.events == 0 || r.OutputTokens <= 0 {
		return
	}
	l := c.length(r)
	ratio := float64(a.events) / float64(r.OutputTokens)
	if o == Served {
		l.Observe(ratio)
		if !c.wasSuspended(a) {
			a.target.engine.ObserveRun(c.now, c.now-a.grantedAt, a.predicted.first+time.Duration(a.events-1)*a.predicted.gap)
		}
	} else if ratio > l.Mid {
		l.Observe(ratio)
	}
}
