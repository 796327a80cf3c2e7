// Package raftstore stores a replica's identity, hard state, log and snapshot in one bbolt
// file. Every write is one transaction, which is synced before the call returns.
package raftstore

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

const (
	fileName    = "raft.db"
	lockTimeout = 2 * time.Second
	trimFactor  = 2 // compacted entries deleted for each entry written
	filePerm    = 0o600
	dirPerm     = 0o700
)

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")
	markBucket = []byte("marks")

	identityKey     = []byte("identity")
	hardStateKey    = []byte("hard-state")
	snapshotMetaKey = []byte("snapshot-meta")
	snapshotDataKey = []byte("snapshot-data")
	baseKey         = []byte("base") // index and term of the position before the first entry
)

// Store is an open replica file. It is not safe for concurrent use.
type Store struct {
	db   *bolt.DB
	base uint64 // entries up to this index are compacted, even if not deleted yet
}

// Open opens the replica file in dir and creates the directory and the file if needed. It
// fails if another process holds the file's lock for longer than lockTimeout.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return nil, errors.Wrap(err, "create data directory")
	}
	var db *bolt.DB
	err := recoverCorruption(func() (err error) {
		db, err = bolt.Open(filepath.Join(dir, fileName), filePerm, &bolt.Options{
			Timeout:        lockTimeout,
			FreelistType:   bolt.FreelistMapType,
			NoFreelistSync: true,
		})
		return err
	})
	if err != nil {
		return nil, errors.Wrap(recognizeFullDisk(err), "open replica file")
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{metaBucket, logBucket, markBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		err = syncDir(dir)
	}
	if err != nil {
		_ = db.Close()
		return nil, errors.Wrap(recognizeFullDisk(err), "prepare replica file")
	}
	return &Store{db: db}, nil
}

// DisableSync makes later writes return before they are synced. They survive the end of
// the process, but not that of the machine. It is for tests whose timing must not depend
// on the disk.
func (s *Store) DisableSync() {
	s.db.NoSync = true
	s.db.NoGrowSync = true
}

// syncDir syncs a directory, so that a file created or removed in it survives a crash.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Close closes the file.
func (s *Store) Close() error {
	return errors.Wrap(s.db.Close(), "close replica file")
}

// Load reads the stored state and the snapshot. For a new file the identity and the
// snapshot are nil. For a wrong checksum or a corrupt page the error wraps ErrCorrupt.
func (s *Store) Load() (raft.StoredState, *wire.Snapshot, error) {
	var st raft.StoredState
	var snap *wire.Snapshot
	err := recoverCorruption(func() error { return s.db.View(s.loadFunc(&st, &snap)) })
	s.base = st.BaseIndex
	return st, snap, errors.Wrap(err, "load replica file")
}

// loadFunc returns the read transaction of Load.
func (s *Store) loadFunc(st *raft.StoredState, snap **wire.Snapshot) func(*bolt.Tx) error {
	return func(tx *bolt.Tx) error {
		if err := loadMeta(tx, st); err != nil {
			return err
		}
		if st.Snapshot != nil {
			data, err := verifyChecksum(tx.Bucket(metaBucket).Get(snapshotDataKey))
			if err != nil {
				return errors.Wrap(err, "snapshot")
			}
			*snap = &wire.Snapshot{Meta: st.Snapshot, Data: append([]byte(nil), data...)}
		}
		if err := loadEntries(tx, st); err != nil {
			return err
		}
		return tx.Bucket(markBucket).ForEach(func(_, v []byte) error {
			m := &wire.PeerMark{}
			st.Marks = append(st.Marks, m)
			return errors.Wrap(readProto(v, m), "peer mark")
		})
	}
}

func loadMeta(tx *bolt.Tx, st *raft.StoredState) error {
	b := tx.Bucket(metaBucket)
	if v := b.Get(identityKey); v != nil {
		st.Identity = &wire.Identity{}
		if err := readProto(v, st.Identity); err != nil {
			return errors.Wrap(err, "identity")
		}
	}
	st.HardState = &wire.HardState{}
	if v := b.Get(hardStateKey); v != nil {
		if err := readProto(v, st.HardState); err != nil {
			return errors.Wrap(err, "hard state")
		}
	}
	if v := b.Get(snapshotMetaKey); v != nil {
		st.Snapshot = &wire.SnapshotMeta{}
		if err := readProto(v, st.Snapshot); err != nil {
			return errors.Wrap(err, "snapshot metadata")
		}
	}
	if v := b.Get(baseKey); len(v) == 16 {
		st.BaseIndex = binary.BigEndian.Uint64(v)
		st.BaseTerm = binary.BigEndian.Uint64(v[8:])
	}
	return nil
}

func loadEntries(tx *bolt.Tx, st *raft.StoredState) error {
	expected := st.BaseIndex + 1
	c := tx.Bucket(logBucket).Cursor()
	for k, v := c.Seek(indexKey(expected)); k != nil; k, v = c.Next() {
		e := &wire.LogEntry{}
		if err := readProto(v, e); err != nil {
			return errors.Wrapf(err, "entry %d", expected)
		}
		if e.Index != expected || binary.BigEndian.Uint64(k) != expected {
			return errors.Errorf("log has entry %d, expected %d", e.Index, expected)
		}
		expected++
		st.Entries = append(st.Entries, e)
	}
	return nil
}

