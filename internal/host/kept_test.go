package host_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
)

// A host that is left alone runs nothing that may not be repeated, and still
// gives the kept answer of what ran before.
func TestKeptAnswerIsGivenWithoutAQuorum(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 3, "norte-a", "litoral-a", "sur-a")
	left := si.hosts[0]
	kept := left.book("before")
	g.Expect(kept.status).To(gomega.Equal(http.StatusOK))
	g.Eventually(func() ([]operator.ActionRow, error) {
		open, err := ask[operator.Actions](left, operator.ListActions, operator.Done{})
		return open.Actions, err
	}).WithTimeout(patience).Should(gomega.BeEmpty())
	si.hosts[1].end()
	si.hosts[2].end()
	g.Expect(left.book("before")).To(gomega.Equal(kept))
	g.Expect(left.book("after").status).NotTo(gomega.Equal(http.StatusOK))
	g.Expect(si.record.runs("before")).To(gomega.Equal(1))
	g.Expect(si.record.runs("after")).To(gomega.BeZero())
}
