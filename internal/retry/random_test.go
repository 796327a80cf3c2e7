package retry

import (
	"flag"
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

// world runs a request against upstreams that do anything, and knows the truth.
type world struct {
	t       *rapid.T
	r       *Request
	cfg     Config
	now     Time
	asking  map[int]bool
	running map[int]*runner
	open    map[int]bool // grants not given back
	leaving map[int]bool // asks cancelled, whose grant may be on its way
	budget  *ShareBudget
	taken   int
	passed  int
	ran     bool // some upstream may have begun
	sends   int
	finish  []Finish
}

// runner is one attempt at an upstream that streams from a position.
type runner struct {
	next    int
	brought bool
}

func (w *world) Take() bool {
	if w.budget.Take() {
		w.taken++
		return true
	}
	return false
}

func (w *world) step(ev Event) {
	for _, a := range w.r.Step(w.now, ev) {
		w.act(a, ev)
	}
}

func (w *world) act(a Action, ev Event) {
	switch a := a.(type) {
	case Ask:
		w.asking[a.Attempt] = true
	case Send:
		if !w.open[a.Attempt] {
			w.t.Fatal("sent without a grant")
		}
		if a.ResumeFrom != w.passed {
			w.t.Fatalf("resumed from %d, %d were passed on", a.ResumeFrom, w.passed)
		}
		if w.ran && !w.cfg.Idempotent {
			w.t.Fatal("sent again though it may have run")
		}
		if w.now >= w.cfg.Deadline {
			w.t.Fatal("sent past the deadline")
		}
		w.sends++
		w.running[a.Attempt] = &runner{next: a.ResumeFrom}
	case Forward:
		tok, ok := ev.(Token)
		if !ok || tok.Index != w.passed {
			w.t.Fatalf("passed %v on where token %d was due", ev, w.passed)
		}
		w.passed++
	case Cancel:
		if w.asking[a.Attempt] {
			delete(w.asking, a.Attempt)
			w.leaving[a.Attempt] = true
		}
		if w.running[a.Attempt] != nil {
			w.ran = true
		}
	case Release:
		if !w.open[a.Attempt] {
			w.t.Fatalf("attempt %d gave back a slot that it did not hold", a.Attempt)
		}
		delete(w.open, a.Attempt)
		delete(w.running, a.Attempt)
	case Finish:
		w.finish = append(w.finish, a)
		w.judge(a)
	}
}

// judge checks the final answer against the truth.
func (w *world) judge(f Finish) {
	if len(w.finish) > 1 {
		w.t.Fatal("two final answers")
	}
	if f.Err == nil {
		return
	}
	if f.Err.Ran == errkind.RanNo && w.ran {
		w.t.Fatal("said not run, but it may have run")
	}
	if len(w.running) > 0 {
		w.t.Fatal("answered while an attempt was left running")
	}
}

func keys[V any](m map[int]V) []int {
	var list []int
	for i := range 64 {
		if _, ok := m[i]; ok {
			list = append(list, i)
		}
	}
	return list
}

func (w *world) grant(from map[int]bool) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(from) == 0 {
			return
		}
		i := rapid.SampledFrom(keys(from)).Draw(t, "attempt")
		delete(from, i)
		w.open[i] = true
		w.step(Granted{
			Attempt:    i,
			Upstream:   rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "upstream"),
			HedgeAfter: time.Duration(rapid.IntRange(0, 20).Draw(t, "hedge")) * time.Millisecond,
		})
	}
}

