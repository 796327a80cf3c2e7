package replica

import (
	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
)

// Errors of a Log's calls.
var (
	ErrNotLeader      = errors.New("this replica is not the leader")
	ErrUnknownOutcome = errors.New("the proposal may or may not commit")
	ErrStopped        = errors.New("the replica has stopped")
	ErrNoVacancy      = errors.New("the lost replica is no voter and the group has all its voters")
	ErrTooLarge       = errors.New("the proposal is larger than MaxProposalBytes; nothing was proposed")
)

// MustRejoin reports whether a replica stopped because its place or its disk is lost: it
// may take part again only under a new identity.
func MustRejoin(err error) bool {
	var rolledBack *raft.RolledBackError
	var removed *raft.RemovedError
	return errors.As(err, &rolledBack) || errors.As(err, &removed)
}
