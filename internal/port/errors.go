package port

import "errors"

// Errors of a command that is proposed to the replicated log.
var (
	// ErrUnavailable means that the command was not recorded and will not be.
	ErrUnavailable = errors.New("no quorum of replicas could be reached and nothing was recorded; try again")
	// ErrInDoubt means that the command may have been recorded, or may be later.
	ErrInDoubt = errors.New("it is unknown whether the command was recorded; send the same command again")
)
