// Package replica runs one replica of the replicated log: it drives the consensus
// core of package raft with storage, transport and time.
package replica

import (
	"context"
	"time"

	"gentiankeel/internal/wire"
)

// StateMachine is what the log drives. Calls are made by one goroutine, in log order.
type StateMachine interface {
	// Apply executes the entry's data and returns the answer for its proposer.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the whole state at the last applied index.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot taken at index.
	Restore(index uint64, snapshot []byte) error
}

// Status is a replica's view of its group.
type Status struct {
	ID        uint64
	Term      uint64
	Leader    uint64 // 0: unknown
	IsLeader  bool
	LeaseTill time.Time // end of the leader lease; only on the leader
	Commit    uint64
	Applied   uint64
	Members   []*wire.Member
	Match     map[uint64]uint64 // leader only: acknowledged, synced index by replica
	Active    map[uint64]bool   // leader only: heard within the election timeout
	Repaired  bool              // leader only: the loss of any one more voter would lose nothing
	Verified  bool              // peers confirmed that this disk is not older than what they saw
}

// Member returns the member with an id, nil without one.
func (s Status) Member(id uint64) *wire.Member {
	for _, m := range s.Members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// Log is what the control shell uses of a replica.
//
// Errors: ErrNotLeader where this replica can't serve the call (nothing was
// proposed), ErrUnknownOutcome where the proposal may still commit, ErrStopped
// after a stop.
type Log interface {
	// Propose appends data and returns the state machine's answer once committed.
	Propose(ctx context.Context, data []byte) (answer []byte, index uint64, err error)
	// ReadBarrier returns once a local read is linearizable.
	ReadBarrier(ctx context.Context) error
	// ChangeMembership proposes one membership change and waits for its commit.
	ChangeMembership(ctx context.Context, cc *wire.ConfChange) error
	// Status returns the current view.
	Status() Status
	// Stop ends the replica and closes its storage.
	Stop() error
}
