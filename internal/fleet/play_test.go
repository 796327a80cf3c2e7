package fleet

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// play simulates, in virtual time, runners that share a weight store, and requests that one entry
// places on the least busy runner of their model. It shows what a plan's loads are worth.
type play struct {
	t       *testing.T
	spec    playSpec
	rng     *rand.Rand
	core    *Core
	now     Time
	runners []*playRunner
	queues  map[string][]Time // arrivals of the waiting requests, by model
	asked   map[string]uint32
	results map[string]*playResult
	late    []playEvent
	last    map[string]playDemand

	termStart Time
	storeBusy int // loads from the store in progress
	loads     []playLoad
}

// playSpec describes a deployment and its load.
type playSpec struct {
	runners, models, room int
	slots                 int
	carry                 int           // requests that a runner runs at once within the latency target
	residence             time.Duration // of a request on a runner
	storeFits             int           // loads that the store serves at full speed
	storeTime             time.Duration
	patience              func(model int) time.Duration // longest useful wait
	rate                  func(model int, now Time) float64
	placed                func(runner int) []int // models held at the start
	settings              func(*Settings)
}

type playLoad struct {
	at        Time
	model     string
	fromStore bool
	reason    string
}

type playResult struct{ arrived, served int }

type playEvent struct {
	at Time
	do func()
}

type playRunner struct {
	id         string
	born       int64
	lost       bool
	models     map[string]bool
	onDisk     map[string]bool
	running    map[string]int
	total      int
	sequence   uint64
	heartbeats uint64
	pending    *Order
	fromStore  bool
	remaining  time.Duration // of the pending load at full speed
	ends       []playEnd
}

// playDemand is what the entry last reported of a model.
type playDemand struct{ waiting, running, asked uint32 }

type playEnd struct {
	at    Time
	model string
}

const (
	playStep    = 25 * time.Millisecond
	playTraffic = 14 * time.Second // from the start of the VMs to the first request
	playEnds    = 48 * time.Second
)

var playModels = func() []string {
	var out []string
	for i := range 400 {
		out = append(out, fmt.Sprintf("m%04d", i))
	}
	return out
}()

func playModel(i int) string { return playModels[i] }

func newPlay(t *testing.T, spec playSpec) *play {
	t.Helper()
	p := &play{t: t, spec: spec, rng: rand.New(rand.NewPCG(1, 7)), queues: map[string][]Time{}, asked: map[string]uint32{},
		results: map[string]*playResult{}, last: map[string]playDemand{}}
	for i := range spec.runners {
		r := &playRunner{id: fmt.Sprintf("r%02d", i), born: 1000, models: map[string]bool{}, onDisk: map[string]bool{}, running: map[string]int{}}
		for _, m := range spec.placed(i) {
			r.models[playModel(m)], r.onDisk[playModel(m)] = true, true
		}
		p.runners = append(p.runners, r)
	}
	p.startTerm()
	return p
}

// startTerm starts a coordinator that knows nothing but the configuration.
func (p *play) startTerm() {
	set := DefaultSettings()
	if p.spec.settings != nil {
		p.spec.settings(&set)
	}
	p.core = New(set)
	e := &routing.Engine{Slots: p.spec.slots, KVCacheTokens: 100_000, WeightMemoryMB: float64(p.spec.room*100 + 10), StoreLoadsPerSecond: 20}
	for i := range p.spec.models {
		e.Models = append(e.Models, routing.Model{Name: playModel(i), WeightsMB: 100, StoreLoadTime: p.spec.storeTime,
			DiskLoadTime: 1700 * time.Millisecond, MemoryLoadTime: 800 * time.Millisecond})
	}
	p.last = map[string]playDemand{}
	p.late = nil
	p.core.Step(0, RoutingChanged{&routing.Config{Version: 1, Services: []routing.Service{{Name: llm, Engine: e}}}})
	p.termStart = p.now
	if p.now == 0 {
		return
	}
	// The entry knows the runners from the term before.
	snapshot := EntrySnapshot{Entry: "e1"}
	for _, r := range p.runners {
		if !r.lost {
			snapshot.States = append(snapshot.States, p.state(r))
		}
	}
	p.step(snapshot)
}

