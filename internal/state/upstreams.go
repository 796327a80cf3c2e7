package state

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// holdingKey identifies a model (empty adapter) or an adapter on an upstream. It leaves
// out the version, so an upstream never holds two versions of one model.
type holdingKey struct {
	model   string
	adapter string
}

// holding is a model or adapter whose memory is committed on an upstream's incarnation,
// from the commit of its load order until it is reported gone.
type holding struct {
	load   *wire.Order // state OPEN or LOADED
	unload *wire.Order // state OPEN, or nil
}

func (h *holding) key() holdingKey { return holdingKey{h.load.Model, h.load.Adapter} }

func (h *holding) hasOpenOrder() bool {
	return h.load.State == wire.OrderState_ORDER_OPEN || h.unload != nil
}

// upstreamState is a registered incarnation with its holdings.
type upstreamState struct {
	rec          *wire.UpstreamRecord
	holdings     map[holdingKey]*holding
	committedMiB uint64 // sum of the holdings' memory
}

// adapterHoldings returns the adapters held with a model, sorted.
func (u *upstreamState) adapterHoldings(model string) []*holding {
	var list []*holding
	for k, h := range u.holdings {
		if k.model == model && k.adapter != "" {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, compareHoldings)
	return list
}

func (u *upstreamState) sortedHoldings() []*holding {
	list := slices.Collect(maps.Values(u.holdings))
	slices.SortFunc(list, compareHoldings)
	return list
}

func compareHoldings(a, b *holding) int {
	if c := strings.Compare(a.load.Model, b.load.Model); c != 0 {
		return c
	}
	return strings.Compare(a.load.Adapter, b.load.Adapter)
}

// orderRef locates the holding of an open order or a loaded placement.
type orderRef struct {
	upstream string
	key      holdingKey
}

// upstreamTable holds the registered upstreams and the orders decided for them.
type upstreamTable struct {
	byID   map[string]*upstreamState
	ended  map[string]*wire.EndedUpstream
	orders map[string]orderRef // by order id
	// models holds the holdings of models, without adapters, in all cells. Their number
	// is checked against the applied file's replicas.
	models map[string]map[string]*holding // by model and load order id
}

func newUpstreamTable() upstreamTable {
	return upstreamTable{
		byID:   map[string]*upstreamState{},
		ended:  map[string]*wire.EndedUpstream{},
		orders: map[string]orderRef{},
		models: map[string]map[string]*holding{},
	}
}

// putUpstream registers an incarnation or updates the registered one. A higher incarnation
// ends the old one and its holdings; a lower one, or one that has ended, is refused.
func (m *Machine) putUpstream(cmd *wire.PutUpstream) *wire.Result {
	if r := m.checkFence(cmd.GetLease(), cmd.GetFence()); r != nil {
		return r
	}
	rec := cmd.GetUpstream()
	if reason := checkUpstreamRecord(rec, cellOf(cmd.Lease)); reason != "" {
		return m.invalidResult(reason)
	}
	registered := m.upstreams.byID[rec.Id]
	lastIncarnation := max(registered.incarnation(), m.upstreams.ended[rec.Id].GetIncarnation())
	switch {
	case m.disabled.incarnation:
	case rec.Incarnation < lastIncarnation:
		return m.invalidResult(fmt.Sprintf("incarnation %d is older than %d", rec.Incarnation, lastIncarnation))
	case registered == nil && rec.Incarnation == lastIncarnation:
		return m.invalidResult(fmt.Sprintf("incarnation %d has ended", rec.Incarnation))
	}
	if registered != nil && registered.rec.Incarnation == rec.Incarnation {
		return m.updateUpstream(registered, rec)
	}
	if registered == nil && len(m.upstreams.byID) >= m.opts.Upstreams {
		return m.invalidResult("the table of upstreams is full")
	}
	if registered != nil {
		m.endUpstream(registered, fmt.Sprintf("incarnation %d replaced it", rec.Incarnation))
	}
	m.upstreams.byID[rec.Id] = &upstreamState{rec: proto.CloneOf(rec), holdings: map[holdingKey]*holding{}}
	delete(m.upstreams.ended, rec.Id)
	m.dirty.upstreams[rec.Id] = true
	return m.okResult()
}

// updateUpstream updates the address, slots or fencing support of the same incarnation. The
// fields that committed orders were checked against can't change.
func (m *Machine) updateUpstream(u *upstreamState, rec *wire.UpstreamRecord) *wire.Result {
	old := u.rec
	if rec.Cell != old.Cell || rec.Zone != old.Zone || rec.MemoryMib != old.MemoryMib || rec.Service != old.Service {
		return m.invalidResult("cell, zone, memory and service are fixed for an incarnation")
	}
	u.rec = proto.CloneOf(rec)
	u.rec.Leaving = rec.Leaving || old.Leaving
	return m.okResult()
}

func checkUpstreamRecord(rec *wire.UpstreamRecord, cell string) string {
	switch {
	case rec == nil || !isName(rec.Id) || !isName(rec.Zone) || !isName(rec.Address):
		return "an upstream needs an id, a zone and an address"
	case rec.Incarnation == 0:
		return "an upstream needs an incarnation above zero"
	case rec.Cell != cell || !isName(cell):
		return "the upstream's cell is not the lease's"
	case rec.Service != "" && !isName(rec.Service):
		return "the service has no valid name"
	case rec.MemoryMib > maxMemoryMiB:
		return "the upstream's memory is out of bounds"
	}
	return ""
}

// maxMemoryMiB bounds an upstream's memory, so that sums of holdings can't overflow.
const maxMemoryMiB = 1 << 32

// dropUpstream ends an incarnation and removes the upstream. It is idempotent.
func (m *Machine) dropUpstream(cmd *wire.DropUpstream) *wire.Result {
	if r := m.checkFence(cmd.GetLease(), cmd.GetFence()); r != nil {
		return r
	}
	u := m.upstreams.byID[cmd.Id]
	switch {
	case u == nil || cmd.Incarnation < u.rec.Incarnation:
		r := m.okResult()
		r.Detail = "no such incarnation is registered"
		return r
	case cmd.Incarnation > u.rec.Incarnation:
		return m.invalidResult(fmt.Sprintf("incarnation %d is registered, not %d", u.rec.Incarnation, cmd.Incarnation))
	case u.rec.Cell != cellOf(cmd.Lease):
		return m.invalidResult("the upstream's cell is not the lease's")
	}
	m.endUpstream(u, "it was dropped")
	delete(m.upstreams.byID, cmd.Id)
	m.recordEnded(u.rec)
	return m.okResult()
}

func (m *Machine) endUpstream(u *upstreamState, reason string) {
	for _, h := range u.sortedHoldings() {
		m.removeHolding(u, h, fmt.Sprintf("incarnation %d of %s ended: %s", u.rec.Incarnation, u.rec.Id, reason))
	}
}

// recordEnded records an ended incarnation, so that a delayed announcement can't register
// it again. Beyond Options.Upstreams the record of the earliest end is evicted.
func (m *Machine) recordEnded(rec *wire.UpstreamRecord) {
	ended := m.upstreams.ended
	ended[rec.Id] = &wire.EndedUpstream{Id: rec.Id, Incarnation: rec.Incarnation, Index: m.index}
	if len(ended) <= m.opts.Upstreams {
		return
	}
	oldest := ended[rec.Id]
	for _, e := range ended {
		if e.Index < oldest.Index || e.Index == oldest.Index && e.Id < oldest.Id {
			oldest = e
		}
	}
	delete(ended, oldest.Id)
}

// addHolding adds a holding to the upstream, to its committed memory and to the indexes by
// order and model.
func (m *Machine) addHolding(u *upstreamState, h *holding) {
	key := h.key()
	u.holdings[key] = h
	u.committedMiB += h.load.MemoryMib
	m.upstreams.orders[h.load.Id] = orderRef{u.rec.Id, key}
	if h.unload != nil {
		m.upstreams.orders[h.unload.Id] = orderRef{u.rec.Id, key}
	}
	m.dirty.upstreams[u.rec.Id] = true
	if key.adapter != "" {
		return
	}
	m.dirty.models[key.model] = true
	byOrder := m.upstreams.models[key.model]
	if byOrder == nil {
		byOrder = map[string]*holding{}
		m.upstreams.models[key.model] = byOrder
	}
	byOrder[h.load.Id] = h
}

// removeHolding removes a holding and, for a model, the holdings of its adapters.
func (m *Machine) removeHolding(u *upstreamState, h *holding, reason string) {
	key := h.key()
	if u.holdings[key] != h {
		return
	}
	if key.adapter == "" {
		for _, a := range u.adapterHoldings(key.model) {
			m.removeHolding(u, a, "its model is gone")
		}
	}
	delete(u.holdings, key)
	u.committedMiB -= h.load.MemoryMib
	delete(m.upstreams.orders, h.load.Id)
	if h.unload != nil {
		delete(m.upstreams.orders, h.unload.Id)
	}
	m.dirty.upstreams[u.rec.Id] = true
	if key.adapter == "" {
		m.dirty.models[key.model] = true
		delete(m.upstreams.models[key.model], h.load.Id)
		if len(m.upstreams.models[key.model]) == 0 {
			delete(m.upstreams.models, key.model)
		}
	}
	m.recordEvent(orderSubject(h.load), "left %s: %s", u.rec.Id, reason)
}

func (u *upstreamState) incarnation() uint64 {
	if u == nil {
		return 0
	}
	return u.rec.Incarnation
}

// Placements returns the placements, open orders and upstreams of a cell, sorted by
// upstream, model and adapter, with the spec in force. An empty cell selects all cells.
func (m *Machine) Placements(cell string) *wire.PlacementsResponse {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := &wire.PlacementsResponse{Index: m.index, Spec: m.files.current}
	for _, id := range slices.Sorted(maps.Keys(m.upstreams.byID)) {
		u := m.upstreams.byID[id]
		if cell != "" && u.rec.Cell != cell {
			continue
		}
		out.Upstreams = append(out.Upstreams, u.rec)
		for _, h := range u.sortedHoldings() {
			out.Placements = append(out.Placements, &wire.Placement{Order: h.load, Unloading: u.isUnloading(h)})
			if h.load.State == wire.OrderState_ORDER_OPEN {
				out.OpenOrders = append(out.OpenOrders, h.load)
			}
			if h.unload != nil {
				out.OpenOrders = append(out.OpenOrders, h.unload)
			}
		}
	}
	return out
}

// isUnloading reports whether the holding, or the model of an adapter holding, has an open
// unload order.
func (u *upstreamState) isUnloading(h *holding) bool {
	if h.unload != nil {
		return true
	}
	model := u.holdings[holdingKey{model: h.load.Model}]
	return model != nil && model.unload != nil
}
