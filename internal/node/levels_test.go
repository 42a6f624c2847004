package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const metLevel = request.Level(300)

// metOverload gives the traffic of a node whose call, of a caller or of its
// target, met a level of the service agenda.
func metOverload(tied bool) (*traffic, *outgoing, time.Time) {
	now := time.Unix(1_000, 0)
	og := &outgoing{
		kind: &configuration.CompiledKind{Service: "agenda"},
		work: request.Work{RootKind: "agenda/checklist", Priority: metLevel - 1},
		tied: tied,
	}
	tr := newTraffic(10)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		tr.learn(now, og, admission.LevelNotice{Level: metLevel})
	}
	return tr, og, now
}

func TestLevelsThatCallersMeetAreNotReportedAsTheTargetsOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	tr, og, now := metOverload(false)
	g.Expect(tr.refuses(now, og)).To(gomega.BeTrue())
	g.Expect(tr.gauge(now, og.work.RootKind).level.Level).To(gomega.BeZero())
}

func TestLevelsThatTheTargetMeetsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	tr, og, now := metOverload(true)
	g.Expect(tr.refuses(now, og)).To(gomega.BeTrue())
	g.Expect(tr.gauge(now, og.work.RootKind).level.Level).To(gomega.BeNumerically("~", metLevel, 5))
}