func (p *play) step(ev Event) {
	core := p.core
	for _, a := range slices.Clone(core.Step(p.now-p.termStart, ev)) {
		switch a := a.(type) {
		case SendOrder:
			p.after(5*time.Millisecond, func() {
				result := p.execute(a)
				p.after(5*time.Millisecond, func() {
					if p.core == core {
						p.step(OrderAnswered{Upstream: a.Upstream, BornUnixMs: a.BornUnixMs, Result: result})
					}
				})
			})
		case ReadReport:
			// What a report says is up to some hundred milliseconds old.
			rep := p.report(a)
			p.after(time.Duration(50+p.rng.IntN(300))*time.Millisecond, func() {
				if p.core == core {
					p.step(ReportReceived{Upstream: a.Upstream, BornUnixMs: a.BornUnixMs, Report: rep, Failed: p.runner(a.Upstream).lost})
				}
			})
		}
	}
}

func (p *play) after(d time.Duration, do func()) { p.late = append(p.late, playEvent{p.now + d, do}) }

func (p *play) runner(id string) *playRunner {
	i := slices.IndexFunc(p.runners, func(r *playRunner) bool { return r.id == id })
	return p.runners[i]
}

func (p *play) execute(a SendOrder) OrderResult {
	r := p.runner(a.Upstream)
	if r.lost || r.born != a.BornUnixMs {
		return OrderUnknown
	}
	if r.pending != nil || a.Order.ExpectedSequence != r.sequence {
		return OrderConflict
	}
	r.sequence++
	r.pending = &a.Order
	if !a.Order.Unload {
		r.fromStore = !r.onDisk[a.Order.Model]
		r.remaining = 1700 * time.Millisecond
		if r.fromStore {
			r.remaining = p.spec.storeTime
		}
		p.loads = append(p.loads, playLoad{p.now, a.Order.Model, r.fromStore, a.Order.Reason})
	}
	return OrderAccepted
}

func (r *playRunner) held() []*wire.HeldModel {
	var out []*wire.HeldModel
	for _, m := range slices.Sorted(maps.Keys(r.models)) {
		out = append(out, &wire.HeldModel{Name: m, Version: 1})
	}
	return out
}

func (p *play) report(a ReadReport) Report {
	r := p.runner(a.Upstream)
	return Report{Models: r.held(), Busy: r.pending != nil, Sequence: r.sequence, OnDisk: slices.Sorted(maps.Keys(r.onDisk))}
}

func (p *play) state(r *playRunner) *wire.UpstreamState {
	return &wire.UpstreamState{Id: r.id, BornUnixMs: r.born, Sequence: r.heartbeats, Service: llm, Address: r.id + ":1", Zone: "z",
		Slots: uint32(p.spec.slots), Phase: wire.UpstreamPhase_PHASE_READY, OnDisk: slices.Sorted(maps.Keys(r.onDisk)), Models: r.held()}
}

func (p *play) heartbeat(r *playRunner) {
	r.heartbeats++
	s := p.state(r)
	p.after(time.Duration(p.rng.IntN(300))*time.Millisecond, func() { p.step(HeartbeatReceived{s}) })
}

// runStore advances loads and unloads by one step. Loads beyond those that the store serves at full speed
// share its throughput.
func (p *play) runStore() {
	busy := 0
	for _, r := range p.runners {
		if !r.lost && r.pending != nil && !r.pending.Unload && r.fromStore {
			busy++
		}
	}
	share := min(1, float64(p.spec.storeFits)/float64(max(1, busy)))
	p.storeBusy = busy
	for _, r := range p.runners {
		switch {
		case r.lost || r.pending == nil:
		case r.pending.Unload:
			if r.running[r.pending.Model] == 0 {
				delete(r.models, r.pending.Model)
				r.pending = nil
			}
		default:
			if r.fromStore {
				r.remaining -= time.Duration(float64(playStep) * share)
			} else {
				r.remaining -= playStep
			}
			if r.remaining <= 0 {
				r.models[r.pending.Model], r.onDisk[r.pending.Model] = true, true
				r.pending = nil
				if len(r.models) > p.spec.room {
					p.t.Fatalf("%s holds %d models", r.id, len(r.models))
				}
			}
		}
	}
}

