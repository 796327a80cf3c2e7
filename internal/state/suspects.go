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
	// quarantineDeaths is the number of upstream incarnations that must end while running
	// a body before the body is quarantined.
	quarantineDeaths = 2
	// suspectTTL is how long an unquarantined body's deaths count after the last one.
	suspectTTL = time.Hour
	// quarantineTTL is how long a quarantine lasts after the last death.
	quarantineTTL = 24 * time.Hour
)

// suspectTable holds the bodies that were running when upstreams ended, by digest.
type suspectTable struct {
	rows       map[string]*wire.SuspectRow
	dropped    droppedNames
	nextExpiry int64 // Unix ms; lower bound of all rows' expiry
}

func newSuspectTable() suspectTable {
	return suspectTable{rows: map[string]*wire.SuspectRow{}, dropped: newDroppedNames(), nextExpiry: math.MaxInt64}
}

// reportDeath counts an ended incarnation against a body. The same incarnation counts
// once, however often and by whomever it is reported.
func (m *Machine) reportDeath(cmd *wire.ReportDeath) *wire.Result {
	if !isDigest(cmd.GetBodyDigest()) || !isName(cmd.GetUpstream()) || cmd.GetIncarnation() == 0 {
		return m.invalidResult("a death needs a body digest, an upstream and an incarnation")
	}
	row := m.suspects.rows[cmd.BodyDigest]
	if row == nil {
		m.evictSuspectIfFull()
		row = &wire.SuspectRow{Suspect: &wire.Suspect{BodyDigest: cmd.BodyDigest}}
	}
	r := m.okResult()
	death := wire.SuspectKey(cmd.Upstream, cmd.Incarnation)
	if slices.Contains(row.Suspect.Upstreams, death) && !m.disabled.deathDedup {
		r.Deaths = uint32(len(row.Suspect.Upstreams))
		return r
	}
	next := proto.CloneOf(row.Suspect)
	if len(next.Upstreams) < maxListedDeaths {
		next.Upstreams = append(next.Upstreams, death)
	}
	next.LastUnixMs = m.now
	next.Quarantined = len(next.Upstreams) >= quarantineDeaths
	m.suspects.put(next, m.index)
	if next.Quarantined {
		m.recordEvent(next.BodyDigest, "quarantined: it was running when %d upstreams ended", len(next.Upstreams))
	}
	r.Deaths = uint32(len(next.Upstreams))
	return r
}

// reportAnswer no longer counts the listed deaths against a body that was answered since.
// A death that the reporter did not know of counts on, as does each of a quarantined body:
// only an operator or time ends a quarantine.
func (m *Machine) reportAnswer(cmd *wire.ReportAnswer) *wire.Result {
	if !isDigest(cmd.GetBodyDigest()) {
		return m.invalidResult("an answer needs a body digest")
	}
	row := m.suspects.rows[cmd.BodyDigest]
	if row == nil || row.Suspect.Quarantined {
		return m.okResult()
	}
	next := proto.CloneOf(row.Suspect)
	next.Upstreams = slices.DeleteFunc(next.Upstreams, func(death string) bool {
		return slices.Contains(cmd.Upstreams, death)
	})
	switch len(next.Upstreams) {
	case len(row.Suspect.Upstreams):
	case 0:
		m.suspects.drop(cmd.BodyDigest, m.index)
	default:
		m.suspects.put(next, m.index)
	}
	return m.okResult()
}

// maxListedDeaths bounds the ended incarnations that are kept for one body.
const maxListedDeaths = 16

func (t *suspectTable) put(s *wire.Suspect, index uint64) {
	t.rows[s.BodyDigest] = &wire.SuspectRow{Suspect: s, Changed: index}
	t.dropped.remove(s.BodyDigest)
	t.nextExpiry = min(t.nextExpiry, suspectExpiry(s))
}

func (t *suspectTable) drop(digest string, index uint64) {
	delete(t.rows, digest)
	t.dropped.add(digest, index)
}

func suspectExpiry(s *wire.Suspect) int64 {
	if s.Quarantined {
		return s.LastUnixMs + quarantineTTL.Milliseconds()
	}
	return s.LastUnixMs + suspectTTL.Milliseconds()
}

// evictSuspectIfFull drops one row if the table is full: rows that are not quarantined go
// first, then the one whose last death is oldest.
func (m *Machine) evictSuspectIfFull() {
	if len(m.suspects.rows) < m.opts.Suspects {
		return
	}
	var victim *wire.Suspect
	for _, row := range m.suspects.rows {
		if victim == nil || evictedBefore(row.Suspect, victim) {
			victim = row.Suspect
		}
	}
	m.suspects.drop(victim.BodyDigest, m.index)
}

func evictedBefore(a, b *wire.Suspect) bool {
	if a.Quarantined != b.Quarantined {
		return b.Quarantined
	}
	if a.LastUnixMs != b.LastUnixMs {
		return a.LastUnixMs < b.LastUnixMs
	}
	return a.BodyDigest < b.BodyDigest
}

// expireSuspects drops the rows whose time to live has passed.
func (m *Machine) expireSuspects() {
	table := &m.suspects
	if m.now < table.nextExpiry {
		return
	}
	table.nextExpiry = math.MaxInt64
	for _, digest := range slices.Sorted(maps.Keys(table.rows)) {
		s := table.rows[digest].Suspect
		if expiresAt := suspectExpiry(s); expiresAt > m.now {
			table.nextExpiry = min(table.nextExpiry, expiresAt)
			continue
		}
		if s.Quarantined {
			m.recordEvent(digest, "quarantine ended by time")
		}
		table.drop(digest, m.index)
	}
}

// clearSuspects drops the suspects whose digests are listed by the file accepted now and
// were not listed by the previous one. A digest that stays listed is not cleared again
// when it becomes suspect anew.
func (m *Machine) clearSuspects(previous, current []string) {
	for _, digest := range current {
		if _, listed := slices.BinarySearch(previous, digest); listed || m.suspects.rows[digest] == nil {
			continue
		}
		m.suspects.drop(digest, m.index)
		m.recordEvent(digest, "cleared by %s", m.describeFileAt(m.index))
	}
}

// Suspects returns the records of the bodies that were running when upstreams ended,
// sorted by digest.
func (m *Machine) Suspects() []*wire.Suspect {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := make([]*wire.Suspect, 0, len(m.suspects.rows))
	for _, digest := range slices.Sorted(maps.Keys(m.suspects.rows)) {
		list = append(list, m.suspects.rows[digest].Suspect)
	}
	return list
}
