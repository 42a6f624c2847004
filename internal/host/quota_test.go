package host_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// setCustomer replaces the customers by one, with a rate and a burst.
func (cluster *testCluster) setCustomer(base configuration.Version, rate, burst float64) {
	cluster.t.Helper()
	operations := fmt.Sprintf(`[{"op":"add","path":"/customers","value":{"salto":{"keys":["key-salto"],"rate":%g,"burst":%g}}}]`, rate, burst)
	outcome := cluster.members[0].patchOutcome(operator.Patch{ID: fmt.Sprint("customer-", base), Base: base, Operator: "ines", Operations: json.RawMessage(operations)})
	gomega.NewWithT(cluster.t).Expect(outcome.State).To(gomega.Equal(operator.PatchAccepted), fmt.Sprint(outcome))
	cluster.awaitVersion(int(base) + 1)
}

// callAs sends a call of a customer and returns its status.
func (member *clusterMember) callAs(key string) int {
	outgoing, err := http.NewRequestWithContext(member.cluster.t.Context(), http.MethodGet, "http://"+string(member.settings.Listen.Callers)+"/visits/7/checklist", nil)
	if err != nil {
		return 0
	}
	outgoing.Host = "agenda"
	outgoing.Header.Set(web.HeaderCustomerKey, key)
	answer, err := callerClient.Do(outgoing)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// countAdmitted sends calls through all hosts in turn and counts those that the quota let
// through.
func (cluster *testCluster) countAdmitted(calls int) int {
	admitted := 0
	for number := range calls {
		if cluster.members[number%len(cluster.members)].callAs("key-salto") != http.StatusTooManyRequests {
			admitted++
		}
	}
	return admitted
}

// The burst of a customer is granted once over all hosts, and not again by a replica that
// was restarted. The rate is so low that nothing is earned during the test, and the settings
// have no tolerance.
func TestQuotaOverAllHosts(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	const burst, calls, lowRate = 40, 120, 1e-6
	cluster := startCluster(t, 1, "norte-a", "litoral-a", "sur-a")
	cluster.setCustomer(1, 1e9, burst)
	for _, member := range cluster.members {
		g.Eventually(func() int { return member.callAs("key-salto") }).WithTimeout(testTimeout).Should(gomega.Equal(http.StatusOK))
		g.Expect(member.callAs("key-nobody")).To(gomega.Equal(http.StatusUnauthorized))
	}
	cluster.setCustomer(2, lowRate, burst)
	g.Expect(cluster.countAdmitted(calls)).To(gomega.Equal(burst))
	g.Expect(cluster.members[0].call(http.MethodGet, "/visits/7/checklist", "").code).To(gomega.Equal(request.CustomerKeyMissing))

	cluster.members[0].stopAndWait()
	cluster.members[0].start()
	cluster.awaitVersion(3, cluster.members[0])
	g.Expect(cluster.countAdmitted(calls)).To(gomega.BeZero())
}
