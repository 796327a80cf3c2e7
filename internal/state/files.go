package state

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

const (
	// recentSpecs is how many whole specs SpecAt can return.
	recentSpecs = 8
	// maxDeltaBytes bounds the deltas that are kept, whatever their number.
	maxDeltaBytes = 8 << 20
	// maxDetailBytes bounds the detail of a history record.
	maxDetailBytes = 2_048

	defaultHistory = 100
	maxHistory     = 1_000
)

// fileTable holds the applied file and the history of files.
type fileTable struct {
	current   *wire.Spec // nil before the first file
	recent    []*wire.Spec
	deltas    []*wire.SpecDelta // consecutive; the last one made current
	deltaSize int               // bytes of deltas
	accepted  []*wire.FileRecord
	refused   []*wire.FileRecord
	byVersion map[uint64]*wire.FileRecord // of accepted
}

func newFileTable() fileTable {
	return fileTable{byVersion: map[uint64]*wire.FileRecord{}}
}

func (t *fileTable) appliedIndex() uint64 { return t.current.GetIndex() }

// applyFile accepts a file whole or refuses it. The checks go from cheap to dear, so
// that a resend or a lost race costs no parsing.
func (m *Machine) applyFile(cmd *wire.ApplyFile) *wire.Result {
	r := m.ok()
	if spec.Digest(cmd.GetFile()) != cmd.GetDigest() {
		r.File = m.refuseFile(cmd, wire.ApplyOutcome_APPLY_REFUSED_INVALID, "the digest is not the one of the file's bytes")
		return r
	}
	if r.File = m.checkVersion(cmd); r.File != nil {
		return r
	}
	if m.files.appliedIndex() == m.index {
		// Placements and deltas name a file by its index, so a batch can't hold two.
		r.File = m.refuseFile(cmd, wire.ApplyOutcome_APPLY_REFUSED_INVALID, "a batch accepts one file only")
		return r
	}
	next, err := m.parsed.take(cmd)
	if err != nil {
		r.File = m.refuseFile(cmd, wire.ApplyOutcome_APPLY_REFUSED_INVALID, err.Error())
		return r
	}
	if next.Version != cmd.Version {
		detail := fmt.Sprintf("the file says version %d, the command %d", next.Version, cmd.Version)
		r.File = m.refuseFile(cmd, wire.ApplyOutcome_APPLY_REFUSED_INVALID, detail)
		return r
	}
	r.File = m.acceptFile(cmd, next)
	return r
}

// parsedFile is a file that was parsed before the machine was locked.
type parsedFile struct {
	cmd  *wire.ApplyFile
	spec *wire.Spec
	err  error
}

// parseAhead parses the file of a command that looks like the next version, so that
// readers don't wait for it. Only the goroutine that applies changes the file table, so
// it reads the table without the lock.
func (m *Machine) parseAhead(cmd *wire.Command) parsedFile {
	file := cmd.GetApplyFile()
	if file == nil || m.files.current != nil && file.Version != m.files.current.Version+1 {
		return parsedFile{}
	}
	p := parsedFile{cmd: file}
	p.spec, p.err = spec.Parse(file.File)
	return p
}

// take returns the command's parsed file, parsing it if that has not been done.
func (p *parsedFile) take(cmd *wire.ApplyFile) (*wire.Spec, error) {
	if p.cmd != cmd {
		return spec.Parse(cmd.File)
	}
	return p.spec, p.err
}

// checkVersion returns the record of a file that is not the next version: the first
// outcome again for a resend, else a refusal. It returns nil for the next version.
func (m *Machine) checkVersion(cmd *wire.ApplyFile) *wire.FileRecord {
	applied := m.files.current.GetVersion()
	first := m.files.byVersion[cmd.Version]
	if first != nil && first.Digest == cmd.Digest {
		same := proto.CloneOf(first)
		same.Outcome = wire.ApplyOutcome_APPLY_SAME
		return same
	}
	if m.files.current == nil || m.off.skipVersionCheck {
		return nil
	}
	switch {
	case cmd.Version == applied:
		detail := fmt.Sprintf("version %d is held by digest %s, sent was %s", applied, first.GetDigest(), cmd.Digest)
		return m.refuseFile(cmd, wire.ApplyOutcome_APPLY_REFUSED_CONFLICT, detail)
	case cmd.Version < applied:
		detail := fmt.Sprintf("version %d is applied with digest %s; sent was version %d with digest %s",
			applied, m.files.current.Digest, cmd.Version, cmd.Digest)
		return m.refuseFile(cmd, wire.ApplyOutcome_APPLY_REFUSED_OLDER, detail)
	case cmd.Version != applied+1:
		detail := fmt.Sprintf("version %d is applied, the next one is %d, sent was %d", applied, applied+1, cmd.Version)
		return m.refuseFile(cmd, wire.ApplyOutcome_APPLY_REFUSED_GAP, detail)
	}
	return nil
}

func (m *Machine) refuseFile(cmd *wire.ApplyFile, outcome wire.ApplyOutcome, detail string) *wire.FileRecord {
	rec := m.fileRecord(cmd, outcome)
	rec.Detail = bounded(detail, maxDetailBytes)
	if held := m.files.byVersion[cmd.GetVersion()]; held != nil {
		rec.AcceptedDigest = held.Digest
	}
	m.files.refused = appendBounded(m.files.refused, rec, m.opts.RefusedFiles)
	return rec
}

