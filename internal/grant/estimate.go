package grant

import (
	"math/bits"
	"slices"
	"time"
)

// timing is what is learnt of the speed of one model or service over all upstreams.
type timing struct {
	first    mean // nanoseconds to the first token
	gap      mean // nanoseconds between tokens
	duration mean // nanoseconds for the whole answer
	firsts   histogram
}

// mean is a moving mean.
type mean struct {
	value float64
	n     int
}

// meanWeight is the weight of a new value once the mean has settled.
const meanWeight = 0.05

func (m *mean) add(x float64) {
	m.n++
	w := max(meanWeight, 1/float64(m.n))
	m.value += w * (x - m.value)
}

// settled is the number of values after which a mean is used.
const settled = 5

func (m *mean) known() bool { return m.n >= settled }

func (t *timing) observe(s sample) {
	if s.first > 0 {
		t.first.add(float64(s.first))
		t.firsts.add(s.first)
	}
	if s.gap > 0 {
		t.gap.add(float64(s.gap))
	}
	if s.duration > 0 {
		t.duration.add(float64(s.duration))
	}
}

// ratio compares a sample with what is usual; false when nothing is known yet.
func (t *timing) ratio(s sample) (float64, bool) {
	if s.gap > 0 && t.gap.known() {
		return float64(s.gap) / t.gap.value, true
	}
	if s.first > 0 && t.first.known() {
		return float64(s.first) / t.first.value, true
	}
	if s.first == 0 && s.duration > 0 && t.first.n == 0 && t.duration.known() {
		return float64(s.duration) / t.duration.value, true
	}
	return 0, false
}

// service estimates the time to run an ask of so many tokens; 0 when unknown.
func (t *timing) service(tokens int) time.Duration {
	if t.first.known() && t.gap.known() {
		return time.Duration(t.first.value + t.gap.value*float64(tokens))
	}
	if t.first.n == 0 && t.duration.known() {
		return time.Duration(t.duration.value)
	}
	return 0
}

// lengths learns the answers' lengths by model, adapter, caller and asked length.
type lengths struct {
	byKey map[lengthKey]*length
	ring  []lengthKey // keys in order of arrival; the oldest is dropped when full
	next  int
}

type lengthKey struct {
	model, adapter, caller string
	bucket                 int // power of two of the asked length
}

type length struct {
	mean      mean
	deviation mean
}

// maxLengths bounds the number of learnt lengths.
const maxLengths = 16384

func newLengths() lengths { return lengths{byKey: map[lengthKey]*length{}} }

func keyOf(k Ask) lengthKey {
	return lengthKey{k.Model, k.Adapter, k.Caller, bits.Len(uint(max(0, k.MaxTokens)))}
}

func (l *lengths) observe(k Ask, tokens int) {
	if k.Model == "" {
		return
	}
	key := keyOf(k)
	x, ok := l.byKey[key]
	if !ok {
		x = &length{}
		l.remember(key)
		l.byKey[key] = x
	}
	x.mean.add(float64(tokens))
	x.deviation.add(abs(float64(tokens) - x.mean.value))
}

