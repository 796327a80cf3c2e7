package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"gentiankeel/internal/pause"
	"gentiankeel/internal/upstream"
)

// maxRecentOrders bounds the replies that a runner keeps to answer repeated orders.
const maxRecentOrders = 256

// Stats counts what an upstream did, and orders that violated the protocol.
type Stats struct {
	MemoryViolations uint64 `json:"memory_violations"` // orders that would overcommit memory
	DoubleLoads      uint64 `json:"double_loads"`      // loads of a model or adapter that was held already
	BusyUnloads      uint64 `json:"busy_unloads"`      // unloads while requests ran on it
	FencedOrders     uint64 `json:"fenced_orders"`
	Loads            uint64 `json:"loads"`
	Unloads          uint64 `json:"unloads"`
	Served           uint64 `json:"served"`
	Refused          uint64 `json:"refused"`
	Cancelled        uint64 `json:"cancelled"`
}

// allocationKey identifies a model, or an adapter of a model.
type allocationKey struct{ model, adapter string }

// allocation is a model or adapter that occupies accelerator memory.
type allocation struct {
	upstream.HeldModel
	unloading bool
	running   int
	drained   chan struct{} // closed when unloading and no request runs on it
}

// accelerator simulates the memory of one runner and carries out its load and unload
// orders.
type accelerator struct {
	opts     *Options
	ctx      context.Context
	onChange func() // called after every change, without mu held

	mu          sync.Mutex
	rng         *rand.Rand
	fence       uint64
	allocations map[allocationKey]*allocation
	replies     map[string]*upstream.OrderReply
	recentIDs   []string
	tiers       map[string]string // tier by checkpointKey; missing means remote
	inMemory    []string          // checkpoint keys in host memory, oldest first
	stats       Stats
}

func newAccelerator(ctx context.Context, opts *Options, rng *rand.Rand, onChange func()) *accelerator {
	a := &accelerator{
		opts:        opts,
		ctx:         ctx,
		onChange:    onChange,
		rng:         rng,
		allocations: map[allocationKey]*allocation{},
		replies:     map[string]*upstream.OrderReply{},
		tiers:       map[string]string{},
	}
	for _, c := range opts.Checkpoints {
		a.tiers[checkpointKey(c.Model, c.Version)] = c.Tier
	}
	return a
}

// checkpointKey joins a model and its version with a NUL, which names don't contain.
func checkpointKey(model, version string) string { return model + "\x00" + version }

// acceptFence records a fencing number and reports whether it is current. A runner
// that does not check fencing accepts every number.
func (a *accelerator) acceptFence(fence uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acceptFenceLocked(fence)
}

func (a *accelerator) acceptFenceLocked(fence uint64) bool {
	if !a.opts.ChecksFencing {
		return true
	}
	if fence < a.fence {
		return false
	}
	a.fence = fence
	return true
}

// startOrder starts an order and returns its state. An order whose ID is repeated is not
// started again; the reply holds the current state of the first one.
func (a *accelerator) startOrder(o upstream.Order) upstream.OrderReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.replies[o.ID]; ok {
		return *r
	}
	if o.Incarnation != a.opts.Incarnation || !a.acceptFenceLocked(o.Fence) {
		a.stats.FencedOrders++
		return upstream.OrderReply{ID: o.ID, State: upstream.OrderFenced, Detail: "old fencing number or incarnation"}
	}
	r := &upstream.OrderReply{ID: o.ID, State: upstream.OrderAccepted}
	a.storeReply(r)
	switch o.Kind {
	case upstream.OrderLoad, upstream.OrderLoadAdapter:
		a.startLoad(o, r)
	case upstream.OrderUnload, upstream.OrderUnloadAdapter:
		a.startUnload(o, r)
	default:
		a.setFailed(r, "unknown kind of order")
	}
	return *r
}

