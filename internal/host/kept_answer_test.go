package host_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
)

// A host without a quorum runs no action that must not be repeated, but still
// gives the kept answer of one that ran before.
func TestKeptAnswerNeedsNoQuorum(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 3, "norte-a", "litoral-a", "sur-a")
	left := cluster.members[0]
	kept := left.book("before")
	g.Expect(kept.status).To(gomega.Equal(http.StatusOK), "%+v", kept)
	g.Eventually(func() ([]operator.ActionRow, error) {
		open, err := operate[operator.Actions](left, operator.ListActions, operator.Done{})
		return open.Actions, err
	}).WithTimeout(testTimeout).Should(gomega.BeEmpty())
	cluster.members[1].stopAndWait()
	cluster.members[2].stopAndWait()
	g.Expect(left.book("before")).To(gomega.Equal(kept))
	g.Expect(left.book("after").status).NotTo(gomega.Equal(http.StatusOK))
	g.Expect(cluster.executions.count("before")).To(gomega.Equal(1))
	g.Expect(cluster.executions.count("after")).To(gomega.BeZero())
}
