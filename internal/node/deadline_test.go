package node

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

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
