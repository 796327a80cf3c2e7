package raft

import "gentiankeel/internal/wire"

// raftLog holds the log entries after a base position. Entries are immutable.
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

// term returns the term of the entry at index, or false if the log doesn't hold it. The
// term of the base position is known too.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns the entries lo to hi inclusive, limited to maxBytes of data but at least
// one entry, or nil if lo > hi or the log doesn't hold the range. A maxBytes of zero or
// less means no limit.
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

// truncateFrom removes the entry at index and all that follow.
func (l *raftLog) truncateFrom(index uint64) {
	n := index - l.baseIndex - 1
	l.entries = l.entries[:n:n]
}

func (l *raftLog) append(e *wire.LogEntry) {
	l.entries = append(l.entries, e)
}

// compact removes the entries up to index and makes it the base position. It does nothing
// if the log doesn't hold index.
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

// upToDate reports whether a log that ends at (term, index) is at least as up to date as
// this one, as Raft's voting rule defines it.
func (l *raftLog) upToDate(term, index uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || term == lastTerm && index >= l.last()
}

// conflictHint returns the highest index at or below index whose term is at most term. It
// doesn't search below the base index.
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
