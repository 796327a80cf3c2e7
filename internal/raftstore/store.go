// Package raftstore keeps a replica's identity, votes, log and snapshot in one bbolt
// file. Every write is one transaction that is synced before the call returns.
package raftstore

import (
	"encoding/binary"
	"os"
	"path/filepath"
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
	trimFactor  = 2 // entries freed for each one written
	filePerm    = 0o600
	dirPerm     = 0o700
)

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")
	markBucket = []byte("marks")

	identityKey = []byte("identity")
	hardKey     = []byte("hard-state")
	snapMetaKey = []byte("snapshot-meta")
	snapDataKey = []byte("snapshot-data")
	baseKey     = []byte("base") // index and term before the first entry
)

// Store is an open replica file. It is safe for use by one goroutine at a time.
type Store struct {
	db   *bolt.DB
	base uint64 // index before the first entry that counts
}

// Open opens or creates the file in dir. It fails where another process has it open.
func Open(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	var db *bolt.DB
	err := guarded(func() (err error) {
		db, err = bolt.Open(filepath.Join(dir, fileName), filePerm, &bolt.Options{
			Timeout:        lockTimeout,
			FreelistType:   bolt.FreelistMapType,
			NoFreelistSync: true,
		})
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "open replica file")
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
		return nil, errors.Wrap(err, "prepare replica file")
	}
	return &Store{db: db}, nil
}

// syncDir makes the file's name itself survive a crash.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if cerr := d.Close(); err == nil {
		err = cerr
	}
	return err
}

// Close closes the file.
func (s *Store) Close() error {
	return errors.Wrap(s.db.Close(), "close replica file")
}

// Load reads everything back. A new file gives a Restored without Identity.
func (s *Store) Load() (raft.StoredState, *wire.Snapshot, error) {
	var st raft.StoredState
	var snap *wire.Snapshot
	err := guarded(func() error { return s.db.View(s.loader(&st, &snap)) })
	s.base = st.BaseIndex
	return st, snap, errors.Wrap(err, "load replica file")
}

func (s *Store) loader(st *raft.StoredState, snap **wire.Snapshot) func(*bolt.Tx) error {
	return func(tx *bolt.Tx) error {
		if err := loadMeta(tx, st); err != nil {
			return err
		}
		if st.Snapshot != nil {
			data, err := checked(tx.Bucket(metaBucket).Get(snapDataKey))
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
			return errors.Wrap(readProto(v, m), "mark of a peer")
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
	if v := b.Get(hardKey); v != nil {
		if err := readProto(v, st.HardState); err != nil {
			return errors.Wrap(err, "hard state")
		}
	}
	if v := b.Get(snapMetaKey); v != nil {
		st.Snapshot = &wire.SnapshotMeta{}
		if err := readProto(v, st.Snapshot); err != nil {
			return errors.Wrap(err, "snapshot position")
		}
	}
	if v := b.Get(baseKey); len(v) == 16 {
		st.BaseIndex = binary.BigEndian.Uint64(v)
		st.BaseTerm = binary.BigEndian.Uint64(v[8:])
	}
	return nil
}

func loadEntries(tx *bolt.Tx, st *raft.StoredState) error {
	want := st.BaseIndex + 1
	c := tx.Bucket(logBucket).Cursor()
	for k, v := c.Seek(indexKey(want)); k != nil; k, v = c.Next() {
		e := &wire.LogEntry{}
		if err := readProto(v, e); err != nil {
			return errors.Wrapf(err, "entry %d", want)
		}
		if e.Index != want || binary.BigEndian.Uint64(k) != want {
			return errors.Errorf("log has entry %d where %d belongs", e.Index, want)
		}
		want++
		st.Entries = append(st.Entries, e)
	}
	return nil
}

// Init writes the state that a replica begins with: its identity and, for an initial
// voter, the bootstrap snapshot.
func (s *Store) Init(id *wire.Identity, boot *wire.SnapshotMeta) error {
	return s.update("write identity", func(tx *bolt.Tx) error {
		b := tx.Bucket(metaBucket)
		if boot != nil {
			if err := putSnapshot(tx, &wire.Snapshot{Meta: boot}); err != nil {
				return err
			}
			if err := b.Put(baseKey, baseValue(boot.Index, boot.Term)); err != nil {
				return err
			}
		}
		return putProto(b, identityKey, id)
	})
}

// Save writes what one Ready asks for.
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
		if err := s.trim(tx.Bucket(logBucket), trimFactor*len(rd.Entries)); err != nil {
			return err
		}
		if rd.HardState != nil {
			if err := putProto(b, hardKey, rd.HardState); err != nil {
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

// SaveSnapshot stores a snapshot of the own state and drops the entries up to base from
// the log. Later writes free their space bit by bit: freeing thousands of entries in one
// transaction would hold up the log for longer than a heartbeat.
func (s *Store) SaveSnapshot(snap *wire.Snapshot, base, baseTerm uint64) error {
	return s.update("save snapshot", func(tx *bolt.Tx) error {
		if err := putSnapshot(tx, snap); err != nil {
			return err
		}
		s.base = base
		return tx.Bucket(metaBucket).Put(baseKey, baseValue(base, baseTerm))
	})
}

func (s *Store) update(what string, fn func(*bolt.Tx) error) error {
	return errors.Wrap(guarded(func() error { return s.db.Update(fn) }), what)
}

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
	if err := putProto(b, snapMetaKey, snap.Meta); err != nil {
		return err
	}
	return b.Put(snapDataKey, withSum(snap.Data))
}

// putEntries replaces all entries from the first one's index on.
func putEntries(b *bolt.Bucket, entries []*wire.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	b.FillPercent = 1
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

// trim deletes up to limit of the entries that lie at or below the base.
func (s *Store) trim(b *bolt.Bucket, limit int) error {
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
	return b.Put(key, withSum(v))
}

func readProto(v []byte, m proto.Message) error {
	v, err := checked(v)
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

// Remove deletes the replica's file: the replica gives up its identity.
func Remove(dir string) error {
	if err := os.Remove(filepath.Join(dir, fileName)); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "remove replica file")
	}
	return syncDir(dir)
}
