package host_test

import (
	"net/http"
	"os"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
)

// An operator who asks a host without a replica still sees the lost replica's
// id: the empty one, which is the first it asks, does not speak for the site.
func TestReplicaWithoutALogDoesNotSpeakForTheSite(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	si := newSite(t, 3, "norte-a", "litoral-a", "sur-a", "sur-b")
	lost, asked := si.hosts[0], si.hosts[3]
	before, err := ask[operator.Replicas](lost, operator.ListReplicas, operator.Done{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lost.end()
	g.Expect(os.RemoveAll(lost.settings.DataFolder)).To(gomega.Succeed())
	lost.start()
	g.Eventually(func() error {
		_, err := ask[operator.Replicas](lost, operator.ListReplicas, operator.Done{})
		return err
	}).WithTimeout(patience).Should(gomega.MatchError(gomega.ContainSubstring("has no log")))
	for range 3 {
		after, err := ask[operator.Replicas](asked, operator.ListReplicas, operator.Done{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(after.Replicas).To(gomega.HaveLen(3))
		g.Expect(after.Replicas).To(gomega.ContainElement(gomega.HaveField("ID", before.Here)))
	}
	_, err = ask[operator.Status](lost, operator.ViewStatus, operator.Done{})
	failure := &operator.FailureError{}
	g.Expect(err).To(gomega.BeAssignableToTypeOf(failure))
	g.Expect(err).To(gomega.HaveField("Status", http.StatusServiceUnavailable))
}
