package raftstore

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	bolt "go.etcd.io/bbolt"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

func entries(term uint64, from, to uint64) []*wire.LogEntry {
	var out []*wire.LogEntry
	for i := from; i <= to; i++ {
		out = append(out, &wire.LogEntry{Term: term, Index: i, Data: []byte{byte(i)}})
	}
	return out
}

// reopen closes and reopens the store and loads its content, as a restart does.
func reopen(t *testing.T, s *Store, dir string) (*Store, raft.StoredState, *wire.Snapshot) {
	t.Helper()
	is := is.New(t)
	is.NoErr(s.Close())
	s, err := Open(dir)
	is.NoErr(err)
	t.Cleanup(func() { s.Close() })
	st, snap, err := s.Load()
	is.NoErr(err)
	return s, st, snap
}

func newBootstrappedStore(t *testing.T) (*Store, string) {
	t.Helper()
	dir := t.TempDir()
	s, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	id := &wire.Identity{Id: 7, Cluster: "test", Boot: 1, Nonce: 3, Bootstrapping: true}
	if err := s.Init(id, raft.BootstrapSnapshot([]*wire.Member{{Id: 7}, {Id: 8}})); err != nil {
		t.Fatal(err)
	}
	return s, dir
}

func TestLoad_EmptyDisk(t *testing.T) {
	is := is.New(t)
	s, err := Open(t.TempDir())
	is.NoErr(err)
	defer s.Close()
	st, snap, err := s.Load()
	is.NoErr(err)
	is.True(st.Identity == nil)
	is.True(snap == nil)
}

func TestOpen_FileLockedByOtherStore(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, err := Open(dir)
	is.NoErr(err)
	defer s.Close()
	_, err = Open(dir)
	is.True(err != nil)
}

func TestSave_ConflictingTail(t *testing.T) {
	is := is.New(t)
	s, dir := newBootstrappedStore(t)
	is.NoErr(s.Save(&raft.Ready{Entries: entries(2, 2, 9), HardState: &wire.HardState{Term: 2, Vote: 7}}))
	is.NoErr(s.Save(&raft.Ready{Entries: entries(3, 5, 6), Marks: []*wire.PeerMark{{Id: 8, Boot: 4}}}))
	_, st, _ := reopen(t, s, dir)
	is.Equal(st.Identity.Id, uint64(7))
	is.Equal(st.HardState.Vote, uint64(7))
	is.Equal(len(st.Entries), 5) // 2 to 6
	is.Equal(st.Entries[3].Term, uint64(3))
	is.Equal(st.Entries[4].Index, uint64(6))
	is.Equal(st.Marks[0].Boot, uint64(4))
}

func TestSaveSnapshot_LogCompaction(t *testing.T) {
	is := is.New(t)
	s, dir := newBootstrappedStore(t)
	is.NoErr(s.Save(&raft.Ready{Entries: entries(2, 2, 300)}))
	snap := &wire.Snapshot{Meta: &wire.SnapshotMeta{Index: 250, Term: 2}, Data: []byte("state")}
	is.NoErr(s.SaveSnapshot(snap, 200, 2))
	s, st, got := reopen(t, s, dir)
	is.Equal(st.BaseIndex, uint64(200))
	is.Equal(st.Entries[0].Index, uint64(201))
	is.Equal(len(st.Entries), 100)
	is.Equal(string(got.Data), "state")

	// Later writes delete the compacted entries, and no others.
	is.NoErr(s.Save(&raft.Ready{Entries: entries(2, 301, 500)}))
	is.NoErr(s.db.View(func(tx *bolt.Tx) error {
		is.Equal(tx.Bucket(logBucket).Stats().KeyN, 300)
		return nil
	}))
	_, st, _ = reopen(t, s, dir)
	is.Equal(len(st.Entries), 300)
}

