// Package raft is the consensus core of the replicated log: a state machine without
// I/O, goroutines, clocks or a global random source. The caller feeds in messages and
// the time and carries out what Ready returns.
package raft

import (
	"time"

	"gentiankeel/internal/wire"
)

// Config sets up a Core. Zero values of the optional fields are replaced by defaults.
type Config struct {
	ID              uint64
	Cluster         string
	ElectionTimeout time.Duration // shortest time without a leader before an election
	Heartbeat       time.Duration // time between two heartbeats of a leader
	LeaseMargin     time.Duration // how much shorter the leader lease is than ElectionTimeout
	LeaseReads      bool          // serve reads under the lease without a heartbeat round
	MaxAppendBytes  int           // bytes of entries in one message
	MaxInflight     int           // unacknowledged append messages a peer
	CatchUpLag      uint64        // entries that a learner may lack when it is promoted
	Seed            uint64        // seed of the randomised election timeouts

	faults faults
}

// faults take one mechanism out each. Tests use them to show that the mechanism is
// needed; production code never sets them.
type faults struct {
	noPreVote       bool
	noCheckQuorum   bool
	noLeaseMargin   bool
	noSyncBeforeAck bool
	noOwnTermCommit bool
	noIdentityCheck bool
	noConfGuard     bool
}

const (
	defaultElectionTimeout = 500 * time.Millisecond
	defaultMaxAppendBytes  = 256 << 10
	defaultMaxInflight     = 64
	defaultCatchUpLag      = 128
	heartbeatsPerElection  = 8
	marginsPerElection     = 5
	snapshotTimeouts       = 5 // election timeouts before a snapshot is sent again
)

func (c *Config) setDefaults() {
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.Heartbeat <= 0 {
		c.Heartbeat = c.ElectionTimeout / heartbeatsPerElection
	}
	if c.LeaseMargin <= 0 {
		c.LeaseMargin = c.ElectionTimeout / marginsPerElection
	}
	if c.MaxAppendBytes <= 0 {
		c.MaxAppendBytes = defaultMaxAppendBytes
	}
	if c.MaxInflight <= 0 {
		c.MaxInflight = defaultMaxInflight
	}
	if c.CatchUpLag == 0 {
		c.CatchUpLag = defaultCatchUpLag
	}
}

// Restored is the state read from a replica's disk.
type Restored struct {
	Identity  *wire.Identity
	HardState *wire.HardState
	Snapshot  *wire.SnapshotMeta // newest stored snapshot; nil on an empty disk
	BaseIndex uint64             // index before the first stored entry
	BaseTerm  uint64
	Entries   []*wire.LogEntry
	Marks     []*wire.PeerMark
}

// BootstrapIndex is the log position of the initial membership, BootstrapTerm its term.
const (
	BootstrapIndex = 1
	BootstrapTerm  = 1
)

// BootstrapSnapshot returns the snapshot that every initial voter starts from.
func BootstrapSnapshot(members []*wire.Member) *wire.SnapshotMeta {
	m := &wire.Membership{}
	for _, p := range members {
		m.Members = insertMember(m.Members, p)
	}
	return &wire.SnapshotMeta{Index: BootstrapIndex, Term: BootstrapTerm, Membership: m}
}
