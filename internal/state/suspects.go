package state

import (
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

const (
	// quarantineDeaths is how many upstream incarnations a body may be running on at
	// their end before it is quarantined.
	quarantineDeaths = 2
	// suspectSpan is how long a death counts against a body.
	suspectSpan = time.Hour
	// quarantineSpan is how long a quarantine lasts after the last death.
	quarantineSpan = 24 * time.Hour
)

// suspectTable holds the body digests that were running when upstreams ended.
type suspectTable struct {
	rows       map[string]*wire.SuspectRow
	dropped    droppedNames
	nextExpiry int64 // Unix ms; no row expires before it
}

func newSuspectTable() suspectTable {
	return suspectTable{rows: map[string]*wire.SuspectRow{}, dropped: newDroppedNames(), nextExpiry: math.MaxInt64}
}

// reportDeath counts one ended incarnation against a body, once, whoever reports it and
// how often.
func (m *Machine) reportDeath(cmd *wire.ReportDeath) *wire.Result {
	if !isDigest(cmd.GetBodyDigest()) || !isName(cmd.GetUpstream()) || cmd.GetIncarnation() == 0 {
		return m.invalid("a death needs a body digest, an upstream and an incarnation")
	}
	row := m.suspects.rows[cmd.BodyDigest]
	if row == nil {
		m.makeSuspectRoom()
		row = &wire.SuspectRow{Suspect: &wire.Suspect{BodyDigest: cmd.BodyDigest}}
	}
	r := m.ok()
	death := wire.SuspectKey(cmd.Upstream, cmd.Incarnation)
	if slices.Contains(row.Suspect.Upstreams, death) && !m.off.skipDeathDedupe {
		r.Deaths = uint32(len(row.Suspect.Upstreams))
		return r
	}
	next := proto.CloneOf(row.Suspect)
	if len(next.Upstreams) < maxDeaths {
		next.Upstreams = append(next.Upstreams, death)
	}
	next.LastUnixMs = m.now
	next.Quarantined = len(next.Upstreams) >= quarantineDeaths
	m.suspects.put(next, m.index)
	if next.Quarantined {
		m.note(next.BodyDigest, "quarantined: it was running when %d upstreams ended", len(next.Upstreams))
	}
	r.Deaths = uint32(len(next.Upstreams))
	return r
}

// maxDeaths bounds the incarnations listed for one body.
const maxDeaths = 16

func (t *suspectTable) put(s *wire.Suspect, index uint64) {
	t.rows[s.BodyDigest] = &wire.SuspectRow{Suspect: s, Changed: index}
	t.dropped.forget(s.BodyDigest)
	t.nextExpiry = min(t.nextExpiry, expiryOf(s))
}

func (t *suspectTable) drop(digest string, index uint64) {
	delete(t.rows, digest)
	t.dropped.add(digest, index)
}

func expiryOf(s *wire.Suspect) int64 {
	if s.Quarantined {
		return s.LastUnixMs + quarantineSpan.Milliseconds()
	}
	return s.LastUnixMs + suspectSpan.Milliseconds()
}

// makeSuspectRoom drops the row that matters least when the table is full: one that is
// not quarantined before one that is, then the one that is oldest.
func (m *Machine) makeSuspectRoom() {
	if len(m.suspects.rows) < m.opts.Suspects {
		return
	}
	var least *wire.Suspect
	for _, row := range m.suspects.rows {
		if least == nil || mattersLess(row.Suspect, least) {
			least = row.Suspect
		}
	}
	m.suspects.drop(least.BodyDigest, m.index)
}

func mattersLess(a, b *wire.Suspect) bool {
	if a.Quarantined != b.Quarantined {
		return b.Quarantined
	}
	if a.LastUnixMs != b.LastUnixMs {
		return a.LastUnixMs < b.LastUnixMs
	}
	return a.BodyDigest < b.BodyDigest
}

// expireSuspects clears what its time has cleared.
func (m *Machine) expireSuspects() {
	t := &m.suspects
	if m.now < t.nextExpiry {
		return
	}
	t.nextExpiry = math.MaxInt64
	for _, digest := range slices.Sorted(maps.Keys(t.rows)) {
		s := t.rows[digest].Suspect
		if at := expiryOf(s); at > m.now {
			t.nextExpiry = min(t.nextExpiry, at)
			continue
		}
		if s.Quarantined {
			m.note(digest, "quarantine ended by time")
		}
		t.drop(digest, m.index)
	}
}

// clearSuspects clears what the file accepted now names and the one before it did not.
// A digest that stays named is not cleared again when it does new harm.
func (m *Machine) clearSuspects(before, now []string) {
	for _, digest := range now {
		if _, named := slices.BinarySearch(before, digest); named || m.suspects.rows[digest] == nil {
			continue
		}
		m.suspects.drop(digest, m.index)
		m.note(digest, "cleared by %s", m.fileAt(m.index))
	}
}

// Suspects returns the body digests that were running when upstreams ended, sorted.
func (m *Machine) Suspects() []*wire.Suspect {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := make([]*wire.Suspect, 0, len(m.suspects.rows))
	for _, digest := range slices.Sorted(maps.Keys(m.suspects.rows)) {
		list = append(list, m.suspects.rows[digest].Suspect)
	}
	return list
}
