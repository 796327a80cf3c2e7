package loadgen

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/wire"
)

// Shape is the load over time. The load is open-loop: arrivals don't wait for answers.
type Shape struct {
	Seed     uint64
	Duration time.Duration
	Requests int     // maximum number of arrivals; 0 means maxArrivals
	Rate     float64 // mean arrivals per second outside the crest

	// The crest is a load peak, in which the rate is multiplied by CrestFactor.
	CrestAt     time.Duration
	CrestFor    time.Duration
	CrestFactor float64

	// A wake-up is a burst of requests for one model, which may have been idle for long.
	WakeEvery time.Duration // mean time between wake-ups; 0: none
	WakeSize  int           // requests per wake-up
	WakeSpan  time.Duration // time span of a wake-up

	ColdAfter time.Duration // idle time after which a model counts as cold
}

const (
	// maxArrivals bounds a run at any rate.
	maxArrivals = 1_000_000
	// coldWindow is how long a model counts as cold after its first request: requests
	// within it wait for the same load.
	coldWindow = 2 * time.Second
)

// Arrival is one scheduled request.
type Arrival struct {
	Number    int
	At        time.Duration // offset from the start of the run
	Workload  *Workload
	Model     string
	Adapter   string
	Tokens    int
	Key       string // Idempotency-Key
	Target    int    // index of the entry
	InCrest   bool   // arrives in the crest
	InWakeUp  bool   // belongs to a wake-up
	ColdModel bool   // its model is cold
}

// ModelName returns "model" or "model:adapter", as a request names it.
func (a *Arrival) ModelName() string {
	if a.Adapter == "" {
		return a.Model
	}
	return a.Model + ":" + a.Adapter
}

// scheduleBuilder draws the arrivals of a run. The same seed yields the same arrivals.
type scheduleBuilder struct {
	rng         *rand.Rand
	shape       Shape
	mix         Mix
	targets     int
	models      map[string][]string // model names by name of the workload, in descending popularity
	adapters    map[string][]string // adapter names by model
	totalWeight float64
	arrivals    []*Arrival
}

// Schedule draws the arrivals of a run for the models of an applied file, spread over
// the number of targets. It fails if the file has no model for one of the mix's
// workloads.
func Schedule(shape Shape, mix Mix, spec *wire.Spec, targets int) ([]*Arrival, error) {
	if shape.Duration <= 0 || shape.Rate <= 0 || targets < 1 {
		return nil, errors.New("a run needs a duration, a rate and targets")
	}
	if shape.Requests <= 0 || shape.Requests > maxArrivals {
		shape.Requests = maxArrivals
	}
	s := &scheduleBuilder{
		rng: rand.New(rand.NewPCG(shape.Seed, 0)), shape: shape, mix: mix, targets: targets,
		models: map[string][]string{}, adapters: map[string][]string{},
	}
	if err := s.resolveModels(spec); err != nil {
		return nil, err
	}
	s.addPoissonArrivals()
	s.addWakeUps()
	s.finalize()
	return s.arrivals, nil
}

// resolveModels collects the models and adapters that each workload may call.
func (s *scheduleBuilder) resolveModels(spec *wire.Spec) error {
	for _, a := range spec.GetAdapters() {
		s.adapters[a.Model] = append(s.adapters[a.Model], a.Name)
	}
	for _, w := range s.mix.Workloads {
		s.totalWeight += w.Weight
		if w.Service != "" {
			continue
		}
		for _, pattern := range w.Models {
			s.models[w.Name] = append(s.models[w.Name], matchingModels(spec, pattern)...)
		}
		if len(s.models[w.Name]) == 0 {
			return errors.Errorf("the applied file has no model for %s", w.Name)
		}
	}
	return nil
}

func matchingModels(spec *wire.Spec, pattern string) []string {
	prefix, isPrefix := strings.CutSuffix(pattern, "*")
	var names []string
	for _, m := range spec.GetModels() {
		if m.Name == pattern || isPrefix && strings.HasPrefix(m.Name, prefix) {
			names = append(names, m.Name)
		}
	}
	return names
}

