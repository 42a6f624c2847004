package node

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A call that is read after its deadline is sent to no target.
func TestCallReadAfterDeadlineIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	node := &Node{Balancer: &balancer.Balancer{}, Configuration: NewConfigurationHolder(NoConfiguration()), admissionControl: newAdmissionControl(1)}
	outbound := &outboundCall{kind: &configuration.CompiledKind{Routed: true}, work: request.Work{Deadline: time.Unix(1, 0)}}
	attempt := node.tryTarget(context.Background(), outbound, nil)
	g.Expect(attempt.refusal.Code).To(gomega.Equal(request.DeadlineTooClose))
	g.Expect(attempt.choice.Picked()).To(gomega.BeFalse())
}

// Guards against calls that get more time than their callers have left, since the time on
// the way to the node of the target was not counted (BUDGET, GONE).
func TestTimeUnderWayCountsAgainstDeadline(t *testing.T) {
	noon := time.Unix(1_000, 0)
	cases := []struct {
		name   string
		waited time.Duration
		left   time.Duration
	}{
		{"at once", 0, time.Second},
		{"late", 400 * time.Millisecond, 600 * time.Millisecond},
		{"after its deadline", 3 * time.Second, -2 * time.Second},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			node := &Node{Service: "consumo", Configuration: NewConfigurationHolder(&ActiveConfiguration{Version: 1}), admissionControl: newAdmissionControl(1)}
			header := &peerpb.CallHeader{Service: "consumo", Kind: "route/readings", Routed: true, RemainingUs: time.Second.Microseconds()}
			inbound, refusal := node.acceptCall(&peer.Inbound{Header: header, Waited: test.waited}, noon)
			g.Expect(refusal).To(gomega.BeNil())
			g.Expect(inbound.work.Deadline.Sub(noon)).To(gomega.Equal(test.left))
		})
	}
}
