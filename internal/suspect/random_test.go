package suspect

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	simulationSeed  = flag.Uint64("suspect.seed", 1, "first seed of the simulated deployments")
	simulationCount = flag.Int("suspect.count", 20, "simulated deployments of each kind")
)

// A simulation plays requests at several entries, one coordinator and upstreams that lethal requests and
// losses of power end, in steps of simulationStep.
type simulation struct {
	rng       *rand.Rand
	now       Time
	tally     *Tally
	entries   []*Watch
	upstreams []simulatedUpstream
	runs      []*simulatedRun
	events    []simulatedEvent // that are due later
	saved     []Loss
	ends      map[string][]Time
	refused   int // sound requests that were refused
	sound     int // sound requests that began
}

const (
	simulationStep = 10 * time.Millisecond
	simulationTime = 50 * time.Second
)

type simulatedUpstream struct {
	inc   Incarnation
	alive bool
}

type simulatedRun struct {
	entry    int
	upstream int
	request  *Request
	lethal   *lethalSource // nil: sound
	began    Time
	until    Time // when it is answered, or ends its upstream
	attempt  int
}

type simulatedEvent struct {
	at Time
	do func()
}

// lethalSource sends requests that end the upstreams that run them.
type lethalSource struct {
	name     string
	interval time.Duration
	next     func(n int) *Request
	sent     int
}

func (s *simulation) after(d time.Duration, do func()) {
	s.events = append(s.events, simulatedEvent{s.now + d, do})
}

func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

// send begins an attempt of a request at an upstream that is alive, if any, unless it is refused.
func (s *simulation) send(entry int, r *Request, lethal *lethalSource, attempt int) {
	w := s.entries[entry]
	if lethal == nil && attempt == 0 {
		s.sound++
	}
	if left, _ := w.QuarantineLeft(s.now, r.TraitsOn("v1"), false); left > 0 {
		if lethal == nil {
			s.refused++
		} else if left < simulationTime-s.now { // its caller comes back when told
			s.after(left+s.between(0, 50*time.Millisecond), func() { s.send(s.rng.IntN(len(s.entries)), r, lethal, 0) })
		}
		return
	}
	w.BeginRun(s.now, r.TraitsOn("v1"))
	if attempt > 0 && w.IsSuspect(r.Whole()) {
		return
	}
	var alive []int
	for i, u := range s.upstreams {
		if u.alive {
			alive = append(alive, i)
		}
	}
	if len(alive) == 0 {
		return
	}
	run := &simulatedRun{entry: entry, upstream: alive[s.rng.IntN(len(alive))], request: r, lethal: lethal, began: s.now, attempt: attempt}
	run.until = s.now + s.between(30*time.Millisecond, 150*time.Millisecond)
	if lethal != nil {
		run.until = s.now + s.between(time.Millisecond, 40*time.Millisecond)
	}
	s.runs = append(s.runs, run)
}

// end ends an upstream and starts its next incarnation some time later.
func (s *simulation) end(i int) {
	u := &s.upstreams[i]
	if !u.alive {
		return
	}
	u.alive = false
	ended := u.inc
	heard := s.now - s.between(0, 300*time.Millisecond)
	endedAt := s.now
	s.runs = slices.DeleteFunc(s.runs, func(run *simulatedRun) bool {
		if run.upstream != i {
			return false
		}
		s.after(s.between(0, simulationStep), func() {
			loss := LostRun{Incarnation: ended, Traits: run.request.Traits(), Software: "v1", Ran: s.now - run.began}
			s.entries[run.entry].RecordLoss(s.now, loss, 0)
			if run.attempt == 0 {
				s.send(run.entry, run.request, run.lethal, 1)
			}
		})
		return true
	})
	s.after(s.between(300*time.Millisecond, time.Second), func() {
		u.inc.BornUnixMs++
		u.alive = true
		s.tally.Ended(s.now, End{Incarnation: ended, LastHeard: heard, Latest: endedAt + 100*time.Millisecond})
		for _, w := range s.entries {
			w.IncarnationsEnded(ended.Upstream, u.inc.BornUnixMs)
		}
	})
}

// step finishes the runs that are due, and carries reports to the coordinator and suspicions back.
func (s *simulation) step() {
	s.now += simulationStep
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.at <= s.now {
			e.do()
		} else {
			s.events = append(s.events, e)
		}
	}
	for _, run := range slices.Clone(s.runs) {
		if run.until > s.now || !slices.Contains(s.runs, run) {
			continue
		}
		if run.lethal != nil {
			s.ends[run.lethal.name] = append(s.ends[run.lethal.name], s.now)
			s.end(run.upstream)
			continue
		}
		s.runs = slices.DeleteFunc(s.runs, func(o *simulatedRun) bool { return o == run })
		s.entries[run.entry].RecordAnswer(s.now, run.request, s.upstreams[run.upstream].inc, "v1")
	}
	s.report()
}

func (s *simulation) report() {
	s.tally.Advance(s.now)
	for _, w := range s.entries {
		if !w.HasUnreported() || s.rng.IntN(3) == 0 {
			continue
		}
		losses, answers := w.TakeUnreported(s.now)
		for _, l := range losses {
			s.tally.RecordLoss(s.now, l)
		}
		for _, a := range answers {
			s.tally.RecordAnswers(s.now, a)
		}
	}
	s.saved = append(s.saved, s.tally.TakeUnsaved()...)
	if changes := s.tally.TakeChanges(); len(changes) > 0 {
		for _, w := range s.entries {
			s.after(s.between(0, 2*simulationStep), func() { w.Publish(s.now, changes, false) })
		}
	}
}

