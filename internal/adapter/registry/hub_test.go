package registry

import (
	"testing"

	"github.com/onsi/gomega"

	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A replica that asks to join before it is known as a member of the log is
// answered once it becomes one. Any other process is never answered.
func TestEarlyJoinIsAnsweredOnceReplicaIsMember(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	fleet := newFleet(1)
	hub := fleet.replicas[0].hub
	answers := map[request.NodeID]int{}
	for _, node := range []request.NodeID{"early", "stranger"} {
		opened := hub.open(node, request.Place{}, func(reply *pb.Reply) { answers[node] += len(reply.GetUpdates()) })
		hub.receive(fleet.now, opened, &pb.Request{Join: true})
	}
	expect(answers).To(gomega.BeEmpty())
	hub.setMembers(fleet.now, []Replica{{ID: "early", Address: "127.0.0.1:1"}})
	expect(answers).To(gomega.Equal(map[request.NodeID]int{"early": 1}))
}
