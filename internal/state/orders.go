package state

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// maxReasonBytes bounds the reason that a scheduler gives for an order.
const maxReasonBytes = 512

// commitOrders decides orders. Each is checked by itself against the state that the ones
// before it left, so that a plan made from an old view can't overcommit anything.
func (m *Machine) commitOrders(cmd *wire.CommitOrders) *wire.Result {
	if r := m.fenced(cmd.GetLease(), cmd.GetFence()); r != nil {
		return r
	}
	r := m.ok()
	cell := cellOf(cmd.Lease)
	for _, o := range cmd.Orders {
		r.Orders = append(r.Orders, m.commitOrder(cell, cmd.Fence, o))
	}
	return r
}

func (m *Machine) commitOrder(cell string, fence uint64, o *wire.Order) *wire.OrderResult {
	res := &wire.OrderResult{Id: bounded(o.GetId(), maxNameBytes)}
	if why := checkOrderShape(cell, o); why != "" {
		res.Why = why
		return res
	}
	if committed := m.findOrder(o.Id); committed != nil {
		// A resend after a lost answer is the same decision, made once.
		res.Accepted = sameOrder(committed, o)
		res.Why = "the order id was committed before"
		return res
	}
	u := m.upstreams.byID[o.Upstream]
	why := m.checkUpstream(cell, u, o)
	if why == "" {
		why = m.checkKind(u, o)
	}
	if why != "" {
		res.Why = why
		m.note(subjectOf(o), "order refused for %s: %s", bounded(o.Upstream, maxNameBytes), why)
		return res
	}
	m.record(u, m.decided(u, o, fence))
	res.Accepted = true
	return res
}

func checkOrderShape(cell string, o *wire.Order) string {
	adapterOrder := o.GetKind() == wire.OrderKind_ORDER_LOAD_ADAPTER || o.GetKind() == wire.OrderKind_ORDER_UNLOAD_ADAPTER
	switch {
	case !isName(o.GetId()) || !isName(o.GetModel()):
		return "an order needs an id and a model"
	case adapterOrder != (o.Adapter != "") || adapterOrder && !isName(o.Adapter):
		return "an adapter is named by adapter orders, and only by them"
	case o.Cell != "" && o.Cell != cell:
		return "the order's cell is not the lease's"
	}
	return ""
}

func (m *Machine) checkUpstream(cell string, u *upstreamState, o *wire.Order) string {
	switch {
	case u == nil:
		return "the upstream is not registered"
	case u.rec.Incarnation != o.Incarnation && !m.off.skipIncarnationCheck:
		return fmt.Sprintf("incarnation %d is not the current one, %d", o.Incarnation, u.rec.Incarnation)
	case u.rec.Cell != cell:
		return "the upstream's cell is not the lease's"
	case u.rec.Service != "":
		return "the upstream is a plain service"
	}
	return ""
}

func (m *Machine) checkKind(u *upstreamState, o *wire.Order) string {
	switch o.Kind {
	case wire.OrderKind_ORDER_LOAD:
		return m.checkLoad(u, o)
	case wire.OrderKind_ORDER_LOAD_ADAPTER:
		return m.checkLoadAdapter(u, o)
	case wire.OrderKind_ORDER_UNLOAD, wire.OrderKind_ORDER_UNLOAD_ADAPTER:
		return checkUnload(u, o)
	default:
		return "the order has no known kind"
	}
}

func (m *Machine) checkLoad(u *upstreamState, o *wire.Order) string {
	model := spec.FindModel(m.files.current, o.Model)
	switch {
	case model == nil:
		return "the applied file has no such model"
	case model.Version != o.Version:
		return fmt.Sprintf("the applied file has version %s of the model", model.Version)
	case len(model.Zones) > 0 && !slices.Contains(model.Zones, u.rec.Zone):
		return "the applied file does not allow the model in zone " + u.rec.Zone
	case u.held[slotKey{model: o.Model}] != nil:
		return "the upstream holds the model already"
	}
	// Every version, cell and unsettled order counts.
	if n := len(m.upstreams.models[o.Model]); n >= int(model.Replicas) && !m.off.skipReplicaCheck {
		return fmt.Sprintf("the model has %d replicas, the applied file allows %d", n, model.Replicas)
	}
	return m.checkMemory(u, o, model.MemoryMib)
}

