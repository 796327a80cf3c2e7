package orders

import (
	"slices"

	"gentiankeel/internal/wire"
)

// fakeLog is the state machine as far as orders go.
type fakeLog struct {
	index     uint64
	fence     uint64
	spec      *wire.Spec
	upstreams map[string]*wire.UpstreamRecord
	loads     map[string]*wire.Order // placements by order id
	unloads   map[string]*wire.Order // open unloads by order id
}

func newFakeLog(s *wire.Spec) *fakeLog {
	return &fakeLog{spec: s, upstreams: map[string]*wire.UpstreamRecord{}, loads: map[string]*wire.Order{}, unloads: map[string]*wire.Order{}}
}

// apply returns false when the fencing number has ended.
func (l *fakeLog) apply(cmd *wire.Command) ([]*wire.OrderResult, bool) {
	l.index++
	switch op := cmd.Op.(type) {
	case *wire.Command_CommitOrders:
		if op.CommitOrders.Fence != l.fence {
			return nil, false
		}
		var rs []*wire.OrderResult
		for _, o := range op.CommitOrders.Orders {
			rs = append(rs, &wire.OrderResult{Id: o.Id, Accepted: l.accept(o)})
		}
		return rs, true
	case *wire.Command_SettleOrders:
		if op.SettleOrders.Fence != l.fence {
			return nil, false
		}
		for _, s := range op.SettleOrders.Settlements {
			l.settle(s)
		}
	case *wire.Command_PutUpstream:
		return nil, l.put(op.PutUpstream)
	case *wire.Command_DropUpstream:
		if op.DropUpstream.Fence != l.fence {
			return nil, false
		}
		if u := l.upstreams[op.DropUpstream.Id]; u != nil && u.Incarnation == op.DropUpstream.Incarnation {
			delete(l.upstreams, u.Id)
			l.end(u.Id, 0)
		}
	}
	return nil, true
}

func (l *fakeLog) put(p *wire.PutUpstream) bool {
	if p.Fence != l.fence {
		return false
	}
	if old := l.upstreams[p.Upstream.Id]; old == nil || old.Incarnation <= p.Upstream.Incarnation {
		l.upstreams[p.Upstream.Id] = p.Upstream
		l.end(p.Upstream.Id, p.Upstream.Incarnation)
	}
	return true
}

// end drops what other incarnations of an upstream held.
func (l *fakeLog) end(id string, keep uint64) {
	for _, m := range []map[string]*wire.Order{l.loads, l.unloads} {
		for k, o := range m {
			if o.Upstream == id && o.Incarnation != keep {
				delete(m, k)
			}
		}
	}
}

func (l *fakeLog) accept(o *wire.Order) bool {
	u := l.upstreams[o.Upstream]
	if u == nil || u.Incarnation != o.Incarnation {
		return false
	}
	o = cloneOrder(o)
	o.Index = l.index
	o.State = wire.OrderState_ORDER_OPEN
	if !isLoad(o.Kind) {
		for _, p := range l.loads {
			if p.Upstream == o.Upstream && p.Model == o.Model && p.Adapter == o.Adapter && p.State == wire.OrderState_ORDER_LOADED {
				l.unloads[o.Id] = o
				return true
			}
		}
		return false
	}
	used, count := o.MemoryMib, 1
	for _, p := range l.loads {
		if p.Upstream == o.Upstream {
			used += p.MemoryMib
			if p.Model == o.Model && p.Adapter == o.Adapter {
				return false
			}
		}
		if p.Model == o.Model && p.Adapter == "" {
			count++
		}
	}
	if used > u.MemoryMib || o.Adapter == "" && count > replicasOf(l.spec, o.Model) {
		return false
	}
	l.loads[o.Id] = o
	return true
}

func cloneOrder(o *wire.Order) *wire.Order {
	return &wire.Order{
		Id: o.Id, Kind: o.Kind, Cell: o.Cell, Upstream: o.Upstream, Incarnation: o.Incarnation,
		Model: o.Model, Version: o.Version, Adapter: o.Adapter, MemoryMib: o.MemoryMib, State: o.State, Index: o.Index, Fence: o.Fence,
	}
}

func replicasOf(s *wire.Spec, model string) int {
	for _, m := range s.Models {
		if m.Name == model {
			return int(m.Replicas)
		}
	}
	return 0
}

func (l *fakeLog) settle(s *wire.Settlement) {
	if o := l.loads[s.OrderId]; o != nil {
		if s.State == wire.OrderState_ORDER_LOADED {
			o.State = s.State
		} else {
			delete(l.loads, s.OrderId)
		}
		return
	}
	o := l.unloads[s.OrderId]
	if o == nil {
		return
	}
	delete(l.unloads, s.OrderId)
	if s.State != wire.OrderState_ORDER_GONE {
		return
	}
	for k, p := range l.loads {
		if p.Upstream == o.Upstream && p.Model == o.Model && p.Adapter == o.Adapter {
			delete(l.loads, k)
		}
	}
}

func (l *fakeLog) read() Recovered {
	r := Recovered{Index: l.index, Spec: l.spec}
	for _, u := range l.upstreams {
		r.Upstreams = append(r.Upstreams, u)
	}
	for _, o := range l.loads {
		r.Placements = append(r.Placements, &wire.Placement{Order: cloneOrder(o)})
	}
	for _, o := range l.unloads {
		r.OpenOrders = append(r.OpenOrders, cloneOrder(o))
	}
	slices.SortFunc(r.Upstreams, func(a, b *wire.UpstreamRecord) int { return compareStrings(a.Id, b.Id) })
	slices.SortFunc(r.Placements, func(a, b *wire.Placement) int { return compareStrings(a.Order.Id, b.Order.Id) })
	slices.SortFunc(r.OpenOrders, func(a, b *wire.Order) int { return compareStrings(a.Id, b.Id) })
	return r
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
