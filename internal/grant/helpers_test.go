package grant

import (
	"fmt"
	"testing"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// bench drives one core in a test.
type bench struct {
	t    *testing.T
	core *Core
	now  Time
	n    int
}

func testSpec(limit uint32) *wire.Spec {
	s := &wire.Spec{Limits: &wire.Limits{QueuePerModel: limit}}
	for _, name := range []string{"m1", "m2", "m3"} {
		s.Models = append(s.Models, &wire.Model{Name: name, Version: "v1", Replicas: 4})
	}
	s.Models = append(s.Models, &wire.Model{Name: "none"})
	s.Adapters = []*wire.Adapter{{Name: "a1", Model: "m1"}, {Name: "a2", Model: "m1"}}
	s.Services = []*wire.Service{{Name: "desk"}}
	return s
}

func newBench(t *testing.T, change func(*Options)) *bench {
	t.Helper()
	o := Options{Settings: DefaultSettings(), Seed: 1, FullChecks: true}
	if change != nil {
		change(&o)
	}
	b := &bench{t: t, core: New(o)}
	b.step(SpecChanged{testSpec(32)})
	return b
}

func (b *bench) step(ev Event) []Action { return b.core.Step(b.now, ev) }

func (b *bench) after(d time.Duration, ev Event) []Action {
	b.now += d
	return b.step(ev)
}

func (b *bench) runner(id string, slots int, models ...string) []Action {
	u := UpstreamState{ID: id, Incarnation: 1, Address: id + ":1", Slots: slots}
	for _, m := range models {
		u.Ready = append(u.Ready, Ready{Model: m, Version: "v1", Adapters: map[string]string{"a1": "w1"}})
	}
	return b.step(u)
}

// ask returns an interactive ask for m1 with a deadline in ten seconds.
func (b *bench) ask(change func(*Ask)) Ask {
	b.n++
	k := Ask{
		Attempt:   fmt.Sprintf("t%d", b.n),
		Request:   fmt.Sprintf("r%d", b.n),
		Entry:     "e1",
		Caller:    "c1",
		Model:     "m1",
		Class:     wire.Class_CLASS_INTERACTIVE,
		Deadline:  b.now + 10*time.Second,
		MaxTokens: 50,
	}
	if change != nil {
		change(&k)
	}
	return k
}

// granted returns the only grant among the actions, or fails.
func (b *bench) granted(actions []Action) Grant {
	b.t.Helper()
	if g := grants(actions); len(g) == 1 {
		return g[0]
	}
	b.t.Fatalf("want one grant, got %+v", actions)
	return Grant{}
}

// refused returns the kind of the only refusal among the actions, or fails.
func (b *bench) refused(actions []Action) errkind.Kind {
	b.t.Helper()
	if r := refusals(actions); len(r) == 1 {
		return r[0].Kind
	}
	b.t.Fatalf("want one refusal, got %+v", actions)
	return ""
}

func grants(actions []Action) []Grant {
	var list []Grant
	for _, a := range actions {
		if g, ok := a.(Grant); ok {
			list = append(list, g)
		}
	}
	return list
}

func refusals(actions []Action) []Refuse {
	var list []Refuse
	for _, a := range actions {
		if r, ok := a.(Refuse); ok {
			list = append(list, r)
		}
	}
	return list
}

func deaths(actions []Action) []Death {
	var list []Death
	for _, a := range actions {
		if d, ok := a.(Death); ok {
			list = append(list, d)
		}
	}
	return list
}

// okRelease is a release after an ordinary answer.
func okRelease(attempt string, tokens int) Release {
	return Release{
		Attempt:    attempt,
		Outcome:    wire.Outcome_OUTCOME_OK,
		FirstToken: 200 * time.Millisecond,
		MaxGap:     40 * time.Millisecond,
		Duration:   200*time.Millisecond + time.Duration(tokens)*30*time.Millisecond,
		Tokens:     tokens,
	}
}
