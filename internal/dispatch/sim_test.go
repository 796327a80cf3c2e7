package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gentiankeel/internal/pace"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// The simulation is a small model of runners with continuous batching, of some entries that place requests
// on them, and of a coordinator that publishes loads. A step of a runner decodes a token of each
// running stream and reads at most one chunk of a waiting prompt.

// simEngine is the engine of the simulated runners.
type simEngine struct {
	slots          int
	step           time.Duration // for a token
	batchSlope     float64       // share of it that each other stream adds
	tokensPerMs    float64       // read
	chunk          int           // tokens read in a step
	tokensPerEvent int
}

var smallEngine = simEngine{slots: 16, step: 8200 * time.Microsecond, batchSlope: 0.005, tokensPerMs: 25.8, chunk: 2048, tokensPerEvent: 5}

type simStream struct {
	id        uint64
	entry     int
	unread    int // prompt tokens
	left      int // output tokens
	untilNext int // tokens of the next event
	lastEvent time.Duration
	arrived   time.Duration
	deadline  time.Duration
	prompt    int
	output    int
	bound     int // on the output, as its caller says
	hint      int
	firstIn   time.Duration // until the first event; 0: none yet
	maxGap    time.Duration
	late      int // gaps over the target
	gaps      int
	runner    *simRunner
	ended     time.Duration // 0: it was not served
	refused   bool
	request   SlotRequest
	retryAt   time.Duration // after a full runner refused it
	gone      bool          // its caller left without an event
}

type simRunner struct {
	id      string
	factor  float64 // time for the same work
	running []*simStream
	stepEnd time.Duration
	// slowUntil is the end of a slow phase caused by a neighbour, nextPhase the start of the next one.
	slowUntil, nextPhase time.Duration
	reading              *simStream // whose prompt the current step reads
	chunk                int
}

type simOptions struct {
	engine    simEngine
	factors   []float64 // of the runners
	entries   int
	load      float64 // share of the capacity
	phases    bool    // runners are slow for moments
	duration  time.Duration
	leave     bool          // callers leave if no event comes for their patience
	latency   time.Duration // target of the route; 0: 500 ms
	noTargets bool          // routes have no targets, so that prompts are not bounded
	noPaces   bool          // factors are not published
	loadsEnd  time.Duration // when the coordinator is gone; 0: never
	change    func(s *sim)  // called each millisecond
	newStream func(rng *rand.Rand) *simStream
	tune      func(s *Settings)
	seed      uint64
}

type sim struct {
	o       simOptions
	rng     *rand.Rand
	now     time.Duration
	cores   []*Core
	fleet   *pace.Fleet
	loads   []map[string]*wire.UpstreamLoad // by entry
	runners map[string]*simRunner
	order   []*simRunner
	streams map[uint64]*simStream
	all     []*simStream
	retries []*simStream
	patient int // streams whose callers' patience is over
	full    int // attempts that a full runner refused
}

func meanStream(rng *rand.Rand) *simStream {
	prompt := min(400+int(rng.ExpFloat64()*600), 3800)
	output := min(20+int(rng.ExpFloat64()*100), 600)
	return &simStream{prompt: prompt, output: output, bound: output + 20 + rng.IntN(200), hint: max(1, int(float64(output)*(0.7+0.6*rng.Float64())))}
}

func newSim(o simOptions) *sim {
	s := &sim{o: o, rng: rand.New(rand.NewPCG(7, o.seed)), fleet: pace.NewFleet(), runners: map[string]*simRunner{}, streams: map[uint64]*simStream{}}
	if s.o.newStream == nil {
		s.o.newStream = meanStream
	}
	var states []*wire.UpstreamState
	for i, f := range o.factors {
		r := &simRunner{id: fmt.Sprintf("r%03d", i), factor: f}
		s.runners[r.id] = r
		s.order = append(s.order, r)
		states = append(states, &wire.UpstreamState{Id: r.id, BornUnixMs: 1, Sequence: 1, Service: llm, Address: r.id + ":1", Zone: "a",
			Slots: uint32(o.engine.slots), Number: uint32(i + 1), Phase: wire.UpstreamPhase_PHASE_READY, Models: []*wire.HeldModel{{Name: "m"}}})
	}
	engine := &routing.Engine{Slots: o.engine.slots, Models: []routing.Model{{Name: "m"}}}
	for i := range o.entries {
		settings := DefaultSettings()
		if o.tune != nil {
			o.tune(&settings)
		}
		c := New(Options{Settings: settings, Zone: "a", Seed: uint64(i)})
		c.SetConfig(0, &routing.Config{Version: 1, Services: []routing.Service{{Name: llm, Engine: engine}}})
		c.Apply(0, &wire.FleetUpdate{Term: 1, Snapshot: true, Upstreams: states})
		s.cores = append(s.cores, c)
		s.loads = append(s.loads, map[string]*wire.UpstreamLoad{})
	}
	return s
}

