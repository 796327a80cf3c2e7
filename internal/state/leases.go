package state

import (
	"maps"
	"slices"
	"strings"

	"gentiankeel/internal/wire"
)

// SchedulerLeasePrefix is the prefix of a scheduler lease's name; the cell follows it.
const SchedulerLeasePrefix = "scheduler/"

// maxDroppedNames bounds the names kept of dropped leases, and of dropped suspects.
const maxDroppedNames = 1_024

// leaseTable holds the leases. They share one sequence of fencing numbers, so that a
// number identifies one grant of one lease.
type leaseTable struct {
	rows      map[string]*wire.LeaseRow
	dropped   droppedNames
	lastFence uint64
}

func newLeaseTable() leaseTable {
	return leaseTable{rows: map[string]*wire.LeaseRow{}, dropped: newDroppedNames()}
}

// grantLease grants a free lease under a new fencing number. A holder that requests its
// lease again, after a lost answer or a restart, keeps its fencing number.
func (m *Machine) grantLease(cmd *wire.GrantLease) *wire.Result {
	if !isName(cmd.GetName()) || !isName(cmd.GetHolder()) || len(cmd.GetAddress()) > maxNameBytes {
		return m.invalidResult("a lease needs a name, a holder and a short address")
	}
	row := m.leases.rows[cmd.Name]
	if row == nil {
		if len(m.leases.rows) >= m.opts.Leases {
			return m.invalidResult("the table of leases is full")
		}
		m.leases.lastFence++
		return m.putLease(cmd, m.leases.lastFence)
	}
	if row.Lease.Holder != cmd.Holder {
		r := m.okResult()
		r.Code = wire.ResultCode_RESULT_HELD
		r.Lease = row.Lease
		return r
	}
	if row.Lease.Address != cmd.Address || row.Lease.TtlMs != cmd.TtlMs {
		return m.putLease(cmd, row.Lease.Fence)
	}
	r := m.okResult()
	r.Lease = row.Lease
	return r
}

func (m *Machine) putLease(cmd *wire.GrantLease, fence uint64) *wire.Result {
	lease := &wire.Lease{
		Name: cmd.Name, Holder: cmd.Holder, Address: strings.ToValidUTF8(cmd.Address, ""),
		Fence: fence, TtlMs: cmd.TtlMs,
	}
	m.leases.rows[cmd.Name] = &wire.LeaseRow{Lease: lease, Changed: m.index}
	m.leases.dropped.remove(cmd.Name)
	m.dirty.leases[cmd.Name] = true
	r := m.okResult()
	r.Lease = lease
	return r
}

// endLease ends a lease if its fencing number is still the command's, so that a delayed
// command for an earlier grant can't end a later one. Ending a lease that is not held
// succeeds.
func (m *Machine) endLease(cmd *wire.EndLease) *wire.Result {
	row := m.leases.rows[cmd.GetName()]
	if row == nil {
		r := m.okResult()
		r.Detail = "no such lease is held"
		return r
	}
	if row.Lease.Fence != cmd.Fence && !m.disabled.fence {
		r := m.okResult()
		r.Code = wire.ResultCode_RESULT_FENCED
		r.Lease = row.Lease
		return r
	}
	delete(m.leases.rows, cmd.Name)
	m.leases.dropped.add(cmd.Name, m.index)
	m.recordEvent(cmd.Name, "lease of %s under fence %d ended: %s", row.Lease.Holder, row.Lease.Fence, truncate(cmd.Why, maxReasonBytes))
	return m.okResult()
}

// checkFence returns nil for a command from the current holder of a scheduler lease, and
// the result that refuses it otherwise.
func (m *Machine) checkFence(lease string, fence uint64) *wire.Result {
	if !strings.HasPrefix(lease, SchedulerLeasePrefix) {
		return m.invalidResult("the lease is not a scheduler's")
	}
	if m.disabled.fence {
		return nil
	}
	row := m.leases.rows[lease]
	if row != nil && row.Lease.Fence == fence {
		return nil
	}
	r := m.okResult()
	r.Code = wire.ResultCode_RESULT_FENCED
	r.Detail = "the fence number is not current"
	if row != nil {
		r.Lease = row.Lease
	}
	return r
}

func cellOf(lease string) string { return strings.TrimPrefix(lease, SchedulerLeasePrefix) }

// Leases returns the held leases, sorted by name.
func (m *Machine) Leases() []*wire.Lease {
	m.mu.RLock()
	defer m.mu.RUnlock()
	leases := make([]*wire.Lease, 0, len(m.leases.rows))
	for _, name := range slices.Sorted(maps.Keys(m.leases.rows)) {
		leases = append(leases, m.leases.rows[name].Lease)
	}
	return leases
}

// Lease returns the named lease, or nil if it is not held.
func (m *Machine) Lease(name string) *wire.Lease {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leases.rows[name].GetLease()
}

// droppedNames holds tombstones of dropped rows, for deltas. Tombstones up to floor may
// have been evicted, so a follower below floor needs a snapshot.
type droppedNames struct {
	at    map[string]uint64 // log index of the drop, by name
	floor uint64
}

func newDroppedNames() droppedNames { return droppedNames{at: map[string]uint64{}} }

func (d *droppedNames) add(name string, index uint64) {
	d.at[name] = index
	if len(d.at) <= maxDroppedNames {
		return
	}
	oldest := name
	for n, i := range d.at {
		if i < d.at[oldest] || i == d.at[oldest] && n < oldest {
			oldest = n
		}
	}
	d.floor = max(d.floor, d.at[oldest])
	delete(d.at, oldest)
}

func (d *droppedNames) remove(name string) { delete(d.at, name) }

func (d *droppedNames) since(index uint64) []string {
	var names []string
	for name, at := range d.at {
		if at > index {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (d *droppedNames) snapshot() *wire.DroppedNames {
	out := &wire.DroppedNames{Floor: d.floor}
	for _, name := range slices.Sorted(maps.Keys(d.at)) {
		out.Names = append(out.Names, &wire.DroppedName{Name: name, Index: d.at[name]})
	}
	return out
}

func restoreDropped(in *wire.DroppedNames) droppedNames {
	d := newDroppedNames()
	d.floor = in.GetFloor()
	for _, n := range in.GetNames() {
		d.at[n.Name] = n.Index
	}
	return d
}
