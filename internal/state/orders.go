package state

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// maxReasonBytes bounds the texts that commands carry: the reason of an order, the detail
// of a settlement, and why a lease ended.
const maxReasonBytes = 512

// commitOrders decides orders one by one. Each is checked against the state after the
// ones before it, so that a plan made from a stale view can't overcommit memory or
// replicas.
func (m *Machine) commitOrders(cmd *wire.CommitOrders) *wire.Result {
	if r := m.checkFence(cmd.GetLease(), cmd.GetFence()); r != nil {
		return r
	}
	r := m.okResult()
	cell := cellOf(cmd.Lease)
	for _, o := range cmd.Orders {
		r.Orders = append(r.Orders, m.commitOrder(cell, cmd.Fence, o))
	}
	return r
}

func (m *Machine) commitOrder(cell string, fence uint64, o *wire.Order) *wire.OrderResult {
	res := &wire.OrderResult{Id: truncate(o.GetId(), maxNameBytes)}
	if reason := checkOrderShape(cell, o); reason != "" {
		res.Why = reason
		return res
	}
	if previous := m.findOrder(o.Id); previous != nil {
		// A resend after a lost answer is accepted, but not decided twice.
		res.Accepted = sameOrder(previous, o)
		res.Why = "the order id was committed before"
		return res
	}
	u := m.upstreams.byID[o.Upstream]
	reason := m.checkUpstream(cell, u, o)
	if reason == "" {
		reason = m.checkOrder(u, o)
	}
	if reason != "" {
		res.Why = reason
		m.recordEvent(orderSubject(o), "order refused for %s: %s", truncate(o.Upstream, maxNameBytes), reason)
		return res
	}
	m.recordOrder(u, m.committedOrder(u, o, fence))
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
	case u.rec.Incarnation != o.Incarnation && !m.disabled.incarnation:
		return fmt.Sprintf("incarnation %d is not the current one, %d", o.Incarnation, u.rec.Incarnation)
	case u.rec.Cell != cell:
		return "the upstream's cell is not the lease's"
	case u.rec.Service != "":
		return "the upstream is a plain service"
	}
	return ""
}

func (m *Machine) checkOrder(u *upstreamState, o *wire.Order) string {
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
	case u.holdings[holdingKey{model: o.Model}] != nil:
		return "the upstream holds the model already"
	}
	// Replicas of all versions and cells count, unsettled orders included.
	if n := len(m.upstreams.models[o.Model]); n >= int(model.Replicas) && !m.disabled.replicas {
		return fmt.Sprintf("the model has %d replicas, the applied file allows %d", n, model.Replicas)
	}
	return m.checkMemory(u, o, model.MemoryMib)
}

func (m *Machine) checkLoadAdapter(u *upstreamState, o *wire.Order) string {
	adapter := spec.FindAdapter(m.files.current, o.Model, o.Adapter)
	model := u.holdings[holdingKey{model: o.Model}]
	switch {
	case adapter == nil:
		return "the applied file has no such adapter"
	case adapter.Version != o.Version:
		return fmt.Sprintf("the applied file has version %s of the adapter", adapter.Version)
	case model == nil || model.load.State != wire.OrderState_ORDER_LOADED:
		return "the upstream does not hold the adapter's model"
	case model.unload != nil:
		return "the adapter's model is being unloaded"
	case u.holdings[holdingKey{o.Model, o.Adapter}] != nil:
		return "the upstream holds the adapter already"
	}
	return m.checkMemory(u, o, adapter.MemoryMib)
}

// checkMemory returns why the order's memory does not fit, or "". Everything that is
// loaded, loading, unloading or unsettled counts.
func (m *Machine) checkMemory(u *upstreamState, o *wire.Order, required uint64) string {
	if o.MemoryMib != 0 && o.MemoryMib != required {
		return fmt.Sprintf("the applied file says %d MiB, the order %d", required, o.MemoryMib)
	}
	if u.committedMiB+required > u.rec.MemoryMib && !m.disabled.memory {
		return fmt.Sprintf("%d MiB are needed, %d of %d are committed", required, u.committedMiB, u.rec.MemoryMib)
	}
	return ""
}

// checkUnload returns why an unload is refused, or "". Only what is known to be loaded may
// be unloaded. Unloading a model also removes its loaded adapters; it is refused while an
// order for one of its adapters is open, because a delayed adapter order could reach the
// next load of the model.
func checkUnload(u *upstreamState, o *wire.Order) string {
	h := u.holdings[holdingKey{o.Model, o.Adapter}]
	switch {
	case h == nil:
		return "the upstream does not hold it"
	case h.hasOpenOrder():
		return "an order is open on it"
	case o.Version != "" && o.Version != h.load.Version:
		return fmt.Sprintf("the upstream holds version %s", h.load.Version)
	case o.MemoryMib != 0 && o.MemoryMib != h.load.MemoryMib:
		return fmt.Sprintf("it holds %d MiB", h.load.MemoryMib)
	case o.Adapter != "" && u.isUnloading(h):
		return "its model is being unloaded and takes it along"
	}
	if o.Adapter != "" {
		return ""
	}
	for _, a := range u.adapterHoldings(o.Model) {
		if a.hasOpenOrder() {
			return "an order is open on its adapter " + a.load.Adapter
		}
	}
	return ""
}

