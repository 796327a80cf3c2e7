package retry

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// simulation drives a request with random events and keeps its own record of what the
// upstreams did, against which it checks the request's actions.
type simulation struct {
	t                *rapid.T
	r                *Request
	cfg              Config
	now              Time
	waiting          map[int]bool
	running          map[int]*runningAttempt
	openGrants       map[int]bool // not released yet
	cancelledWaiting map[int]bool // cancelled slot requests whose grant may still arrive
	budget           *RatioBudget
	retriesTaken     int
	forwarded        int
	ran              bool // an upstream may have run the request
	sends            int
	finishes         []Finish
}

// runningAttempt is an upstream's side of one attempt.
type runningAttempt struct {
	nextIndex int
	hasOutput bool
}

// Take implements Budget. It counts the retries that the budget allowed.
func (s *simulation) Take() bool {
	if s.budget.Take() {
		s.retriesTaken++
		return true
	}
	return false
}

func (s *simulation) step(ev Event) {
	for _, a := range s.r.Step(s.now, ev) {
		s.apply(a, ev)
	}
}

func (s *simulation) apply(a Action, ev Event) {
	switch a := a.(type) {
	case RequestSlot:
		s.waiting[a.Attempt] = true
	case Send:
		if !s.openGrants[a.Attempt] {
			s.t.Fatal("sent without a grant")
		}
		if a.ResumeFrom != s.forwarded {
			s.t.Fatalf("resumed from token %d, %d were forwarded", a.ResumeFrom, s.forwarded)
		}
		if s.ran && !s.cfg.Idempotent {
			s.t.Fatal("non-idempotent request sent again although it may have run")
		}
		if s.now >= s.cfg.Deadline {
			s.t.Fatal("sent after the deadline")
		}
		s.sends++
		s.running[a.Attempt] = &runningAttempt{nextIndex: a.ResumeFrom}
	case Forward:
		tok, ok := ev.(Token)
		if !ok || tok.Index != s.forwarded {
			s.t.Fatalf("forwarded %v, want token %d", ev, s.forwarded)
		}
		s.forwarded++
	case Cancel:
		if s.waiting[a.Attempt] {
			delete(s.waiting, a.Attempt)
			s.cancelledWaiting[a.Attempt] = true
		}
		if s.running[a.Attempt] != nil {
			s.ran = true
		}
	case Release:
		if !s.openGrants[a.Attempt] {
			s.t.Fatalf("attempt %d released a slot that it did not hold", a.Attempt)
		}
		delete(s.openGrants, a.Attempt)
		delete(s.running, a.Attempt)
	case Finish:
		s.finishes = append(s.finishes, a)
		s.checkFinish(a)
	}
}

// checkFinish checks the end of the request against what the upstreams did.
func (s *simulation) checkFinish(f Finish) {
	if len(s.finishes) > 1 {
		s.t.Fatal("request finished twice")
	}
	if f.Err == nil {
		return
	}
	if f.Err.Ran == errkind.RanNo && s.ran {
		s.t.Fatal("reported as not run, but it may have run")
	}
	if len(s.running) > 0 {
		s.t.Fatal("finished while an attempt was running")
	}
}

// keys returns the keys of m in ascending order, so that a seed gives the same run again.
// It covers the keys 0 to 63; attempts are numbered from 0 to MaxSlotRequests-1.
func keys[V any](m map[int]V) []int {
	var list []int
	for i := range 64 {
		if _, ok := m[i]; ok {
			list = append(list, i)
		}
	}
	return list
}

// grant grants a slot to one of the attempts in from, if there is one.
func (s *simulation) grant(from map[int]bool) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(from) == 0 {
			return
		}
		i := rapid.SampledFrom(keys(from)).Draw(t, "attempt")
		delete(from, i)
		s.openGrants[i] = true
		s.step(Granted{
			Attempt:    i,
			Upstream:   rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "upstream"),
			HedgeAfter: time.Duration(rapid.IntRange(0, 20).Draw(t, "hedge")) * time.Millisecond,
		})
	}
}

