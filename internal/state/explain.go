package state

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// Explain describes the decisions about a subject, one line each, with the accepted file
// that led to each. A subject is a model, "model:adapter", an upstream, a lease, a body
// digest or "routing". An unknown subject yields no lines.
func (m *Machine) Explain(subject string) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var lines []string
	model, adapter, _ := strings.Cut(subject, ":")
	lines = append(lines, m.explainSpec(model, adapter)...)
	lines = append(lines, m.explainHoldings(model, adapter)...)
	lines = append(lines, m.explainUpstream(subject)...)
	if row := m.leases.rows[subject]; row != nil {
		l := row.Lease
		lines = append(lines, fmt.Sprintf("lease %s is held by %s under fence %d", l.Name, l.Holder, l.Fence))
	}
	if row := m.suspects.rows[subject]; row != nil {
		s := row.Suspect
		lines = append(lines, fmt.Sprintf("body %s was running when these ended: %s; quarantined: %t",
			subject, strings.Join(s.Upstreams, ", "), s.Quarantined))
	}
	for _, e := range m.events.list {
		if e.Subject == subject {
			lines = append(lines, formatEvent(e))
		}
	}
	return lines
}

func (m *Machine) explainSpec(model, adapter string) []string {
	s := m.files.current
	if adapter != "" {
		if a := spec.FindAdapter(s, model, adapter); a != nil {
			return []string{fmt.Sprintf("%s asks for version %s of adapter %s, %d MiB", m.describeFileAt(s.Index), a.Version, a.Name, a.MemoryMib)}
		}
		return nil
	}
	if found := spec.FindModel(s, model); found != nil {
		return []string{fmt.Sprintf("%s asks for version %s of model %s, at most %d replicas of %d MiB; %d are held",
			m.describeFileAt(s.Index), found.Version, model, found.Replicas, found.MemoryMib, len(m.upstreams.models[model]))}
	}
	return nil
}

func (m *Machine) explainHoldings(model, adapter string) []string {
	var lines []string
	for _, id := range slices.Sorted(maps.Keys(m.upstreams.byID)) {
		u := m.upstreams.byID[id]
		h := u.holdings[holdingKey{model, adapter}]
		if h == nil {
			continue
		}
		lines = append(lines, m.formatHolding(u, h))
	}
	return lines
}

func (m *Machine) formatHolding(u *upstreamState, h *holding) string {
	status := "loading, not yet settled"
	switch {
	case u.isUnloading(h):
		status = "unloading, not yet settled"
	case h.load.State == wire.OrderState_ORDER_LOADED:
		status = "loaded"
	}
	return fmt.Sprintf("%s version %s on %s, incarnation %d: %s; decided at index %d under fence %d for %s: %s",
		orderSubject(h.load), h.load.Version, u.rec.Id, u.rec.Incarnation, status,
		h.load.Index, h.load.Fence, m.describeFileAt(h.load.SpecIndex), h.load.Reason)
}

func (m *Machine) explainUpstream(id string) []string {
	u := m.upstreams.byID[id]
	if u == nil {
		return nil
	}
	lines := []string{fmt.Sprintf("upstream %s, incarnation %d, cell %s, zone %s: %d of %d MiB committed",
		id, u.rec.Incarnation, u.rec.Cell, u.rec.Zone, u.committedMiB, u.rec.MemoryMib)}
	for _, h := range u.sortedHoldings() {
		lines = append(lines, m.formatHolding(u, h))
	}
	return lines
}

// describeFileAt describes the accepted file that was in force at a log index.
func (m *Machine) describeFileAt(index uint64) string {
	rec := m.files.recordAt(index)
	if rec == nil {
		return fmt.Sprintf("the file accepted at index %d", index)
	}
	return fmt.Sprintf("file version %d (digest %.12s, index %d, by %s at %s)",
		rec.Version, rec.Digest, rec.Index, rec.Who, formatTime(rec.AtUnixMs))
}
