package grant

import (
	"fmt"
	"testing"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// harness drives one core in a test.
type harness struct {
	t      *testing.T
	core   *Core
	now    Time
	nextID int
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

func newHarness(t *testing.T, change func(*Options)) *harness {
	t.Helper()
	o := Options{Settings: DefaultSettings(), Seed: 1, FullChecks: true}
	if change != nil {
		change(&o)
	}
	h := &harness{t: t, core: New(o)}
	h.step(SpecChanged{testSpec(32)})
	return h
}

func (h *harness) step(ev Event) []Action { return h.core.Step(h.now, ev) }

func (h *harness) stepAfter(d time.Duration, ev Event) []Action {
	h.now += d
	return h.step(ev)
}

func (h *harness) addRunner(id string, slots int, models ...string) []Action {
	u := UpstreamState{ID: id, Incarnation: 1, Address: id + ":1", Slots: slots}
	for _, m := range models {
		u.Ready = append(u.Ready, Ready{Model: m, Version: "v1", Adapters: map[string]string{"a1": "w1"}})
	}
	return h.step(u)
}

// request returns an interactive request for m1 with a deadline in ten seconds.
func (h *harness) request(change func(*SlotRequest)) SlotRequest {
	h.nextID++
	req := SlotRequest{
		Attempt:   fmt.Sprintf("t%d", h.nextID),
		Request:   fmt.Sprintf("r%d", h.nextID),
		Entry:     "e1",
		Caller:    "c1",
		Model:     "m1",
		Class:     wire.Class_CLASS_INTERACTIVE,
		Deadline:  h.now + 10*time.Second,
		MaxTokens: 50,
	}
	if change != nil {
		change(&req)
	}
	return req
}

// granted returns the only grant among the actions, and fails the test otherwise.
func (h *harness) granted(actions []Action) Grant {
	h.t.Helper()
	if g := grants(actions); len(g) == 1 {
		return g[0]
	}
	h.t.Fatalf("want one grant, got %+v", actions)
	return Grant{}
}

// refused returns the kind of the only refusal among the actions, and fails the test
// otherwise.
func (h *harness) refused(actions []Action) errkind.Kind {
	h.t.Helper()
	if r := refusals(actions); len(r) == 1 {
		return r[0].Kind
	}
	h.t.Fatalf("want one refusal, got %+v", actions)
	return ""
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var list []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

func grants(actions []Action) []Grant         { return actionsOf[Grant](actions) }
func refusals(actions []Action) []Refuse      { return actionsOf[Refuse](actions) }
func deaths(actions []Action) []ReportDeath   { return actionsOf[ReportDeath](actions) }
func answers(actions []Action) []ReportAnswer { return actionsOf[ReportAnswer](actions) }

// okRelease returns the release of an attempt with an ordinary answer.
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