// committedOrder returns the order as it is stored: bound to the lease's fencing number,
// the file in force, the log index, and the memory of the model or adapter.
func (m *Machine) committedOrder(u *upstreamState, o *wire.Order, fence uint64) *wire.Order {
	committed := proto.CloneOf(o)
	committed.Cell = u.rec.Cell
	committed.Fence = fence
	committed.State = wire.OrderState_ORDER_OPEN
	committed.SpecIndex = m.files.appliedIndex()
	committed.Index = m.index
	committed.DecidedReplicas = 0
	committed.Reason = truncate(o.Reason, maxReasonBytes)
	switch o.Kind {
	case wire.OrderKind_ORDER_LOAD:
		model := spec.FindModel(m.files.current, o.Model)
		committed.MemoryMib = model.MemoryMib
		committed.DecidedReplicas = model.Replicas
	case wire.OrderKind_ORDER_LOAD_ADAPTER:
		committed.MemoryMib = spec.FindAdapter(m.files.current, o.Model, o.Adapter).MemoryMib
	default:
		h := u.holdings[holdingKey{o.Model, o.Adapter}]
		committed.Version = h.load.Version
		committed.MemoryMib = h.load.MemoryMib
	}
	return committed
}

func (m *Machine) recordOrder(u *upstreamState, o *wire.Order) {
	verb := "load"
	if o.Kind.IsLoad() {
		m.addHolding(u, &holding{load: o})
	} else {
		verb = "unload"
		u.holdings[holdingKey{o.Model, o.Adapter}].unload = o
		m.upstreams.orders[o.Id] = orderRef{u.rec.Id, holdingKey{o.Model, o.Adapter}}
	}
	m.recordEvent(orderSubject(o), "%s on %s decided under fence %d: %s", verb, u.rec.Id, o.Fence, o.Reason)
}

// findOrder returns the open order or the load of a placement with this id, or nil.
func (m *Machine) findOrder(id string) *wire.Order {
	ref, ok := m.upstreams.orders[id]
	if !ok {
		return nil
	}
	h := m.upstreams.byID[ref.upstream].holdings[ref.key]
	if h.unload.GetId() == id {
		return h.unload
	}
	return h.load
}

func sameOrder(a, b *wire.Order) bool {
	return a.Kind == b.Kind && a.Upstream == b.Upstream && a.Incarnation == b.Incarnation &&
		a.Model == b.Model && a.Adapter == b.Adapter && (b.Version == "" || a.Version == b.Version)
}

// settleOrders closes orders with the outcomes reported by their upstreams. An order
// whose outcome is uncertain stays open and keeps its holding and memory committed.
func (m *Machine) settleOrders(cmd *wire.SettleOrders) *wire.Result {
	if r := m.checkFence(cmd.GetLease(), cmd.GetFence()); r != nil {
		return r
	}
	r := m.okResult()
	for _, s := range cmd.Settlements {
		res := &wire.OrderResult{Id: truncate(s.GetOrderId(), maxNameBytes)}
		res.Why = m.settle(cellOf(cmd.Lease), s)
		res.Accepted = res.Why == ""
		r.Orders = append(r.Orders, res)
	}
	return r
}

// settle closes one order; it returns why the settlement is refused, or "".
func (m *Machine) settle(cell string, s *wire.Settlement) string {
	ref, ok := m.upstreams.orders[s.GetOrderId()]
	if !ok {
		return "no such order is open"
	}
	u := m.upstreams.byID[ref.upstream]
	if u.rec.Cell != cell {
		return "the upstream's cell is not the lease's"
	}
	h := u.holdings[ref.key]
	if h.unload.GetId() == s.OrderId {
		return m.settleUnload(u, h, s)
	}
	return m.settleLoad(u, h, s)
}

func (m *Machine) settleLoad(u *upstreamState, h *holding, s *wire.Settlement) string {
	detail := truncate(s.Detail, maxReasonBytes)
	switch s.State {
	case wire.OrderState_ORDER_LOADED:
		if h.load.State != wire.OrderState_ORDER_OPEN {
			return "the load is not open"
		}
		loaded := proto.CloneOf(h.load)
		loaded.State = wire.OrderState_ORDER_LOADED
		h.load = loaded
		m.recordEvent(orderSubject(h.load), "loaded on %s", u.rec.Id)
		return ""
	case wire.OrderState_ORDER_FAILED:
		m.removeHolding(u, h, "the load failed: "+detail)
		return ""
	case wire.OrderState_ORDER_GONE:
		m.removeHolding(u, h, "the upstream no longer holds it: "+detail)
		return ""
	default:
		return "a load settles as loaded, failed or gone"
	}
}

func (m *Machine) settleUnload(u *upstreamState, h *holding, s *wire.Settlement) string {
	switch s.State {
	case wire.OrderState_ORDER_GONE:
		m.removeHolding(u, h, "unloaded: "+h.unload.Reason)
		return ""
	case wire.OrderState_ORDER_FAILED:
		delete(m.upstreams.orders, h.unload.Id)
		h.unload = nil
		m.recordEvent(orderSubject(h.load), "unload on %s failed: %s", u.rec.Id, truncate(s.Detail, maxReasonBytes))
		return ""
	default:
		return "an unload settles as gone or failed"
	}
}
