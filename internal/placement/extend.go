package placement

import (
	"slices"
	"strconv"

	"gentiankeel/internal/wire"
)

// maxExtensions bounds how often ComputePlan plans again on top of its own orders. These
// can make more orders possible: a load may break a tie for a more urgent one, or give a
// model a replica so that another can be unloaded. Random tests have needed two
// extensions.
const maxExtensions = 8

// afterCommit returns the input as it is once the orders are committed and none of them
// has been carried out.
func (in Input) afterCommit(orders []Order) Input {
	byID := make(map[string]int, len(in.Runners))
	for i := range in.Runners {
		byID[in.Runners[i].ID] = i
	}
	in.Runners = slices.Clone(in.Runners)
	copied := make(map[string]bool, len(orders))
	for n := range orders {
		o := &orders[n]
		r := &in.Runners[byID[o.Runner]]
		if !copied[o.Runner] {
			copied[o.Runner] = true
			r.Allocations = slices.Clone(r.Allocations)
		}
		if o.Kind.IsLoad() {
			r.load(o, "planned-"+strconv.Itoa(n))
			in.Budget.charge(o)
		} else {
			r.unload(o)
		}
	}
	return in
}

// load adds what a committed load will occupy.
func (r *Runner) load(o *Order, id string) {
	r.Allocations = append(r.Allocations, Allocation{
		OrderID: id, Model: o.Model, Version: o.Version, Adapter: o.Adapter, MemoryMiB: o.MemoryMiB, State: Loading,
	})
}

// unload marks what a committed unload will free. A model is unloaded with its
// adapters.
func (r *Runner) unload(o *Order) {
	for i := range r.Allocations {
		alloc := &r.Allocations[i]
		if alloc.OrderID == o.LoadOrderID || o.Adapter == "" && alloc.Model == o.Model {
			alloc.State, alloc.EvictedFor = Unloading, o.EvictedFor
		}
	}
}

// charge deducts a committed load from the budget.
func (b *Budget) charge(o *Order) {
	switch {
	case o.Adapter != "":
		b.AdapterInFlight++
	case o.Tier == wire.Tier_TIER_REMOTE:
		b.StoreInFlight++
		b.StoreStarts--
	}
}
