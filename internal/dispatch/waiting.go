package dispatch

import "time"

const (
	// minPatience, latencyPatience and gapPatience say how long the caller of a stream waits for its first event: the
	// longest of the first, this many latency targets and this many targets for gaps.
	minPatience     = 2 * time.Second
	latencyPatience = 4
	gapPatience     = 8
	// minServings is the number of served streams of a service from which on their residence is relied on.
	minServings = 16
	// servingsPrior is the number of streams of a model that the mean of its service counts as. An entry serves few
	// of each model.
	servingsPrior = 4
)

// servings holds decayed means over served streams.
type servings struct {
	n         int
	residence float64 // time on a runner of average speed, in seconds
	prompt    float64 // tokens
}

func (s *servings) observe(residence, prompt float64) {
	s.n++
	weight := max(1/float64(s.n), 1.0/minServings)
	s.residence += float64(weight * (residence - s.residence))
	s.prompt += float64(weight * (prompt - s.prompt))
}

// learnResidence learns from a stream that was served.
func (c *Core) learnResidence(a *attempt, o Outcome) {
	r := &a.request
	if o != Served || !r.Streams || r.Resumed || r.Model == "" || a.events == 0 || c.wasSuspended(a) {
		return
	}
	residence := (c.now - a.grantedAt).Seconds() / a.target.factor()
	for _, key := range []modelKey{{service: r.Service}, {service: r.Service, model: r.Model}} {
		s := c.servings[key]
		if s == nil {
			s = &servings{}
			c.servings[key] = s
		}
		s.observe(residence, float64(r.PromptTokens))
	}
}

// servingsOf returns what was learned of the streams of a model, and whether it is confident.
func (c *Core) servingsOf(r *SlotRequest) (servings, bool) {
	all := c.servings[modelKey{service: r.Service}]
	if all == nil || all.n < minServings || !c.engineOf(r.Service).Confident() || !c.length(r).Confident() {
		return servings{}, false
	}
	m := c.servings[modelKey{service: r.Service, model: r.Model}]
	if m == nil {
		return *all, true
	}
	weight := float64(m.n) / float64(m.n+servingsPrior)
	return servings{n: m.n, residence: all.residence + float64(weight*(m.residence-all.residence)),
		prompt: all.prompt + float64(weight*(m.prompt-all.prompt))}, true
}

// patience returns how long a request may wait for its first event.
func (r *SlotRequest) patience() time.Duration {
	return max(minPatience, latencyPatience*r.LatencyTarget, gapPatience*r.GapTarget)
}

// startForecast is when a waiting request is expected to start, from now on.
type startForecast struct {
	wait, latest time.Duration // until its start, and until the last start that is of use
	interval     time.Duration // between two starts of requests like this one
}

// predictStart predicts the start of a request with ahead requests before it at this entry. It returns false without a
// confident prediction.
//
// The model's holders are taken to have all slots for it, and each contending entry to have as many requests ahead as
// this one. The first makes the predicted start too early rather than too late. With one request ahead at each contending
// entry, 26 in 100 callers left an overloaded fleet without an answer, now 15 (trials at 1.6 of the capacity).
func (c *Core) predictStart(w *waiter, ahead int) (startForecast, bool) {
	r := &w.request
	learned, ok := c.servingsOf(r)
	if !ok || learned.residence <= 0 {
		return startForecast{}, false
	}
	f := c.forecast(w)
	perSecond, contenders := 0.0, -1
	var run, first time.Duration
	for _, u := range c.possible(w) {
		if !c.canServe(u, w) {
			continue
		}
		rate := float64(u.state.Slots) / (learned.residence * u.factor())
		if read := learned.prompt * f.read.Seconds() * u.factor(); read > 0 {
			rate = min(rate, 1/read)
		}
		perSecond += rate
		p := prediction{first: scale(u.engine.FirstEventTime(r.PromptTokens), u.factor()), gap: scale(f.event, u.factor()), ratio: 1}
		if end := p.end(f.mid); contenders < 0 || end < run {
			run, first = end, p.first
		}
		if n := c.otherContenders(u); contenders < 0 || n < contenders {
			contenders = n
		}
	}
	if perSecond <= 0 {
		return startForecast{}, false
	}
	latest := r.Deadline - c.now - run
	if r.LatencyTarget > 0 || r.GapTarget > 0 {
		latest = min(latest, w.queuedAt+r.patience()-c.now-first)
	}
	return startForecast{
		wait:     time.Duration(float64(ahead*(1+contenders)) / perSecond * float64(time.Second)),
		latest:   latest,
		interval: time.Duration(float64(1+contenders) / perSecond * float64(time.Second)),
	}, true
}

// otherContenders returns the least number of other entries that contend for an upstream. Its published number is
// rounded up to a power of two and contains this entry.
func (c *Core) otherContenders(u *upstream) int {
	if c.now-u.loadsAt > freshLoads {
		return 0
	}
	return u.contenders / 2
}

// refuseIfStartsLate refuses a stream whose predicted start is too late for it, and reports whether it did. ahead is
// the number of requests for its model that this entry starts before it. The first one always waits: it uses a slot that
// becomes free sooner than predicted, and the coordinator sees the demand.
func (c *Core) refuseIfStartsLate(w *waiter, ahead int) bool {
	r := &w.request
	if ahead == 0 || !r.Streams || r.Resumed || r.Model == "" {
		return false
	}
	s, ok := c.predictStart(w, ahead)
	if !ok || s.wait <= s.latest {
		return false
	}
	if readyAt, ok := c.modelReadyAt[modelKey{r.Service, r.Model, ""}]; ok && readyAt-c.now <= s.latest {
		return false // the replica that is being loaded may start it in time
	}
	c.refuseInTurn(w, "the requests before it leave too little time", s.wait, s.interval)
	return true
}

// refuseNewcomer does the same for a request that has just joined the queue.
func (c *Core) refuseNewcomer(w *waiter) bool {
	most := 0
	for _, o := range c.waiting {
		if o != w && o.key == w.key && o.request.Priority <= w.request.Priority {
			most++
		}
	}
	if most == 0 || !w.request.Streams {
		return false
	}
	if s, ok := c.predictStart(w, most); !ok || s.wait <= s.latest {
		return false // the order need not be known
	}
	ahead := 0
	for _, o := range c.order() {
		if o == w {
			break
		}
		if o.key == w.key {
			ahead++
		}
	}
	return c.refuseIfStartsLate(w, ahead)
}
