// Package pace learns how fast runners are from the streams that they run. An entry observes the
// time between events and to the first one (Engine, Recent) and sums it up for each runner (Sums). The
// coordinator merges the sums of all entries into one factor for each runner (Fleet). Nothing here does
// I/O or reads a clock.
package pace

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Time is the monotonic time of the caller.
type Time = time.Duration

// Sums adds up the gaps between events of the streams of one model on one runner.
type Sums struct {
	Gaps int
	Time time.Duration // sum of the gaps
	// Work is the sum of what the gaps were expected to take with the batch and the prompts of the
	// time, in gaps of a stream of the same model that has a runner of average speed to itself.
	Work float64
}

const (
	// factorHalfLife is the half-life of observations in a runner's factor. Slow phases caused by
	// neighbours last 0.6 s, so a shorter one would follow these.
	factorHalfLife = 5 * time.Second
	// modelHalfLife is that of a model's mean, which changes only with the engine.
	modelHalfLife = 30 * time.Second
	// forgetAfter is the silence after which a runner counts as average again.
	forgetAfter = 30 * time.Second
	// modelTTL is the silence after which a model's mean is dropped.
	modelTTL = 10 * time.Minute
	// priorWork is the number of gaps of an average runner that a factor starts from.
	priorWork = 10
	// minWork is the number of gaps from which on a factor is published.
	minWork = 20
	// minChange is the relative change from which on a factor is published again.
	minChange = 0.05
	// Average is the factor, in thousandths, of a runner of average speed.
	Average = 1000
	// minFactor and maxFactor bound the published factors.
	minFactor, maxFactor = 100, 10_000
)

// Fleet holds the factors of all runners. A factor is the time that a runner takes for the same work,
// in relation to the mean of its service's runners. It is estimated together with the mean gap of
// each model: a runner that only holds small models is compared with others that run these.
type Fleet struct {
	runners map[uint32]*runner
	models  map[modelKey]*model
}

type modelKey struct{ service, model string }

type runner struct {
	service, software string
	relative          float64 // decayed sum of gaps, in mean gaps of their models
	work              float64 // decayed sum of Sums.Work
	updated           Time
	published         uint32 // 0: never
}

// model is the mean gap of a model on a runner of average speed that has nothing else to do.
type model struct {
	seconds, work float64 // decayed
	updated       Time
}

// NewFleet returns a Fleet without observations.
func NewFleet() *Fleet {
	return &Fleet{runners: map[uint32]*runner{}, models: map[modelKey]*model{}}
}

// Forget drops the observations of a runner, identified by the number of its incarnation.
func (f *Fleet) Forget(number uint32) { delete(f.runners, number) }

// Add merges an entry's sums for a model on a runner. Another software version starts anew.
func (f *Fleet) Add(now Time, number uint32, service, software, name string, s Sums) {
	if s.Gaps <= 0 || s.Time <= 0 || s.Work <= 0 {
		return
	}
	r := f.runners[number]
	if r == nil || r.software != software || r.service != service {
		next := &runner{service: service, software: software, updated: now}
		if r != nil {
			next.published = r.published
		}
		r = next
		f.runners[number] = r
	}
	k := modelKey{service, name}
	m := f.models[k]
	if m == nil {
		m = &model{seconds: s.Time.Seconds() / s.Work, work: 1, updated: now}
		f.models[k] = m
	}
	r.decay(now)
	factor := r.factor()
	r.relative += s.Time.Seconds() / m.mean()
	r.work += s.Work
	d := decay(now-m.updated, modelHalfLife)
	m.seconds = float64(m.seconds*d) + s.Time.Seconds()
	m.work = float64(m.work*d) + float64(s.Work*factor)
	m.updated = max(m.updated, now)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

func (m *model) mean() float64 { return m.seconds / m.work }

func (r *runner) decay(now Time) {
	d := decay(now-r.updated, factorHalfLife)
	if now-r.updated >= forgetAfter {
		d = 0
	}
	r.relative, r.work, r.updated = r.relative*d, r.work*d, max(r.updated, now)
}

func (r *runner) factor() float64 { return (r.relative + priorWork) / (r.work + priorWork) }

// Update rescales the factors so that their mean over the runners of a service is 1, and returns those
// to be published, in thousandths by number: the new ones and those that have changed by 5 in 100.
func (f *Fleet) Update(now Time) map[uint32]uint32 {
	f.rescale(now)
	maps.DeleteFunc(f.models, func(_ modelKey, m *model) bool { return now-m.updated >= modelTTL })
	var changed map[uint32]uint32
	for number, r := range f.runners {
		next := r.next(now)
		if next == 0 || next == r.published {
			continue
		}
		silent := now-r.updated >= forgetAfter
		if r.published > 0 && !silent && math.Abs(float64(next)/float64(r.published)-1) < minChange {
			continue
		}
		r.published = next
		if changed == nil {
			changed = map[uint32]uint32{}
		}
		changed[number] = next
	}
	return changed
}

// Published returns the factor of a runner as published last, 0 if none was.
func (f *Fleet) Published(number uint32) uint32 {
	if r := f.runners[number]; r != nil {
		return r.published
	}
	return 0
}

// next returns the factor to publish, in thousandths; 0: nothing is known.
func (r *runner) next(now Time) uint32 {
	switch {
	case now-r.updated >= forgetAfter:
		if r.published == 0 {
			return 0
		}
		return Average
	case r.work < minWork:
		return r.published
	}
	return uint32(math.Round(min(max(r.factor()*Average, minFactor), maxFactor)))
}

// rescale divides factors by their mean and multiplies the models' means by it, which leaves
// the predicted gaps as they are. The sums run in a fixed order, so that the result does.
func (f *Fleet) rescale(now Time) {
	type mean struct{ sum, n float64 }
	means := map[string]*mean{}
	numbers := slices.Sorted(maps.Keys(f.runners))
	for _, number := range numbers {
		r := f.runners[number]
		if now-r.updated >= forgetAfter || r.work < minWork {
			continue
		}
		if means[r.service] == nil {
			means[r.service] = &mean{}
		}
		means[r.service].sum += r.factor()
		means[r.service].n++
	}
	for _, number := range numbers {
		if m := means[f.runners[number].service]; m != nil {
			f.runners[number].relative *= m.n / m.sum
		}
	}
	for k, m := range f.models {
		if s := means[k.service]; s != nil {
			m.seconds *= s.sum / s.n
		}
	}
}

// Spread is the distribution of runners' factors, in thousandths.
type Spread struct{ Min, Median, Max uint32 }

// SpreadOf returns the distribution of factors, zero if there are none. It reorders them.
func SpreadOf(factors []uint32) Spread {
	if len(factors) == 0 {
		return Spread{}
	}
	slices.Sort(factors)
	return Spread{factors[0], factors[len(factors)/2], factors[len(factors)-1]}
}

// ModelSums are the sums of a runner's models.
type ModelSums map[string]Sums

// Add adds one gap.
func (m ModelSums) Add(name string, gap time.Duration, work float64) {
	s := m[name]
	m[name] = Sums{s.Gaps + 1, s.Time + gap, s.Work + work}
}

// Names returns the models, sorted.
func (m ModelSums) Names() []string { return slices.SortedFunc(maps.Keys(m), strings.Compare) }
