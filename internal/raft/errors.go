package raft

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors that reject a single call. The replica keeps running.
var (
	ErrNotLeader         = errors.New("not the leader")
	ErrConfChangePending = errors.New("a membership change is open or this term has no committed entry yet")
	ErrConfInvalid       = errors.New("the membership change does not fit the membership")
	ErrLearnerBehind     = errors.New("the learner has not caught up")
	ErrTransferring      = errors.New("leadership is being transferred")
	ErrNoTransferPeer    = errors.New("no voter is able to take the leadership")
)

// InvariantError reports a violated invariant. The replica must stop.
type InvariantError struct {
	Name   string // short fixed name, used as a metric label
	Detail string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", e.Name, e.Detail)
}

// RolledBackError reports that a peer has seen newer state of this replica than its disk
// holds. Such a replica must not vote, since it may lack entries or votes that it
// acknowledged.
type RolledBackError struct {
	Peer   uint64
	Detail string
}

func (e *RolledBackError) Error() string {
	return fmt.Sprintf("disk is older than the state seen by peer %x: %s", e.Peer, e.Detail)
}

// BootstrapRefusedError reports that the first start of a group failed: a peer has seen
// an earlier start or later state of this identity, or its settings list different
// initial members.
type BootstrapRefusedError struct {
	Peer   uint64
	Detail string
}

func (e *BootstrapRefusedError) Error() string {
	return fmt.Sprintf("bootstrap refused by peer %x: %s", e.Peer, e.Detail)
}

// RemovedError reports that the group has removed this replica.
type RemovedError struct{ Peer uint64 }

func (e *RemovedError) Error() string {
	return fmt.Sprintf("peer %x reports that this replica was removed from the group", e.Peer)
}
