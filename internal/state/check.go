package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"gentiankeel/internal/wire"
)

// Invariant names one property that holds after every command.
type Invariant string

// The invariants of the state machine.
const (
	// ReplicasDecided: of the replicas of a model that are loaded, loading, unloading
	// or unsettled in all cells, sorted by their decision, the n-th was decided under a
	// file that allowed at least n. A later file may ask for fewer: then those decided
	// before it may stay until they are unloaded, and no new one is decided.
	ReplicasDecided Invariant = "replicas decided"
	// MemoryCommitted: everything that an upstream's incarnation holds fits its memory.
	MemoryCommitted Invariant = "memory committed"
	// OneHolder: each lease has one holder, under a fence number of its own that is not
	// above the last one given.
	OneHolder Invariant = "one holder"
	// FenceGrows: the last fence number given never falls.
	FenceGrows Invariant = "fence grows"
	// SpecNeverReverts: the index of the applied file never falls, and its version
	// grows with it.
	SpecNeverReverts Invariant = "spec never reverts"
	// PlacementTraced: each placement names the index of an accepted file.
	PlacementTraced Invariant = "placement traced"
	// IncarnationCurrent: what an upstream holds was decided for its incarnation.
	IncarnationCurrent Invariant = "incarnation current"
)

// InvariantError tells that the state is broken. The process must stop: what it would
// decide from here can't be trusted.
type InvariantError struct {
	Invariant Invariant
	Index     uint64 // log index applied last
	Detail    string
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %q broken at index %d: %s", e.Invariant, e.Index, e.Detail)
}

// touched is what changed since the last Check.
type touched struct {
	models    map[string]bool
	upstreams map[string]bool
	leases    map[string]bool

	lastFence   uint64 // at the last Check
	specIndex   uint64
	specVersion uint64
}

func newTouched() touched {
	return touched{models: map[string]bool{}, upstreams: map[string]bool{}, leases: map[string]bool{}}
}

// Check asserts the invariants of what changed since the last Check. Its cost follows
// the changes, not the size of the state.
func (m *Machine) Check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	models := slices.Sorted(maps.Keys(m.touched.models))
	upstreams := slices.Sorted(maps.Keys(m.touched.upstreams))
	leases := slices.Sorted(maps.Keys(m.touched.leases))
	clear(m.touched.models)
	clear(m.touched.upstreams)
	clear(m.touched.leases)
	return m.check(models, upstreams, leases)
}

// CheckAll asserts the invariants of the whole state.
func (m *Machine) CheckAll() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	models := slices.Sorted(maps.Keys(m.upstreams.models))
	upstreams := slices.Sorted(maps.Keys(m.upstreams.byID))
	leases := slices.Sorted(maps.Keys(m.leases.rows))
	if err := m.check(models, upstreams, leases); err != nil {
		return err
	}
	return m.checkFences()
}

func (m *Machine) check(models, upstreams, leases []string) error {
	if err := m.checkMonotonic(); err != nil {
		return err
	}
	for _, name := range models {
		if err := m.checkModel(name); err != nil {
			return err
		}
	}
	for _, id := range upstreams {
		if err := m.checkHeld(id); err != nil {
			return err
		}
	}
	for _, name := range leases {
		if err := m.checkLease(name); err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) broken(inv Invariant, format string, args ...any) error {
	return &InvariantError{Invariant: inv, Index: m.index, Detail: fmt.Sprintf(format, args...)}
}

func (m *Machine) checkMonotonic() error {
	t := &m.touched
	if m.leases.lastFence < t.lastFence {
		return m.broken(FenceGrows, "fence %d after %d", m.leases.lastFence, t.lastFence)
	}
	t.lastFence = m.leases.lastFence
	index, version := m.files.appliedIndex(), m.files.current.GetVersion()
	if index < t.specIndex || version < t.specVersion || (index > t.specIndex) != (version > t.specVersion) {
		return m.broken(SpecNeverReverts, "version %d at index %d after version %d at index %d",
			version, index, t.specVersion, t.specIndex)
	}
	t.specIndex, t.specVersion = index, version
	return nil
}

func (m *Machine) checkModel(name string) error {
	decided := make([]*wire.Order, 0, len(m.upstreams.models[name]))
	for _, h := range m.upstreams.models[name] {
		decided = append(decided, h.load)
	}
	slices.SortFunc(decided, func(a, b *wire.Order) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.DecidedReplicas, b.DecidedReplicas))
	})
	for i, o := range decided {
		if i+1 > int(o.DecidedReplicas) {
			return m.broken(ReplicasDecided, "model %s: order %s is replica %d of %d", name, o.Id, i+1, o.DecidedReplicas)
		}
	}
	return nil
}

func (m *Machine) checkHeld(id string) error {
	u := m.upstreams.byID[id]
	if u == nil {
		return nil // it was dropped since
	}
	sum := uint64(0)
	for _, h := range u.held {
		sum += h.load.MemoryMib
		if h.load.Incarnation != u.rec.Incarnation {
			return m.broken(IncarnationCurrent, "upstream %s: order %s is for incarnation %d, not %d",
				id, h.load.Id, h.load.Incarnation, u.rec.Incarnation)
		}
		if !m.files.knows(h.load.SpecIndex) {
			return m.broken(PlacementTraced, "order %s names no accepted file: index %d", h.load.Id, h.load.SpecIndex)
		}
	}
	if sum != u.memory || sum > u.rec.MemoryMib {
		return m.broken(MemoryCommitted, "upstream %s: %d MiB held, %d counted, %d there", id, sum, u.memory, u.rec.MemoryMib)
	}
	return nil
}

func (m *Machine) checkLease(name string) error {
	row := m.leases.rows[name]
	if row == nil {
		return nil // it ended since
	}
	l := row.Lease
	if l.Name != name || l.Holder == "" || l.Fence == 0 || l.Fence > m.leases.lastFence {
		return m.broken(OneHolder, "lease %s: holder %q under fence %d, last fence %d", name, l.Holder, l.Fence, m.leases.lastFence)
	}
	return nil
}

// checkFences asserts that no two leases share a fence number.
func (m *Machine) checkFences() error {
	holder := map[uint64]string{}
	for _, name := range slices.Sorted(maps.Keys(m.leases.rows)) {
		fence := m.leases.rows[name].Lease.Fence
		if other, taken := holder[fence]; taken {
			return m.broken(OneHolder, "leases %s and %s share fence %d", other, name, fence)
		}
		holder[fence] = name
	}
	return nil
}
