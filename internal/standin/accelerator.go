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

// recentOrders is how many orders a runner remembers with their outcomes.
const recentOrders = 256

// Stats counts what an upstream did, and what should never have been asked of it.
type Stats struct {
	MemoryViolations uint64 `json:"memory_violations"` // orders that would overcommit memory
	DoubleLoads      uint64 `json:"double_loads"`      // loads of what was held already
	BusyUnloads      uint64 `json:"busy_unloads"`      // unloads while requests ran on it
	FencedOrders     uint64 `json:"fenced_orders"`
	Loads            uint64 `json:"loads"`
	Unloads          uint64 `json:"unloads"`
	Served           uint64 `json:"served"`
	Refused          uint64 `json:"refused"`
	Cancelled        uint64 `json:"cancelled"`
}

// holdKey names a model, or an adapter on it.
type holdKey struct{ model, adapter string }

type hold struct {
	upstream.HeldModel
	unloading bool
	running   int
	idle      chan struct{} // closed when unloading and nothing runs any more
}

// accelerator is the memory of one runner and what it holds.
type accelerator struct {
	o       *Options
	ctx     context.Context
	changed func() // called without the lock after every change

	mu       sync.Mutex
	rnd      *rand.Rand
	fence    uint64
	held     map[holdKey]*hold
	orders   map[string]*upstream.OrderReply
	recent   []string
	tiers    map[string]string // model and version -> tier
	inMemory []string          // keys of tiers in host memory, oldest first
	stats    Stats
}

func newAccelerator(ctx context.Context, o *Options, rnd *rand.Rand, changed func()) *accelerator {
	a := &accelerator{
		o:       o,
		ctx:     ctx,
		changed: changed,
		rnd:     rnd,
		held:    map[holdKey]*hold{},
		orders:  map[string]*upstream.OrderReply{},
		tiers:   map[string]string{},
	}
	for _, c := range o.Checkpoints {
		a.tiers[checkpointKey(c.Model, c.Version)] = c.Tier
	}
	return a
}

func checkpointKey(model, version string) string { return model + "\x00" + version }

// admitsFence takes note of a fencing number and tells whether it is current.
func (a *accelerator) admitsFence(fence uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admitsFenceLocked(fence)
}

func (a *accelerator) admitsFenceLocked(fence uint64) bool {
	if !a.o.ChecksFencing {
		return true
	}
	if fence < a.fence {
		return false
	}
	a.fence = fence
	return true
}

// order starts an order, or answers with the state of the one that has its ID.
func (a *accelerator) order(o upstream.Order) upstream.OrderReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.orders[o.ID]; ok {
		return *r
	}
	if o.Incarnation != a.o.Incarnation || !a.admitsFenceLocked(o.Fence) {
		a.stats.FencedOrders++
		return upstream.OrderReply{ID: o.ID, State: upstream.OrderFenced, Detail: "old fencing number or incarnation"}
	}
	r := &upstream.OrderReply{ID: o.ID, State: upstream.OrderAccepted}
	a.remember(r)
	switch o.Kind {
	case upstream.OrderLoad, upstream.OrderLoadAdapter:
		a.startLoad(o, r)
	case upstream.OrderUnload, upstream.OrderUnloadAdapter:
		a.startUnload(o, r)
	default:
		a.fail(r, "unknown kind of order")
	}
	return *r
}

func (a *accelerator) remember(r *upstream.OrderReply) {
	a.orders[r.ID] = r
	a.recent = append(a.recent, r.ID)
	if len(a.recent) > recentOrders {
		delete(a.orders, a.recent[0])
		a.recent = a.recent[1:]
	}
}

func (a *accelerator) fail(r *upstream.OrderReply, format string, args ...any) {
	r.State = upstream.OrderFailed
	r.Detail = fmt.Sprintf(format, args...)
}

func (a *accelerator) startLoad(o upstream.Order, r *upstream.OrderReply) {
	key := holdKey{o.Model, o.Adapter}
	if h, ok := a.held[key]; ok {
		a.stats.DoubleLoads++
		a.fail(r, "%s is held by order %s", o.Model, h.OrderID)
		return
	}
	if o.Adapter != "" {
		base := a.held[holdKey{o.Model, ""}]
		if base == nil || base.Loading || base.unloading {
			a.fail(r, "the model of adapter %s is not loaded", o.Adapter)
			return
		}
	}
	if used := a.used(); used+o.MemoryMiB > a.o.MemoryMiB {
		a.stats.MemoryViolations++
		a.fail(r, "%d MiB of %d MiB are in use, %d MiB do not fit", used, a.o.MemoryMiB, o.MemoryMiB)
		return
	}
	h := &hold{HeldModel: upstream.HeldModel{
		Model: o.Model, Version: o.Version, Adapter: o.Adapter,
		MemoryMiB: o.MemoryMiB, Loading: true, OrderID: o.ID,
	}}
	a.held[key] = h
	rnd := rand.New(rand.NewPCG(a.rnd.Uint64(), a.rnd.Uint64()))
	go a.load(h, r, a.tier(o.Model, o.Version), rnd)
}