// rate returns the streams a millisecond at the load: a runner of factor 1 with 11 streams serves one in the time of
// its prompt and its share of the steps.
func (s *sim) rate() float64 {
	speed := 0.0
	for _, f := range s.o.factors {
		speed += 1 / f
	}
	e := s.o.engine
	const batch, prompt, output = 11, 990, 118
	step := e.step.Seconds() * 1000 * (1 + e.batchSlope*(batch-1))
	return s.o.load * speed / (output*step/batch + prompt/e.tokensPerMs)
}

func (s *sim) run() {
	next := 0.0
	rate := s.rate()
	for s.now < s.o.duration {
		s.now += ms
		if s.o.change != nil {
			s.o.change(s)
		}
		for next += rate; next >= 1; next-- {
			s.submit()
		}
		for len(s.retries) > 0 && s.retries[0].retryAt <= s.now {
			st := s.retries[0]
			s.retries = s.retries[1:]
			s.apply(st.entry, s.cores[st.entry].Submit(s.now, st.request))
		}
		if s.o.leave && s.now%(10*ms) == 0 {
			s.leave()
		}
		for _, r := range s.order {
			s.advance(r)
		}
		if s.now%(50*ms) == 0 {
			for i, c := range s.cores {
				s.apply(i, c.Tick(s.now))
			}
			if s.o.loadsEnd == 0 || s.now < s.o.loadsEnd {
				s.exchangeLoads()
			}
		}
	}
}

// leave ends the streams whose callers have waited for a first event for too long.
func (s *sim) leave() {
	for ; s.patient < len(s.all) && s.now-s.all[s.patient].arrived >= s.all[s.patient].request.patience(); s.patient++ {
		st := s.all[s.patient]
		if st.firstIn > 0 || st.refused || st.ended > 0 {
			continue
		}
		st.gone = true
		c := s.cores[st.entry]
		s.retries = slices.DeleteFunc(s.retries, func(o *simStream) bool { return o == st })
		s.apply(st.entry, c.Cancel(s.now, st.id))
		if st.runner != nil {
			st.runner.running = slices.DeleteFunc(st.runner.running, func(o *simStream) bool { return o == st })
			s.apply(st.entry, c.Release(s.now, st.id, Cancelled))
		}
	}
}

func (s *sim) submit() {
	st := s.o.newStream(s.rng)
	st.id, st.entry = uint64(len(s.all)+1), s.rng.IntN(len(s.cores))
	st.arrived, st.deadline = s.now, s.now+12*time.Second
	st.unread, st.left = st.prompt, st.output
	st.untilNext = min(s.o.engine.tokensPerEvent, st.left)
	s.all = append(s.all, st)
	s.streams[st.id] = st
	r := SlotRequest{ID: st.id, Service: llm, Model: "m", PromptTokens: st.prompt, OutputTokens: st.hint, OutputBound: st.bound, Hinted: true, Route: "x",
		Deadline: st.deadline, MinServeTime: 150 * ms, Streams: true, GapTarget: 300 * ms, LatencyTarget: 500 * ms}
	if s.o.latency > 0 {
		r.LatencyTarget = s.o.latency
	}
	if s.o.noTargets {
		r.GapTarget, r.LatencyTarget = 0, 0
	}
	st.request = r
	s.apply(st.entry, s.cores[st.entry].Submit(s.now, r))
}

func (s *sim) apply(entry int, list []Decision) {
	for _, d := range slices.Clone(list) {
		st := s.streams[d.RequestID]
		if d.Target == nil {
			st.refused = true
			continue
		}
		if r := s.runners[d.Target.ID]; len(r.running) >= s.o.engine.slots {
			s.full++
			s.apply(entry, s.cores[entry].Release(s.now, st.id, Refused))
			st.retryAt = s.now + 10*ms
			s.retries = append(s.retries, st)
			continue
		}
		st.runner = s.runners[d.Target.ID]
		st.runner.running = append(st.runner.running, st)
	}
}

// advance ends the runner's step, if it is over, and begins the next one.
func (s *sim) advance(r *simRunner) {
	if s.now < r.stepEnd {
		return
	}
	if r.stepEnd > 0 {
		s.endStep(r)
	}
	r.stepEnd, r.reading = 0, nil
	r.running = slices.DeleteFunc(r.running, func(st *simStream) bool {
		if s.now < st.deadline {
			return false
		}
		s.apply(st.entry, s.cores[st.entry].Release(s.now, st.id, Cancelled))
		return true
	})
	if len(r.running) == 0 {
		return
	}
	e := s.o.engine
	step := e.step.Seconds() * 1000 * (1 + e.batchSlope*float64(len(r.running)-1))
	for _, st := range r.running {
		if st.unread > 0 {
			r.reading, r.chunk = st, min(st.unread, e.chunk)
			step += float64(r.chunk) / e.tokensPerMs
			break
		}
	}
	if s.o.phases {
		s.startPhase(r)
	}
	if s.now < r.slowUntil {
		step *= 2.5
	}
	r.stepEnd = s.now + time.Duration(step*r.factor*float64(ms))
}

// startPhase begins a slow phase of 0.6 s every 4 s at the mean.
func (s *sim) startPhase(r *simRunner) {
	if s.now < r.nextPhase {
		return
	}
	if r.nextPhase > 0 {
		r.slowUntil = s.now + 600*ms
	}
	r.nextPhase = s.now + 600*ms + time.Duration(s.rng.ExpFloat64()*3.4*float64(time.Second))
}

