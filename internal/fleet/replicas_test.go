package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gentiankeel/internal/wire"
)

// hotModel is the busiest model. Neither its placement nor its place in the list tells.
const (
	hotModel  = 8
	firstRare = 21 // number of the first rare model
)

// crestRates returns the rates of a busy time: the hot model has 50 requests a second, a quarter of all, others of the first 21
// fewer, and 150 rare models 35 in all.
func crestRates(m int, now Time) float64 {
	switch {
	case now > 34*time.Second:
		return 0
	case m == hotModel:
		return 50
	case m < firstRare:
		return 30 / (1 + 0.35*float64(m))
	case m < 171:
		return 0.235
	}
	return 0
}

// playWants are the shares of requests that a play must serve in time. They lie between those of six seeds with the
// present rules and, for the hot model, with the rules that counted requests; one seed alone differs by up to 0.16.
type playWants struct{ hot, busy, rare float64 }

func (p *play) check(want playWants) {
	p.t.Helper()
	got := playWants{p.share(hotModel), p.share(modelsFrom(0, firstRare)...), p.share(modelsFrom(firstRare, 171)...)}
	p.t.Logf("served in time: %.3f of the hot model's, %.3f of all busy ones', %.3f of the rare ones'; %s", got.hot, got.busy, got.rare, p.summary())
	if got.hot < want.hot || got.busy < want.busy || got.rare < want.rare {
		p.t.Errorf("served in time: %.3f, wanted %.3f", got, want)
	}
}

// A model with a quarter of the demand on three of sixty runners needs three more, and got none: each of its
// runners already ran more than a fixed number of requests, and missing rare models took the store.
func TestReplicas_QuarterOfTheDemandOnOneModel(t *testing.T) {
	s := largePlay()
	s.rate = crestRates
	p := newPlay(t, s)
	p.run(playEnds)
	p.check(playWants{0.62, 0.9, 0.65})
}

// The demand moves on by three places in the list of models, twice, each time within less than a load from the store. Replicas
// for a model that was busy must not cost those that become busy.
func TestReplicas_DemandMovesOn(t *testing.T) {
	s := largePlay()
	s.rate = movingRates
	p := newPlay(t, s)
	p.run(playEnds)
	p.check(playWants{0.65, 0.9, 0.65})
}

// movingRates returns crestRates moved on by three models after 11 s and by three more after 22 s, each within 7 s.
func movingRates(m int, now Time) float64 {
	const step = 11 * time.Second
	if m >= firstRare {
		return crestRates(m, now)
	}
	moves := int(min(2, now/step))
	shifted := func(n int) float64 { return crestRates((m-3*n+firstRare)%firstRare, now) }
	if moves == 0 {
		return shifted(0)
	}
	done := min(1, (now-Time(moves)*step).Seconds()/7)
	return float64(shifted(moves-1)*(1-done)) + float64(shifted(moves)*done)
}

// Rare models must not lose their places to the replicas of a busy model: with all runners full, none of those that are
// asked for may be unloaded for one while replicas of models without requests are held.
func TestReplicas_RareModelsAtTheCrest(t *testing.T) {
	s := largePlay()
	s.rate = func(m int, now Time) float64 {
		if m > hotModel && m < firstRare { // placed on three runners each, and not asked for
			return 0
		}
		return crestRates(m, now)
	}
	p := newPlay(t, s)
	p.run(playEnds)
	p.check(playWants{0.62, 0.88, 0.68})
	for m := firstRare; m < 60; m++ {
		name := playModel(m)
		if slices.ContainsFunc(p.runners, func(r *playRunner) bool { return r.models[name] }) {
			continue
		}
		if p.share(m) < 0.9 {
			t.Errorf("rare model %s lost its runner: %.3f of its requests are served in time", name, p.share(m))
		}
	}
}

// A new coordinator takes the demand from the reports of entries. It must neither take all requests since the
// entries' start for new ones and load replicas for them, nor forget those that are being loaded.
func TestReplicas_TakeoverInTheMiddle(t *testing.T) {
	s := largePlay()
	s.rate = crestRates
	p := newPlay(t, s)
	p.run(playTraffic + 9*time.Second)
	p.startTerm()
	taken := p.now
	p.run(playEnds)
	p.check(playWants{0.6, 0.9, 0.6})
	hot := playModel(hotModel)
	if n := p.storeLoadsOf(func(l playLoad) bool { return l.model == hot && l.at >= taken && l.at < taken+10*time.Second }); n > 2 {
		t.Errorf("%d replicas of the hot model are loaded from the store after a takeover", n)
	}
	others := p.storeLoadsOf(func(l playLoad) bool {
		// From model 2 on three runners bear the demand.
		return l.model != hot && l.model >= playModel(2) && l.model < playModel(firstRare) && l.at >= taken && l.at < taken+10*time.Second
	})
	if others > 0 {
		t.Errorf("%d replicas of models that have enough are loaded from the store after a takeover", others)
	}
}

