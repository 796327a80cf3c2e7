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
	// maxRecentSpecs is the number of whole specs kept for SpecAt.
	maxRecentSpecs = 8
	// maxDeltaBytes bounds the total size of the kept spec deltas, in addition to the
	// bound on their number.
	maxDeltaBytes = 8 << 20
	// maxDetailBytes bounds the detail of a history record.
	maxDetailBytes = 2_048

	defaultHistoryLimit = 100
	maxHistoryLimit     = 1_000
)

// fileTable holds the applied file's spec and the history of accepted and refused files.
type fileTable struct {
	current   *wire.Spec // nil before the first file
	recent    []*wire.Spec
	deltas    []*wire.SpecDelta // consecutive; the last one produced current
	deltaSize int               // encoded size of deltas, in bytes
	accepted  []*wire.FileRecord
	refused   []*wire.FileRecord
	byVersion map[uint64]*wire.FileRecord // the accepted records by version
}

func newFileTable() fileTable {
	return fileTable{byVersion: map[uint64]*wire.FileRecord{}}
}

func (t *fileTable) appliedIndex() uint64 { return t.current.GetIndex() }

// applyFile accepts a file as a whole or refuses it. Cheap checks come first, so that a
// resend or a lost race between operators costs no parsing.
func (m *Machine) applyFile(cmd *wire.ApplyFile) *wire.Result {
	r := m.okResult()
	if spec.Digest(cmd.GetFile()) != cmd.GetDigest() {
		r.File = m.refuseFile(cmd, wire.ApplyOutcome_APPLY_REFUSED_INVALID, "the digest is not the one of the file's bytes")
		return r
	}
	if r.File = m.checkVersion(cmd); r.File != nil {
		return r
	}
	if m.files.appliedIndex() == m.index {
		// Placements and deltas identify a file by its index, which all commands of a
		// batch share.
		r.File = m.refuseFile(cmd, wire.ApplyOutcome_APPLY_REFUSED_INVALID, "a batch accepts one file only")
		return r
	}
	next, err := m.parsed.result(cmd)
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

// parsedFile is the result of parsing a command's file before the machine is locked.
type parsedFile struct {
	cmd  *wire.ApplyFile
	spec *wire.Spec
	err  error
}

// parseAhead parses the file of a command that looks like the next version. It runs
// before the lock is taken, so that readers don't wait for the parser. Reading the file
// table without the lock is safe, because only the applying goroutine changes it.
func (m *Machine) parseAhead(cmd *wire.Command) parsedFile {
	file := cmd.GetApplyFile()
	if file == nil || m.files.current != nil && file.Version != m.files.current.Version+1 {
		return parsedFile{}
	}
	p := parsedFile{cmd: file}
	p.spec, p.err = spec.Parse(file.File)
	return p
}

// result returns the parsed file of the command, and parses it if parseAhead did not.
func (p *parsedFile) result(cmd *wire.ApplyFile) (*wire.Spec, error) {
	if p.cmd != cmd {
		return spec.Parse(cmd.File)
	}
	return p.spec, p.err
}

// checkVersion returns nil for the next version, and for any version before the first
// accepted file. Otherwise it returns the record to answer with: that of the earlier
// acceptance, marked as the same, for a resend, and a refusal for any other file.
func (m *Machine) checkVersion(cmd *wire.ApplyFile) *wire.FileRecord {
	applied := m.files.current.GetVersion()
	accepted := m.files.byVersion[cmd.Version]
	if accepted != nil && accepted.Digest == cmd.Digest {
		resent := proto.CloneOf(accepted)
		resent.Outcome = wire.ApplyOutcome_APPLY_SAME
		return resent
	}
	if m.files.current == nil || m.disabled.fileVersion {
		return nil
	}
	switch {
	case cmd.Version == applied:
		detail := fmt.Sprintf("version %d is held by digest %s, sent was %s", applied, accepted.GetDigest(), cmd.Digest)
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
	rec.Detail = truncate(detail, maxDetailBytes)
	if accepted := m.files.byVersion[cmd.GetVersion()]; accepted != nil {
		rec.AcceptedDigest = accepted.Digest
	}
	m.files.refused = appendBounded(m.files.refused, rec, m.opts.RefusedFiles)
	return rec
}

func (m *Machine) fileRecord(cmd *wire.ApplyFile, outcome wire.ApplyOutcome) *wire.FileRecord {
	return &wire.FileRecord{
		Index: m.index, Version: cmd.GetVersion(), Digest: truncate(cmd.GetDigest(), maxNameBytes),
		Who: truncate(cmd.GetWho(), maxNameBytes), AtUnixMs: m.now, Outcome: outcome,
	}
}

// acceptFile puts the spec in force and records the file in the history.
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

// putSpec makes next the current spec. Unchanged parts are shared with the old spec.
func (t *fileTable) putSpec(next *wire.Spec, maxDeltas int) {
	old := t.current
	d := spec.Diff(old, next)
	if shared, err := spec.Patch(old, d); err == nil {
		next = shared
	}
	t.current = next
	t.recent = appendBounded(t.recent, next, maxRecentSpecs)
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

// deltaSince returns the delta from the spec in force at index to the current one, or nil
// if they are the same.
func (t *fileTable) deltaSince(index uint64) *wire.SpecDelta {
	if t.current == nil || index >= t.current.Index {
		return nil
	}
	// The spec in force at index is the base of the first delta after it. If index is
	// below the oldest base, that spec is unknown, so the whole spec is sent.
	start, _ := slices.BinarySearchFunc(t.deltas, index, func(d *wire.SpecDelta, index uint64) int {
		if d.Index <= index {
			return -1
		}
		return 1
	})
	if start == len(t.deltas) || index < t.deltas[start].BaseIndex {
		return spec.Diff(nil, t.current)
	}
	return spec.Coalesce(t.deltas[start:], t.current)
}

// acceptedAt reports whether a file was accepted at index. It assumes so for an index
// above 0 that is older than the history.
func (t *fileTable) acceptedAt(index uint64) bool {
	if len(t.accepted) == 0 {
		return false
	}
	if index < t.accepted[0].Index {
		return index > 0
	}
	_, found := slices.BinarySearchFunc(t.accepted, index, compareRecord)
	return found
}

// recordAt returns the record of the accepted file in force at index, or nil if the
// history holds none.
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

// SpecAt returns the spec that was accepted at index, or nil if it is not among the last
// maxRecentSpecs. A restored snapshot holds only the spec in force, so earlier ones are
// not found after a restore.
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

// History returns the records of accepted and refused files with an index below before,
// newest first; before 0 starts from the newest. It returns at most limit records, and
// never more than maxHistoryLimit; limit 0 selects defaultHistoryLimit.
func (m *Machine) History(before uint64, limit int) []*wire.FileRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if limit <= 0 {
		limit = defaultHistoryLimit
	}
	limit = min(limit, maxHistoryLimit)
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

// appendBounded appends v and drops the oldest elements beyond limit.
func appendBounded[T any](list []T, v T, limit int) []T {
	list = append(list, v)
	if len(list) > limit {
		list = slices.Delete(list, 0, len(list)-limit)
	}
	return list
}

// truncate cuts s to at most n bytes of valid UTF-8.
func truncate(s string, n int) string {
	if len(s) > n {
		s = s[:n]
	}
	return strings.ToValidUTF8(s, "")
}
