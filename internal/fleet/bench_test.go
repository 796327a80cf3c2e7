package fleet

import (
	"fmt"
	"testing"
	"time"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// BenchmarkPlan measures one entry report and the plan that follows, at the sizes of two
// deployments in use and of the largest one to support.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ runners, models, entries int }{{9, 50, 9}, {140, 778, 86}, {3400, 750, 330}} {
		b.Run(fmt.Sprintf("runners=%d", size.runners), func(b *testing.B) {
			cfg := testConfig()
			e := cfg.Services[0].Engine
			e.Models = nil
			for i := range size.models {
				e.Models = append(e.Models, routing.Model{Name: fmt.Sprintf("m%d", i), WeightsMB: 70, StoreLoadTime: 8 * time.Second, DiskLoadTime: time.Second})
			}
			set := DefaultSettings()
			set.PlanInterval, set.PlanIntervalPerUpstream = 0, 0
			c := New(set)
			c.Step(0, RoutingChanged{cfg})
			for i := range size.runners {
				id := fmt.Sprintf("r%d", i)
				held := []string{fmt.Sprintf("m%d", i%size.models), fmt.Sprintf("m%d", (i+7)%size.models)}
				c.settings.PlanInterval = time.Hour // no plan until all upstreams are known
				c.Step(0, HeartbeatReceived{heartbeat(id, 1, held...)})
				c.Step(0, ReportReceived{Upstream: id, BornUnixMs: 1000, Report: runnerReport(held...)})
			}
			c.settings.PlanInterval, c.nextPlan = 0, 0
			reports := make([]EntryReport, size.entries)
			for i := range reports {
				reports[i] = EntryReport{Entry: fmt.Sprintf("e%d", i)}
				for j := range 20 {
					reports[i].Demand = append(reports[i].Demand, &wire.ModelDemand{Service: llm, Model: fmt.Sprintf("m%d", (i*20+j)%size.models),
						Running: 2, Asked: uint32(j)})
				}
				c.Step(0, reports[i])
			}
			b.ResetTimer()
			for i := range b.N {
				c.Step(Time(i+1)*time.Millisecond, reports[i%len(reports)])
			}
		})
	}
}

// BenchmarkHeartbeat measures one heartbeat that changes nothing, at the same sizes.
func BenchmarkHeartbeat(b *testing.B) {
	for _, runners := range []int{9, 140, 3400} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			c := New(DefaultSettings())
			send := func(n int) {
				s := heartbeat(fmt.Sprintf("r%d", n%runners), uint64(n/runners+1), "m1")
				c.Step(0, HeartbeatReceived{s})
			}
			for n := range runners {
				send(n)
			}
			b.ResetTimer()
			for n := range b.N {
				send(runners + n)
			}
		})
	}
}

// largeCore returns a core that follows a deployment with 256 runners of three models each, and
// whose entries wait for some of its 1,421 models. No plan has been made.
func largeCore(waitedFor int) *Core {
	const runners, models, entries, heldByRunner = 256, 1421, 295, 3
	cfg := testConfig()
	e := cfg.Services[0].Engine
	e.Slots, e.WeightMemoryMB, e.AdapterSlots, e.StoreLoadsPerSecond = 16, 230_000, 8, 100
	e.Models = nil
	for i := range models {
		e.Models = append(e.Models, routing.Model{Name: fmt.Sprintf("m%d", i), WeightsMB: 72_700, AdapterMB: 66,
			StoreLoadTime: 7800 * time.Millisecond, DiskLoadTime: 840 * time.Millisecond, MemoryLoadTime: 630 * time.Millisecond})
	}
	set := DefaultSettings()
	set.PlanInterval = time.Hour // no plan until all is known
	c := New(set)
	c.Step(0, RoutingChanged{cfg})
	c.nextPlan = time.Hour
	for i := range runners {
		id := fmt.Sprintf("r%d", i)
		var held []string
		for j := range heldByRunner {
			held = append(held, fmt.Sprintf("m%d", (i*heldByRunner+j)%models))
		}
		c.Step(0, HeartbeatReceived{heartbeat(id, 1, held...)})
		c.Step(0, ReportReceived{Upstream: id, BornUnixMs: 1000, Report: runnerReport(held...)})
	}
	for i := range entries {
		rep := EntryReport{Entry: fmt.Sprintf("e%d", i)}
		for j := i; j < runners*heldByRunner; j += entries {
			rep.Demand = append(rep.Demand, &wire.ModelDemand{Service: llm, Model: fmt.Sprintf("m%d", j), Running: 1, Asked: 1})
			rep.Loads = append(rep.Loads, &wire.UpstreamLoad{Upstream: fmt.Sprintf("r%d", j/heldByRunner), Running: 1,
				Models: []*wire.ModelRunning{{Model: fmt.Sprintf("m%d", j), Running: 1}}})
		}
		for j := i; j < waitedFor; j += entries {
			rep.Demand = append(rep.Demand, &wire.ModelDemand{Service: llm, Model: fmt.Sprintf("m%d", runners*heldByRunner+j), Waiting: 1, Asked: 1})
		}
		c.Step(0, rep)
	}
	c.settings.PlanInterval, c.nextPlan = 0, 0
	return c
}

// BenchmarkPlanWaiting measures a plan by the number of models that requests wait for.
func BenchmarkPlanWaiting(b *testing.B) {
	for _, waitedFor := range []int{0, 100, 200, 400} {
		b.Run(fmt.Sprintf("models=%d", waitedFor), func(b *testing.B) {
			c := largeCore(waitedFor)
			c.Step(0, Tick{}) // orders what can be ordered
			b.ResetTimer()
			for i := range b.N {
				c.nextPlan = 0
				c.Step(Time(i+1)*time.Microsecond, Tick{})
			}
		})
	}
}
