package state

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"gentiankeel/internal/wire"
)

// departureKey identifies one incarnation of an upstream.
type departureKey struct {
	upstream   string
	bornUnixMs int64
}

func departureKeyOf(d *wire.Departure) departureKey {
	return departureKey{d.GetUpstream(), d.GetBornUnixMs()}
}

// departureTable holds the incarnations that have announced that they leave. A coordinator acknowledges such an
// announcement, and its successors have to keep to it.
type departureTable map[departureKey]*wire.Departure

// recordDeparture records an announcement. It is idempotent: one that says no more than is known changes nothing.
func (m *Machine) recordDeparture(cmd *wire.RecordDeparture) *wire.Result {
	d := cmd.GetDeparture()
	if !isName(d.GetUpstream()) || d.GetBornUnixMs() <= 0 {
		return m.invalidResult("a departure needs an upstream and the start of its incarnation")
	}
	if !d.Supersedes(m.departures[departureKeyOf(d)]) {
		return m.okResult()
	}
	m.departures[departureKeyOf(d)] = &wire.Departure{Upstream: d.Upstream, BornUnixMs: d.BornUnixMs, Gone: d.Gone, Index: m.index}
	m.recordEvent(d.Upstream, "incarnation %d announced that it leaves, gone: %t", d.BornUnixMs, d.Gone)
	m.evictDeparture()
	return m.okResult()
}

// evictDeparture removes the oldest departure if there are more than Options.Departures.
func (m *Machine) evictDeparture() {
	if len(m.departures) <= m.opts.Departures {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(m.departures)), compareDepartures)
	delete(m.departures, departureKeyOf(oldest))
}

func compareDepartures(a, b *wire.Departure) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), strings.Compare(a.Upstream, b.Upstream), cmp.Compare(a.BornUnixMs, b.BornUnixMs))
}

// Departures returns the recorded departures, oldest first. They must not be modified.
func (m *Machine) Departures() []*wire.Departure {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.departures.sorted()
}

func (t departureTable) sorted() []*wire.Departure {
	return slices.SortedFunc(maps.Values(t), compareDepartures)
}

// Departure returns the recorded departure of an incarnation, or nil. It must not be modified.
func (m *Machine) Departure(upstream string, bornUnixMs int64) *wire.Departure {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.departures[departureKey{upstream, bornUnixMs}]
}
