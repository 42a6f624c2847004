package node

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A call whose time is over when its turn comes is sent to nobody.
func TestACallThatIsReadPastItsDeadlineIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	no := &Node{Chooser: &choice.Chooser{}, Configuration: NewHolder(Unconfigured()), traffic: newTraffic(1)}
	og := &outgoing{kind: &configuration.CompiledKind{Routed: true}, work: request.Work{Deadline: time.Unix(1, 0)}}
	at := no.try(context.Background(), og, nil)
	g.Expect(at.refusal.Code).To(gomega.Equal(request.DeadlineTooClose))
	g.Expect(at.choice.Picked()).To(gomega.BeFalse())
}
