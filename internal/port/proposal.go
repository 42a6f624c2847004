package port

import "errors"

// Errors of a proposal to the replicated log.
var (
	// ErrUnavailable tells that a command was not recorded and will not be.
	ErrUnavailable = errors.New("no quorum of replicas could be reached, nothing was recorded: try again")
	// ErrInDoubt tells that a command may be recorded, now or later.
	ErrInDoubt = errors.New("it is not known whether the command was recorded: send the same one again")
)
