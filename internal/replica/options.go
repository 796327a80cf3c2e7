package replica

import (
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/raftstore"
	"gentiankeel/internal/wire"
)

// Transport carries messages to the other replicas. Send never blocks and may drop.
type Transport interface {
	// Start sets the receiver for messages to the replica self.
	Start(self uint64, receive func(*wire.RaftMessage))
	// SetPeers follows the membership.
	SetPeers(members []*wire.Member)
	Send(msgs []*wire.RaftMessage)
	Close() error
}

// Storage keeps a replica's state. A write is synced when it returns; after an error
// the replica stops. Calls come from one goroutine at a time.
type Storage interface {
	// Load returns the stored state; Identity is nil on an empty disk.
	Load() (raft.Restored, *wire.Snapshot, error)
	// Init writes the identity and, for an initial voter, the first snapshot.
	Init(id *wire.Identity, boot *wire.SnapshotMeta) error
	Save(rd *raft.Ready) error
	// SaveSnapshot stores a snapshot and drops the entries up to base.
	SaveSnapshot(snap *wire.Snapshot, base, baseTerm uint64) error
	Close() error
}

// Options set a replica up.
type Options struct {
	Name    string // node id from the settings
	Address string // where peers reach this replica
	Zone    string // availability zone
	Cluster string // replicas of other clusters are not heard
	Dir     string // data folder; unused where Storage is set

	// Members are the initial voters. Set them only for the very first start of a
	// group; a replica whose disk holds state ignores them. Without members an empty
	// disk gets a new random identity and waits to be added as a learner. A member's
	// zero Id stands for BootstrapID of its name.
	Members []*wire.Member
	// Voters is the full number of voters that Repaired asks for.
	Voters int

	ElectionTimeout   time.Duration
	Heartbeat         time.Duration
	DisableLeaseReads bool   // confirm every read by a heartbeat round
	SnapshotEntries   uint64 // applied entries after which a snapshot is taken
	SnapshotBytes     int    // bytes of applied entries after which one is taken
	Seed              uint64 // of the election timeouts; 0: random

	Machine    StateMachine
	Transport  Transport
	Storage    Storage // nil: a bbolt file in Dir
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

const (
	defaultVoters          = 3
	defaultElectionTimeout = 300 * time.Millisecond
	heartbeatsPerElection  = 6
	defaultSnapshotEntries = 8192
	defaultSnapshotBytes   = 16 << 20
)

func (o *Options) setDefaults() error {
	switch {
	case o.Cluster == "":
		return errors.New("replica options: no cluster")
	case o.Name == "":
		return errors.New("replica options: no name")
	case o.Machine == nil:
		return errors.New("replica options: no state machine")
	case o.Transport == nil:
		return errors.New("replica options: no transport")
	}
	if o.Voters <= 0 {
		o.Voters = defaultVoters
	}
	if o.ElectionTimeout <= 0 {
		o.ElectionTimeout = defaultElectionTimeout
	}
	if o.Heartbeat <= 0 {
		o.Heartbeat = o.ElectionTimeout / heartbeatsPerElection
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.SnapshotBytes <= 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	if o.Seed == 0 {
		o.Seed = randomID()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return nil
}

// BootstrapID returns the identity of an initial voter. It serves for the first start
// of a group only; a replica that replaces another one draws a random identity.
func BootstrapID(cluster, name string) uint64 {
	return max(xxhash.Sum64String(cluster+"\x00"+name), 1)
}

func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand aborts the process instead
	return max(binary.BigEndian.Uint64(b[:]), 1)
}

// openIdentity loads the state and makes this start known on disk before any message
// leaves, so that peers can tell two starts apart.
func openIdentity(o *Options, st Storage) (raft.Restored, *wire.Snapshot, error) {
	restored, snap, err := st.Load()
	if err != nil {
		return restored, nil, err
	}
	if id := restored.Identity; id != nil {
		if id.Cluster != o.Cluster {
			return restored, nil, errors.Errorf("data folder belongs to cluster %q, not %q", id.Cluster, o.Cluster)
		}
		id.Boot++
		id.Nonce = randomID()
		return restored, snap, st.Init(id, nil)
	}
	id := &wire.Identity{Id: randomID(), Cluster: o.Cluster, Boot: 1, Nonce: randomID()}
	var boot *wire.SnapshotMeta
	if len(o.Members) > 0 {
		self, members := bootstrapMembers(o)
		if self == 0 {
			return restored, nil, errors.Errorf("%q is not among the initial members", o.Name)
		}
		id.Id = self
		id.Bootstrapping = true
		boot = raft.BootstrapSnapshot(members)
	}
	if err := st.Init(id, boot); err != nil {
		return restored, nil, err
	}
	return st.Load()
}

func bootstrapMembers(o *Options) (self uint64, members []*wire.Member) {
	for _, m := range o.Members {
		id := m.Id
		if id == 0 {
			id = BootstrapID(o.Cluster, m.Name)
		}
		if m.Name == o.Name {
			self = id
		}
		members = append(members, &wire.Member{Id: id, Name: m.Name, Address: m.Address, Zone: m.Zone})
	}
	return self, members
}

func openStorage(o *Options) (Storage, error) {
	if o.Storage != nil {
		return o.Storage, nil
	}
	return raftstore.Open(o.Dir)
}