// Init writes the replica's identity and, unless bootstrap is nil, the metadata of an initial
// voter's bootstrap snapshot as the snapshot and the log's base position.
func (s *Store) Init(id *wire.Identity, bootstrap *wire.SnapshotMeta) error {
	return s.update("write identity", func(tx *bolt.Tx) error {
		b := tx.Bucket(metaBucket)
		if bootstrap != nil {
			if err := putSnapshot(tx, &wire.Snapshot{Meta: bootstrap}); err != nil {
				return err
			}
			if err := b.Put(baseKey, baseValue(bootstrap.Index, bootstrap.Term)); err != nil {
				return err
			}
		}
		return putProto(b, identityKey, id)
	})
}

// Save writes the persistent parts of a Ready in one transaction. It also deletes a few
// compacted entries; see SaveSnapshot.
func (s *Store) Save(rd *raft.Ready) error {
	return s.update("save log", func(tx *bolt.Tx) error {
		b := tx.Bucket(metaBucket)
		if rd.Snapshot != nil {
			if err := installSnapshot(tx, rd.Snapshot); err != nil {
				return err
			}
		}
		if err := putEntries(tx.Bucket(logBucket), rd.Entries); err != nil {
			return err
		}
		if err := s.trimLog(tx.Bucket(logBucket), trimFactor*len(rd.Entries)); err != nil {
			return err
		}
		if rd.HardState != nil {
			if err := putProto(b, hardStateKey, rd.HardState); err != nil {
				return err
			}
		}
		if rd.Identity != nil {
			if err := putProto(b, identityKey, rd.Identity); err != nil {
				return err
			}
		}
		for _, m := range rd.Marks {
			if err := putProto(tx.Bucket(markBucket), indexKey(m.Id), m); err != nil {
				return err
			}
		}
		return nil
	})
}

// SaveSnapshot stores a snapshot of this replica's state and compacts the log up to the
// index base. The compacted entries are deleted a few at a time by later calls of Save:
// deleting thousands in one transaction would block the log for longer than a heartbeat
// interval.
func (s *Store) SaveSnapshot(snap *wire.Snapshot, base, baseTerm uint64) error {
	err := s.update("save snapshot", func(tx *bolt.Tx) error {
		if err := putSnapshot(tx, snap); err != nil {
			return err
		}
		return tx.Bucket(metaBucket).Put(baseKey, baseValue(base, baseTerm))
	})
	if err == nil {
		s.base = base
	}
	return err
}

// update runs fn in a write transaction. op names the operation in errors.
func (s *Store) update(op string, fn func(*bolt.Tx) error) error {
	return errors.Wrap(recognizeFullDisk(recoverCorruption(func() error { return s.db.Update(fn) })), op)
}

// recognizeFullDisk makes an error of a full disk wrap ENOSPC. bbolt formats the cause as text if the file
// can't be extended.
func recognizeFullDisk(err error) error {
	if err == nil || errors.Is(err, syscall.ENOSPC) {
		return err
	}
	for _, cause := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT} {
		if errors.Is(err, cause) || strings.HasSuffix(err.Error(), ": "+cause.Error()) {
			return errors.Wrap(syscall.ENOSPC, err.Error())
		}
	}
	return err
}

// installSnapshot stores a snapshot received from the leader and replaces the whole log.
func installSnapshot(tx *bolt.Tx, snap *wire.Snapshot) error {
	if err := tx.DeleteBucket(logBucket); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(logBucket); err != nil {
		return err
	}
	if err := putSnapshot(tx, snap); err != nil {
		return err
	}
	return tx.Bucket(metaBucket).Put(baseKey, baseValue(snap.Meta.Index, snap.Meta.Term))
}

func putSnapshot(tx *bolt.Tx, snap *wire.Snapshot) error {
	b := tx.Bucket(metaBucket)
	if err := putProto(b, snapshotMetaKey, snap.Meta); err != nil {
		return err
	}
	return b.Put(snapshotDataKey, appendChecksum(snap.Data))
}

// putEntries writes entries and deletes all stored ones from the first one's index on.
func putEntries(b *bolt.Bucket, entries []*wire.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	b.FillPercent = 1 // entries are appended in key order, so split pages can stay full
	c := b.Cursor()
	for k, _ := c.Seek(indexKey(entries[0].Index)); k != nil; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := putProto(b, indexKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

// trimLog deletes up to limit compacted entries.
func (s *Store) trimLog(b *bolt.Bucket, limit int) error {
	c := b.Cursor()
	for range limit {
		k, _ := c.First()
		if k == nil || binary.BigEndian.Uint64(k) > s.base {
			return nil
		}
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func putProto(b *bolt.Bucket, key []byte, m proto.Message) error {
	v, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, appendChecksum(v))
}

func readProto(v []byte, m proto.Message) error {
	v, err := verifyChecksum(v)
	if err != nil {
		return err
	}
	return proto.Unmarshal(v, m)
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

func baseValue(index, term uint64) []byte {
	return binary.BigEndian.AppendUint64(indexKey(index), term)
}

// Remove deletes the replica file in dir, and with it the replica's identity. It returns nil
// if the file does not exist.
func Remove(dir string) error {
	if err := os.Remove(filepath.Join(dir, fileName)); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "remove replica file")
	}
	return syncDir(dir)
}
