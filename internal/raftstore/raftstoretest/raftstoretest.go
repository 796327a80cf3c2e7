// Package raftstoretest provides replica files for tests.
package raftstoretest

import (
	"sync/atomic"
	"testing"
	"time"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/raftstore"
	"gentiankeel/internal/wire"
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

// SlowStore is a replica file whose writes take at least a given time, as on a disk that
// other processes write to. A write that is running ends once the time is shorter again.
type SlowStore struct {
	*raftstore.Store
	delay atomic.Int64 // nanoseconds
}

// OpenSlow opens the replica file in dir as Open does. There is no delay yet.
func OpenSlow(t testing.TB, dir string) *SlowStore {
	t.Helper()
	return &SlowStore{Store: Open(t, dir)}
}

// SetDelay sets the time that a write takes at least.
func (s *SlowStore) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// Save implements replica.Storage.
func (s *SlowStore) Save(rd *raft.Ready) error {
	begin := time.Now()
	err := s.Store.Save(rd)
	s.wait(begin)
	return err
}

// SaveSnapshot implements replica.Storage.
func (s *SlowStore) SaveSnapshot(snap *wire.Snapshot, base, baseTerm uint64) error {
	begin := time.Now()
	err := s.Store.SaveSnapshot(snap, base, baseTerm)
	s.wait(begin)
	return err
}

func (s *SlowStore) wait(begin time.Time) {
	for time.Since(begin) < time.Duration(s.delay.Load()) {
		time.Sleep(time.Millisecond)
	}
}
