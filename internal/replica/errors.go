package replica

import (
	"errors"
	"fmt"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// ErrStopped is the error of a call at a replica that has stopped.
var ErrStopped = errors.New("this replica has stopped; ask another replica")

// NotLeaderError is the error of a change of members at a replica that does not
// lead.
type NotLeaderError struct {
	// Leader is the zero value if no leader is known.
	Leader quorum.Member
}

// Error names the leader's address, if it is known.
func (notLeader *NotLeaderError) Error() string {
	if notLeader.Leader.ID == quorum.None {
		return "this replica knows no leader; try again later or ask another replica"
	}
	return fmt.Sprintf("this replica is not the leader; ask the leader at %s", notLeader.Leader.Address)
}

func wrapUnavailable(reason error) error {
	return fmt.Errorf("%w (%w)", port.ErrUnavailable, reason)
}