// All runners of the hot model are lost at once: it must be loaded again before anything else that needs the
// store.
func TestReplicas_RunnersOfTheHotModelLost(t *testing.T) {
	s := largePlay()
	s.rate = crestRates
	p := newPlay(t, s)
	p.run(playTraffic + 10*time.Second)
	hot := playModel(hotModel)
	p.lose(func(r *playRunner) bool { return r.models[hot] })
	lost := p.now
	p.run(playEnds)
	p.check(playWants{0.24, 0.8, 0.6})
	if n := p.storeLoadsOf(func(l playLoad) bool { return l.model == hot && l.at >= lost }); n == 0 {
		t.Error("the hot model is not loaded from the store after its runners were lost")
	}
}

// smallPlay is a deployment with 16 slots.
func smallPlay() playSpec {
	s := largePlay()
	s.slots, s.carry, s.residence, s.storeFits, s.storeTime = 16, 8, 2500*time.Millisecond, 4, 7800*time.Millisecond
	s.rate = func(m int, now Time) float64 { return crestRates(m, now) * 0.45 }
	return s
}

// With 16 slots the rules that count requests stay. They left a model with three times the requests that its
// runners bear without a replica.
func TestReplicas_SixteenSlots(t *testing.T) {
	p := newPlay(t, smallPlay())
	p.run(playEnds)
	p.check(playWants{0.48, 0.83, 0.72})
}

// lose ends runners. Others with the same ids and nothing loaded never come.
func (p *play) lose(match func(*playRunner) bool) {
	for _, r := range p.runners {
		if !r.lost && match(r) {
			r.lost = true
			r.ends, r.total, r.running = nil, 0, map[string]int{}
			p.step(HeartbeatReceived{&wire.UpstreamState{Id: r.id, BornUnixMs: r.born, Leaves: true}})
		}
	}
}

func (p *play) storeLoadsOf(match func(playLoad) bool) int {
	n := 0
	for _, l := range p.loads {
		if l.fromStore && match(l) {
			n++
		}
	}
	return n
}

// largePlay is a deployment of 60 runners with 64 slots and room for three models each. Model 0 is held by
// three runners, model 1 by six, models 2 to 20 by three each, and of the other 312 the first are held by
// one runner each. Each runner's disk has what it holds.
func largePlay() playSpec {
	var copies []int
	for i := range firstRare {
		n := 3
		if i == 1 {
			n = 6
		}
		for range n {
			copies = append(copies, i)
		}
	}
	for i := firstRare; len(copies) < 180; i++ {
		copies = append(copies, i)
	}
	s := playSpec{runners: 60, models: 333, room: 3, slots: 64, carry: 20, residence: 2200 * time.Millisecond, storeFits: 2,
		storeTime: 11700 * time.Millisecond}
	s.placed = func(r int) []int { return []int{copies[r], copies[60+r], copies[120+r]} }
	s.patience = func(m int) time.Duration {
		if m >= firstRare {
			return 8 * time.Second
		}
		return 1200 * time.Millisecond
	}
	return s
}

// modelsFrom returns the numbers from..until.
func modelsFrom(from, until int) []int {
	var out []int
	for i := from; i < until; i++ {
		out = append(out, i)
	}
	return out
}

// share returns the share of the requests for some models that were served in time.
func (p *play) share(models ...int) float64 {
	arrived, served := 0, 0
	for _, m := range models {
		if r := p.results[playModel(m)]; r != nil {
			arrived += r.arrived
			served += r.served
		}
	}
	return float64(served) / float64(max(1, arrived))
}

func (p *play) summary() string {
	type row struct {
		name string
		*playResult
	}
	var rows []row
	for name, r := range p.results {
		rows = append(rows, row{name, r})
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Or(b.arrived-a.arrived, strings.Compare(a.name, b.name)) })
	var b strings.Builder
	for _, r := range rows[:min(8, len(rows))] {
		holders := 0
		for _, run := range p.runners {
			if run.models[r.name] {
				holders++
			}
		}
		fmt.Fprintf(&b, "%s %d/%d on %d; ", r.name, r.served, r.arrived, holders)
	}
	fmt.Fprintf(&b, "store loads: ")
	for _, l := range p.loads {
		if l.fromStore {
			fmt.Fprintf(&b, "%s at %.1f (%s), ", l.model, l.at.Seconds(), l.reason)
		}
	}
	disk := 0
	for _, l := range p.loads {
		if !l.fromStore {
			disk++
		}
	}
	fmt.Fprintf(&b, "disk loads: %d", disk)
	return b.String()
}
