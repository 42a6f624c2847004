package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

func TestNodeWithoutConfigurationRefusesPeerCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	node := &Node{Service: "consumo", Configuration: NewConfigurationHolder(NoConfiguration())}
	_, refusal := node.acceptCall(&peer.Inbound{Header: &peerpb.CallHeader{Service: "consumo", Kind: "consumo/readings"}}, time.Unix(1_000, 0))
	g.Expect(refusal).NotTo(gomega.BeNil())
	g.Expect(refusal.Code).To(gomega.Equal(request.NotReady))
}
