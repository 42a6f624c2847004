package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

// localLedger is a replica of its own, without a log.
type localLedger struct {
	machine *ledger.Machine
	index   uint64
}

func (local *localLedger) Propose(_ context.Context, command []byte) ([]byte, error) {
	local.index++
	return local.machine.Apply(local.index, command)
}

func (local *localLedger) Read(_ context.Context, view func(*ledger.Machine)) error {
	view(local.machine)
	return nil
}

func (local *localLedger) Peek(ctx context.Context, view func(*ledger.Machine)) error {
	return local.Read(ctx, view)
}

// newLargeDocument returns a document of about 256 KiB that differs at its front and end
// between versions.
func newLargeDocument(version int) string {
	return fmt.Sprintf(`{
	// Version %d.
	"importances": ["low"],
	"services": {"front": {"slots": %d, "connections": 5000, "kinds": {
		"read": {"method": "GET", "path": "/", "importance": "low", "repeat": "repeatable", "deadline": "1s"}}}},
	// %s %d.
}`, version, version+1, strings.Repeat("padding ", 32<<10), version)
}

func newServiceWithVersions(t *testing.T, versions int) *operator.Service {
	t.Helper()
	local := &localLedger{machine: ledger.New()}
	for number := range versions {
		command, err := local.machine.Prepare(ledger.Submission{
			ID: ledger.PatchID(fmt.Sprint("patch-", number)), Base: configuration.Version(number), Operator: "ana", Text: []byte(newLargeDocument(number + 1)),
		})
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		_, err = local.Propose(t.Context(), command)
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	}
	return &operator.Service{Ledger: local, Now: time.Now}
}

// TestTextThatIsNoLongerStored guards against an answer that leaves an operator without the
// text of an earlier version and without a way to go on.
func TestTextThatIsNoLongerStored(t *testing.T) {
	service := newServiceWithVersions(t, 10)
	cases := map[string]struct {
		verb   operator.Verb
		body   string
		status int
		answer string
	}{
		"latest":        {operator.ViewConfiguration, `{}`, http.StatusOK, "Version 10."},
		"stored":        {operator.ViewConfiguration, `{"version":8}`, http.StatusOK, "Version 8."},
		"dropped":       {operator.ViewConfiguration, `{"version":2}`, http.StatusNotFound, "the text of version 2 is no longer stored, only those of versions 7 to 10; use your own copy"},
		"not yet":       {operator.ViewConfiguration, `{"version":11}`, http.StatusNotFound, "version 11 does not exist, the latest is 10"},
		"diff":          {operator.DiffVersions, `{"from":8}`, http.StatusOK, "services.front.slots: 9 -\\u003e 11"},
		"diff dropped":  {operator.DiffVersions, `{"from":2,"to":9}`, http.StatusNotFound, "the text of version 2 is no longer stored"},
		"diff reversed": {operator.DiffVersions, `{"from":9,"to":2}`, http.StatusNotFound, "the text of version 2 is no longer stored"},
		"diff of none":  {operator.DiffVersions, `{"from":0}`, http.StatusNotFound, "version 0 does not exist"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			status, body := service.Operate(t.Context(), string(test.verb), []byte(test.body))
			expect(status).To(gomega.Equal(test.status))
			expect(strings.Contains(string(body), test.answer)).To(gomega.BeTrue(), "%.300s", body)
		})
	}
	status, body := (&operator.Service{Ledger: &localLedger{machine: ledger.New()}}).Operate(t.Context(), string(operator.ViewConfiguration), nil)
	gomega.NewWithT(t).Expect(status).To(gomega.Equal(http.StatusNotFound))
	gomega.NewWithT(t).Expect(string(body)).To(gomega.ContainSubstring("there is no configuration yet"))
}

// TestStalePatchNamesUnknownChanges guards against a stale patch whose answer shows versions
// as if they had changed nothing.
func TestStalePatchNamesUnknownChanges(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	service := newServiceWithVersions(t, 10)
	status, body := service.Operate(t.Context(), string(operator.CreatePatch),
		[]byte(`{"id":"late","base":1,"operator":"bea","note":"","operations":[{"op":"replace","path":"/services/front/slots","value":5}]}`))
	expect(status).To(gomega.Equal(http.StatusOK))
	outcome := operator.PatchOutcome{}
	expect(json.Unmarshal(body, &outcome)).To(gomega.Succeed())
	expect(outcome.State).To(gomega.Equal(operator.PatchStale))
	expect(outcome.Since).To(gomega.HaveLen(9))
	for _, version := range outcome.Since {
		expect(version.Unknown).To(gomega.Equal(version.Version < 8), "version %d", version.Version)
		expect(len(version.Changes) > 0).To(gomega.Equal(!version.Unknown), "version %d", version.Version)
	}
}