func (m *Machine) checkLoadAdapter(u *upstreamState, o *wire.Order) string {
	adapter := spec.FindAdapter(m.files.current, o.Model, o.Adapter)
	model := u.held[slotKey{model: o.Model}]
	switch {
	case adapter == nil:
		return "the applied file has no such adapter"
	case adapter.Version != o.Version:
		return fmt.Sprintf("the applied file has version %s of the adapter", adapter.Version)
	case model == nil || model.load.State != wire.OrderState_ORDER_LOADED:
		return "the upstream does not hold the adapter's model"
	case model.unload != nil:
		return "the adapter's model is being unloaded"
	case u.held[slotKey{o.Model, o.Adapter}] != nil:
		return "the upstream holds the adapter already"
	}
	return m.checkMemory(u, o, adapter.MemoryMib)
}

// checkMemory counts all that is loaded, loading, unloading or unsettled.
func (m *Machine) checkMemory(u *upstreamState, o *wire.Order, need uint64) string {
	if o.MemoryMib != 0 && o.MemoryMib != need {
		return fmt.Sprintf("the applied file says %d MiB, the order %d", need, o.MemoryMib)
	}
	if u.memory+need > u.rec.MemoryMib && !m.off.skipMemoryCheck {
		return fmt.Sprintf("%d MiB are needed, %d of %d are committed", need, u.memory, u.rec.MemoryMib)
	}
	return ""
}

// checkUnload allows the unload of what is known to be loaded. A model takes its loaded
// adapters along; while an adapter's order is open, a late one could meet the model's
// successor, so the model waits.
func checkUnload(u *upstreamState, o *wire.Order) string {
	h := u.held[slotKey{o.Model, o.Adapter}]
	switch {
	case h == nil:
		return "the upstream does not hold it"
	case h.open():
		return "an order is open on it"
	case o.Version != "" && o.Version != h.load.Version:
		return fmt.Sprintf("the upstream holds version %s", h.load.Version)
	case o.MemoryMib != 0 && o.MemoryMib != h.load.MemoryMib:
		return fmt.Sprintf("it holds %d MiB", h.load.MemoryMib)
	case o.Adapter != "" && u.unloading(h):
		return "its model is being unloaded and takes it along"
	}
	if o.Adapter != "" {
		return ""
	}
	for _, a := range u.adapters(o.Model) {
		if a.open() {
			return "an order is open on its adapter " + a.load.Adapter
		}
	}
	return ""
}

// decided returns the order as the log remembers it.
func (m *Machine) decided(u *upstreamState, o *wire.Order, fence uint64) *wire.Order {
	d := proto.CloneOf(o)
	d.Cell = u.rec.Cell
	d.Fence = fence
	d.State = wire.OrderState_ORDER_OPEN
	d.SpecIndex = m.files.appliedIndex()
	d.Index = m.index
	d.DecidedReplicas = 0
	d.Reason = bounded(o.Reason, maxReasonBytes)
	switch o.Kind {
	case wire.OrderKind_ORDER_LOAD:
		model := spec.FindModel(m.files.current, o.Model)
		d.MemoryMib = model.MemoryMib
		d.DecidedReplicas = model.Replicas
	case wire.OrderKind_ORDER_LOAD_ADAPTER:
		d.MemoryMib = spec.FindAdapter(m.files.current, o.Model, o.Adapter).MemoryMib
	default:
		h := u.held[slotKey{o.Model, o.Adapter}]
		d.Version = h.load.Version
		d.MemoryMib = h.load.MemoryMib
	}
	return d
}

