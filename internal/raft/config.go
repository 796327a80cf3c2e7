// Package raft implements the Raft consensus core of the replicated log as a
// deterministic state machine without I/O, goroutines, clocks or a global random
// source. The caller passes in messages and the current time and performs the work that
// Ready returns.
package raft

import (
	"time"

	"gentiankeel/internal/wire"
)

// Config configures a Core. ID and Cluster are required. Zero durations and limits take
// their defaults.
type Config struct {
	ID              uint64
	Cluster         string
	ElectionTimeout time.Duration // lower bound of the randomised election timeout
	Heartbeat       time.Duration // interval between a leader's heartbeats
	LeaseMargin     time.Duration // difference between ElectionTimeout and the leader lease
	LeaseReads      bool          // serve reads under the leader lease, without a heartbeat round
	MaxAppendBytes  int           // maximum bytes of entry data in one append message
	MaxInflight     int           // maximum unacknowledged append messages per peer
	MaxLearnerLag   uint64        // maximum entries that a learner may lag behind when it is promoted
	Seed            uint64        // seed of the election timeouts
	TermData        []byte        // data of the first entry of each term that this replica leads

	disabledMechanisms disabledMechanisms
}

// disabledMechanisms names the safety mechanisms to disable. Tests use it to check that
// the absence of each one is detected; production code never sets it.
type disabledMechanisms struct {
	preVote           bool
	checkQuorum       bool
	leaseMargin       bool
	syncBeforeAck     bool
	currentTermCommit bool
	identityCheck     bool
	confChangeGuard   bool
}

const (
	defaultElectionTimeout         = 500 * time.Millisecond
	defaultMaxAppendBytes          = 256 << 10
	defaultMaxInflight             = 64
	defaultMaxLearnerLag           = 128
	heartbeatsPerElectionTimeout   = 8
	leaseMarginsPerElectionTimeout = 5
	snapshotResendElectionTimeouts = 5 // election timeouts after which an unacknowledged snapshot is sent again
)

func (c *Config) setDefaults() {
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.Heartbeat <= 0 {
		c.Heartbeat = c.ElectionTimeout / heartbeatsPerElectionTimeout
	}
	if c.LeaseMargin <= 0 {
		c.LeaseMargin = c.ElectionTimeout / leaseMarginsPerElectionTimeout
	}
	if c.MaxAppendBytes <= 0 {
		c.MaxAppendBytes = defaultMaxAppendBytes
	}
	if c.MaxInflight <= 0 {
		c.MaxInflight = defaultMaxInflight
	}
	if c.MaxLearnerLag == 0 {
		c.MaxLearnerLag = defaultMaxLearnerLag
	}
}

// StoredState is the persistent state of a replica, as loaded from its disk.
type StoredState struct {
	Identity  *wire.Identity
	HardState *wire.HardState
	Snapshot  *wire.SnapshotMeta // of the newest stored snapshot; nil on an empty disk
	BaseIndex uint64             // index that precedes the first stored entry
	BaseTerm  uint64
	Entries   []*wire.LogEntry
	Marks     []*wire.PeerMark // newest known state of each peer
}

// BootstrapIndex and BootstrapTerm are the log position of the initial membership.
const (
	BootstrapIndex = 1
	BootstrapTerm  = 1
)

// BootstrapSnapshot returns the metadata of the snapshot that every initial voter starts
// from. It holds the initial membership.
func BootstrapSnapshot(members []*wire.Member) *wire.SnapshotMeta {
	m := &wire.Membership{}
	for _, p := range members {
		m.Members = insertMember(m.Members, p)
	}
	return &wire.SnapshotMeta{Index: BootstrapIndex, Term: BootstrapTerm, Membership: m}
}
