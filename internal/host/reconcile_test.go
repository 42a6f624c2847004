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

// TestReplacedTextsArePublishedAsOne guards against a replica that rebuilds the text of each
// of the versions that it is behind, though their changes together exceed the text: with a
// large document and quick changes the replica's goroutine had no time for its peers.
func TestReplacedTextsArePublishedAsOne(t *testing.T) {
	g := gomega.NewWithT(t)
	machine := ledger.New()
	replaceTexts(g, machine, 5)
	first, _ := machine.VersionText(3)
	behind := &pendingVersions{base: 3, baseText: first}
	behind.collect(machine)
	g.Expect(behind.versions).To(gomega.HaveLen(1))
	g.Expect(behind.versions[0].Number).To(gomega.BeEquivalentTo(5))
	g.Expect(behind.versions[0].Patch).To(gomega.BeNil())

	before, _ := machine.VersionText(4)
	next := &pendingVersions{base: 4, baseText: before}
	next.collect(machine)
	g.Expect(next.versions).To(gomega.HaveLen(1))
	g.Expect(ledger.ApplyDelta(before, next.versions[0].Patch)).To(gomega.Equal(next.versions[0].Text))
}

// replaceTexts records versions that differ at the front and the end of their text.
func replaceTexts(g *gomega.WithT, machine *ledger.Machine, versions int) {
	text, err := os.ReadFile("../../examples/gota-justa.jsonc")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for number := range versions {
		command, err := machine.Prepare(ledger.Submission{
			ID: ledger.PatchID(fmt.Sprint("replace-", number)), Base: configuration.Version(number), Operator: "ines", At: time.Unix(0, 0),
			Text: fmt.Appendf(nil, "// version %d\n%s\n// version %d\n", number, text, number),
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = machine.Apply(uint64(number+1), command)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
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