// with calls f for one running attempt, if there is one.
func (w *world) with(f func(t *rapid.T, i int, run *runner)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(w.running) == 0 {
			return
		}
		i := rapid.SampledFrom(keys(w.running)).Draw(t, "attempt")
		f(t, i, w.running[i])
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"grant":      w.grant(w.asking),
		"late grant": w.grant(w.leaving),
		"refuse": func(t *rapid.T) {
			if len(w.asking) == 0 {
				return
			}
			i := rapid.SampledFrom(keys(w.asking)).Draw(t, "attempt")
			delete(w.asking, i)
			kind := rapid.SampledFrom([]errkind.Kind{errkind.NoCapacity, errkind.QueueFull}).Draw(t, "kind")
			w.step(Refused{i, errkind.New(kind, "")})
		},
		"token": w.with(func(_ *rapid.T, i int, run *runner) {
			run.next++
			run.brought, w.ran = true, true
			w.step(Token{i, run.next - 1})
		}),
		"wrong token": w.with(func(t *rapid.T, i int, run *runner) {
			index := rapid.IntRange(0, 9).Draw(t, "index")
			if index == run.next {
				return
			}
			w.ran = true
			w.step(Token{i, index})
		}),
		"whole": w.with(func(_ *rapid.T, i int, _ *runner) {
			w.step(Whole{i})
		}),
		"fail": w.with(func(t *rapid.T, i int, run *runner) {
			f := Failed{Attempt: i, Err: errkind.New(errkind.UpstreamFailed, "")}
			switch rapid.IntRange(0, 3).Draw(t, "how") {
			case 0:
				f.NotRun = true
			case 1:
				f.Unsent = true
			case 2:
				f.Cut = true
			}
			w.ran = w.ran || run.brought || !f.NotRun && !f.Unsent
			w.step(f)
		}),
		"unused": w.with(func(_ *rapid.T, i int, run *runner) {
			if !run.brought {
				w.sends--
			}
			w.step(Unused{i})
		}),
		"time": func(t *rapid.T) {
			w.now += time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond
			w.step(Tick{})
		},
		"stray": func(t *rapid.T) {
			w.step(rapid.SampledFrom([]Event{
				Whole{63}, Token{63, 0}, Failed{Attempt: 99, Err: errkind.New(errkind.Internal, "")}, Unused{-1},
			}).Draw(t, "event"))
		},
	}
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, asking: map[int]bool{}, running: map[int]*runner{}, open: map[int]bool{}, leaving: map[int]bool{},
		budget: NewShareBudget(10, rapid.IntRange(0, 3).Draw(t, "burst")),
		cfg: Config{
			Deadline:    time.Duration(rapid.IntRange(50, 400).Draw(t, "deadline")) * time.Millisecond,
			Idempotent:  rapid.Bool().Draw(t, "idempotent"),
			Hedge:       rapid.Bool().Draw(t, "hedge"),
			MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
			MaxAsks:     8,
		},
	}
	w.r = New(w.cfg, w)
	return w
}

func TestRequest_RandomEventsGiveOneTruthfulAnswerAndLeakNoSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.step(Start{})
		acts := w.actions()
		names := slices.Sorted(maps.Keys(acts))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			acts[rapid.SampledFrom(names).Draw(t, "action")](t)
		}
		w.now = w.cfg.Deadline
		w.step(Tick{})
		for len(w.leaving) > 0 {
			w.grant(w.leaving)(t)
		}
		if len(w.finish) != 1 || len(w.open) > 0 || len(w.asking) > 0 {
			t.Fatalf("answers %d, slots held %d, asks open %d", len(w.finish), len(w.open), len(w.asking))
		}
		if w.sends > w.cfg.MaxAttempts {
			t.Fatalf("%d sends, %d allowed", w.sends, w.cfg.MaxAttempts)
		}
	})
}

func TestRequest_RandomRunIsTheSameWhenReplayed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.SampledFrom([]Event{
			Granted{Attempt: 0, Upstream: "u1", HedgeAfter: time.Millisecond}, Granted{Attempt: 1, Upstream: "u2"},
			Token{0, 0}, Token{0, 1}, Token{1, 0}, Note{0}, Note{1}, Whole{0}, Whole{1}, Unused{0}, Tick{}, CallerLeft{},
			cutAt(0), cutAt(1), Refused{1, errkind.New(errkind.NoCapacity, "")},
		}), 0, 20).Draw(t, "events")
		run := func() []Action {
			r := New(config(), always(true))
			all := append([]Action(nil), r.Step(0, Start{})...)
			for i, ev := range events {
				all = append(all, r.Step(Time(i)*time.Millisecond, ev)...)
			}
			return all
		}
		a, b := run(), run()
		if len(a) != len(b) {
			t.Fatal("two runs differ")
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