// takeOver replaces the coordinator by one that knows nothing but what was saved and what entries tell it.
func (s *simulation) takeOver() {
	s.tally = NewTally()
	s.tally.now = s.now // its clock goes on, so that attachTime has passed
	lost := map[Trait][]Incarnation{}
	for _, l := range s.saved {
		lost[l.Trait] = append(lost[l.Trait], l.Incarnation)
	}
	for _, trait := range slices.Sorted(maps.Keys(lost)) {
		s.tally.Restore(trait, lost[trait], s.now)
	}
	for _, w := range s.entries {
		w.Publish(s.now, s.tally.Suspicions(), true)
		for _, l := range w.TakeAll(s.now) {
			s.tally.RecordLoss(s.now, l)
		}
	}
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 11)), tally: NewTally(), ends: map[string][]Time{}}
	for i := range 3 + s.rng.IntN(4) {
		s.entries = append(s.entries, NewWatch(fmt.Sprint("e", i)))
	}
	for i := range 5 + s.rng.IntN(10) {
		s.upstreams = append(s.upstreams, simulatedUpstream{Incarnation{fmt.Sprint("u", i), 1}, true})
	}
	return s
}

// play runs sound requests, which share all traits but the whole and the body, beside lethal ones.
func (s *simulation) play(lethal []*lethalSource, powerLosses bool) {
	soundCount := 0
	var soundLoop func()
	soundLoop = func() {
		soundCount++
		r := NewRequest("POST", "h", "/p", "", fmt.Append(nil, "sound ", soundCount), "m", []string{"common"})
		s.send(s.rng.IntN(len(s.entries)), r, nil, 0)
		s.after(s.between(10*time.Millisecond, 60*time.Millisecond), soundLoop)
	}
	s.after(0, soundLoop)
	for _, l := range lethal {
		var loop func()
		loop = func() {
			l.sent++
			s.send(s.rng.IntN(len(s.entries)), l.next(l.sent), l, 0)
			s.after(s.between(l.interval/2, l.interval*3/2), loop)
		}
		s.after(s.between(3*time.Second, 8*time.Second), loop)
	}
	if powerLosses {
		var loop func()
		loop = func() {
			share := s.rng.Float64()
			for i := range s.upstreams {
				if s.rng.Float64() < share {
					s.after(s.between(0, 100*time.Millisecond), func() { s.end(i) })
				}
			}
			s.after(s.between(2*time.Second, 8*time.Second), loop)
		}
		s.after(2*time.Second, loop)
	}
	for s.now < simulationTime {
		s.step()
	}
}

// lethalSources returns several sources of requests that end upstreams, each by something else.
func lethalSources(rng *rand.Rand) []*lethalSource {
	post := func(path, query, body, model string, parts ...string) *Request {
		return NewRequest("POST", "h", path, query, []byte(body), model, parts)
	}
	all := []*lethalSource{
		{name: "whole", next: func(int) *Request { return post("/p", "", "bad", "m", "common") }},
		{name: "other whole", next: func(int) *Request { return post("/p", "", "bad too", "m", "common") }},
		{name: "path", next: func(n int) *Request { return post("/bad", "", fmt.Sprint("any ", n), "m", "common") }},
		{name: "body", next: func(n int) *Request { return post(fmt.Sprint("/any", n), "", "bad anywhere", "m", "common") }},
		{name: "part", next: func(n int) *Request { return post("/p", "", fmt.Sprint("any part ", n), "m", "common", "bad") }},
		{name: "record", next: func(n int) *Request {
			return post([]string{"/a/77", "/b/c/77", "/d/77/"}[n%3], "", fmt.Sprint("route ", n%3), "m")
		}},
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:1+rng.IntN(len(all))]
	for _, l := range all {
		l.interval = 200*time.Millisecond + time.Duration(rng.Int64N(int64(1300*time.Millisecond)))
	}
	return all
}

// forEachSimulation runs a test on deployments with different seeds, some of which change coordinators.
func forEachSimulation(t *testing.T, test func(t *testing.T, seed uint64, s *simulation)) {
	for i := range *simulationCount {
		seed := *simulationSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(seed)
			if seed%4 == 0 {
				s.after(12*time.Second, s.takeOver)
			}
			test(t, seed, s)
		})
	}
}

// Several requests that end upstreams come at once, beside sound ones and losses of power.
func TestRandom_SeveralLethalRequests(t *testing.T) {
	const endsBeforeQuarantine, contactTime, maxLateRuns, maxRefusedShare = 3, 3 * time.Second, 3, 0.01
	forEachSimulation(t, func(t *testing.T, seed uint64, s *simulation) {
		s.play(lethalSources(s.rng), seed%2 == 0)
		for name, ends := range s.ends {
			late := 0
			for n, at := range ends {
				if n >= endsBeforeQuarantine && at-ends[endsBeforeQuarantine-1] > contactTime {
					late++
				}
			}
			if late > maxLateRuns {
				t.Errorf("%s ended %d upstreams, %d later than %v after the third: %v", name, len(ends), late, contactTime, ends)
			}
		}
		if share := float64(s.refused) / float64(s.sound); share > maxRefusedShare {
			t.Errorf("%d of %d sound requests were refused", s.refused, s.sound)
		}
	})
}

// Upstreams lose power again and again; no request is to blame.
func TestRandom_PowerLossesOnly(t *testing.T) {
	forEachSimulation(t, func(t *testing.T, _ uint64, s *simulation) {
		s.play(nil, true)
		if s.refused > 0 {
			t.Errorf("%d of %d sound requests were refused", s.refused, s.sound)
		}
	})
}