func (m *Machine) fileRecord(cmd *wire.ApplyFile, outcome wire.ApplyOutcome) *wire.FileRecord {
	return &wire.FileRecord{
		Index: m.index, Version: cmd.GetVersion(), Digest: bounded(cmd.GetDigest(), maxNameBytes),
		Who: bounded(cmd.GetWho(), maxNameBytes), AtUnixMs: m.now, Outcome: outcome,
	}
}

// acceptFile puts the spec in force.
func (m *Machine) acceptFile(cmd *wire.ApplyFile, next *wire.Spec) *wire.FileRecord {
	next.Index = m.index
	cleared := m.files.current.GetClearedDigests()
	m.files.putSpec(next, m.opts.SpecDeltas)
	rec := m.fileRecord(cmd, wire.ApplyOutcome_APPLY_ACCEPTED)
	m.files.accepted = append(m.files.accepted, rec)
	m.files.byVersion[rec.Version] = rec
	if len(m.files.accepted) > m.opts.AcceptedFiles {
		delete(m.files.byVersion, m.files.accepted[0].Version)
		m.files.accepted = slices.Delete(m.files.accepted, 0, 1)
	}
	m.clearSuspects(cleared, next.ClearedDigests)
	return rec
}

// putSpec makes next the current spec, sharing what did not change with the old one.
func (t *fileTable) putSpec(next *wire.Spec, maxDeltas int) {
	old := t.current
	d := spec.Diff(old, next)
	if shared, err := spec.Patch(old, d); err == nil {
		next = shared
	}
	t.current = next
	t.recent = appendBounded(t.recent, next, recentSpecs)
	if old == nil {
		return
	}
	t.deltas = append(t.deltas, d)
	t.deltaSize += proto.Size(d)
	for len(t.deltas) > maxDeltas || t.deltaSize > maxDeltaBytes {
		t.deltaSize -= proto.Size(t.deltas[0])
		t.deltas = slices.Delete(t.deltas, 0, 1)
	}
}

// deltaSince returns what turns the spec in force at index into the current one; nil
// when they are the same.
func (t *fileTable) deltaSince(index uint64) *wire.SpecDelta {
	if t.current == nil || index >= t.current.Index {
		return nil
	}
	// The spec in force at index is the base of the first delta after it. Below the
	// oldest base it is not known, so the whole spec is sent.
	first, _ := slices.BinarySearchFunc(t.deltas, index, func(d *wire.SpecDelta, index uint64) int {
		if d.Index <= index {
			return -1
		}
		return 1
	})
	if first == len(t.deltas) || index < t.deltas[first].BaseIndex {
		return spec.Diff(nil, t.current)
	}
	return spec.Coalesce(t.deltas[first:], t.current)
}

// knows tells whether a file was accepted at index, as far as the history reaches.
func (t *fileTable) knows(index uint64) bool {
	if len(t.accepted) == 0 {
		return false
	}
	if index < t.accepted[0].Index {
		return index > 0
	}
	_, found := slices.BinarySearchFunc(t.accepted, index, compareRecord)
	return found
}

// recordAt returns the accepted file in force at index, or nil.
func (t *fileTable) recordAt(index uint64) *wire.FileRecord {
	i, found := slices.BinarySearchFunc(t.accepted, index, compareRecord)
	switch {
	case found:
		return t.accepted[i]
	case i == 0:
		return nil
	}
	return t.accepted[i-1]
}

func compareRecord(r *wire.FileRecord, index uint64) int {
	switch {
	case r.Index < index:
		return -1
	case r.Index > index:
		return 1
	}
	return 0
}

// Spec returns the spec in force; nil before the first accepted file.
func (m *Machine) Spec() *wire.Spec {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.files.current
}

// SpecAt returns the spec that was accepted at index, or nil when it is not among the
// last few that this process has seen.
func (m *Machine) SpecAt(index uint64) *wire.Spec {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, s := range m.files.recent {
		if s.Index == index {
			return s
		}
	}
	return nil
}

// History returns accepted and refused files, newest first, with an index below before;
// 0 starts from the newest. At most limit are returned, or a default number for 0.
func (m *Machine) History(before uint64, limit int) []*wire.FileRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if limit <= 0 {
		limit = defaultHistory
	}
	limit = min(limit, maxHistory)
	var records []*wire.FileRecord
	a, r := len(m.files.accepted), len(m.files.refused)
	for len(records) < limit && a+r > 0 {
		var rec *wire.FileRecord
		if r == 0 || a > 0 && m.files.accepted[a-1].Index >= m.files.refused[r-1].Index {
			a--
			rec = m.files.accepted[a]
		} else {
			r--
			rec = m.files.refused[r]
		}
		if before == 0 || rec.Index < before {
			records = append(records, rec)
		}
	}
	return records
}

// appendBounded appends v and drops the oldest elements over the bound.
func appendBounded[T any](list []T, v T, most int) []T {
	list = append(list, v)
	if len(list) > most {
		list = slices.Delete(list, 0, len(list)-most)
	}
	return list
}

// bounded cuts s to at most n bytes of valid UTF-8.
func bounded(s string, n int) string {
	if len(s) > n {
		s = s[:n]
	}
	return strings.ToValidUTF8(s, "")
}
