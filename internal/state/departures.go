package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"gentiankeel/internal/wire"
)

// departureTable holds the upstreams that have announced that they leave, by id. A coordinator
// acknowledges such an announcement, and its successors have to keep to it.
type departureTable map[string]*wire.Departure

// recordDeparture records an announcement. It is idempotent: one of an older incarnation, or one that
// says no more than is known, changes nothing.
func (m *Machine) recordDeparture(cmd *wire.RecordDeparture) *wire.Result {
	d := cmd.GetDeparture()
	if !isName(d.GetUpstream()) || d.GetBornUnixMs() <= 0 {
		return m.invalidResult("a departure needs an upstream and the start of its incarnation")
	}
	if !d.Supersedes(m.departures[d.Upstream]) {
		return m.okResult()
	}
	m.departures[d.Upstream] = &wire.Departure{Upstream: d.Upstream, BornUnixMs: d.BornUnixMs, Gone: d.Gone, Index: m.index}
	m.recordEvent(d.Upstream, "incarnation %d announced that it leaves, gone: %t", d.BornUnixMs, d.Gone)
	m.evictDeparture()
	return m.okResult()
}

// evictDeparture removes the oldest departure if there are more than Options.Departures.
func (m *Machine) evictDeparture() {
	if len(m.departures) <= m.opts.Departures {
		return
	}
	var oldest *wire.Departure
	for _, d := range m.departures {
		if oldest == nil || d.Index < oldest.Index || d.Index == oldest.Index && d.Upstream < oldest.Upstream {
			oldest = d
		}
	}
	delete(m.departures, oldest.Upstream)
}

// Departures returns the recorded departures, oldest first. They must not be modified.
func (m *Machine) Departures() []*wire.Departure {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.departures.sorted()
}

func (t departureTable) sorted() []*wire.Departure {
	return slices.SortedFunc(maps.Values(t), func(a, b *wire.Departure) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), strings.Compare(a.Upstream, b.Upstream))
	})
}

// Departure returns the recorded departure of an upstream, or nil. It must not be modified.
func (m *Machine) Departure(upstream string) *wire.Departure {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.departures[upstream]
}
