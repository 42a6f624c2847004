package peer_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
)

// Guards against a node that stays at a replica without its state, and keeps an old version in
// force, since the next address in its list is the same one (CONFIG): while a lost disk is
// replaced, the group lists the lost id and its successor at one address.
func TestDirectoryListsEachReplicaOnce(t *testing.T) {
	for _, sorted := range []bool{false, true} {
		expect := gomega.NewWithT(t).Expect
		directory := &peer.Directory{Domain: "sur", Self: "node", SortByHash: sorted, Seeds: []peer.Address{"far"}}
		near := peer.ReplicaPlace{Address: "near", Domain: "sur"}
		far, other := peer.ReplicaPlace{Address: "far", Domain: "norte"}, peer.ReplicaPlace{Address: "other", Domain: "litoral"}
		expect(directory.Learn([]peer.ReplicaPlace{near, far, other, far, near})).To(gomega.BeTrue())
		expect(directory.List()).To(gomega.ConsistOf(peer.Address("near"), peer.Address("far"), peer.Address("other")))
		expect(directory.List()[0]).To(gomega.Equal(peer.Address("near")))
		expect(directory.Replicas()).To(gomega.Equal(directory.List()))
		expect(directory.Learn([]peer.ReplicaPlace{near, far, other})).To(gomega.BeFalse(), "the replicas are the same")
	}
}
