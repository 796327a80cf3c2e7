package replica

import "github.com/pkg/errors"

// Errors of a Log's calls.
var (
	ErrNotLeader      = errors.New("this replica is not the leader")
	ErrUnknownOutcome = errors.New("the proposal may or may not commit")
	ErrStopped        = errors.New("the replica has stopped")
	ErrNoVacancy      = errors.New("the lost replica is no voter and the group has all its voters")
	ErrTooLarge       = errors.New("the proposal is larger than MaxProposalBytes; nothing was proposed")
)
