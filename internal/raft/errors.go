package raft

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors that refuse one call; the replica goes on.
var (
	ErrNotLeader      = errors.New("not the leader")
	ErrConfOpen       = errors.New("a membership change is open or this term has no committed entry yet")
	ErrConfInvalid    = errors.New("the membership change does not fit the membership")
	ErrLearnerBehind  = errors.New("the learner has not caught up")
	ErrTransferring   = errors.New("leadership is being transferred")
	ErrNoTransferPeer = errors.New("no voter is able to take the leadership")
)

// InvariantError reports a broken invariant; the replica must stop.
type InvariantError struct {
	Name   string // short fixed name, used as a metric label
	Detail string
}

func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %s broken: %s", e.Name, e.Detail)
}

// RolledBackError reports that a peer has seen a later state of this replica than its
// disk holds. Such a replica must not vote: it could forget what it acknowledged.
type RolledBackError struct {
	Peer   uint64
	Detail string
}

func (e *RolledBackError) Error() string {
	return fmt.Sprintf("disk is older than what peer %x has seen: %s", e.Peer, e.Detail)
}

// BootstrapRefusedError reports that a peer already belongs to a formed group, or that
// it has seen another first start of this identity.
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
	return fmt.Sprintf("peer %x says that this replica was removed", e.Peer)
}