func (a *accelerator) storeReply(r *upstream.OrderReply) {
	a.replies[r.ID] = r
	a.recentIDs = append(a.recentIDs, r.ID)
	if len(a.recentIDs) > maxRecentOrders {
		delete(a.replies, a.recentIDs[0])
		a.recentIDs = a.recentIDs[1:]
	}
}

func (a *accelerator) setFailed(r *upstream.OrderReply, format string, args ...any) {
	r.State = upstream.OrderFailed
	r.Detail = fmt.Sprintf(format, args...)
}

// startLoad starts a load, or fails the order if it violates the protocol. mu must be
// held.
func (a *accelerator) startLoad(o upstream.Order, r *upstream.OrderReply) {
	key := allocationKey{o.Model, o.Adapter}
	if alloc, ok := a.allocations[key]; ok {
		a.stats.DoubleLoads++
		a.setFailed(r, "%s is held by order %s", o.Model, alloc.OrderID)
		return
	}
	if o.Adapter != "" {
		base := a.allocations[allocationKey{o.Model, ""}]
		if base == nil || base.Loading || base.unloading {
			a.setFailed(r, "the model of adapter %s is not loaded", o.Adapter)
			return
		}
	}
	if used := a.usedMiB(); used+o.MemoryMiB > a.opts.MemoryMiB {
		a.stats.MemoryViolations++
		a.setFailed(r, "%d MiB of %d MiB are in use, %d MiB do not fit", used, a.opts.MemoryMiB, o.MemoryMiB)
		return
	}
	alloc := &allocation{HeldModel: upstream.HeldModel{
		Model: o.Model, Version: o.Version, Adapter: o.Adapter,
		MemoryMiB: o.MemoryMiB, Loading: true, OrderID: o.ID,
	}}
	a.allocations[key] = alloc
	rng := rand.New(rand.NewPCG(a.rng.Uint64(), a.rng.Uint64()))
	go a.load(alloc, r, a.tier(o.Model, o.Version), rng)
}

func (a *accelerator) load(alloc *allocation, r *upstream.OrderReply, tier string, rng *rand.Rand) {
	a.onChange()
	if a.transfer(alloc, tier, rng) != nil {
		return // the upstream is closing
	}
	a.mu.Lock()
	alloc.Loading = false
	r.State = upstream.OrderDone
	a.stats.Loads++
	if alloc.Adapter == "" && tier != "memory" {
		a.tiers[checkpointKey(alloc.Model, alloc.Version)] = "disk"
	}
	a.mu.Unlock()
	a.onChange()
}

// transfer blocks for the time of a load from the tier.
func (a *accelerator) transfer(alloc *allocation, tier string, rng *rand.Rand) error {
	l := a.opts.Latency
	switch {
	case alloc.Adapter != "":
		return a.opts.Adapters.Load(a.ctx, rng)
	case tier == "memory":
		return pause.For(a.ctx, l.LoadMemory)
	case tier == "disk":
		return pause.For(a.ctx, l.LoadDisk)
	default:
		return a.opts.Store.Load(a.ctx, l.LoadRemote)
	}
}

// startUnload starts an unload. An order for what is not held is done at once. mu must be
// held.
func (a *accelerator) startUnload(o upstream.Order, r *upstream.OrderReply) {
	alloc, ok := a.allocations[allocationKey{o.Model, o.Adapter}]
	if !ok || alloc.Version != o.Version {
		r.State = upstream.OrderDone
		r.Detail = "not held"
		return
	}
	if alloc.Loading || alloc.unloading {
		a.setFailed(r, "%s is being loaded or unloaded", o.Model)
		return
	}
	alloc.unloading = true
	alloc.drained = make(chan struct{})
	if alloc.running > 0 {
		a.stats.BusyUnloads++
	} else {
		close(alloc.drained)
	}
	go a.unload(alloc, r)
}

