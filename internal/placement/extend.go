package placement

import (
	"slices"
	"strconv"

	"gentiankeel/internal/wire"
)

// extensions bounds how often a plan is extended by what its own orders make possible: a
// load that changes a tie for a more urgent one, or gives a model a replica that lets
// another go. The random tests have needed two.
const extensions = 8

// committed returns the input after the orders were committed, none of them carried out.
func (in Input) committed(orders []Order) Input {
	at := make(map[string]int, len(in.Runners))
	for i := range in.Runners {
		at[in.Runners[i].ID] = i
	}
	in.Runners = slices.Clone(in.Runners)
	copied := make(map[string]bool, len(orders))
	for n := range orders {
		o := &orders[n]
		r := &in.Runners[at[o.Runner]]
		if !copied[o.Runner] {
			copied[o.Runner] = true
			r.Held = slices.Clone(r.Held)
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

func (r *Runner) load(o *Order, id string) {
	r.Held = append(r.Held, Held{
		OrderID: id, Model: o.Model, Version: o.Version, Adapter: o.Adapter, MemoryMiB: o.MemoryMiB, State: Loading,
	})
}

// unload marks what an order takes away: a model goes with its adapters.
func (r *Runner) unload(o *Order) {
	for i := range r.Held {
		h := &r.Held[i]
		if h.OrderID == o.Replaces || o.Adapter == "" && h.Model == o.Model {
			h.State, h.RoomFor = Unloading, o.RoomFor
		}
	}
}

func (b *Budget) charge(o *Order) {
	switch {
	case o.Adapter != "":
		b.AdapterInFlight++
	case o.Tier == wire.Tier_TIER_REMOTE:
		b.StoreInFlight++
		b.StoreStarts--
	}
}
