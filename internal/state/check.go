package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"gentiankeel/internal/wire"
)

// Invariant names a property that holds after every command.
type Invariant string

// The invariants of the state machine.
const (
	// InvariantReplicas: when the replicas of a model in all cells (loaded, loading,
	// unloading or unsettled) are sorted by the order of their decisions, the n-th was
	// decided under a file that allowed at least n. If a later file allows fewer, the
	// existing replicas may stay until they are unloaded, but no new one is decided.
	InvariantReplicas Invariant = "replicas decided"
	// InvariantMemory: the holdings of an upstream's incarnation fit into its memory.
	InvariantMemory Invariant = "memory committed"
	// InvariantLeaseHolder: each lease has exactly one holder and a unique fencing number
	// that is not above the last one issued.
	InvariantLeaseHolder Invariant = "one holder"
	// InvariantFenceMonotonic: the last issued fencing number never decreases.
	InvariantFenceMonotonic Invariant = "fence grows"
	// InvariantSpecMonotonic: the index of the applied file never decreases, and its version
	// increases with it.
	InvariantSpecMonotonic Invariant = "spec never reverts"
	// InvariantPlacementSource: each placement carries the index of an accepted file.
	InvariantPlacementSource Invariant = "placement traced"
	// InvariantIncarnation: the holdings of an upstream were decided for its registered
	// incarnation.
	InvariantIncarnation Invariant = "incarnation current"
)

// InvariantError reports a violated invariant. The process must stop, since decisions
// based on an inconsistent state can't be trusted.
type InvariantError struct {
	Invariant Invariant
	Index     uint64 // log index applied last
	Detail    string
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %q broken at index %d: %s", e.Invariant, e.Index, e.Detail)
}

// dirtySet holds the names of the rows that changed since the last Check, and the
// monotonic values as of the last check.
type dirtySet struct {
	models    map[string]bool
	upstreams map[string]bool
	leases    map[string]bool

	lastFence   uint64
	specIndex   uint64
	specVersion uint64
}

func newDirtySet() dirtySet {
	return dirtySet{models: map[string]bool{}, upstreams: map[string]bool{}, leases: map[string]bool{}}
}

// Check verifies the invariants of the rows that changed since the last Check and returns
// an *InvariantError for the first violation. Its cost is proportional to the number of
// changes, not to the size of the state; therefore it leaves out the uniqueness of fencing
// numbers, which only CheckAll verifies.
func (m *Machine) Check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	models := slices.Sorted(maps.Keys(m.dirty.models))
	upstreams := slices.Sorted(maps.Keys(m.dirty.upstreams))
	leases := slices.Sorted(maps.Keys(m.dirty.leases))
	clear(m.dirty.models)
	clear(m.dirty.upstreams)
	clear(m.dirty.leases)
	return m.checkRows(models, upstreams, leases)
}

// CheckAll verifies the invariants of the whole state and returns an *InvariantError for
// the first violation.
func (m *Machine) CheckAll() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	models := slices.Sorted(maps.Keys(m.upstreams.models))
	upstreams := slices.Sorted(maps.Keys(m.upstreams.byID))
	leases := slices.Sorted(maps.Keys(m.leases.rows))
	if err := m.checkRows(models, upstreams, leases); err != nil {
		return err
	}
	return m.checkFencesUnique()
}

func (m *Machine) checkRows(models, upstreams, leases []string) error {
	if err := m.checkMonotonic(); err != nil {
		return err
	}
	for _, name := range models {
		if err := m.checkReplicas(name); err != nil {
			return err
		}
	}
	for _, id := range upstreams {
		if err := m.checkHoldings(id); err != nil {
			return err
		}
	}
	for _, name := range leases {
		if err := m.checkLeaseRow(name); err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) violation(inv Invariant, format string, args ...any) error {
	return &InvariantError{Invariant: inv, Index: m.index, Detail: fmt.Sprintf(format, args...)}
}

func (m *Machine) checkMonotonic() error {
	dirty := &m.dirty
	if m.leases.lastFence < dirty.lastFence {
		return m.violation(InvariantFenceMonotonic, "last fence is %d, was %d", m.leases.lastFence, dirty.lastFence)
	}
	dirty.lastFence = m.leases.lastFence
	index, version := m.files.appliedIndex(), m.files.current.GetVersion()
	if index < dirty.specIndex || version < dirty.specVersion || (index > dirty.specIndex) != (version > dirty.specVersion) {
		return m.violation(InvariantSpecMonotonic, "version %d at index %d after version %d at index %d",
			version, index, dirty.specVersion, dirty.specIndex)
	}
	dirty.specIndex, dirty.specVersion = index, version
	return nil
}

func (m *Machine) checkReplicas(name string) error {
	decided := make([]*wire.Order, 0, len(m.upstreams.models[name]))
	for _, h := range m.upstreams.models[name] {
		decided = append(decided, h.load)
	}
	slices.SortFunc(decided, func(a, b *wire.Order) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.DecidedReplicas, b.DecidedReplicas))
	})
	for i, o := range decided {
		if i+1 > int(o.DecidedReplicas) {
			return m.violation(InvariantReplicas, "model %s: order %s is replica %d of %d", name, o.Id, i+1, o.DecidedReplicas)
		}
	}
	return nil
}

func (m *Machine) checkHoldings(id string) error {
	u := m.upstreams.byID[id]
	if u == nil {
		return nil // dropped since the change
	}
	sum := uint64(0)
	for _, h := range u.holdings {
		sum += h.load.MemoryMib
		if h.load.Incarnation != u.rec.Incarnation {
			return m.violation(InvariantIncarnation, "upstream %s: order %s is for incarnation %d, not %d",
				id, h.load.Id, h.load.Incarnation, u.rec.Incarnation)
		}
		if !m.files.acceptedAt(h.load.SpecIndex) {
			return m.violation(InvariantPlacementSource, "order %s: no file was accepted at index %d", h.load.Id, h.load.SpecIndex)
		}
	}
	if sum != u.committedMiB || sum > u.rec.MemoryMib {
		return m.violation(InvariantMemory, "upstream %s: holdings sum to %d MiB, %d MiB committed, capacity %d MiB", id, sum, u.committedMiB, u.rec.MemoryMib)
	}
	return nil
}

func (m *Machine) checkLeaseRow(name string) error {
	row := m.leases.rows[name]
	if row == nil {
		return nil // ended since the change
	}
	l := row.Lease
	if l.Name != name || l.Holder == "" || l.Fence == 0 || l.Fence > m.leases.lastFence {
		return m.violation(InvariantLeaseHolder, "lease %s: holder %q under fence %d, last fence %d", name, l.Holder, l.Fence, m.leases.lastFence)
	}
	return nil
}

// checkFencesUnique returns an error if two leases have the same fencing number.
func (m *Machine) checkFencesUnique() error {
	leaseByFence := map[uint64]string{}
	for _, name := range slices.Sorted(maps.Keys(m.leases.rows)) {
		fence := m.leases.rows[name].Lease.Fence
		if other, taken := leaseByFence[fence]; taken {
			return m.violation(InvariantLeaseHolder, "leases %s and %s share fence %d", other, name, fence)
		}
		leaseByFence[fence] = name
	}
	return nil
}
