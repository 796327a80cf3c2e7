// Package replica runs one replica of the replicated log. It connects the consensus core
// of package raft to storage, a transport, the clock and a state machine.
package replica

import (
	"context"
	"time"

	"gentiankeel/internal/wire"
)

// StateMachine is the replicated state machine. Its methods are called from one goroutine,
// in log order.
type StateMachine interface {
	// Apply applies the entry at index and returns the answer for its proposer.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the encoded state at the last applied index.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot taken at index.
	Restore(index uint64, snapshot []byte) error
}

// TermStarter is implemented by state machines that need to know what the build of each leader does.
type TermStarter interface {
	// TermData describes this build.
	TermData() []byte
	// StartTerm is called at the first entry of a leader's term, with the TermData of its build. It is empty if that build has
	// none.
	StartTerm(index uint64, data []byte)
}

// Status is a replica's view of its group.
type Status struct {
	ID          uint64
	Term        uint64
	Leader      uint64 // 0: unknown
	IsLeader    bool
	LeaseExpiry time.Time // expiry of the leader lease; zero without one
	Commit      uint64
	Applied     uint64
	Members     []*wire.Member
	Removed     []uint64          // ids whose removal from the group is committed; they never join again
	Match       map[uint64]uint64 // leader only: highest synced index by member
	Active      map[uint64]bool   // leader only: by member; see raft.Core.PeerActive
	Repaired    bool              // leader only: see raft.Core.Repaired
	Verified    bool              // peers confirmed that this disk has not been rolled back
}

// Member returns the member with the given id, or nil if there is none.
func (s Status) Member(id uint64) *wire.Member {
	for _, m := range s.Members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// Log is the interface of a replica as package control uses it.
//
// Its methods return ErrNotLeader if this replica can't serve the call and nothing was
// proposed, ErrUnknownOutcome if the proposal may still commit, and ErrStopped if the
// replica has stopped.
type Log interface {
	// Propose proposes data and returns the state machine's answer and the log index once
	// the entry is committed and applied.
	Propose(ctx context.Context, data []byte) (answer []byte, index uint64, err error)
	// ReadBarrier returns nil once a local read is linearizable.
	ReadBarrier(ctx context.Context) error
	// ChangeMembership proposes one membership change and waits for its commit.
	ChangeMembership(ctx context.Context, cc *wire.ConfChange) error
	// Status returns the replica's current view of the group. It never waits for the state
	// machine, whose callbacks may need a lock that the caller holds.
	Status() Status
	// LeaveRemoved stops the replica with a fatal error after a leader has told it that its
	// removal from the group is committed. See NeedsNewIdentity.
	LeaveRemoved(ctx context.Context) error
	// TransferLeadership starts a leadership transfer to the voter to, or to the most advanced
	// one if to is 0. It doesn't wait for the transfer's end.
	TransferLeadership(ctx context.Context, to uint64) error
	// Stop stops the replica and closes its transport and storage.
	Stop() error
}
