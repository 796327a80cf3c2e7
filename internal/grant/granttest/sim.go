// Package granttest drives a grant.Core in virtual time against a simple model of runners:
// slots, a slowdown that grows with the batch, slow phases and model loads. It is meant
// for comparing policies only.
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

// Workload is one source of requests.
type Workload struct {
	Name      string
	Models    []string
	Callers   int // number of callers that send in turn; 0 counts as 1
	Class     wire.Class
	Rate      float64 // requests a second
	Burst     int     // requests sent at once at From, in addition to the rate
	Tokens    int     // mean length of the answers, uniform from half to one and a half of it
	MaxTokens int     // max_tokens of the requests; 0: unknown
	Deadline  time.Duration
	From      Time
	Until     Time // 0: the end of the run
	Prefixes  int  // number of prompt prefixes for each model; 0: none
}

// SlowPhase makes one runner slower for a while.
type SlowPhase struct {
	Runner int
	From   Time
	Until  Time
	Factor float64
}

// Load makes a model ready on a runner some time after its first demand.
type Load struct {
	Model    string
	Runner   int
	Duration time.Duration
}

// Config describes one run.
type Config struct {
	Seed       uint64
	Settings   grant.Settings
	Duration   Time
	Warmup     Time // requests that arrive before it are not counted
	Runners    int
	Slots      int
	FirstToken time.Duration // time to the first token of an attempt that runs alone
	TokenGap   time.Duration // time between tokens of an attempt that runs alone
	Slowdown   float64       // growth of both for each further attempt on the runner
	Models     [][]string    // models ready on each runner from the start
	Workloads  []Workload
	SlowPhases []SlowPhase
	Loads      []Load
	// Direct replaces the core by entries that choose runners directly; nil uses the core.
	Direct *Direct
}

// MessageDelay is the one-way time of a message between an entry and the scheduler.
const MessageDelay = time.Millisecond

// ReportInterval is the time between two load reports of a runner.
const ReportInterval = 500 * time.Millisecond

// EntryCount is the number of entries that requests are spread over.
const EntryCount = 8

// Result holds the measurements of a run.
type Result struct {
	Workloads map[string]*WorkloadResult
	// MaxInFlight is the highest number of attempts in flight on one runner.
	MaxInFlight int
	Hedges      int
	CacheHits   int
	// CompletedWork is the work of the answers completed in time after the warm-up, in tokens
	// at the speed of an attempt that runs alone.
	CompletedWork float64
}

// WorkloadResult counts the requests of one workload.
type WorkloadResult struct {
	Requests  int
	Completed int // completed within the deadline
	TimedOut  int // timed out at the deadline
	Refused   map[errkind.Kind]int
	// Latency holds the times from the requests to their last tokens. A request that timed
	// out counts with its deadline.
	Latency    []time.Duration
	Wait       []time.Duration // from the request to the start on a runner
	FirstToken []time.Duration // from the request to the first token, of completed answers
	// InTarget counts the completed answers whose first token came within TargetFirstToken
	// of their start and whose mean time between tokens was at most TargetGap.
	InTarget int
	// RefusedAfter holds the times from the requests to their refusals.
	RefusedAfter []time.Duration
}

// job is one request of a workload.
type job struct {
	workload *Workload
	req      grant.SlotRequest
	arrived  Time
	tokens   int
	runs     []*run
	started  bool
	ended    bool
}

// Sim is the state of one run.
type Sim struct {
	cfg        Config
	rng        *rand.Rand
	core       *grant.Core
	now        Time
	events     eventHeap
	eventCount int
	runners    []*runner
	jobs       map[string]*job // by attempt
	lastID     int
	nextTick   Time
	loading    map[string]bool
	result     Result
}

