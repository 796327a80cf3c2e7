package raft

import "gentiankeel/internal/wire"

// raftLog holds the entries after a base position. Entries are never changed in place.
type raftLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []*wire.LogEntry // entries[i].Index == baseIndex+1+i
}

func (l *raftLog) last() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, or false where the log has none.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns the entries lo to hi, both included, cut after maxBytes. At least one
// entry is returned where lo <= hi. A maxBytes of zero or less means no limit.
func (l *raftLog) slice(lo, hi uint64, maxBytes int) []*wire.LogEntry {
	if lo > hi || lo <= l.baseIndex || hi > l.last() {
		return nil
	}
	part := l.entries[lo-l.baseIndex-1 : hi-l.baseIndex]
	if maxBytes <= 0 {
		return part[:len(part):len(part)]
	}
	size := 0
	for i, e := range part {
		size += len(e.Data)
		if size > maxBytes && i > 0 {
			part = part[:i]
			break
		}
	}
	return part[:len(part):len(part)]
}

// truncateFrom drops the entry at index and all after it.
func (l *raftLog) truncateFrom(index uint64) {
	n := index - l.baseIndex - 1
	l.entries = l.entries[:n:n]
}

func (l *raftLog) append(e *wire.LogEntry) {
	l.entries = append(l.entries, e)
}

// compact drops the entries up to index, which must be present.
func (l *raftLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	rest := l.entries[index-l.baseIndex:]
	l.entries = append([]*wire.LogEntry(nil), rest...)
	l.baseIndex = index
	l.baseTerm = t
}

func (l *raftLog) reset(index, term uint64) {
	l.entries = nil
	l.baseIndex = index
	l.baseTerm = term
}

// upToDate reports whether a log ending at (term, index) holds all that this one does.
func (l *raftLog) upToDate(term, index uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// conflictHint returns the highest index at or below index whose term is at most term.
func (l *raftLog) conflictHint(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.baseIndex {
		t, ok := l.term(index)
		if !ok || t <= term {
			break
		}
		index--
	}
	return index
}
