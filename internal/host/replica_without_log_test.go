package host_test

import (
	"net/http"
	"os"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
)

// An operator who asks a host without a replica still sees the id of the lost
// replica: the replica with the empty disk, which that host asks first, refuses to
// answer.
func TestReplicaWithoutLogAnswersNoOperators(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 3, "norte-a", "litoral-a", "sur-a", "sur-b")
	lost, withoutReplica := cluster.members[0], cluster.members[3]
	before, err := operate[operator.Replicas](lost, operator.ListReplicas, operator.Done{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lost.stopAndWait()
	g.Expect(os.RemoveAll(lost.settings.DataFolder)).To(gomega.Succeed())
	lost.start()
	g.Eventually(func() error {
		_, err := operate[operator.Replicas](lost, operator.ListReplicas, operator.Done{})
		return err
	}).WithTimeout(testTimeout).Should(gomega.MatchError(gomega.ContainSubstring("has no log")))
	for range 3 {
		after, err := operate[operator.Replicas](withoutReplica, operator.ListReplicas, operator.Done{})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(after.Replicas).To(gomega.HaveLen(3))
		g.Expect(after.Replicas).To(gomega.ContainElement(gomega.HaveField("ID", before.Self)))
	}
	_, err = operate[operator.Status](lost, operator.ViewStatus, operator.Done{})
	failure := &operator.FailureError{}
	g.Expect(err).To(gomega.BeAssignableToTypeOf(failure))
	g.Expect(err).To(gomega.HaveField("Status", http.StatusServiceUnavailable))
}