// Run runs a configuration to its end and returns the measurements.
func Run(cfg Config) Result {
	s := &Sim{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		jobs:     map[string]*job{},
		loading:  map[string]bool{},
		result:   Result{Workloads: map[string]*WorkloadResult{}},
		nextTick: -1,
	}
	s.core = grant.New(grant.Options{Settings: cfg.Settings, Seed: cfg.Seed})
	s.start()
	for len(s.events.items) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > cfg.Duration {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *Sim) start() {
	s.step(grant.SpecChanged{Spec: s.spec()})
	for i := range s.cfg.Runners {
		r := &runner{sim: s, id: fmt.Sprintf("u%02d", i), slowFactor: 1}
		r.cache.runner = r
		s.runners = append(s.runners, r)
		if i < len(s.cfg.Models) {
			r.models = s.cfg.Models[i]
		}
		s.at(ReportInterval*time.Duration(i)/time.Duration(s.cfg.Runners), r.report)
	}
	for _, p := range s.cfg.SlowPhases {
		s.at(p.From, func() { s.runners[p.Runner].setSlow(p.Factor) })
		s.at(p.Until, func() { s.runners[p.Runner].setSlow(1) })
	}
	for i := range s.cfg.Workloads {
		x := &s.cfg.Workloads[i]
		s.result.Workloads[x.Name] = &WorkloadResult{Refused: map[errkind.Kind]int{}}
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
	for _, x := range s.cfg.Workloads {
		for _, m := range x.Models {
			if !named[m] {
				named[m] = true
				spec.Models = append(spec.Models, &wire.Model{Name: m, Version: "1", Replicas: 9})
			}
		}
	}
	return spec
}

func (s *Sim) nextArrival(x *Workload, after Time) {
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

func (s *Sim) arrive(x *Workload) {
	s.lastID++
	j := &job{workload: x, arrived: s.now, tokens: max(1, x.Tokens/2+s.rng.IntN(x.Tokens+1))}
	j.req = grant.SlotRequest{
		Attempt:   fmt.Sprintf("a%d", s.lastID),
		Request:   fmt.Sprintf("r%d", s.lastID),
		Entry:     fmt.Sprintf("e%d", s.rng.IntN(EntryCount)),
		Caller:    fmt.Sprintf("%s-%d", x.Name, s.lastID%max(1, x.Callers)),
		Model:     x.Models[s.rng.IntN(len(x.Models))],
		Class:     x.Class,
		Deadline:  s.now + x.Deadline,
		MaxTokens: x.MaxTokens,
	}
	if x.Prefixes > 0 {
		j.req.PrefixHash = fmt.Sprintf("%s/%d", j.req.Model, s.rng.IntN(x.Prefixes))
	}
	if s.counted(j) {
		s.result.Workloads[x.Name].Requests++
	}
	s.at(j.req.Deadline, func() { s.timeOut(j) })
	if s.cfg.Direct != nil {
		s.sendDirect(j)
		return
	}
	s.jobs[j.req.Attempt] = j
	s.at(s.now+MessageDelay, func() { s.step(j.req) })
}

func (s *Sim) counted(j *job) bool { return j.arrived >= s.cfg.Warmup }

// step passes an event to the core and performs the resulting actions.
func (s *Sim) step(ev grant.Event) {
	if s.cfg.Direct != nil {
		return
	}
	for _, a := range s.core.Step(s.now, ev) {
		switch a := a.(type) {
		case grant.Grant:
			s.at(s.now+MessageDelay, func() { s.granted(a) })
		case grant.Refuse:
			s.at(s.now+MessageDelay, func() { s.refused(a) })
		}
	}
	s.startLoads()
	if next, ok := s.core.NextTick(s.now); ok && (s.nextTick < 0 || next < s.nextTick) {
		s.nextTick = next
		s.at(next, func() {
			s.nextTick = -1
			s.step(grant.Tick{})
		})
	}
}

// startLoads starts the configured loads of models that attempts wait for.
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
			s.at(s.now+l.Duration, func() {
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
		s.at(s.now+MessageDelay, func() {
			s.step(grant.Release{Attempt: g.Attempt, Outcome: wire.Outcome_OUTCOME_UNUSED})
		})
		return
	}
	s.markStarted(j)
	x := &run{attempt: g.Attempt, job: j, started: s.now}
	j.runs = append(j.runs, x)
	s.runnerOf(g.Upstream).begin(x)
	if g.HedgeAfter > 0 {
		s.at(s.now+g.HedgeAfter, func() { s.hedge(j, x) })
	}
	x.slowAfter = max(progressInterval, 2*g.HedgeAfter)
	s.at(s.now+progressInterval, func() { s.watch(x, 0, 0) })
}

// progressInterval is the time between two checks of a running attempt by its entry.
const progressInterval = 250 * time.Millisecond

// slowGapFactor is the growth of the time between tokens from which an entry reports it.
const slowGapFactor = 2

// watch reports an attempt whose first token or whose next tokens are late. It compares the
// work since the last check, at which lastWork was done, with bestWork, the most work
// between two earlier checks.
func (s *Sim) watch(x *run, lastWork float64, bestWork float64) {
	if x.ended || x.job.ended {
		return
	}
	hasFirst := x.runner.hasFirstToken(x)
	recent := x.workDone - lastWork
	gap := time.Duration(float64(progressInterval) / max(recent, 0.01))
	switch {
	case !hasFirst && s.now-x.started >= x.slowAfter:
		s.step(grant.Progress{Attempt: x.attempt, Waited: s.now - x.started})
	case hasFirst && bestWork > 0 && recent < bestWork/slowGapFactor:
		s.step(grant.Progress{Attempt: x.attempt, Waited: gap, Gap: gap})
	case hasFirst:
		bestWork = max(bestWork, recent)
	}
	lastWork = x.workDone
	s.at(s.now+progressInterval, func() { s.watch(x, lastWork, bestWork) })
}

func (s *Sim) markStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	if s.counted(j) {
		r := s.result.Workloads[j.workload.Name]
		r.Wait = append(r.Wait, s.now-j.arrived)
	}
}

func (s *Sim) hedge(j *job, first *run) {
	if j.ended || first.ended || first.runner.hasFirstToken(first) {
		return
	}
	s.lastID++
	req := j.req
	req.Attempt = fmt.Sprintf("a%d", s.lastID)
	req.Hedge = true
	req.Exclude = []string{first.runner.id}
	s.jobs[req.Attempt] = j
	s.result.Hedges++
	s.at(s.now+MessageDelay, func() { s.step(req) })
}

func (s *Sim) refused(f grant.Refuse) {
	j := s.jobs[f.Attempt]
	delete(s.jobs, f.Attempt)
	if f.Attempt != j.req.Attempt || j.ended {
		return // a hedge, or a request that has ended
	}
	j.ended = true
	if s.counted(j) {
		r := s.result.Workloads[j.workload.Name]
		r.Refused[f.Kind]++
		r.RefusedAfter = append(r.RefusedAfter, s.now-j.arrived)
	}
}

// timeOut ends a request whose deadline has passed.
func (s *Sim) timeOut(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	if s.counted(j) {
		r := s.result.Workloads[j.workload.Name]
		r.TimedOut++
		r.Latency = append(r.Latency, j.workload.Deadline)
	}
	for _, x := range j.runs {
		x.runner.cancel(x)
	}
	if s.jobs[j.req.Attempt] == j {
		s.step(grant.Cancel{Attempt: j.req.Attempt})
	}
}

// complete ends a request with a complete answer from one of its runs.
func (s *Sim) complete(x *run) {
	j := x.job
	if j.ended {
		return
	}
	j.ended = true
	if s.now >= s.cfg.Warmup {
		s.result.CompletedWork += s.cfg.firstWork() + float64(j.tokens)
	}
	if s.counted(j) {
		r := s.result.Workloads[j.workload.Name]
		r.Completed++
		r.Latency = append(r.Latency, s.now-j.arrived)
		r.FirstToken = append(r.FirstToken, x.firstAt-j.arrived)
		gap := (s.now - x.firstAt) / time.Duration(max(1, j.tokens-1))
		if gap <= s.cfg.Settings.TargetGap && x.firstAt-x.started <= s.cfg.Settings.TargetFirstToken {
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

// event is a function that runs at a point in time.
type event struct {
	at    Time
	order int
	run   func()
}

func (s *Sim) at(at Time, run func()) {
	s.eventCount++
	heap.Push(&s.events, event{max(at, s.now), s.eventCount, run})
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
