package host_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
)

// bulkPatch replaces so many kinds, so that the change has about 1 KB for each.
func bulkPatch(base configuration.Version, kinds int) operator.Patch {
	var operations []string
	for number := range kinds {
		operations = append(operations, fmt.Sprintf(
			`{"op":"add","path":"/services/agenda/kinds/bulk-%d","value":{"method":"GET","path":"/bulk-%d/%s","importance":"browsing","repeat":"repeatable","deadline":"%dms"}}`,
			number, number, strings.Repeat("x", 800), 2000+base))
	}
	id := fmt.Sprint("bulk-", base)
	return operator.Patch{ID: id, Base: base, Operator: id, Operations: json.RawMessage("[" + strings.Join(operations, ",") + "]")}
}

// Guards against a node that puts an old version in force after a restart: its replica has
// only the state of its last snapshot until it hears from the others.
func TestRestartedReplicaOffersNoVersionOfItsSnapshot(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cluster := startCluster(t, 3, "norte-a", "litoral-a", "sur-a")
	version := configuration.Version(1)
	for ; version < 15; version++ {
		outcome := cluster.members[0].patchOutcome(bulkPatch(version, 200))
		g.Expect(outcome.State).To(gomega.Equal(operator.PatchAccepted), fmt.Sprint(outcome))
	}
	cluster.members[0].acceptPatch("last", version)
	cluster.awaitVersion(int(version) + 1)
	for _, member := range cluster.members {
		g.Expect(member.logs.text()).To(gomega.ContainSubstring("took a snapshot"), "the case needs one")
		member.stopAndWait()
	}

	alone := cluster.members[0]
	alone.start()
	g.Consistently(alone.logs.activatedVersions).WithTimeout(2*distribution.DefaultUnconfirmedWait).WithPolling(50*time.Millisecond).
		Should(gomega.BeEmpty(), "no other replica has confirmed a version")
	cluster.members[1].start()
	g.Eventually(alone.logs.activatedVersions).WithTimeout(testTimeout).Should(gomega.Equal([]int{int(version) + 1}))
}
