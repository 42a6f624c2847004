package replica

import (
	"errors"
	"fmt"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// ErrStopped tells that this replica does not run any more.
var ErrStopped = errors.New("this replica has stopped: ask another one")

// NotLeaderError tells that a change of members has to be asked of the leader.
type NotLeaderError struct {
	// Leader is the zero value when none is known.
	Leader quorum.Member
}

// Error names the leader's address.
func (notLeader *NotLeaderError) Error() string {
	if notLeader.Leader.ID == quorum.None {
		return "this replica knows no leader: try again later or ask another replica"
	}
	return fmt.Sprintf("this replica is not the leader: ask the one at %s", notLeader.Leader.Address)
}

func unavailable(reason error) error {
	return fmt.Errorf("%w (%w)", port.ErrUnavailable, reason)
}
