package replica

import (
	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
)

// Errors returned by the methods of Log and Node.
var (
	ErrNotLeader      = errors.New("this replica is not the leader")
	ErrUnknownOutcome = errors.New("the proposal may or may not commit")
	ErrStopped        = errors.New("the replica has stopped")
	ErrGroupFull      = errors.New("the lost replica is no voter and the group has all its voters")
	ErrTooLarge       = errors.New("the proposal is larger than MaxProposalBytes; nothing was proposed")
)

// NeedsNewIdentity reports whether a replica that stopped with err was removed from the
// group or has a rolled-back disk. It can rejoin only with an empty disk and a new
// identity.
func NeedsNewIdentity(err error) bool {
	var rolledBack *raft.RolledBackError
	var removed *raft.RemovedError
	return errors.As(err, &rolledBack) || errors.As(err, &removed)
}
