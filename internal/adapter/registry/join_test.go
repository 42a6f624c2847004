package registry

import (
	"testing"

	"github.com/onsi/gomega"

	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A replica that asks to join before this one knows it as a member of the log
// gets its answer once it is one; another process never does.
func TestAnEarlyJoinIsAnsweredLater(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	made := newFleet(1)
	reader := made.replicas[0].desk
	answers := map[request.NodeID]int{}
	for _, node := range []request.NodeID{"early", "stranger"} {
		opened := reader.open(node, request.Place{}, func(reply *pb.Reply) { answers[node] += len(reply.GetUpdates()) })
		reader.receive(made.now, opened, &pb.Request{Join: true})
	}
	expect(answers).To(gomega.BeEmpty())
	reader.admit(made.now, []Replica{{ID: "early", Address: "127.0.0.1:1"}})
	expect(answers).To(gomega.Equal(map[request.NodeID]int{"early": 1}))
}