func TestSave_SnapshotFromLeader(t *testing.T) {
	is := is.New(t)
	s, dir := newBootstrappedStore(t)
	is.NoErr(s.Save(&raft.Ready{Entries: entries(2, 2, 30)}))
	snap := &wire.Snapshot{Meta: &wire.SnapshotMeta{Index: 90, Term: 4}, Data: []byte("state")}
	is.NoErr(s.Save(&raft.Ready{Snapshot: snap, Entries: entries(5, 91, 92)}))
	_, st, got := reopen(t, s, dir)
	is.Equal(st.BaseIndex, uint64(90))
	is.Equal(st.BaseTerm, uint64(4))
	is.Equal(len(st.Entries), 2)
	is.Equal(got.Meta.Index, uint64(90))
}

func TestSave_FailedWrite(t *testing.T) {
	is := is.New(t)
	s, dir := newBootstrappedStore(t)
	is.NoErr(s.Save(&raft.Ready{Entries: entries(2, 2, 5)}))
	failing := []*wire.LogEntry{{Term: 2, Index: 6}, nil}
	is.True(s.Save(&raft.Ready{Entries: failing, HardState: &wire.HardState{Term: 9}}) != nil)
	_, st, _ := reopen(t, s, dir)
	is.Equal(len(st.Entries), 4)
	is.Equal(st.HardState.GetTerm(), uint64(0))
}

func TestLoad_CorruptValue(t *testing.T) {
	for _, key := range [][]byte{identityKey, hardStateKey, snapshotMetaKey, snapshotDataKey} {
		t.Run(string(key), func(t *testing.T) {
			is := is.New(t)
			s, _ := newBootstrappedStore(t)
			defer s.Close()
			is.NoErr(s.Save(&raft.Ready{Entries: entries(2, 2, 5), HardState: &wire.HardState{Term: 2}}))
			is.NoErr(s.db.Update(func(tx *bolt.Tx) error {
				b := tx.Bucket(metaBucket)
				v := append([]byte(nil), b.Get(key)...)
				v[0] ^= 1
				return b.Put(key, v)
			}))
			_, _, err := s.Load()
			is.True(errors.Is(err, ErrCorrupt))
		})
	}
}

// Guards against a log with a gap: compacted entries must stay until the snapshot that holds them is stored.
func TestSaveSnapshot_FailedThenLogWritten(t *testing.T) {
	is := is.New(t)
	s, dir := newBootstrappedStore(t)
	is.NoErr(s.Save(&raft.Ready{Entries: entries(1, 2, 40)}))
	info, err := os.Stat(filepath.Join(dir, fileName))
	is.NoErr(err)
	s.db.MaxSize = int(info.Size())
	snap := &wire.Snapshot{Meta: &wire.SnapshotMeta{Index: 40, Term: 1}, Data: make([]byte, 4*info.Size())}
	is.True(s.SaveSnapshot(snap, 30, 1) != nil)
	is.NoErr(s.Save(&raft.Ready{Entries: entries(1, 41, 50)}))
	_, st, _ := reopen(t, s, dir)
	is.Equal(len(st.Entries), 49)
}

// Guards against a process that ends since its disk was full while the file had to grow.
func TestRecognizeFullDisk_CauseAsText(t *testing.T) {
	is := is.New(t)
	for _, cause := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT} {
		// As bbolt's db.grow formats it.
		err := errors.New("file resize error: " + (&os.PathError{Op: "truncate", Path: "raft.db", Err: cause}).Error())
		is.True(errors.Is(recognizeFullDisk(err), syscall.ENOSPC))
		is.Equal(recognizeFullDisk(err).Error(), err.Error()+": "+syscall.ENOSPC.Error())
		is.True(errors.Is(recognizeFullDisk(errors.Wrap(cause, "write")), syscall.ENOSPC))
	}
	is.True(!errors.Is(recognizeFullDisk(errors.New("file sync error: input/output error")), syscall.ENOSPC))
	is.NoErr(recognizeFullDisk(nil))
}
