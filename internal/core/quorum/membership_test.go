package quorum_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
)

// votersOf gives a membership of voters with consecutive ids.
func votersOf(first, last quorum.ReplicaID) quorum.Membership {
	var membership quorum.Membership
	for id := first; id <= last; id++ {
		membership.Members = append(membership.Members, quorum.Member{ID: id})
	}
	return membership
}

// haveCommonVoter tries every majority of one membership against every majority of the
// other.
func haveCommonVoter(before, after quorum.Membership) bool {
	majorities := func(membership quorum.Membership) []map[quorum.ReplicaID]bool {
		var found []map[quorum.ReplicaID]bool
		for set := range 1 << len(membership.Members) {
			chosen := map[quorum.ReplicaID]bool{}
			for at, member := range membership.Members {
				if set>>at&1 == 1 {
					chosen[member.ID] = true
				}
			}
			if len(chosen) == membership.Majority() {
				found = append(found, chosen)
			}
		}
		return found
	}
	for _, old := range majorities(before) {
		for _, next := range majorities(after) {
			common := false
			for id := range old {
				common = common || next[id]
			}
			if !common {
				return false
			}
		}
	}
	return true
}

// Guards against two leaders or a lost entry after several members were changed at once:
// a change is refused if two majorities without a common voter exist, and only then.
func TestQuorumsMeetWhereverTheyMust(t *testing.T) {
	for before := quorum.ReplicaID(1); before <= 9; before++ {
		for removed := range before {
			for added := range quorum.ReplicaID(4) {
				if removed == before && added == 0 {
					continue
				}
				old, next := votersOf(1, before), votersOf(removed+1, before+added)
				gomega.NewWithT(t).Expect(old.QuorumsMeet(next)).To(gomega.Equal(haveCommonVoter(old, next)),
					fmt.Sprintf("%d voters, %d removed, %d added", before, removed, added))
			}
		}
	}
}
