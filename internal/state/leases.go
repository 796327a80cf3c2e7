package state

import (
	"maps"
	"slices"
	"strings"

	"gentiankeel/internal/wire"
)

// SchedulerLeasePrefix precedes the cell in the name of a scheduler's lease.
const SchedulerLeasePrefix = "scheduler/"

// maxDropped bounds the names of dropped leases and suspects that deltas remember.
const maxDropped = 1_024

// leaseTable holds the leases. Fence numbers grow over all of them, so a number names
// one grant of one lease.
type leaseTable struct {
	rows      map[string]*wire.LeaseRow
	dropped   droppedNames
	lastFence uint64
}

func newLeaseTable() leaseTable {
	return leaseTable{rows: map[string]*wire.LeaseRow{}, dropped: newDroppedNames()}
}

// grantLease gives a free lease to the asker under a new fence number. The holder that
// asks again, after a lost answer or a restart, keeps its number.
func (m *Machine) grantLease(cmd *wire.GrantLease) *wire.Result {
	if !isName(cmd.GetName()) || !isName(cmd.GetHolder()) || len(cmd.GetAddress()) > maxNameBytes {
		return m.invalid("a lease needs a name, a holder and a short address")
	}
	row := m.leases.rows[cmd.Name]
	if row == nil {
		if len(m.leases.rows) >= m.opts.Leases {
			return m.invalid("the table of leases is full")
		}
		m.leases.lastFence++
		return m.putLease(cmd, m.leases.lastFence)
	}
	if row.Lease.Holder != cmd.Holder {
		r := m.ok()
		r.Code = wire.ResultCode_RESULT_HELD
		r.Lease = row.Lease
		return r
	}
	if row.Lease.Address != cmd.Address || row.Lease.TtlMs != cmd.TtlMs {
		return m.putLease(cmd, row.Lease.Fence)
	}
	r := m.ok()
	r.Lease = row.Lease
	return r
}

func (m *Machine) putLease(cmd *wire.GrantLease, fence uint64) *wire.Result {
	lease := &wire.Lease{
		Name: cmd.Name, Holder: cmd.Holder, Address: strings.ToValidUTF8(cmd.Address, ""),
		Fence: fence, TtlMs: cmd.TtlMs,
	}
	m.leases.rows[cmd.Name] = &wire.LeaseRow{Lease: lease, Changed: m.index}
	m.leases.dropped.forget(cmd.Name)
	m.touched.leases[cmd.Name] = true
	r := m.ok()
	r.Lease = lease
	return r
}

// endLease ends a lease that still carries the fence number. A late call for an earlier
// grant must not end its successor's.
func (m *Machine) endLease(cmd *wire.EndLease) *wire.Result {
	row := m.leases.rows[cmd.GetName()]
	if row == nil {
		r := m.ok()
		r.Detail = "no such lease is held"
		return r
	}
	if row.Lease.Fence != cmd.Fence && !m.off.skipFenceCheck {
		r := m.ok()
		r.Code = wire.ResultCode_RESULT_FENCED
		r.Lease = row.Lease
		return r
	}
	delete(m.leases.rows, cmd.Name)
	m.leases.dropped.add(cmd.Name, m.index)
	m.note(cmd.Name, "lease of %s under fence %d ended: %s", row.Lease.Holder, row.Lease.Fence, bounded(cmd.Why, maxReasonBytes))
	return m.ok()
}

// fenced returns the refusal of a command that does not come from the current holder of
// a scheduler lease; nil when it does.
func (m *Machine) fenced(lease string, fence uint64) *wire.Result {
	if !strings.HasPrefix(lease, SchedulerLeasePrefix) {
		return m.invalid("the lease is not a scheduler's")
	}
	if m.off.skipFenceCheck {
		return nil
	}
	row := m.leases.rows[lease]
	if row != nil && row.Lease.Fence == fence {
		return nil
	}
	r := m.ok()
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

// Lease returns the named lease, or nil when nobody holds it.
func (m *Machine) Lease(name string) *wire.Lease {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leases.rows[name].GetLease()
}

// droppedNames remembers what was dropped, so that a delta can say so. Below floor it
// can't, and a follower from there needs everything anew.
type droppedNames struct {
	at    map[string]uint64
	floor uint64
}

func newDroppedNames() droppedNames { return droppedNames{at: map[string]uint64{}} }

func (d *droppedNames) add(name string, index uint64) {
	d.at[name] = index
	if len(d.at) <= maxDropped {
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

func (d *droppedNames) forget(name string) { delete(d.at, name) }

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
