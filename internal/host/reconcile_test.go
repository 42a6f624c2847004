package host

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

// TestStartPublishesOnlyLatestOfManyVersions guards against a replica that rebuilds
// every version after its start. With many versions this did not end within the
// reconciler's timeout, and the nodes got no configuration.
func TestStartPublishesOnlyLatestOfManyVersions(t *testing.T) {
	g := gomega.NewWithT(t)
	const versions = 3 * maxVersionSteps
	machine := newMachineWithVersions(g, versions)
	started := &pendingVersions{}
	started.collect(machine)
	g.Expect(started.versions).To(gomega.HaveLen(1))
	g.Expect(started.versions[0].Number).To(gomega.BeEquivalentTo(versions))
	g.Expect(started.versions[0].Patch).To(gomega.BeNil())

	before, _ := machine.VersionText(versions - 2)
	behind := &pendingVersions{base: versions - 2, baseText: before}
	behind.collect(machine)
	g.Expect(behind.versions).To(gomega.HaveLen(2))
	text := before
	for _, version := range behind.versions {
		text, _ = ledger.ApplyDelta(text, version.Patch)
		g.Expect(text).To(gomega.Equal(version.Text))
	}

	first, _ := machine.VersionText(1)
	far := &pendingVersions{base: 1, baseText: first}
	far.collect(machine)
	g.Expect(far.versions).To(gomega.HaveLen(1))
}

func newMachineWithVersions(g *gomega.WithT, versions int) *ledger.Machine {
	text, err := os.ReadFile("../../examples/gota-justa.jsonc")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	machine := ledger.New()
	for number := range versions {
		submission := ledger.Submission{
			ID: ledger.PatchID(fmt.Sprint("patch-", number)), Base: configuration.Version(number), Operator: "ines", At: time.Unix(0, 0),
			Operations: fmt.Appendf(nil, `[{"op":"replace","path":"/retry/allowance-per-root","value":%d}]`, 3+number%5),
		}
		if number == 0 {
			submission.Operations, submission.Text = nil, text
		}
		command, err := machine.Prepare(submission)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = machine.Apply(uint64(number+1), command)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	current, _ := machine.CurrentVersion()
	g.Expect(current).To(gomega.BeEquivalentTo(versions))
	return machine
}