func (a *accelerator) load(h *hold, r *upstream.OrderReply, tier string, rnd *rand.Rand) {
	a.changed()
	if a.transfer(h, tier, rnd) != nil {
		return // the upstream is being closed
	}
	a.mu.Lock()
	h.Loading = false
	r.State = upstream.OrderDone
	a.stats.Loads++
	if h.Adapter == "" && tier != "memory" {
		a.tiers[checkpointKey(h.Model, h.Version)] = "disk"
	}
	a.mu.Unlock()
	a.changed()
}

func (a *accelerator) transfer(h *hold, tier string, rnd *rand.Rand) error {
	l := a.o.Latency
	switch {
	case h.Adapter != "":
		return a.o.Adapters.Load(a.ctx, rnd)
	case tier == "memory":
		return pause.For(a.ctx, l.LoadMemory)
	case tier == "disk":
		return pause.For(a.ctx, l.LoadDisk)
	default:
		return a.o.Store.Load(a.ctx, l.LoadRemote)
	}
}

func (a *accelerator) startUnload(o upstream.Order, r *upstream.OrderReply) {
	h, ok := a.held[holdKey{o.Model, o.Adapter}]
	if !ok || h.Version != o.Version {
		r.State = upstream.OrderDone
		r.Detail = "not held"
		return
	}
	if h.Loading || h.unloading {
		a.fail(r, "%s is being loaded or unloaded", o.Model)
		return
	}
	h.unloading = true
	h.idle = make(chan struct{})
	if h.running > 0 {
		a.stats.BusyUnloads++
	} else {
		close(h.idle)
	}
	go a.unload(h, r)
}

// unload lets running requests end before the memory is freed.
func (a *accelerator) unload(h *hold, r *upstream.OrderReply) {
	select {
	case <-h.idle:
	case <-a.ctx.Done():
		return
	}
	if pause.For(a.ctx, a.o.Latency.Unload) != nil {
		return
	}
	a.mu.Lock()
	r.State = upstream.OrderDone
	a.stats.Unloads++
	a.drop(h)
	a.mu.Unlock()
	a.changed()
}

// drop frees a hold; the adapters of a model go with it.
func (a *accelerator) drop(h *hold) {
	delete(a.held, holdKey{h.Model, h.Adapter})
	if h.Adapter != "" {
		return
	}
	for k := range a.held {
		if k.model == h.Model {
			delete(a.held, k)
		}
	}
	a.keepInMemory(checkpointKey(h.Model, h.Version))
}

// keepInMemory keeps the weights of an unloaded model in host memory; the oldest
// beyond the limit stay on disk.
func (a *accelerator) keepInMemory(key string) {
	a.tiers[key] = "memory"
	a.inMemory = slices.DeleteFunc(a.inMemory, func(k string) bool { return k == key })
	a.inMemory = append(a.inMemory, key)
	if len(a.inMemory) > a.o.MemoryTier {
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

func (a *accelerator) used() uint64 {
	var sum uint64
	for _, h := range a.held {
		sum += h.MemoryMiB
	}
	return sum
}

// begin counts a request that runs on a model and its adapter. It returns nil and a
// reason when they can't run it.
func (a *accelerator) begin(model, adapter string) (end func(), version, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	keys := []holdKey{{model, ""}}
	if adapter != "" {
		keys = append(keys, holdKey{model, adapter})
	}
	holds := make([]*hold, 0, len(keys))
	for _, k := range keys {
		h := a.held[k]
		if h == nil || h.Loading || h.unloading {
			return nil, "", strings.TrimSuffix(k.model+":"+k.adapter, ":") + " is not loaded"
		}
		holds = append(holds, h)
	}
	for _, h := range holds {
		h.running++
	}
	return func() { a.end(holds) }, holds[0].Version, ""
}

func (a *accelerator) end(holds []*hold) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range holds {
		h.running--
		if h.running == 0 && h.unloading {
			close(h.idle)
		}
	}
}

func (a *accelerator) count(f func(*Stats)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(&a.stats)
}

func (a *accelerator) snapshotStats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats
}

// state returns all but the load, which is reported late.
func (a *accelerator) state() upstream.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := upstream.State{Incarnation: a.o.Incarnation, Fence: a.fence}
	for _, h := range a.held {
		s.Held = append(s.Held, h.HeldModel)
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
	for _, id := range a.recent {
		s.Orders = append(s.Orders, *a.orders[id])
	}
	return s
}
