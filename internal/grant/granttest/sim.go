// Package granttest drives a grant.Core in virtual time against a small model of
// runners: slots, a slowdown that grows with the batch, slow phases and model loads. It
// is a stand-in at the core's interface for comparing policies, nothing else.
package granttest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/grant"
	"gentiankeel/internal/wire"
)

// Time is virtual time since the start of a run.
type Time = time.Duration

// Stream is one source of requests.
type Stream struct {
	Name     string
	Models   []string
	Callers  int // number of callers that send in turn; 0 counts as 1
	Class    wire.Class
	Rate     float64 // requests a second
	Burst    int     // requests sent at once at From, besides the rate
	Tokens   int     // mean length of the answers, spread by half to both sides
	Asked    int     // max_tokens of the requests; 0: unknown
	Deadline time.Duration
	From     Time
	Until    Time // 0: the end of the run
	Prefixes int  // different prompt prefixes for each model; 0: none
}

// SlowPhase makes one runner slower for a while.
type SlowPhase struct {
	Runner int
	From   Time
	Until  Time
	Factor float64
}

// Load is a model that becomes ready on a runner some time after its first demand.
type Load struct {
	Model  string
	Runner int
	Takes  time.Duration
}

// Config describes one run.
type Config struct {
	Seed     uint64
	Settings grant.Settings
	Duration Time
	Warmup   Time // requests that come before it are not counted
	Runners  int
	Slots    int
	First    time.Duration // time to the first token of an attempt that runs alone
	Gap      time.Duration // time between tokens of an attempt that runs alone
	Slowdown float64       // growth of both for each further attempt on the runner
	Models   [][]string    // models ready on each runner from the start
	Streams  []Stream
	Slow     []SlowPhase
	Loads    []Load
	// Alone lets entries choose by late load reports, without a core.
	Alone *Alone
}

// Hop is the time of a message between an entry and the scheduler, one way.
const Hop = time.Millisecond

// ReportInterval is the time between two load reports of a runner.
const ReportInterval = 500 * time.Millisecond

// Entries is the number of entries that requests are spread over.
const Entries = 8

// Result is what was measured in a run.
type Result struct {
	Streams map[string]*StreamResult
	// Peak is the most attempts in flight seen on one runner.
	Peak      int
	Hedges    int
	CacheHits int
	// GoodWork is the work, in tokens of lone speed, of the answers that ended whole and
	// in time after the warm-up.
	GoodWork float64
}

// StreamResult counts the requests of one stream.
type StreamResult struct {
	Asked   int
	Good    int // answered whole within the deadline
	Late    int // given up at the deadline while running
	Refused map[errkind.Kind]int
	// Latency holds the times from the requests to their last tokens; a late one counts
	// with its deadline.
	Latency []time.Duration
	Wait    []time.Duration // from the request to the start on a runner
	First   []time.Duration // of good answers, from the request to the first token
	// InTarget counts the good answers whose first token came within TargetFirstToken of
	// their start and whose tokens came within TargetGap of each other on average.
	InTarget int
	// RefusedAfter holds the times from the requests to their refusals.
	RefusedAfter []time.Duration
}

// job is one request of a stream.
type job struct {
	stream *Stream
	ask    grant.Ask
	at     Time
	tokens int
	runs   []*run
	began  bool
	ended  bool
}

// Sim is one run in virtual time.
type Sim struct {
	cfg     Config
	rng     *rand.Rand
	core    *grant.Core
	now     Time
	events  eventHeap
	order   int
	runners []*runner
	jobs    map[string]*job // by attempt
	count   int
	tickAt  Time
	loading map[string]bool
	result  Result
}