func (m *Machine) record(u *upstreamState, d *wire.Order) {
	verb := "load"
	if d.Kind.IsLoad() {
		m.hold(u, &holding{load: d})
	} else {
		verb = "unload"
		u.held[slotKey{d.Model, d.Adapter}].unload = d
		m.upstreams.orders[d.Id] = orderRef{u.rec.Id, slotKey{d.Model, d.Adapter}}
	}
	m.note(subjectOf(d), "%s on %s decided under fence %d: %s", verb, u.rec.Id, d.Fence, d.Reason)
}

// findOrder returns an open order or the load of a placement.
func (m *Machine) findOrder(id string) *wire.Order {
	ref, ok := m.upstreams.orders[id]
	if !ok {
		return nil
	}
	h := m.upstreams.byID[ref.upstream].held[ref.key]
	if h.unload.GetId() == id {
		return h.unload
	}
	return h.load
}

func sameOrder(a, b *wire.Order) bool {
	return a.Kind == b.Kind && a.Upstream == b.Upstream && a.Incarnation == b.Incarnation &&
		a.Model == b.Model && a.Adapter == b.Adapter && (b.Version == "" || a.Version == b.Version)
}

// settleOrders closes orders with what their upstreams reported. An order without a
// sure outcome is not settled: it goes on holding its slot and memory.
func (m *Machine) settleOrders(cmd *wire.SettleOrders) *wire.Result {
	if r := m.fenced(cmd.GetLease(), cmd.GetFence()); r != nil {
		return r
	}
	r := m.ok()
	for _, s := range cmd.Settlements {
		res := &wire.OrderResult{Id: bounded(s.GetOrderId(), maxNameBytes)}
		res.Why = m.settle(cellOf(cmd.Lease), s)
		res.Accepted = res.Why == ""
		r.Orders = append(r.Orders, res)
	}
	return r
}

// settle returns why the settlement is refused, or "".
func (m *Machine) settle(cell string, s *wire.Settlement) string {
	ref, ok := m.upstreams.orders[s.GetOrderId()]
	if !ok {
		return "no such order is open"
	}
	u := m.upstreams.byID[ref.upstream]
	if u.rec.Cell != cell {
		return "the upstream's cell is not the lease's"
	}
	h := u.held[ref.key]
	if h.unload.GetId() == s.OrderId {
		return m.settleUnload(u, h, s)
	}
	return m.settleLoad(u, h, s)
}

func (m *Machine) settleLoad(u *upstreamState, h *holding, s *wire.Settlement) string {
	detail := bounded(s.Detail, maxReasonBytes)
	switch s.State {
	case wire.OrderState_ORDER_LOADED:
		if h.load.State != wire.OrderState_ORDER_OPEN {
			return "the load is not open"
		}
		loaded := proto.CloneOf(h.load)
		loaded.State = wire.OrderState_ORDER_LOADED
		h.load = loaded
		m.note(subjectOf(h.load), "loaded on %s", u.rec.Id)
		return ""
	case wire.OrderState_ORDER_FAILED:
		m.free(u, h, "the load failed: "+detail)
		return ""
	case wire.OrderState_ORDER_GONE:
		m.free(u, h, "the upstream no longer holds it: "+detail)
		return ""
	default:
		return "a load settles as loaded, failed or gone"
	}
}

func (m *Machine) settleUnload(u *upstreamState, h *holding, s *wire.Settlement) string {
	switch s.State {
	case wire.OrderState_ORDER_GONE:
		m.free(u, h, "unloaded: "+h.unload.Reason)
		return ""
	case wire.OrderState_ORDER_FAILED:
		delete(m.upstreams.orders, h.unload.Id)
		h.unload = nil
		m.note(subjectOf(h.load), "unload on %s failed: %s", u.rec.Id, bounded(s.Detail, maxReasonBytes))
		return ""
	default:
		return "an unload settles as gone or failed"
	}
}