func (s *sim) endStep(r *simRunner) {
	for _, st := range slices.Clone(r.running) {
		if st == r.reading {
			st.unread -= r.chunk
			continue
		}
		if st.unread > 0 {
			continue
		}
		st.left--
		if st.untilNext--; st.untilNext > 0 {
			continue
		}
		s.event(st)
	}
}

func (s *sim) event(st *simStream) {
	gap := s.now - st.lastEvent
	if st.firstIn == 0 {
		st.firstIn, gap = s.now-st.arrived, 0
	} else {
		st.maxGap = max(st.maxGap, gap)
		st.gaps++
		if gap > 300*ms {
			st.late++
		}
	}
	st.lastEvent = s.now
	s.apply(st.entry, s.cores[st.entry].RecordEvent(s.now, st.id, gap))
	st.untilNext = min(s.o.engine.tokensPerEvent, st.left)
	if st.left <= 0 {
		st.ended = s.now
		r := st.runner
		r.running = slices.DeleteFunc(r.running, func(o *simStream) bool { return o == st })
		s.apply(st.entry, s.cores[st.entry].Release(s.now, st.id, Served))
	}
}

// exchangeLoads is the coordinator.
func (s *sim) exchangeLoads() {
	sums := map[string]*wire.UpstreamLoad{}
	contenders := 0
	for _, c := range s.cores {
		if c.Waiting() > 0 {
			contenders++
		}
		for _, l := range c.Report(s.now).Loads {
			sum := sums[l.Upstream]
			if sum == nil {
				sum = &wire.UpstreamLoad{}
				sums[l.Upstream] = sum
			}
			sum.Running += l.Running
			sum.PrefillTokens += l.PrefillTokens
			sum.KvTokens += l.KvTokens
		}
		for _, p := range c.TakePaces(s.now) {
			s.fleet.Add(s.now, p.Number, llm, "", p.Model, pace.Sums{Gaps: int(p.Gaps), Time: time.Duration(p.GapsMs) * ms, Work: float64(p.Work) / 1000})
		}
	}
	var paces map[uint32]uint32
	if !s.o.noPaces && s.now%time.Second == 0 {
		paces = s.fleet.Update(s.now)
	}
	loads := &wire.FleetLoads{}
	for i, r := range s.order {
		sum := sums[r.id]
		loads.Upstreams = append(loads.Upstreams, uint32(i+1))
		loads.Running = append(loads.Running, sum.GetRunning())
		loads.PrefillUnits = append(loads.PrefillUnits, wire.Units(int(sum.GetPrefillTokens()), wire.PrefillUnit))
		loads.KvUnits = append(loads.KvUnits, wire.Units(int(sum.GetKvTokens()), wire.KVUnit))
		loads.Contenders = append(loads.Contenders, wire.PowerOfTwo(contenders))
		loads.Pace = append(loads.Pace, paces[uint32(i+1)])
	}
	for i, c := range s.cores {
		s.apply(i, c.Apply(s.now, &wire.FleetUpdate{Loads: loads, ReportMs: 50}))
	}
}

// result sums up streams.
type result struct {
	requests, served, refused int
	gone                      int // left by their callers
	inTarget                  int // served, the first event within the latency target
	gaps, lateGaps            int
	lateStreams               int
	first                     []time.Duration
}

// resultOf sums up the streams that arrived after a time and that a filter selects.
func (s *sim) resultOf(from time.Duration, keep func(st *simStream) bool) result {
	var r result
	for _, st := range s.all {
		if st.arrived < from || st.deadline > s.o.duration || !keep(st) {
			continue
		}
		r.requests++
		r.gaps += st.gaps
		r.lateGaps += st.late
		if st.late > 0 {
			r.lateStreams++
		}
		if st.ended > 0 {
			r.served++
		}
		if st.refused {
			r.refused++
		}
		if st.gone {
			r.gone++
		}
		if st.ended > 0 && st.firstIn <= st.request.LatencyTarget {
			r.inTarget++
		}
		if st.firstIn > 0 {
			r.first = append(r.first, st.firstIn)
		}
	}
	slices.Sort(r.first)
	return r
}

// firstEvent returns a percentile of the times to the first event.
func (r result) firstEvent(percent int) time.Duration {
	if len(r.first) == 0 {
		return 0
	}
	return r.first[min(len(r.first)-1, len(r.first)*percent/100)]
}

func (r result) String() string {
	return fmt.Sprintf("requests %d served %d (%d in target) refused %d left %d, late gaps %d of %d in %d streams, first event p50 %v p95 %v", r.requests, r.served, r.inTarget, r.refused, r.gone, r.lateGaps, r.gaps, r.lateStreams,
		r.firstEvent(50), r.firstEvent(95))
}

// thirds returns the factors 1/1.6, 1 and 1/0.6 for n runners each.
func thirds(n int) []float64 {
	var out []float64
	for range n {
		out = append(out, 1/1.6, 1, 1/0.6)
	}
	return out
}