// Run plays a configuration to its end.
func Run(cfg Config) Result {
	s := &Sim{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		jobs:    map[string]*job{},
		loading: map[string]bool{},
		result:  Result{Streams: map[string]*StreamResult{}},
		tickAt:  -1,
	}
	s.core = grant.New(grant.Options{Settings: cfg.Settings, Seed: cfg.Seed})
	s.start()
	for len(s.events.items) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > cfg.Duration {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.result
}

func (s *Sim) start() {
	s.step(grant.SpecChanged{Spec: s.spec()})
	for i := range s.cfg.Runners {
		r := &runner{sim: s, id: fmt.Sprintf("u%02d", i), slow: 1}
		r.cache.runner = r
		s.runners = append(s.runners, r)
		if i < len(s.cfg.Models) {
			r.models = s.cfg.Models[i]
		}
		s.at(ReportInterval*time.Duration(i)/time.Duration(s.cfg.Runners), r.report)
	}
	for _, p := range s.cfg.Slow {
		s.at(p.From, func() { s.runners[p.Runner].setSlow(p.Factor) })
		s.at(p.Until, func() { s.runners[p.Runner].setSlow(1) })
	}
	for i := range s.cfg.Streams {
		x := &s.cfg.Streams[i]
		s.result.Streams[x.Name] = &StreamResult{Refused: map[errkind.Kind]int{}}
		s.at(x.From, func() {
			for range x.Burst {
				s.arrive(x)
			}
		})
		s.nextArrival(x, x.From)
	}
}

func (s *Sim) spec() *wire.Spec {
	named := map[string]bool{}
	spec := &wire.Spec{Limits: &wire.Limits{QueuePerModel: 256}}
	for _, x := range s.cfg.Streams {
		for _, m := range x.Models {
			if !named[m] {
				named[m] = true
				spec.Models = append(spec.Models, &wire.Model{Name: m, Version: "1", Replicas: 9})
			}
		}
	}
	return spec
}

func (s *Sim) nextArrival(x *Stream, after Time) {
	if x.Rate <= 0 {
		return
	}
	at := after + Time(s.rng.ExpFloat64()/x.Rate*float64(time.Second))
	if x.Until > 0 && at > x.Until {
		return
	}
	s.at(at, func() {
		s.arrive(x)
		s.nextArrival(x, at)
	})
}

func (s *Sim) arrive(x *Stream) {
	s.count++
	j := &job{stream: x, at: s.now, tokens: max(1, x.Tokens/2+s.rng.IntN(x.Tokens+1))}
	j.ask = grant.Ask{
		Attempt:   fmt.Sprintf("a%d", s.count),
		Request:   fmt.Sprintf("r%d", s.count),
		Entry:     fmt.Sprintf("e%d", s.rng.IntN(Entries)),
		Caller:    fmt.Sprintf("%s-%d", x.Name, s.count%max(1, x.Callers)),
		Model:     x.Models[s.rng.IntN(len(x.Models))],
		Class:     x.Class,
		Deadline:  s.now + x.Deadline,
		MaxTokens: x.Asked,
	}
	if x.Prefixes > 0 {
		j.ask.PrefixHash = fmt.Sprintf("%s/%d", j.ask.Model, s.rng.IntN(x.Prefixes))
	}
	if s.counted(j) {
		s.result.Streams[x.Name].Asked++
	}
	s.at(j.ask.Deadline, func() { s.giveUp(j) })
	if s.cfg.Alone != nil {
		s.chooseAlone(j)
		return
	}
	s.jobs[j.ask.Attempt] = j
	s.at(s.now+Hop, func() { s.step(j.ask) })
}

func (s *Sim) counted(j *job) bool { return j.at >= s.cfg.Warmup }

// step feeds the core and carries its actions out.
func (s *Sim) step(ev grant.Event) {
	if s.cfg.Alone != nil {
		return
	}
	for _, a := range s.core.Step(s.now, ev) {
		switch a := a.(type) {
		case grant.Grant:
			s.at(s.now+Hop, func() { s.granted(a) })
		case grant.Refuse:
			s.at(s.now+Hop, func() { s.refused(a) })
		}
	}
	s.startLoads()
	if next, ok := s.core.Next(s.now); ok && (s.tickAt < 0 || next < s.tickAt) {
		s.tickAt = next
		s.at(next, func() {
			s.tickAt = -1
			s.step(grant.Tick{})
		})
	}
}

// startLoads begins the configured loads of models that are wanted.
func (s *Sim) startLoads() {
	if len(s.cfg.Loads) == len(s.loading) {
		return
	}
	for _, d := range s.core.Demand(s.now) {
		for _, l := range s.cfg.Loads {
			key := fmt.Sprint(l.Model, l.Runner)
			if l.Model != d.Model || d.Waiting == 0 || s.loading[key] {
				continue
			}
			s.loading[key] = true
			s.at(s.now+l.Takes, func() {
				r := s.runners[l.Runner]
				r.models = append(r.models, l.Model)
				s.step(r.state())
			})
		}
	}
}

func (s *Sim) granted(g grant.Grant) {
	j := s.jobs[g.Attempt]
	delete(s.jobs, g.Attempt)
	if j.ended || len(j.runs) > 0 && j.runs[0].firstAt > 0 {
		s.at(s.now+Hop, func() {
			s.step(grant.Release{Attempt: g.Attempt, Outcome: wire.Outcome_OUTCOME_UNUSED})
		})
		return
	}
	s.began(j)
	x := &run{attempt: g.Attempt, job: j, began: s.now}
	j.runs = append(j.runs, x)
	s.runnerOf(g.Upstream).begin(x)
	if g.HedgeAfter > 0 {
		s.at(s.now+g.HedgeAfter, func() { s.hedge(j, x) })
	}
	x.lateAfter = max(progressInterval, 2*g.HedgeAfter)
	s.at(s.now+progressInterval, func() { s.watch(x, 0, 0) })
}

// progressInterval is the time between two looks of an entry at a running attempt.
const progressInterval = 250 * time.Millisecond

// lateGap is the growth of the time between tokens that an entry reports.
const lateGap = 2

// watch reports an attempt whose first token or whose next tokens are late. It compares
// the tokens since the last look with the pace before.
func (s *Sim) watch(x *run, work float64, pace float64) {
	if x.ended || x.job.ended {
		return
	}
	started := x.runner.firstToken(x)
	done := x.work - work
	gap := time.Duration(float64(progressInterval) / max(done, 0.01))
	switch {
	case !started && s.now-x.began >= x.lateAfter:
		s.step(grant.Progress{Attempt: x.attempt, Waited: s.now - x.began})
	case started && pace > 0 && done < pace/lateGap:
		s.step(grant.Progress{Attempt: x.attempt, Waited: gap, Gap: gap})
	case started:
		pace = max(pace, done)
	}
	work = x.work
	s.at(s.now+progressInterval, func() { s.watch(x, work, pace) })
}

func (s *Sim) began(j *job) {
	if j.began {
		return
	}
	j.began = true
	if s.counted(j) {
		r := s.result.Streams[j.stream.Name]
		r.Wait = append(r.Wait, s.now-j.at)
	}
}

func (s *Sim) hedge(j *job, first *run) {
	if j.ended || first.ended || first.runner.firstToken(first) {
		return
	}
	s.count++
	k := j.ask
	k.Attempt = fmt.Sprintf("a%d", s.count)
	k.Hedge = true
	k.Exclude = []string{first.runner.id}
	s.jobs[k.Attempt] = j
	s.result.Hedges++
	s.at(s.now+Hop, func() { s.step(k) })
}

func (s *Sim) refused(f grant.Refuse) {
	j := s.jobs[f.Attempt]
	delete(s.jobs, f.Attempt)
	if f.Attempt != j.ask.Attempt || j.ended {
		return // a hedge, or a caller that has left
	}
	j.ended = true
	if s.counted(j) {
		r := s.result.Streams[j.stream.Name]
		r.Refused[f.Kind]++
		r.RefusedAfter = append(r.RefusedAfter, s.now-j.at)
	}
}

// giveUp ends a request whose deadline has passed.
func (s *Sim) giveUp(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	if s.counted(j) {
		r := s.result.Streams[j.stream.Name]
		r.Late++
		r.Latency = append(r.Latency, j.stream.Deadline)
	}
	for _, x := range j.runs {
		x.runner.cancel(x)
	}
	if s.jobs[j.ask.Attempt] == j {
		s.step(grant.Cancel{Attempt: j.ask.Attempt})
	}
}

// finished ends a request with a whole answer from one of its runs.
func (s *Sim) finished(x *run) {
	j := x.job
	if j.ended {
		return
	}
	j.ended = true
	if s.now >= s.cfg.Warmup {
		s.result.GoodWork += s.cfg.firstWork() + float64(j.tokens)
	}
	if s.counted(j) {
		r := s.result.Streams[j.stream.Name]
		r.Good++
		r.Latency = append(r.Latency, s.now-j.at)
		r.First = append(r.First, x.firstAt-j.at)
		gap := (s.now - x.firstAt) / time.Duration(max(1, j.tokens-1))
		if gap <= s.cfg.Settings.TargetGap && x.firstAt-x.began <= s.cfg.Settings.TargetFirstToken {
			r.InTarget++
		}
	}
}

func (s *Sim) runnerOf(id string) *runner {
	for _, r := range s.runners {
		if r.id == id {
			return r
		}
	}
	return nil
}

// event is one thing to do at a time.
type event struct {
	at    Time
	order int
	do    func()
}

func (s *Sim) at(at Time, do func()) {
	s.order++
	heap.Push(&s.events, event{max(at, s.now), s.order, do})
}

type eventHeap struct{ items []event }

func (h *eventHeap) Len() int { return len(h.items) }

func (h *eventHeap) Less(i, j int) bool {
	if h.items[i].at != h.items[j].at {
		return h.items[i].at < h.items[j].at
	}
	return h.items[i].order < h.items[j].order
}

func (h *eventHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { h.items = append(h.items, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = event{}
	h.items = h.items[:len(h.items)-1]
	return last
}