func (l *lengths) remember(key lengthKey) {
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

// Deviations above the mean length: few answers are longer than longLength, hardly any
// is longer than sureLength.
const (
	longLength = 1
	sureLength = 2
)

// learnt returns the mean length of the ask's kind and so many deviations, in tokens;
// 0 when unknown.
func (l *lengths) learnt(k Ask, deviations float64) int {
	x, ok := l.byKey[keyOf(k)]
	if !ok || !x.mean.known() {
		return 0
	}
	return max(1, int(x.mean.value+deviations*x.deviation.value))
}

// expected returns the tokens that an ask will take: what was learnt of its kind, else
// what was asked for.
func (l *lengths) expected(k Ask, s Settings) int {
	if n := l.learnt(k, longLength); n > 0 {
		if k.MaxTokens > 0 {
			n = min(n, k.MaxTokens)
		}
		return n
	}
	if k.MaxTokens > 0 {
		return k.MaxTokens
	}
	return s.DefaultTokens
}

// waitEstimate estimates how long the ask waits for a slot; 0 when nothing is known.
func (c *Core) waitEstimate(a *attempt) time.Duration {
	if !c.hasReady(a) {
		return c.wakeEstimate(a)
	}
	t := &a.pool.timing
	class := a.pool.queue.classOf(a)
	slots := c.slotsFor(a.pool, class)
	if !t.duration.known() || slots == 0 {
		return 0
	}
	ahead := a.pool.queue.ahead(a)
	return time.Duration(float64(ahead+1) * t.duration.value / slots)
}

// slotsFor estimates the slots that come to waiting asks of a class when they are given
// back: those of its own and less urgent attempts, since more urgent work replaces
// itself, and at least its aged share of all.
func (c *Core) slotsFor(p *pool, class int) float64 {
	return max(float64(p.runningFrom(class)), c.set.AgedShare*float64(p.running()))
}

// runningFrom counts the running attempts of a class and those less urgent.
func (p *pool) runningFrom(class int) int {
	n := 0
	for _, x := range p.classRunning[class:] {
		n += x
	}
	return n
}

// unmeetable tells whether an ask that has to wait will miss its deadline, and by which
// estimated wait.
func (c *Core) unmeetable(a *attempt) (time.Duration, bool) {
	wait := c.waitEstimate(a)
	if !c.set.EarlyRefusal || c.recovery.active || wait == 0 {
		return wait, false
	}
	sure := time.Duration(float64(wait)*waitMargin) + c.sureService(a)
	return wait, c.now+sure > a.ask.Deadline
}

// waitMargin covers the error of an estimated wait: an ask admitted in vain would learn
// only after most of its deadline that it is not served.
const waitMargin = 1.25

// wakeEstimate estimates the time until a replica is ready. The first ask always waits:
// without a waiting ask placement would see no demand, and the model would never load.
func (c *Core) wakeEstimate(a *attempt) time.Duration {
	modelReady := slices.ContainsFunc(a.pool.members, func(u *upstream) bool { return !u.Leaving })
	if modelReady || a.pool.queue.size == 0 {
		return 0
	}
	return a.pool.wake.remaining(c.now, c.set.DefaultWake)
}

// hopeless tells whether an ask that could run now has too little time left to end. One
// attempt may always run.
func (c *Core) hopeless(a *attempt) bool {
	if !c.set.EarlyRefusal || a.pool.running() == 0 {
		return false
	}
	return c.now+c.shortestService(a) > a.ask.Deadline
}

// trialInterval is the time between two asks that are tried against the estimates.
const trialInterval = time.Second

// trialDue lets one ask in an interval run although it seems hopeless. Without it an
// estimate from a bad hour would refuse all the work that could correct it.
func (p *pool) trialDue(now Time) bool {
	if now < p.trialAt+trialInterval {
		return false
	}
	p.trialAt = now
	return true
}

// tooLate tells whether a waiting ask has too little time left to be worth a slot that
// others wait for.
func (c *Core) tooLate(a *attempt) bool {
	if !c.set.EarlyRefusal || a.pool.running() == 0 {
		return false
	}
	return c.now+c.sureService(a) > a.ask.Deadline
}

// sureService is the time in which the ask will hardly fail to end.
func (c *Core) sureService(a *attempt) time.Duration {
	return a.pool.timing.service(c.lengths.learnt(a.ask, sureLength))
}

// shortestService is the least time that the ask must be given to be of use.
func (c *Core) shortestService(a *attempt) time.Duration {
	usual := a.pool.timing.service(c.lengths.learnt(a.ask, 0))
	return time.Duration(float64(usual) * hopefulShare)
}

// hopefulShare is the share of the usual time to run that an ask must have left.
const hopefulShare = 0.7

// Bounds of the time to come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter turns an estimated wait into a time to come back. The random part keeps
// refused callers from coming back all at once.
func (c *Core) retryAfter(wait time.Duration) time.Duration {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	return base + time.Duration(c.rng.Int64N(int64(base)/2))
}
