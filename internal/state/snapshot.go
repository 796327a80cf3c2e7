package state

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// forgottenBytes is the size of one forgotten key in a snapshot.
const forgottenBytes = 16

// Snapshot returns the state as bytes; equal states give equal bytes. Applying waits
// only while the pieces are gathered, not while they are encoded.
func (m *Machine) Snapshot() ([]byte, error) {
	s, live := m.gather()
	slices.SortFunc(live, func(a, b *wire.LedgerEntry) int {
		return cmp.Or(strings.Compare(a.Caller, b.Caller), strings.Compare(a.Key, b.Key))
	})
	s.Ledger = live
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return data, errors.Wrap(err, "encoding the snapshot")
}

// gather collects what a snapshot holds. Published messages are never written to, so
// they can be shared; the ledger comes unsorted.
func (m *Machine) gather() (*wire.MachineState, []*wire.LedgerEntry) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &wire.MachineState{
		Index: m.index, NowUnixMs: m.now, LastFence: m.leases.lastFence,
		Accepted: slices.Clone(m.files.accepted), Refused: slices.Clone(m.files.refused),
		Spec: m.files.current, SpecDeltas: slices.Clone(m.files.deltas),
		DroppedLeases:   m.leases.dropped.snapshot(),
		DroppedSuspects: m.suspects.dropped.snapshot(),
		Events:          slices.Clone(m.events.list),
		ForgottenKeys:   m.ledger.packForgotten(),
		Routing:         m.routing,
	}
	for _, name := range slices.Sorted(maps.Keys(m.leases.rows)) {
		s.Leases = append(s.Leases, m.leases.rows[name])
	}
	for _, digest := range slices.Sorted(maps.Keys(m.suspects.rows)) {
		s.Suspects = append(s.Suspects, m.suspects.rows[digest])
	}
	for _, id := range slices.Sorted(maps.Keys(m.upstreams.byID)) {
		u := m.upstreams.byID[id]
		s.Upstreams = append(s.Upstreams, u.rec)
		for _, h := range u.sorted() {
			s.Holdings = append(s.Holdings, &wire.HoldingRow{Load: h.load, Unload: h.unload})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.upstreams.ended)) {
		s.Ended = append(s.Ended, m.upstreams.ended[id])
	}
	return s, slices.Collect(maps.Values(m.ledger.live))
}

// Restore replaces the state by a snapshot that was taken at index. On an error the
// machine must not be used.
func (m *Machine) Restore(index uint64, snapshot []byte) error {
	s := &wire.MachineState{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return errors.Wrap(err, "decoding the snapshot")
	}
	if s.Index > index {
		return errors.Errorf("snapshot of index %d is restored at index %d", s.Index, index)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.touched
	m.reset()
	// A snapshot that takes this process back is found by the next Check.
	m.touched.lastFence, m.touched.specIndex, m.touched.specVersion = seen.lastFence, seen.specIndex, seen.specVersion
	m.index, m.now = s.Index, s.NowUnixMs
	m.files.restore(s)
	m.restoreLeases(s)
	if err := m.restoreUpstreams(s); err != nil {
		return err
	}
	m.ledger.restore(s)
	m.restoreRouting(s)
	for _, row := range s.Suspects {
		m.suspects.rows[row.Suspect.GetBodyDigest()] = row
		m.suspects.nextExpiry = min(m.suspects.nextExpiry, expiryOf(row.Suspect))
	}
	m.suspects.dropped = restoreDropped(s.DroppedSuspects)
	for _, e := range s.Events {
		m.events.list = append(m.events.list, e)
		m.events.latest[e.Subject] = len(m.events.list) - 1
	}
	return nil
}

func (t *fileTable) restore(s *wire.MachineState) {
	t.current = s.Spec
	if s.Spec != nil {
		t.recent = []*wire.Spec{s.Spec}
	}
	t.accepted, t.refused = s.Accepted, s.Refused
	for _, rec := range s.Accepted {
		t.byVersion[rec.Version] = rec
	}
	t.deltas = s.SpecDeltas
	for _, d := range s.SpecDeltas {
		t.deltaSize += proto.Size(d)
	}
}

func (m *Machine) restoreLeases(s *wire.MachineState) {
	m.leases.lastFence = s.LastFence
	for _, row := range s.Leases {
		name := row.Lease.GetName()
		m.leases.rows[name] = row
		m.touched.leases[name] = true
	}
	m.leases.dropped = restoreDropped(s.DroppedLeases)
}

func (m *Machine) restoreUpstreams(s *wire.MachineState) error {
	for _, rec := range s.Upstreams {
		m.upstreams.byID[rec.Id] = &upstreamState{rec: rec, held: map[slotKey]*holding{}}
		m.touched.upstreams[rec.Id] = true
	}
	for _, row := range s.Holdings {
		u := m.upstreams.byID[row.Load.GetUpstream()]
		if u == nil {
			return errors.Errorf("order %q is on an unknown upstream", row.Load.GetId())
		}
		m.hold(u, &holding{load: row.Load, unload: row.Unload})
	}
	for _, e := range s.Ended {
		m.upstreams.ended[e.Id] = e
	}
	return nil
}

func (l *ledgerTable) packForgotten() []byte {
	packed := make([]byte, 0, forgottenBytes*len(l.oldest))
	for _, k := range l.oldest {
		packed = binary.BigEndian.AppendUint64(packed, k.hash)
		packed = binary.BigEndian.AppendUint64(packed, uint64(k.end))
	}
	return packed
}

func (l *ledgerTable) restore(s *wire.MachineState) {
	for _, e := range s.Ledger {
		l.live[keyOf(e)] = e
		l.answerBytes += int64(len(e.Answer.GetBody()))
	}
	l.rebuildExpiry()
	for b := s.ForgottenKeys; len(b) >= forgottenBytes; b = b[forgottenBytes:] {
		k := forgottenKey{binary.BigEndian.Uint64(b), int64(binary.BigEndian.Uint64(b[8:]))}
		l.forgotten[k.hash] = true
		l.oldest = append(l.oldest, k)
	}
}