// unload waits for running requests, then frees the memory.
func (a *accelerator) unload(alloc *allocation, r *upstream.OrderReply) {
	select {
	case <-alloc.drained:
	case <-a.ctx.Done():
		return
	}
	if pause.For(a.ctx, a.opts.Latency.Unload) != nil {
		return
	}
	a.mu.Lock()
	r.State = upstream.OrderDone
	a.stats.Unloads++
	a.free(alloc)
	a.mu.Unlock()
	a.onChange()
}

// free removes an allocation; a model's adapters are removed with it. mu must be held.
func (a *accelerator) free(alloc *allocation) {
	delete(a.allocations, allocationKey{alloc.Model, alloc.Adapter})
	if alloc.Adapter != "" {
		return
	}
	for k := range a.allocations {
		if k.model == alloc.Model {
			delete(a.allocations, k)
		}
	}
	a.addToMemoryTier(checkpointKey(alloc.Model, alloc.Version))
}

// addToMemoryTier keeps the weights of an unloaded model in host memory. Beyond the
// limit, the oldest weights there move to disk.
func (a *accelerator) addToMemoryTier(key string) {
	a.tiers[key] = "memory"
	a.inMemory = slices.DeleteFunc(a.inMemory, func(k string) bool { return k == key })
	a.inMemory = append(a.inMemory, key)
	if len(a.inMemory) > a.opts.MemoryTier {
		a.tiers[a.inMemory[0]] = "disk"
		a.inMemory = a.inMemory[1:]
	}
}

func (a *accelerator) tier(model, version string) string {
	if t, ok := a.tiers[checkpointKey(model, version)]; ok {
		return t
	}
	return "remote"
}

func (a *accelerator) usedMiB() uint64 {
	var sum uint64
	for _, alloc := range a.allocations {
		sum += alloc.MemoryMiB
	}
	return sum
}

// beginRequest counts a request as running on a model and its adapter and returns the
// function that ends it. If one of them is not loaded, the function is nil and reason
// says which.
func (a *accelerator) beginRequest(model, adapter string) (end func(), version, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	keys := []allocationKey{{model, ""}}
	if adapter != "" {
		keys = append(keys, allocationKey{model, adapter})
	}
	allocs := make([]*allocation, 0, len(keys))
	for _, k := range keys {
		alloc := a.allocations[k]
		if alloc == nil || alloc.Loading || alloc.unloading {
			return nil, "", strings.TrimSuffix(k.model+":"+k.adapter, ":") + " is not loaded"
		}
		allocs = append(allocs, alloc)
	}
	for _, alloc := range allocs {
		alloc.running++
	}
	return func() { a.endRequest(allocs) }, allocs[0].Version, ""
}

func (a *accelerator) endRequest(allocs []*allocation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, alloc := range allocs {
		alloc.running--
		if alloc.running == 0 && alloc.unloading {
			close(alloc.drained)
		}
	}
}

func (a *accelerator) updateStats(update func(*Stats)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	update(&a.stats)
}

func (a *accelerator) snapshotStats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats
}

// state returns the reported state without the load, which is reported with a delay.
func (a *accelerator) state() upstream.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := upstream.State{Incarnation: a.opts.Incarnation, Fence: a.fence}
	for _, alloc := range a.allocations {
		s.Held = append(s.Held, alloc.HeldModel)
	}
	slices.SortFunc(s.Held, func(x, y upstream.HeldModel) int {
		return strings.Compare(x.Model+"\x00"+x.Adapter, y.Model+"\x00"+y.Adapter)
	})
	for key, tier := range a.tiers {
		model, version, _ := strings.Cut(key, "\x00")
		s.Checkpoints = append(s.Checkpoints, upstream.Checkpoint{Model: model, Version: version, Tier: tier})
	}
	slices.SortFunc(s.Checkpoints, func(x, y upstream.Checkpoint) int {
		return strings.Compare(checkpointKey(x.Model, x.Version), checkpointKey(y.Model, y.Version))
	})
	for _, id := range a.recentIDs {
		s.Orders = append(s.Orders, *a.replies[id])
	}
	return s
}