// withRunning calls f for one running attempt, if there is one.
func (s *simulation) withRunning(f func(t *rapid.T, i int, attempt *runningAttempt)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(s.running) == 0 {
			return
		}
		i := rapid.SampledFrom(keys(s.running)).Draw(t, "attempt")
		f(t, i, s.running[i])
	}
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"grant":      s.grant(s.waiting),
		"late grant": s.grant(s.cancelledWaiting),
		"refuse": func(t *rapid.T) {
			if len(s.waiting) == 0 {
				return
			}
			i := rapid.SampledFrom(keys(s.waiting)).Draw(t, "attempt")
			delete(s.waiting, i)
			kind := rapid.SampledFrom([]errkind.Kind{errkind.NoCapacity, errkind.QueueFull}).Draw(t, "kind")
			s.step(Refused{i, errkind.New(kind, "")})
		},
		"token": s.withRunning(func(_ *rapid.T, i int, attempt *runningAttempt) {
			attempt.nextIndex++
			attempt.hasOutput, s.ran = true, true
			s.step(Token{i, attempt.nextIndex - 1})
		}),
		"wrong token": s.withRunning(func(t *rapid.T, i int, attempt *runningAttempt) {
			index := rapid.IntRange(0, 9).Draw(t, "index")
			if index == attempt.nextIndex {
				return
			}
			s.ran = true
			s.step(Token{i, index})
		}),
		"whole": s.withRunning(func(_ *rapid.T, i int, _ *runningAttempt) {
			s.step(Completed{i})
		}),
		"fail": s.withRunning(func(t *rapid.T, i int, attempt *runningAttempt) {
			f := Failed{Attempt: i, Err: errkind.New(errkind.UpstreamFailed, "")}
			switch rapid.IntRange(0, 4).Draw(t, "how") {
			case 0:
				f.NotRun = true
			case 1:
				f.Unsent = true
			case 2:
				f.Cut = true
			case 3:
				f.Cut, f.Final = true, true
			}
			s.ran = s.ran || attempt.hasOutput || !f.NotRun && !f.Unsent
			s.step(f)
		}),
		"unused": s.withRunning(func(_ *rapid.T, i int, attempt *runningAttempt) {
			if !attempt.hasOutput {
				s.sends--
			}
			s.step(GrantUnused{i})
		}),
		"time": func(t *rapid.T) {
			s.now += time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond
			s.step(Tick{})
		},
		"stray": func(t *rapid.T) {
			s.step(rapid.SampledFrom([]Event{
				Completed{63}, Token{63, 0}, Failed{Attempt: 99, Err: errkind.New(errkind.Internal, "")}, GrantUnused{-1},
			}).Draw(t, "event"))
		},
	}
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, waiting: map[int]bool{}, running: map[int]*runningAttempt{}, openGrants: map[int]bool{}, cancelledWaiting: map[int]bool{},
		budget: NewRatioBudget(10, float64(rapid.IntRange(0, 3).Draw(t, "burst"))),
		cfg: Config{
			Deadline:        time.Duration(rapid.IntRange(50, 400).Draw(t, "deadline")) * time.Millisecond,
			Idempotent:      rapid.Bool().Draw(t, "idempotent"),
			Hedge:           rapid.Bool().Draw(t, "hedge"),
			MaxAttempts:     rapid.IntRange(1, 4).Draw(t, "attempts"),
			MaxSlotRequests: 8,
		},
	}
	s.r = New(s.cfg, s)
	return s
}

func TestRequest_RandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.step(Start{})
		actions := s.actions()
		names := slices.Sorted(maps.Keys(actions))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			actions[rapid.SampledFrom(names).Draw(t, "action")](t)
		}
		s.now = s.cfg.Deadline
		s.step(Tick{})
		for len(s.cancelledWaiting) > 0 {
			s.grant(s.cancelledWaiting)(t)
		}
		if len(s.finishes) != 1 || len(s.openGrants) > 0 || len(s.waiting) > 0 {
			t.Fatalf("finished %d times, %d slots held, %d slot requests open", len(s.finishes), len(s.openGrants), len(s.waiting))
		}
		if s.sends > s.cfg.MaxAttempts {
			t.Fatalf("%d attempts sent, at most %d allowed", s.sends, s.cfg.MaxAttempts)
		}
	})
}

func TestRequest_RandomReplayIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.SampledFrom([]Event{
			Granted{Attempt: 0, Upstream: "u1", HedgeAfter: time.Millisecond}, Granted{Attempt: 1, Upstream: "u2"},
			Token{0, 0}, Token{0, 1}, Token{1, 0}, UnindexedChunk{0}, UnindexedChunk{1}, Completed{0}, Completed{1}, GrantUnused{0}, Tick{}, CallerGone{},
			cutFailure(0), cutFailure(1), Refused{1, errkind.New(errkind.NoCapacity, "")},
		}), 0, 20).Draw(t, "events")
		run := func() []Action {
			r := New(testConfig(), fixedBudget(true))
			all := append([]Action(nil), r.Step(0, Start{})...)
			for i, ev := range events {
				all = append(all, r.Step(Time(i)*time.Millisecond, ev)...)
			}
			return all
		}
		a, b := run(), run()
		if len(a) != len(b) {
			t.Fatal("the same events gave a different number of actions")
		}
		for i := range a {
			if got, want := fmt.Sprintf("%T%v", b[i], b[i]), fmt.Sprintf("%T%v", a[i], a[i]); got != want {
				t.Fatalf("action %d replays to %s, want %s", i, got, want)
			}
		}
		released := map[int]wire.Outcome{}
		for _, act := range a {
			if rel, ok := act.(Release); ok {
				if _, twice := released[rel.Attempt]; twice {
					t.Fatalf("attempt %d was released twice", rel.Attempt)
				}
				released[rel.Attempt] = rel.Outcome
			}
		}
	})
}
