package state

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// slotKey names what an upstream can hold once: a model (adapter empty) or an adapter.
// Two versions of one model are never on the same upstream.
type slotKey struct {
	model   string
	adapter string
}

// holding is a slot and memory that an upstream's incarnation holds, from the commit of
// its load until it is seen to be gone.
type holding struct {
	load   *wire.Order // OPEN or LOADED
	unload *wire.Order // OPEN, or nil
}

func (h *holding) key() slotKey { return slotKey{h.load.Model, h.load.Adapter} }

func (h *holding) open() bool {
	return h.load.State == wire.OrderState_ORDER_OPEN || h.unload != nil
}

// upstreamState is one registered incarnation.
type upstreamState struct {
	rec    *wire.UpstreamRecord
	held   map[slotKey]*holding
	memory uint64 // MiB of everything held
}

// adapters returns the adapters held with a model, sorted.
func (u *upstreamState) adapters(model string) []*holding {
	var list []*holding
	for k, h := range u.held {
		if k.model == model && k.adapter != "" {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, compareHoldings)
	return list
}

func (u *upstreamState) sorted() []*holding {
	list := slices.Collect(maps.Values(u.held))
	slices.SortFunc(list, compareHoldings)
	return list
}

func compareHoldings(a, b *holding) int {
	if c := strings.Compare(a.load.Model, b.load.Model); c != 0 {
		return c
	}
	return strings.Compare(a.load.Adapter, b.load.Adapter)
}

// orderRef finds the holding of an open order or a loaded placement.
type orderRef struct {
	upstream string
	key      slotKey
}

// upstreamTable holds the registered upstreams and what is decided for each.
type upstreamTable struct {
	byID   map[string]*upstreamState
	ended  map[string]*wire.EndedUpstream
	orders map[string]orderRef // by order id
	// models holds the model holdings of all cells: their number counts against the
	// applied file's replicas.
	models map[string]map[string]*holding // model, load order id
}

func newUpstreamTable() upstreamTable {
	return upstreamTable{
		byID:   map[string]*upstreamState{},
		ended:  map[string]*wire.EndedUpstream{},
		orders: map[string]orderRef{},
		models: map[string]map[string]*holding{},
	}
}

// putUpstream registers an incarnation. A higher one ends all that the old one held; a
// lower one, or one that has ended, is refused.
func (m *Machine) putUpstream(cmd *wire.PutUpstream) *wire.Result {
	if r := m.fenced(cmd.GetLease(), cmd.GetFence()); r != nil {
		return r
	}
	rec := cmd.GetUpstream()
	if why := checkRecord(rec, cellOf(cmd.Lease)); why != "" {
		return m.invalid(why)
	}
	known := m.upstreams.byID[rec.Id]
	last := max(known.incarnation(), m.upstreams.ended[rec.Id].GetIncarnation())
	switch {
	case m.off.skipIncarnationCheck:
	case rec.Incarnation < last:
		return m.invalid(fmt.Sprintf("incarnation %d is older than %d", rec.Incarnation, last))
	case known == nil && rec.Incarnation == last:
		return m.invalid(fmt.Sprintf("incarnation %d has ended", rec.Incarnation))
	}
	if known != nil && known.rec.Incarnation == rec.Incarnation {
		return m.updateUpstream(known, rec)
	}
	if known == nil && len(m.upstreams.byID) >= m.opts.Upstreams {
		return m.invalid("the table of upstreams is full")
	}
	if known != nil {
		m.endUpstream(known, fmt.Sprintf("incarnation %d replaced it", rec.Incarnation))
	}
	m.upstreams.byID[rec.Id] = &upstreamState{rec: proto.CloneOf(rec), held: map[slotKey]*holding{}}
	delete(m.upstreams.ended, rec.Id)
	m.touched.upstreams[rec.Id] = true
	return m.ok()
}

// updateUpstream takes a changed address, slots or fencing of the same incarnation.
// What orders were checked against must stay.
func (m *Machine) updateUpstream(u *upstreamState, rec *wire.UpstreamRecord) *wire.Result {
	old := u.rec
	if rec.Cell != old.Cell || rec.Zone != old.Zone || rec.MemoryMib != old.MemoryMib || rec.Service != old.Service {
		return m.invalid("cell, zone, memory and service are fixed for an incarnation")
	}
	u.rec = proto.CloneOf(rec)
	return m.ok()
}

func checkRecord(rec *wire.UpstreamRecord, cell string) string {
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

// maxMemoryMiB bounds an upstream's memory, so that sums can't overflow.
const maxMemoryMiB = 1 << 32

// dropUpstream ends an incarnation. It is idempotent.
func (m *Machine) dropUpstream(cmd *wire.DropUpstream) *wire.Result {
	if r := m.fenced(cmd.GetLease(), cmd.GetFence()); r != nil {
		return r
	}
	u := m.upstreams.byID[cmd.Id]
	switch {
	case u == nil || cmd.Incarnation < u.rec.Incarnation:
		r := m.ok()
		r.Detail = "no such incarnation is registered"
		return r
	case cmd.Incarnation > u.rec.Incarnation:
		return m.invalid(fmt.Sprintf("incarnation %d is registered, not %d", u.rec.Incarnation, cmd.Incarnation))
	case u.rec.Cell != cellOf(cmd.Lease):
		return m.invalid("the upstream's cell is not the lease's")
	}
	m.endUpstream(u, "it was dropped")
	delete(m.upstreams.byID, cmd.Id)
	m.rememberEnded(u.rec)
	return m.ok()
}

func (m *Machine) endUpstream(u *upstreamState, why string) {
	for _, h := range u.sorted() {
		m.free(u, h, fmt.Sprintf("incarnation %d of %s ended: %s", u.rec.Incarnation, u.rec.Id, why))
	}
}

// rememberEnded keeps a late announcement of an ended incarnation out. Over the bound
// the record of the earliest end goes.
func (m *Machine) rememberEnded(rec *wire.UpstreamRecord) {
	ended := m.upstreams.ended
	ended[rec.Id] = &wire.EndedUpstream{Id: rec.Id, Incarnation: rec.Incarnation, Index: m.index}
	if len(ended) <= m.opts.Upstreams {
		return
	}
	first := ended[rec.Id]
	for _, e := range ended {
		if e.Index < first.Index || e.Index == first.Index && e.Id < first.Id {
			first = e
		}
	}
	delete(ended, first.Id)
}

// hold adds a holding and all that is counted for it.
func (m *Machine) hold(u *upstreamState, h *holding) {
	key := h.key()
	u.held[key] = h
	u.memory += h.load.MemoryMib
	m.upstreams.orders[h.load.Id] = orderRef{u.rec.Id, key}
	if h.unload != nil {
		m.upstreams.orders[h.unload.Id] = orderRef{u.rec.Id, key}
	}
	m.touched.upstreams[u.rec.Id] = true
	if key.adapter != "" {
		return
	}
	m.touched.models[key.model] = true
	byOrder := m.upstreams.models[key.model]
	if byOrder == nil {
		byOrder = map[string]*holding{}
		m.upstreams.models[key.model] = byOrder
	}
	byOrder[h.load.Id] = h
}

// free ends a holding, and with a model the adapters on it.
func (m *Machine) free(u *upstreamState, h *holding, why string) {
	key := h.key()
	if u.held[key] != h {
		return
	}
	if key.adapter == "" {
		for _, a := range u.adapters(key.model) {
			m.free(u, a, "its model is gone")
		}
	}
	delete(u.held, key)
	u.memory -= h.load.MemoryMib
	delete(m.upstreams.orders, h.load.Id)
	if h.unload != nil {
		delete(m.upstreams.orders, h.unload.Id)
	}
	m.touched.upstreams[u.rec.Id] = true
	if key.adapter == "" {
		m.touched.models[key.model] = true
		delete(m.upstreams.models[key.model], h.load.Id)
		if len(m.upstreams.models[key.model]) == 0 {
			delete(m.upstreams.models, key.model)
		}
	}
	m.note(subjectOf(h.load), "left %s: %s", u.rec.Id, why)
}

func (u *upstreamState) incarnation() uint64 {
	if u == nil {
		return 0
	}
	return u.rec.Incarnation
}

// Placements returns what a cell holds, its open orders and its upstreams, sorted by
// upstream, model and adapter, with the spec in force. An empty cell returns all.
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
		for _, h := range u.sorted() {
			out.Placements = append(out.Placements, &wire.Placement{Order: h.load, Unloading: u.unloading(h)})
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

// unloading tells whether the holding, or the model under an adapter, has an open unload.
func (u *upstreamState) unloading(h *holding) bool {
	if h.unload != nil {
		return true
	}
	model := u.held[slotKey{model: h.load.Model}]
	return model != nil && model.unload != nil
}
