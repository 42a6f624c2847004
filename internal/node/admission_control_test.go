package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const reportedLevel = request.Level(300)

// controlAfterOverload returns the admission control of a node after a call met an
// admission level of the service agenda. attached is true for a call of the target.
func controlAfterOverload(attached bool) (*admissionControl, *outboundCall, time.Time) {
	now := time.Unix(1_000, 0)
	outbound := &outboundCall{
		kind:     &configuration.CompiledKind{Service: "agenda"},
		work:     request.Work{RootKind: "agenda/checklist", Priority: reportedLevel - 1},
		attached: attached,
	}
	control := newAdmissionControl(10)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		control.learnLevel(now, outbound, admission.LevelReport{Level: reportedLevel})
	}
	return control, outbound, now
}

func TestLevelsLearnedByEntryCallsAreNotReported(t *testing.T) {
	g := gomega.NewWithT(t)
	control, outbound, now := controlAfterOverload(false)
	g.Expect(control.downstreamRefuses(now, outbound)).To(gomega.BeTrue())
	g.Expect(control.state(now, outbound.work.RootKind).level.Level).To(gomega.BeZero())
}

func TestLevelsLearnedByTargetCallsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	control, outbound, now := controlAfterOverload(true)
	g.Expect(control.downstreamRefuses(now, outbound)).To(gomega.BeTrue())
	g.Expect(control.state(now, outbound.work.RootKind).level.Level).To(gomega.BeNumerically("~", reportedLevel, 5))
}
