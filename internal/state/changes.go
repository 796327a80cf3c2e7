package state

import (
	"maps"
	"slices"

	"gentiankeel/internal/wire"
)

// DeltaSince returns the changes to the spec, the leases and the suspects after index,
// each at its latest value, or nil if there are none. For index 0, and for an index
// older than the recorded drops, it returns all of them with the snapshot flag set. It
// returns nil for an index above the machine's own, since this replica lags behind then.
func (m *Machine) DeltaSince(index uint64) *wire.Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if index >= m.index {
		return nil
	}
	d := &wire.Delta{Index: m.index}
	if index == 0 || index < m.leases.dropped.floor || index < m.suspects.dropped.floor {
		// The follower discards its state, so send all rows and the whole spec.
		d.Snapshot = true
		index = 0
	}
	d.Spec = m.files.deltaSince(index)
	m.addLeaseChanges(d, index)
	m.addSuspectChanges(d, index)
	if !d.Snapshot && isEmpty(d) {
		return nil
	}
	return d
}

func isEmpty(d *wire.Delta) bool {
	return d.Spec == nil && len(d.PutLeases)+len(d.DropLeases)+len(d.PutSuspects)+len(d.DropSuspects) == 0
}

func (m *Machine) addLeaseChanges(d *wire.Delta, index uint64) {
	for _, name := range slices.Sorted(maps.Keys(m.leases.rows)) {
		if row := m.leases.rows[name]; row.Changed > index {
			d.PutLeases = append(d.PutLeases, row.Lease)
		}
	}
	if !d.Snapshot {
		d.DropLeases = m.leases.dropped.since(index)
	}
}

func (m *Machine) addSuspectChanges(d *wire.Delta, index uint64) {
	for _, digest := range slices.Sorted(maps.Keys(m.suspects.rows)) {
		if row := m.suspects.rows[digest]; row.Changed > index {
			d.PutSuspects = append(d.PutSuspects, row.Suspect)
		}
	}
	if !d.Snapshot {
		d.DropSuspects = m.suspects.dropped.since(index)
	}
}
