package grant

import (
	"math/bits"
	"slices"
	"time"
)

// timing holds the latency estimates of one model or service over all upstreams.
type timing struct {
	firstToken  mean // nanoseconds to the first token
	tokenGap    mean // nanoseconds between tokens
	duration    mean // nanoseconds for the whole answer
	firstTokens histogram
}

// mean is a moving mean.
type mean struct {
	value float64
	n     int
}

// meanWeight is the weight of a new value once the mean has many values.
const meanWeight = 0.05

func (m *mean) add(x float64) {
	m.n++
	w := max(meanWeight, 1/float64(m.n))
	m.value += w * (x - m.value)
}

// minMeanSamples is the number of values from which a mean is used.
const minMeanSamples = 5

func (m *mean) isReliable() bool { return m.n >= minMeanSamples }

func (t *timing) observe(s sample) {
	if s.firstToken > 0 {
		t.firstToken.add(float64(s.firstToken))
		t.firstTokens.add(s.firstToken)
	}
	if s.tokenGap > 0 {
		t.tokenGap.add(float64(s.tokenGap))
	}
	if s.duration > 0 {
		t.duration.add(float64(s.duration))
	}
}

// ratio returns a sample in multiples of the usual latency, and false when there is no
// estimate yet.
func (t *timing) ratio(s sample) (float64, bool) {
	if s.tokenGap > 0 && t.tokenGap.isReliable() {
		return float64(s.tokenGap) / t.tokenGap.value, true
	}
	if s.firstToken > 0 && t.firstToken.isReliable() {
		return float64(s.firstToken) / t.firstToken.value, true
	}
	if s.firstToken == 0 && s.duration > 0 && t.firstToken.n == 0 && t.duration.isReliable() {
		return float64(s.duration) / t.duration.value, true
	}
	return 0, false
}

// runTime estimates the time to run an attempt with that many tokens; 0: unknown.
func (t *timing) runTime(tokens int) time.Duration {
	if t.firstToken.isReliable() && t.tokenGap.isReliable() {
		return time.Duration(t.firstToken.value + t.tokenGap.value*float64(tokens))
	}
	if t.firstToken.n == 0 && t.duration.isReliable() {
		return time.Duration(t.duration.value)
	}
	return 0
}

// lengths estimates the length of answers, in tokens, by model, adapter, caller and
// requested length.
type lengths struct {
	byKey map[lengthKey]*length
	ring  []lengthKey // keys in order of arrival; the oldest is evicted when full
	next  int
}

type lengthKey struct {
	model, adapter, caller string
	bucket                 int // power of two of the requested length
}

type length struct {
	mean      mean
	deviation mean
}

// maxLengths bounds the number of length estimates.
const maxLengths = 16384

func newLengths() lengths { return lengths{byKey: map[lengthKey]*length{}} }

func lengthKeyOf(req SlotRequest) lengthKey {
	return lengthKey{req.Model, req.Adapter, req.Caller, bits.Len(uint(max(0, req.MaxTokens)))}
}

func (l *lengths) observe(req SlotRequest, tokens int) {
	if req.Model == "" {
		return
	}
	key := lengthKeyOf(req)
	x, ok := l.byKey[key]
	if !ok {
		x = &length{}
		l.addKey(key)
		l.byKey[key] = x
	}
	x.mean.add(float64(tokens))
	x.deviation.add(abs(float64(tokens) - x.mean.value))
}

func (l *lengths) addKey(key lengthKey) {
	if len(l.ring) < maxLengths {
		l.ring = append(l.ring, key)
		return
	}
	delete(l.byKey, l.ring[l.next])
	l.ring[l.next] = key
	l.next = (l.next + 1) % maxLengths
}

func abs(x float64) float64 {
	if x < 0 {
		return -x
	}
	return x
}

// Number of deviations above the mean length: few answers exceed expectedDeviations,
// hardly any conservativeDeviations.
const (
	expectedDeviations     = 1
	conservativeDeviations = 2
)

// estimate returns the mean length of requests like req plus the given number of
// deviations, in tokens; 0: unknown.
func (l *lengths) estimate(req SlotRequest, deviations float64) int {
	x, ok := l.byKey[lengthKeyOf(req)]
	if !ok || !x.mean.isReliable() {
		return 0
	}
	return max(1, int(x.mean.value+deviations*x.deviation.value))
}

// expected returns the expected length of an attempt in tokens: the estimate, else the
// requested length, else the default.
func (l *lengths) expected(req SlotRequest, s Settings) int {
	if n := l.estimate(req, expectedDeviations); n > 0 {
		if req.MaxTokens > 0 {
			n = min(n, req.MaxTokens)
		}
		return n
	}
	if req.MaxTokens > 0 {
		return req.MaxTokens
	}
	return s.DefaultTokens
}

