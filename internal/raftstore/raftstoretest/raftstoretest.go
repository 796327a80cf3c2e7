// Package raftstoretest provides replica files for tests.
package raftstoretest

import (
	"testing"

	"gentiankeel/internal/raftstore"
)

// Open opens the replica file in dir. Its writes are not synced, unless for a benchmark:
// beside other processes that write to the same disk, a sync takes longer than an election
// timeout, and a leader steps down then.
func Open(t testing.TB, dir string) *raftstore.Store {
	t.Helper()
	st, err := raftstore.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, isBenchmark := t.(*testing.B); !isBenchmark {
		st.DisableSync()
	}
	return st
}
