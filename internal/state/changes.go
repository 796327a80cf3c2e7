package state

import (
	"maps"
	"slices"

	"gentiankeel/internal/wire"
)

// DeltaSince returns what changed of the spec, the leases and the suspects after index,
// each at its latest value; nil when nothing did. From index 0, or from one too far
// back, it returns the whole of them with the snapshot flag. An index that lies above
// the machine's own asks a replica that is behind: nil.
func (m *Machine) DeltaSince(index uint64) *wire.Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if index >= m.index {
		return nil
	}
	d := &wire.Delta{Index: m.index}
	if index == 0 || index < m.leases.dropped.floor || index < m.suspects.dropped.floor {
		// The follower forgets everything, so all rows and the whole spec are sent.
		d.Snapshot = true
		index = 0
	}
	d.Spec = m.files.deltaSince(index)
	m.leaseChanges(d, index)
	m.suspectChanges(d, index)
	if !d.Snapshot && isEmpty(d) {
		return nil
	}
	return d
}

func isEmpty(d *wire.Delta) bool {
	return d.Spec == nil && len(d.PutLeases)+len(d.DropLeases)+len(d.PutSuspects)+len(d.DropSuspects) == 0
}

func (m *Machine) leaseChanges(d *wire.Delta, index uint64) {
	for _, name := range slices.Sorted(maps.Keys(m.leases.rows)) {
		if row := m.leases.rows[name]; row.Changed > index {
			d.PutLeases = append(d.PutLeases, row.Lease)
		}
	}
	if !d.Snapshot {
		d.DropLeases = m.leases.dropped.since(index)
	}
}

func (m *Machine) suspectChanges(d *wire.Delta, index uint64) {
	for _, digest := range slices.Sorted(maps.Keys(m.suspects.rows)) {
		if row := m.suspects.rows[digest]; row.Changed > index {
			d.PutSuspects = append(d.PutSuspects, row.Suspect)
		}
	}
	if !d.Snapshot {
		d.DropSuspects = m.suspects.dropped.since(index)
	}
}
