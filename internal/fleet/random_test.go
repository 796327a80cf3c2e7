package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gentiankeel/internal/wire"
)

// fakeRunner executes orders as the runner protocol requires.
type fakeRunner struct {
	id         string
	models     map[string]map[string]bool
	sequence   uint64
	heartbeats uint64
	busyUntil  Time
	pending    *Order
}

func (r *fakeRunner) execute(now Time, o Order) OrderResult {
	r.completeDue(now)
	if r.pending != nil || o.ExpectedSequence != r.sequence {
		return OrderConflict
	}
	if o.Adapter != "" {
		h := r.models[o.Model]
		if h == nil {
			return OrderInvalid
		}
		r.sequence++
		if o.Unload {
			delete(h, o.Adapter)
			return OrderCompleted
		}
		h[o.Adapter] = true
		return OrderAccepted
	}
	r.sequence++
	r.pending, r.busyUntil = &o, now+500*time.Millisecond
	return OrderAccepted
}

func (r *fakeRunner) completeDue(now Time) {
	if r.pending == nil || now < r.busyUntil {
		return
	}
	if r.pending.Unload {
		delete(r.models, r.pending.Model)
	} else {
		r.models[r.pending.Model] = map[string]bool{}
	}
	r.pending = nil
}

func (r *fakeRunner) held() []*wire.HeldModel {
	var out []*wire.HeldModel
	for m, adapters := range r.models {
		h := &wire.HeldModel{Name: m, Version: 1}
		for a := range adapters {
			h.Adapters = append(h.Adapters, a)
		}
		slices.Sort(h.Adapters)
		out = append(out, h)
	}
	return out
}

// checkCapacity fails the test if the runner holds more models or adapters than it has
// room for. A real runner would crash.
func (r *fakeRunner) checkCapacity(t *testing.T, seed uint64) {
	mb, adapters := 0.0, 0
	for _, a := range r.models {
		mb += 100 + float64(len(a))
		adapters += len(a)
	}
	if r.pending != nil && !r.pending.Unload {
		mb += 100
	}
	if mb > 210 || adapters > 2 {
		t.Fatalf("seed %d: runner %s holds %.0f MB of 210 and %d adapters of 2", seed, r.id, mb, adapters)
	}
}