// addPoissonArrivals draws arrivals of a Poisson process whose rate follows the shape. It
// thins out a process of the maximum rate.
func (s *scheduleBuilder) addPoissonArrivals() {
	factor := max(1, s.shape.CrestFactor)
	maxRate := s.shape.Rate * factor
	for at := s.drawInterval(maxRate); at < s.shape.Duration && len(s.arrivals) < s.shape.Requests; at += s.drawInterval(maxRate) {
		if !s.inCrest(at) && s.rng.Float64()*factor >= 1 {
			continue
		}
		s.addArrival(at, s.drawWorkload(), "")
	}
}

func (s *scheduleBuilder) drawInterval(rate float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
}

func (s *scheduleBuilder) inCrest(at time.Duration) bool {
	return s.shape.CrestFactor > 1 && at >= s.shape.CrestAt && at < s.shape.CrestAt+s.shape.CrestFor
}

// addWakeUps adds bursts for models drawn with equal probability, so that most of them
// hit rarely used models.
func (s *scheduleBuilder) addWakeUps() {
	workloads := s.shortGenerations()
	if s.shape.WakeEvery <= 0 || s.shape.WakeSize <= 0 || len(workloads) == 0 {
		return
	}
	rate := float64(time.Second) / float64(s.shape.WakeEvery)
	for at := s.drawInterval(rate); at < s.shape.Duration; at += s.drawInterval(rate) {
		w := workloads[s.rng.IntN(len(workloads))]
		names := s.models[w.Name]
		model := names[s.rng.IntN(len(names))]
		for range s.shape.WakeSize {
			if len(s.arrivals) >= s.shape.Requests {
				return
			}
			a := s.addArrival(at+time.Duration(s.rng.Float64()*float64(s.shape.WakeSpan)), w, model)
			a.InWakeUp = true
		}
	}
}

func (s *scheduleBuilder) shortGenerations() []*Workload {
	var workloads []*Workload
	for i := range s.mix.Workloads {
		if w := &s.mix.Workloads[i]; w.Service == "" && !w.Long {
			workloads = append(workloads, w)
		}
	}
	return workloads
}

// drawWorkload draws a workload with a probability proportional to its weight.
func (s *scheduleBuilder) drawWorkload() *Workload {
	remaining := s.rng.Float64() * s.totalWeight
	for i := range s.mix.Workloads {
		remaining -= s.mix.Workloads[i].Weight
		if remaining < 0 {
			return &s.mix.Workloads[i]
		}
	}
	return &s.mix.Workloads[len(s.mix.Workloads)-1]
}

// addArrival adds an arrival and draws its target, adapter and length, and the model if
// it is empty.
func (s *scheduleBuilder) addArrival(at time.Duration, w *Workload, model string) *Arrival {
	a := &Arrival{At: at, Workload: w, Model: model, Target: s.rng.IntN(s.targets), InCrest: s.inCrest(at)}
	s.arrivals = append(s.arrivals, a)
	if w.Service != "" {
		return a
	}
	if a.Model == "" {
		a.Model = s.drawModel(s.models[w.Name])
	}
	if names := s.adapters[a.Model]; len(names) > 0 && s.rng.Float64() < w.AdapterShare {
		a.Adapter = names[s.rng.IntN(len(names))]
	}
	a.Tokens = w.MinTokens + s.rng.IntN(w.MaxTokens-w.MinTokens+1)
	return a
}

// drawModel draws the n-th model with a probability proportional to 1/n (Zipf's law): a
// few models are called often, most of them rarely.
func (s *scheduleBuilder) drawModel(names []string) string {
	sum := 0.0
	for n := range names {
		sum += 1 / float64(n+1)
	}
	remaining := s.rng.Float64() * sum
	for n, name := range names {
		remaining -= 1 / float64(n+1)
		if remaining < 0 {
			return name
		}
	}
	return names[len(names)-1]
}

// finalize sorts and numbers the arrivals and marks those for a cold model.
func (s *scheduleBuilder) finalize() {
	slices.SortStableFunc(s.arrivals, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
	lastCall := map[string]time.Duration{}
	coldSince := map[string]time.Duration{}
	for i, a := range s.arrivals {
		a.Number = i
		if a.Workload.Keyed {
			a.Key = fmt.Sprintf("load-%d-%d", s.shape.Seed, i)
		}
		if a.Model == "" {
			continue
		}
		previous, called := lastCall[a.Model]
		if !called || a.At-previous >= s.shape.ColdAfter {
			coldSince[a.Model] = a.At
		}
		lastCall[a.Model] = a.At
		a.ColdModel = a.At-coldSince[a.Model] < coldWindow
	}
}