// estimateWait estimates how long the attempt waits for a slot; 0: unknown.
func (c *Core) estimateWait(a *attempt) time.Duration {
	if !c.hasReadyUpstream(a) {
		return c.estimateLoadTime(a)
	}
	t := &a.pool.timing
	class := a.pool.queue.classOf(a)
	slots := c.expectedSlots(a.pool, class)
	limited := c.estimateLimitedWait(a)
	if !t.duration.isReliable() || slots == 0 {
		return limited
	}
	ahead := a.pool.queue.countAhead(a)
	return max(time.Duration(float64(ahead+1)*t.duration.value/slots), limited)
}

// estimateLimitedWait estimates how long the attempt waits if all upstreams that can run it take a
// limited number of requests a second; 0: some take any number.
func (c *Core) estimateLimitedWait(a *attempt) time.Duration {
	perSecond := 0.0
	for _, u := range a.pool.members {
		if u.Leaving || !c.isReady(a, u) {
			continue
		}
		if u.rate == nil {
			return 0
		}
		perSecond += u.rate.PerSecond()
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(a.pool.queue.countAhead(a)+1) / perSecond * float64(time.Second))
}

// expectedSlots estimates how many slots waiting attempts of a class get as running
// attempts end: those of running attempts of the same and less urgent classes, since more
// urgent work replaces itself, and at least the aged share of all.
func (c *Core) expectedSlots(p *pool, class int) float64 {
	return max(float64(p.runningFromClass(class)), c.settings.AgedShare*float64(p.running()))
}

// runningFromClass counts the running attempts of a class and of less urgent ones.
func (p *pool) runningFromClass(class int) int {
	n := 0
	for _, x := range p.runningByClass[class:] {
		n += x
	}
	return n
}

// missesDeadline returns the estimated wait of an attempt that has to wait, and whether it
// would miss its deadline.
func (c *Core) missesDeadline(a *attempt) (time.Duration, bool) {
	wait := c.estimateWait(a)
	if !c.settings.EarlyRefusal || c.recovery.active || wait == 0 {
		return wait, false
	}
	needed := time.Duration(float64(wait)*waitMargin) + c.conservativeRunTime(a)
	return wait, c.now+needed > a.req.Deadline
}

// waitMargin is the factor that covers the error of an estimated wait. Without it, more
// attempts would be queued in vain and refused only after most of their time has passed.
const waitMargin = 1.25

// estimateLoadTime estimates the time until a replica is ready; 0: unknown, only the adapter
// is not loaded, or the first attempt. The first attempt always waits: without a waiting
// attempt placement would see no demand, and the model would never be loaded.
func (c *Core) estimateLoadTime(a *attempt) time.Duration {
	modelReady := slices.ContainsFunc(a.pool.members, func(u *upstream) bool { return !u.Leaving })
	if modelReady || a.pool.queue.size == 0 {
		return 0
	}
	return a.pool.loadTime.remaining(c.now, c.settings.DefaultLoadTime)
}

// tooLateOnArrival reports whether an attempt that could run now has too little time left
// to complete. One attempt of a pool may always run.
func (c *Core) tooLateOnArrival(a *attempt) bool {
	if !c.settings.EarlyRefusal || a.pool.running() == 0 {
		return false
	}
	return c.now+c.minRunTime(a) > a.req.Deadline
}

// trialInterval is the time between two attempts that are admitted against the estimates.
const trialInterval = time.Second

// takeTrial reports whether an attempt may run against the estimates, and allows one in
// each trialInterval. Without such trials, estimates from a slow period would refuse all
// the work that could correct them.
func (p *pool) takeTrial(now Time) bool {
	if now < p.lastTrial+trialInterval {
		return false
	}
	p.lastTrial = now
	return true
}

// tooLateToStart reports whether a waiting attempt has too little time left to be worth a
// slot that others wait for.
func (c *Core) tooLateToStart(a *attempt) bool {
	if !c.settings.EarlyRefusal || a.pool.running() == 0 {
		return false
	}
	return c.now+c.conservativeRunTime(a) > a.req.Deadline
}

// conservativeRunTime returns the time in which the attempt almost certainly completes; 0:
// unknown.
func (c *Core) conservativeRunTime(a *attempt) time.Duration {
	return a.pool.timing.runTime(c.lengths.estimate(a.req, conservativeDeviations))
}

// minRunTime returns the least time that an attempt must have left to be started; 0:
// unknown.
func (c *Core) minRunTime(a *attempt) time.Duration {
	usual := a.pool.timing.runTime(c.lengths.estimate(a.req, 0))
	return time.Duration(float64(usual) * minRunTimeShare)
}

// minRunTimeShare is the share of the usual run time that an attempt must have left.
const minRunTimeShare = 0.7

// Bounds of the retry delay, before the random part.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter returns the retry delay for an estimated wait. Its random part keeps refused
// callers from retrying all at once.
func (c *Core) retryAfter(wait time.Duration) time.Duration {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	return base + time.Duration(c.rng.Int64N(int64(base)/2))
}
