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

// Shape is the course of the load. Arrivals do not wait for answers.
type Shape struct {
	Seed     uint64
	Duration time.Duration
	Requests int     // most arrivals; 0 takes maxArrivals
	Rate     float64 // mean arrivals a second outside the crest

	// The crest is a span in which the rate is multiplied.
	CrestAt     time.Duration
	CrestFor    time.Duration
	CrestFactor float64

	// A wake-up is a burst for one model that may have been quiet for long.
	WakeEvery time.Duration // mean time between wake-ups; 0: none
	WakeSize  int           // requests of a wake-up
	WakeSpan  time.Duration // in which they come

	ColdAfter time.Duration // quiet span after which a model counts as cold
}

const (
	// maxArrivals bounds a run whatever its rate.
	maxArrivals = 1_000_000
	// coldBurst is how long after its first request a model still counts as cold: the
	// requests that come meanwhile wait for the same load.
	coldBurst = 2 * time.Second
)

// Arrival is one scheduled request.
type Arrival struct {
	Number  int
	At      time.Duration // after the start
	Work    *Work
	Model   string
	Adapter string
	Tokens  int
	Key     string // Idempotency-Key
	Target  int    // index of the entry
	Crest   bool   // it comes in the crest
	Wake    bool   // it belongs to a wake-up
	Cold    bool   // its model was quiet before
}

// Name is the model's name in a request, with the adapter.
func (a *Arrival) Name() string {
	if a.Adapter == "" {
		return a.Model
	}
	return a.Model + ":" + a.Adapter
}

// scheduler draws the arrivals of a run. Equal seeds give equal arrivals.
type scheduler struct {
	rng      *rand.Rand
	shape    Shape
	mix      Mix
	targets  int
	models   map[string][]string // work to the models that it may use, most wanted first
	adapters map[string][]string // by model
	weights  float64
	list     []*Arrival
}

// Schedule draws the arrivals of a run against the models of an applied file.
func Schedule(shape Shape, mix Mix, spec *wire.Spec, targets int) ([]*Arrival, error) {
	if shape.Duration <= 0 || shape.Rate <= 0 || targets < 1 {
		return nil, errors.New("a run needs a duration, a rate and targets")
	}
	if shape.Requests <= 0 || shape.Requests > maxArrivals {
		shape.Requests = maxArrivals
	}
	s := &scheduler{
		rng: rand.New(rand.NewPCG(shape.Seed, 0)), shape: shape, mix: mix, targets: targets,
		models: map[string][]string{}, adapters: map[string][]string{},
	}
	if err := s.resolve(spec); err != nil {
		return nil, err
	}
	s.drawArrivals()
	s.drawWakes()
	s.finish()
	return s.list, nil
}

// resolve finds the models and adapters that each work may use.
func (s *scheduler) resolve(spec *wire.Spec) error {
	for _, a := range spec.GetAdapters() {
		s.adapters[a.Model] = append(s.adapters[a.Model], a.Name)
	}
	for _, w := range s.mix.Works {
		s.weights += w.Weight
		if w.Service != "" {
			continue
		}
		for _, pattern := range w.Models {
			s.models[w.Name] = append(s.models[w.Name], matching(spec, pattern)...)
		}
		if len(s.models[w.Name]) == 0 {
			return errors.Errorf("the applied file has no model for %s", w.Name)
		}
	}
	return nil
}

func matching(spec *wire.Spec, pattern string) []string {
	prefix, open := strings.CutSuffix(pattern, "*")
	var names []string
	for _, m := range spec.GetModels() {
		if m.Name == pattern || open && strings.HasPrefix(m.Name, prefix) {
			names = append(names, m.Name)
		}
	}
	return names
}

// drawArrivals draws Poisson arrivals whose rate follows the shape, by thinning those
// of the highest rate.
func (s *scheduler) drawArrivals() {
	factor := max(1, s.shape.CrestFactor)
	highest := s.shape.Rate * factor
	for at := s.gap(highest); at < s.shape.Duration && len(s.list) < s.shape.Requests; at += s.gap(highest) {
		if !s.isCrest(at) && s.rng.Float64()*factor >= 1 {
			continue
		}
		s.add(at, s.drawWork(), "")
	}
}

func (s *scheduler) gap(rate float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
}

func (s *scheduler) isCrest(at time.Duration) bool {
	return s.shape.CrestFactor > 1 && at >= s.shape.CrestAt && at < s.shape.CrestAt+s.shape.CrestFor
}

// drawWakes adds bursts for models drawn evenly, so that mostly quiet ones are met.
func (s *scheduler) drawWakes() {
	works := s.shortWorks()
	if s.shape.WakeEvery <= 0 || s.shape.WakeSize <= 0 || len(works) == 0 {
		return
	}
	rate := float64(time.Second) / float64(s.shape.WakeEvery)
	for at := s.gap(rate); at < s.shape.Duration; at += s.gap(rate) {
		w := works[s.rng.IntN(len(works))]
		names := s.models[w.Name]
		model := names[s.rng.IntN(len(names))]
		for range s.shape.WakeSize {
			if len(s.list) >= s.shape.Requests {
				return
			}
			a := s.add(at+time.Duration(s.rng.Float64()*float64(s.shape.WakeSpan)), w, model)
			a.Wake = true
		}
	}
}

func (s *scheduler) shortWorks() []*Work {
	var works []*Work
	for i := range s.mix.Works {
		if w := &s.mix.Works[i]; w.Service == "" && !w.Long {
			works = append(works, w)
		}
	}
	return works
}

func (s *scheduler) drawWork() *Work {
	left := s.rng.Float64() * s.weights
	for i := range s.mix.Works {
		left -= s.mix.Works[i].Weight
		if left < 0 {
			return &s.mix.Works[i]
		}
	}
	return &s.mix.Works[len(s.mix.Works)-1]
}

// add draws the rest of an arrival; with an empty model that as well.
func (s *scheduler) add(at time.Duration, w *Work, model string) *Arrival {
	a := &Arrival{At: at, Work: w, Model: model, Target: s.rng.IntN(s.targets), Crest: s.isCrest(at)}
	s.list = append(s.list, a)
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

// drawModel takes the n-th model with a probability that falls as 1/n: few models are
// called often and most rarely.
func (s *scheduler) drawModel(names []string) string {
	sum := 0.0
	for n := range names {
		sum += 1 / float64(n+1)
	}
	left := s.rng.Float64() * sum
	for n, name := range names {
		left -= 1 / float64(n+1)
		if left < 0 {
			return name
		}
	}
	return names[len(names)-1]
}

// finish sorts and numbers the arrivals and marks those that find a cold model.
func (s *scheduler) finish() {
	slices.SortStableFunc(s.list, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
	last := map[string]time.Duration{}
	coldFrom := map[string]time.Duration{}
	for n, a := range s.list {
		a.Number = n
		if a.Work.Keyed {
			a.Key = fmt.Sprintf("load-%d-%d", s.shape.Seed, n)
		}
		if a.Model == "" {
			continue
		}
		before, called := last[a.Model]
		if !called || a.At-before >= s.shape.ColdAfter {
			coldFrom[a.Model] = a.At
		}
		last[a.Model] = a.At
		a.Cold = a.At-coldFrom[a.Model] < coldBurst
	}
}
