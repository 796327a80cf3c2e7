package orders

import (
	"fmt"
	"testing"
	"time"

	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// BenchmarkStep measures one announcement in a cell with a recovered log and settled
// runners, each with 6 models and 12 adapters.
func BenchmarkStep(b *testing.B) {
	for _, runners := range []int{9, 126} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) { benchmarkStep(b, runners) })
	}
}

func benchmarkStep(b *testing.B, runners int) {
	const models, adapters, knownModels = 6, 2, 750
	ev := LogRead{Index: 9, Spec: &wire.Spec{Index: 1}}
	for i := range knownModels {
		ev.Spec.Models = append(ev.Spec.Models, &wire.Model{Name: fmt.Sprintf("m%03d", i), Version: "1", Replicas: 3, MemoryMib: 1})
	}
	anns := make([]upstream.Announcement, runners)
	for i := range runners {
		id := fmt.Sprintf("r%03d", i)
		rec := &wire.UpstreamRecord{Id: id, Incarnation: 1, Cell: testCell, Zone: "a", Address: id, MemoryMib: 1000, Slots: 8, ChecksFencing: true}
		ev.Upstreams = append(ev.Upstreams, rec)
		a := upstream.Announcement{ID: id, Incarnation: 1, Address: id, Zone: "a", Cell: testCell, MemoryMiB: 1000, Slots: 8, ChecksFencing: true}
		a.State.Incarnation = 1
		for j := range models {
			for k := range adapters + 1 {
				o := &wire.Order{
					Id: fmt.Sprintf("%s-%d-%d", id, j, k), Kind: wire.OrderKind_ORDER_LOAD, Upstream: id, Incarnation: 1,
					Model: fmt.Sprintf("m%03d", (i*models+j)%knownModels), Version: "1", MemoryMib: 1, State: wire.OrderState_ORDER_LOADED, Index: 1,
				}
				if k > 0 {
					o.Kind, o.Adapter = wire.OrderKind_ORDER_LOAD_ADAPTER, fmt.Sprintf("x%d", k)
				}
				ev.Placements = append(ev.Placements, &wire.Placement{Order: o})
				a.State.Held = append(a.State.Held, upstream.HeldModel{Model: o.Model, Adapter: o.Adapter, Version: "1", MemoryMiB: 1, OrderID: o.Id})
			}
		}
		for j := range knownModels {
			a.State.Checkpoints = append(a.State.Checkpoints, upstream.Checkpoint{Model: fmt.Sprintf("m%03d", j), Version: "1", Tier: "disk"})
		}
		anns[i] = a
	}
	c := New(Options{Cell: testCell, Lease: testLease, Fence: 2})
	step := func(now Time, ev Event) {
		if _, err := c.Step(now, ev); err != nil {
			b.Fatal(err)
		}
	}
	step(0, ev)
	for i := range anns {
		step(0, StateRead{Upstream: anns[i].ID, State: anns[i].State})
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		a := anns[n%runners]
		a.Sequence = uint64(n + 1)
		step(Time(n)*time.Second/Time(runners), Announced{a})
		n++
	}
}
