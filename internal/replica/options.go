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

// Transport exchanges messages with the other replicas. Send never blocks and may drop
// messages.
type Transport interface {
	// Start sets the function that receives messages for the replica with id self.
	Start(self uint64, receive func(*wire.RaftMessage))
	// SetPeers sets the members of the group, after each change of the membership.
	SetPeers(members []*wire.Member)
	Send(msgs []*wire.RaftMessage)
	Close() error
}

// Storage persists a replica's state. Writes are synced when they return. After an error
// other than ENOSPC the replica stops. Calls are not concurrent.
type Storage interface {
	// Load returns the stored state and snapshot. On an empty disk Identity is nil.
	Load() (raft.StoredState, *wire.Snapshot, error)
	// Init writes the identity and, unless bootstrap is nil, the initial snapshot.
	Init(id *wire.Identity, bootstrap *wire.SnapshotMeta) error
	// Save writes the parts of a Ready that must be stored.
	Save(rd *raft.Ready) error
	// SaveSnapshot stores a snapshot and removes the entries up to base, or changes nothing.
	SaveSnapshot(snap *wire.Snapshot, base, baseTerm uint64) error
	Close() error
}

// Options configures a Node. Name, Cluster, Machine, Transport and one of Dir and Storage
// are required. Zero durations and limits take their defaults.
type Options struct {
	Name    string // node id, unique in the group
	Address string // address at which peers reach this replica
	Zone    string // availability zone
	Cluster string // messages of other clusters are dropped
	Dir     string // data directory; unused if Storage is set

	// Members are the initial voters for the first start of a group. A replica whose disk
	// holds state ignores them. Without Members, a replica with an empty disk gets a random
	// identity and waits to be added as a learner. A member with a zero Id gets the
	// BootstrapID of its name.
	Members []*wire.Member
	// Voters is the full number of voters, which Status.Repaired requires. Default: 3.
	Voters int

	ElectionTimeout   time.Duration
	Heartbeat         time.Duration
	DisableLeaseReads bool   // confirm every read with a heartbeat round
	SnapshotEntries   uint64 // applied entries after which a snapshot is taken
	SnapshotBytes     int    // bytes of applied entries after which a snapshot is taken
	Seed              uint64 // seed of the election timeouts; 0: random

	Machine    StateMachine
	Transport  Transport
	Storage    Storage               // nil: a bbolt file in Dir
	Logger     *slog.Logger          // nil: nothing is logged
	Registerer prometheus.Registerer // nil: the metrics are not registered
}

const (
	defaultVoters                = 3
	defaultElectionTimeout       = 300 * time.Millisecond
	heartbeatsPerElectionTimeout = 6
	defaultSnapshotEntries       = 8192
	defaultSnapshotBytes         = 16 << 20
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
		o.Heartbeat = o.ElectionTimeout / heartbeatsPerElectionTimeout
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

// BootstrapID returns the identity of an initial voter, derived from its name. It is used
// only for the first start of a group; a replica that replaces another one gets a random
// identity.
func BootstrapID(cluster, name string) uint64 {
	return max(xxhash.Sum64String(cluster+"\x00"+name), 1)
}

func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand aborts the process instead
	return max(binary.BigEndian.Uint64(b[:]), 1)
}

// openIdentity loads the stored state, or creates a new identity on an empty disk. It
// writes a new boot number and nonce before any message is sent, so that peers can
// distinguish this start from earlier ones.
func openIdentity(o *Options, st Storage) (raft.StoredState, *wire.Snapshot, error) {
	restored, snap, err := st.Load()
	if err != nil {
		return restored, nil, err
	}
	if id := restored.Identity; id != nil {
		if id.Cluster != o.Cluster {
			return restored, nil, errors.Errorf("data directory belongs to cluster %q, not %q", id.Cluster, o.Cluster)
		}
		id.Boot++
		id.Nonce = randomID()
		return restored, snap, st.Init(id, nil)
	}
	id := &wire.Identity{Id: randomID(), Cluster: o.Cluster, Boot: 1, Nonce: randomID()}
	var bootstrap *wire.SnapshotMeta
	if len(o.Members) > 0 {
		self, members := bootstrapMembers(o)
		if self == 0 {
			return restored, nil, errors.Errorf("replica %q is not among the initial members", o.Name)
		}
		id.Id = self
		id.Bootstrapping = true
		bootstrap = raft.BootstrapSnapshot(members)
	}
	if err := st.Init(id, bootstrap); err != nil {
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
