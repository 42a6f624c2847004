package quota

import "time"

// maxUnconfirmed is how long after its last confirmation by a quorum a replica relies on
// its quotas though the others may have accepted newer ones.
const maxUnconfirmed = 2500 * time.Millisecond

// Standing is what a replica knows of its place among the members of the group.
type Standing struct {
	// SinceConfirmed is the time since a quorum confirmed its state.
	SinceConfirmed time.Duration
	// Members is the number of members, this one included, and Silent how many of them it
	// has not heard of lately.
	Members, Silent int
}

// MayGrant reports whether the quotas that the replica knows are the newest ones. Without a
// confirmation they are as long as too few members are out of reach to form a majority: the
// halves of a group that is cut in two accept nothing, and both go on.
func (standing Standing) MayGrant() bool {
	if standing.SinceConfirmed <= maxUnconfirmed {
		return true
	}
	return standing.Silent < standing.Members/2+1
}