// runRequests lets requests arrive, end and start.
func (p *play) runRequests() {
	for _, r := range p.runners {
		r.ends = slices.DeleteFunc(r.ends, func(e playEnd) bool {
			if e.at > p.now {
				return false
			}
			r.running[e.model]--
			r.total--
			return true
		})
	}
	if p.now < playTraffic {
		return
	}
	for i := range p.spec.models {
		rate, name := p.spec.rate(i, p.now-playTraffic), playModel(i)
		if rate == 0 && len(p.queues[name]) == 0 {
			continue
		}
		res := p.results[name]
		if res == nil {
			res = &playResult{}
			p.results[name] = res
		}
		for range p.poisson(rate * playStep.Seconds()) {
			p.queues[name] = append(p.queues[name], p.now)
			p.asked[name]++
			res.arrived++
		}
		p.queues[name] = slices.DeleteFunc(p.queues[name], func(at Time) bool { return p.now-at > p.spec.patience(i) })
		for len(p.queues[name]) > 0 {
			r := p.leastBusy(name)
			if r == nil {
				break
			}
			p.queues[name] = p.queues[name][1:]
			r.running[name]++
			r.total++
			r.ends = append(r.ends, playEnd{p.now + p.spec.residence, name})
			res.served++
		}
	}
}

func (p *play) poisson(mean float64) int {
	n, product, limit := 0, p.rng.Float64(), math.Exp(-mean)
	for product > limit {
		n++
		product *= p.rng.Float64()
	}
	return n
}

// leastBusy returns the runner for a request of a model, by what the coordinator has published.
func (p *play) leastBusy(model string) *playRunner {
	var best *playRunner
	for _, r := range p.runners {
		u := p.core.byID[r.id]
		if r.lost || !r.models[model] || u == nil || u.serving(model) == nil || r.total >= p.spec.carry {
			continue
		}
		if best == nil || r.total < best.total {
			best = r
		}
	}
	return best
}

// reportDemand reports what changed at the entry since its last report.
func (p *play) reportDemand() {
	rep := EntryReport{Entry: "e1"}
	running := map[string]int{}
	for _, r := range p.runners {
		l := &wire.UpstreamLoad{Upstream: r.id, Running: uint32(r.total)}
		for _, m := range slices.Sorted(maps.Keys(r.running)) {
			if n := r.running[m]; n > 0 {
				running[m] += n
				l.Models = append(l.Models, &wire.ModelRunning{Model: m, Running: uint32(n)})
			}
		}
		rep.Loads = append(rep.Loads, l)
	}
	for _, m := range slices.Sorted(maps.Keys(p.asked)) {
		q := p.queues[m]
		d := &wire.ModelDemand{Service: llm, Model: m, Waiting: uint32(len(q)), Running: uint32(running[m]), Asked: p.asked[m]}
		if len(q) > 0 {
			d.OldestMs = uint32((p.now - q[0]).Milliseconds())
		}
		if next := (playDemand{d.Waiting, d.Running, d.Asked}); p.last[m] != next || len(q) > 0 {
			p.last[m] = next
			rep.Demand = append(rep.Demand, d)
		}
	}
	p.step(rep)
}

// run plays until a time.
func (p *play) run(until Time) {
	for ; p.now < until; p.now += playStep {
		for i := 0; i < len(p.late); {
			if p.late[i].at > p.now {
				i++
				continue
			}
			ev := p.late[i]
			p.late = slices.Delete(p.late, i, i+1)
			ev.do()
		}
		p.runStore()
		p.runRequests()
		for i, r := range p.runners {
			if !r.lost && (p.now+Time(i)*playStep)%(1200*time.Millisecond) == 0 {
				p.heartbeat(r)
			}
		}
		if p.now%(50*time.Millisecond) == 0 {
			p.reportDemand()
		}
		p.step(Tick{})
	}
}
