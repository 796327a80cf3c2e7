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

// forgottenKeyBytes is the size of one forgotten key in a snapshot: its hash and its
// expiry, 8 bytes each.
const forgottenKeyBytes = 16

// Snapshot returns the encoded state; equal states give equal bytes. It blocks Apply only
// while it collects the state, not while it encodes it.
func (m *Machine) Snapshot() ([]byte, error) {
	s, live := m.collect()
	slices.SortFunc(live, func(a, b *wire.LedgerEntry) int {
		return cmp.Or(strings.Compare(a.Caller, b.Caller), strings.Compare(a.Key, b.Key))
	})
	s.Ledger = live
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return data, errors.Wrap(err, "encoding the snapshot")
}

// collect returns the content of a snapshot without the ledger, and the live ledger
// entries, unsorted. It shares messages with the machine, which never modifies a published
// one.
func (m *Machine) collect() (*wire.MachineState, []*wire.LedgerEntry) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &wire.MachineState{
		Index: m.index, NowUnixMs: m.now, LastFence: m.leases.lastFence,
		Accepted: slices.Clone(m.files.accepted), Refused: slices.Clone(m.files.refused),
		Spec: m.files.current, SpecDeltas: slices.Clone(m.files.deltas),
		DroppedLeases:   m.leases.dropped.snapshot(),
		DroppedSuspects: m.suspects.dropped.snapshot(),
		Events:          slices.Clone(m.events.list),
		ForgottenKeys:   m.ledger.encodeForgotten(),
		Routing:         m.routing,
		Departures:      m.departures.sorted(),
		Holders:         m.holders,
		Software:        m.software,
		Origins:         m.origins.list(),
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
		for _, h := range u.sortedHoldings() {
			s.Holdings = append(s.Holdings, &wire.HoldingRow{Load: h.load, Unload: h.unload})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.upstreams.ended)) {
		s.Ended = append(s.Ended, m.upstreams.ended[id])
	}
	return s, slices.Collect(maps.Values(m.ledger.live))
}

// Restore replaces the state with a snapshot that was taken at a log index. The index of
// the encoded state may be lower, but not higher. After an error the machine must not be
// used.
func (m *Machine) Restore(index uint64, snapshot []byte) error {
	s := &wire.MachineState{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return errors.Wrap(err, "decoding the snapshot")
	}
	if s.Index > index {
		return errors.Errorf("the state in the snapshot is at index %d, above the snapshot's index %d", s.Index, index)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.dirty
	m.reset()
	// Kept, so that the next Check detects a snapshot older than the state of this process.
	m.dirty.lastFence, m.dirty.specIndex, m.dirty.specVersion = previous.lastFence, previous.specIndex, previous.specVersion
	m.index, m.now = s.Index, s.NowUnixMs
	m.files.restore(s)
	m.restoreLeases(s)
	if err := m.restoreUpstreams(s); err != nil {
		return err
	}
	m.ledger.restore(s)
	m.restoreRouting(s)
	for _, d := range s.Departures {
		m.departures[departureKeyOf(d)] = d
	}
	m.holders = s.Holders
	m.software = s.Software
	s.Origins.Each(m.origins.put)
	for _, row := range s.Suspects {
		m.suspects.rows[row.Suspect.GetBodyDigest()] = row
		m.suspects.nextExpiry = min(m.suspects.nextExpiry, suspectExpiry(row.Suspect))
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
		m.dirty.leases[name] = true
	}
	m.leases.dropped = restoreDropped(s.DroppedLeases)
}

func (m *Machine) restoreUpstreams(s *wire.MachineState) error {
	for _, rec := range s.Upstreams {
		m.upstreams.byID[rec.Id] = &upstreamState{rec: rec, holdings: map[holdingKey]*holding{}}
		m.dirty.upstreams[rec.Id] = true
	}
	for _, row := range s.Holdings {
		u := m.upstreams.byID[row.Load.GetUpstream()]
		if u == nil {
			return errors.Errorf("order %q in the snapshot is for an unregistered upstream", row.Load.GetId())
		}
		m.addHolding(u, &holding{load: row.Load, unload: row.Unload})
	}
	for _, e := range s.Ended {
		m.upstreams.ended[e.Id] = e
	}
	return nil
}

func (l *ledgerTable) encodeForgotten() []byte {
	encoded := make([]byte, 0, forgottenKeyBytes*len(l.forgottenQueue))
	for _, k := range l.forgottenQueue {
		encoded = binary.BigEndian.AppendUint64(encoded, k.hash)
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(k.expiresAt))
	}
	return encoded
}

func (l *ledgerTable) restore(s *wire.MachineState) {
	for _, e := range s.Ledger {
		l.live[ledgerKeyOf(e)] = e
		l.answerBytes += int64(len(e.Answer.GetBody()))
	}
	l.rebuildExpiry()
	for b := s.ForgottenKeys; len(b) >= forgottenKeyBytes; b = b[forgottenKeyBytes:] {
		k := forgottenKey{binary.BigEndian.Uint64(b), int64(binary.BigEndian.Uint64(b[8:]))}
		l.forgotten[k.hash] = true
		l.forgottenQueue = append(l.forgottenQueue, k)
	}
}
