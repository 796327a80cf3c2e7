package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gentiankeel/internal/wire"
)

// benchInput returns a cell of the given size, most of whose models are idle. Each
// runner holds some models of the five that it has memory for, and requests wait for
// one model in twenty.
func benchInput(runners, models, adapters, held int) Input {
	rnd := rand.New(rand.NewPCG(1, 1))
	in := Input{Now: time.Hour, Settings: DefaultSettings(), Spec: &wire.Spec{}, Budget: Budget{StoreStarts: 4, StoreMax: 4, AdapterMax: 32}}
	for i := range models {
		in.Spec.Models = append(in.Spec.Models, &wire.Model{
			Name: fmt.Sprintf("m%04d", i), Version: "1", Replicas: uint32(1 + runners/models + i%2), MemoryMib: 16384, IdleAfterS: 300,
		})
		for j := range adapters / models {
			in.Spec.Adapters = append(in.Spec.Adapters, &wire.Adapter{Model: fmt.Sprintf("m%04d", i), Name: fmt.Sprintf("x%03d", j), Version: "1", MemoryMib: 100})
		}
		d := Demand{Model: fmt.Sprintf("m%04d", i), LastUsed: time.Duration(rnd.Int64N(int64(time.Hour))), BurstInterval: 20 * time.Minute}
		if i%20 == 0 {
			d.Waiting, d.Oldest, d.Deadline, d.Class = 4, time.Hour, time.Hour+time.Minute, wire.Class_CLASS_NORMAL
		}
		in.Demand = append(in.Demand, d)
	}
	for i := range runners {
		r := Runner{ID: fmt.Sprintf("r%04d", i), Zone: string(rune('a' + i%3)), MemoryMiB: 81920, Slots: 8, Checkpoints: map[CheckpointKey]wire.Tier{}}
		for range models / 10 {
			r.Checkpoints[CheckpointKey{fmt.Sprintf("m%04d", rnd.IntN(models)), "1"}] = wire.Tier_TIER_DISK
		}
		for k := range held {
			m := fmt.Sprintf("m%04d", (i*held+k)%models)
			r.Allocations = append(r.Allocations, Allocation{OrderID: r.ID + m, Model: m, Version: "1", MemoryMiB: 16384, State: Loaded, LoadedAt: time.Minute, LastUsed: time.Hour - time.Minute})
		}
		in.Runners = append(in.Runners, r)
	}
	return in
}

func BenchmarkComputePlan(b *testing.B) {
	for _, size := range []struct{ runners, models, adapters, held int }{
		{12, 50, 60, 2}, {126, 750, 39000, 2}, {126, 750, 39000, 5}, {1000, 750, 39000, 2}, {3400, 750, 39000, 2}, {3400, 750, 39000, 5},
	} {
		in := benchInput(size.runners, size.models, size.adapters, size.held)
		b.Run(fmt.Sprintf("runners=%d/models=%d/adapters=%d/held=%d", size.runners, size.models, size.adapters, size.held), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ComputePlan(in)
			}
		})
	}
}