// Runs the core against runners that lose orders and answers, execute orders late,
// restart, and report late. No runner may ever hold more than it has room for.
func TestRandom_AnswersLostOrdersLate(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := New(DefaultSettings())
		c.Step(0, RoutingChanged{testConfig()})
		runners := map[string]*fakeRunner{}
		born := map[string]int64{}
		for i := range 3 {
			id := fmt.Sprintf("r%d", i)
			runners[id] = &fakeRunner{id: id, models: map[string]map[string]bool{"m1": {}}}
			born[id] = 1000
		}
		type delayed struct {
			at Time
			do func(now Time)
		}
		var queue []delayed
		var execute func(now Time, acts []Action)
		step := func(now Time, ev Event) { execute(now, slices.Clone(c.Step(now, ev))) }
		execute = func(now Time, acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case SendOrder:
					r := runners[a.Upstream]
					switch rng.IntN(10) {
					case 0: // the order is lost
						queue = append(queue, delayed{now + 800*time.Millisecond, func(now Time) {
							step(now, OrderAnswered{Upstream: a.Upstream, BornUnixMs: a.BornUnixMs, Result: OrderUnknown})
						}})
					case 1: // no answer, and the order is executed late
						queue = append(queue, delayed{now + time.Duration(2+rng.IntN(8))*time.Second, func(now Time) {
							if born[a.Upstream] == a.BornUnixMs {
								runners[a.Upstream].execute(now, a.Order)
							}
						}}, delayed{now + 800*time.Millisecond, func(now Time) {
							step(now, OrderAnswered{Upstream: a.Upstream, BornUnixMs: a.BornUnixMs, Result: OrderUnknown})
						}})
					default:
						res := OrderMisdirected
						if born[a.Upstream] == a.BornUnixMs {
							res = r.execute(now, a.Order)
						}
						queue = append(queue, delayed{now + 2*time.Millisecond, func(now Time) {
							step(now, OrderAnswered{Upstream: a.Upstream, BornUnixMs: a.BornUnixMs, Result: res})
						}})
					}
				case ReadReport:
					r := runners[a.Upstream]
					r.completeDue(now)
					rep := Report{Models: r.held(), Busy: r.pending != nil, Sequence: r.sequence}
					queue = append(queue, delayed{now + time.Duration(rng.IntN(300))*time.Millisecond, func(now Time) {
						step(now, ReportReceived{Upstream: a.Upstream, BornUnixMs: a.BornUnixMs, Report: rep, Failed: rng.IntN(8) == 0})
					}})
				}
			}
		}
		for now := Time(0); now < 30*time.Second; now += 25 * time.Millisecond {
			for i := 0; i < len(queue); {
				if queue[i].at > now {
					i++
					continue
				}
				q := queue[i]
				queue = slices.Delete(queue, i, i+1)
				q.do(now)
			}
			for id, r := range runners {
				r.completeDue(now)
				r.checkCapacity(t, seed)
				if now%(1200*time.Millisecond) == 0 {
					if rng.IntN(40) == 0 { // restart with an empty state
						runners[id] = &fakeRunner{id: id, models: map[string]map[string]bool{}}
						born[id] += 1000
						r = runners[id]
					}
					r.heartbeats++
					b := heartbeat(id, r.heartbeats)
					b.BornUnixMs, b.Models, b.OnDisk = born[id], r.held(), nil
					delay := time.Duration(0)
					if rng.IntN(3) == 0 { // delayed: it predates orders sent meanwhile
						delay = time.Duration(rng.IntN(1500)) * time.Millisecond
					}
					queue = append(queue, delayed{now + delay, func(now Time) { step(now, HeartbeatReceived{b}) }})
				}
			}
			step(now, Tick{})
			if rng.IntN(8) == 0 {
				model := fmt.Sprintf("m%d", 1+rng.IntN(6))
				adapter := ""
				if rng.IntN(3) == 0 {
					adapter = fmt.Sprintf("a%d", 1+rng.IntN(4))
				}
				step(now, EntryReport{Entry: fmt.Sprintf("e%d", rng.IntN(3)), Demand: []*wire.ModelDemand{
					{Service: llm, Model: model, Adapter: adapter, Waiting: uint32(rng.IntN(3)), Running: uint32(rng.IntN(14)), Asked: uint32(now / 1e6)}}})
			}
		}
	}
}

// Upstreams join, move, take over each other's addresses, restart and leave. The
// address index must match the known upstreams throughout.
func TestRandom_AddressIndex(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		c := New(testSettings())
		c.Step(0, RoutingChanged{testConfig()})
		for n := range uint64(400) {
			s := heartbeat(fmt.Sprintf("r%d", rng.IntN(4)), n+1, "m1")
			s.BornUnixMs += int64(rng.IntN(4))
			s.Address = fmt.Sprintf("host%d:1", rng.IntN(4))
			now := Time(n) * 300 * time.Millisecond
			switch rng.IntN(8) {
			case 0:
				c.Step(now, HeartbeatReceived{&wire.UpstreamState{Id: s.Id, Leaves: true}})
			case 1:
				s.Phase = wire.UpstreamPhase_PHASE_GONE
				c.Step(now, EntrySnapshot{States: []*wire.UpstreamState{s}})
			case 2:
				c.Step(now, EntrySnapshot{States: []*wire.UpstreamState{s}})
			case 3:
				c.Step(now, Tick{})
			default:
				c.Step(now, HeartbeatReceived{s})
			}
			indexed := 0
			for addr, list := range c.byAddr {
				indexed += len(list)
				for _, u := range list {
					if u.state.Address != addr || c.byID[u.id()] != u {
						t.Fatalf("seed %d, step %d: upstream %s is indexed under %s", seed, n, u.id(), addr)
					}
				}
			}
			if indexed != len(c.byID) {
				t.Fatalf("seed %d, step %d: %d upstreams in the address index, %d known", seed, n, indexed, len(c.byID))
			}
		}
	}
}
