package replica

import "github.com/pkg/errors"

// Errors of a Log's calls.
var (
	ErrNotLeader      = errors.New("this replica is not the leader")
	ErrUnknownOutcome = errors.New("the proposal may or may not commit")
	ErrStopped        = errors.New("the replica has stopped")
	ErrTooLarge       = errors.New("the proposal is larger than MaxProposalBytes; nothing was proposed")
)
