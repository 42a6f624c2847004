package node_test

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/quota"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// fixedQuota answers each request for a token in the same way, and counts them.
type fixedQuota struct {
	grant quota.Grant
	taken chan request.CustomerName
}

func (source *fixedQuota) Take(_ context.Context, customer request.CustomerName, _ quota.Limit) quota.Grant {
	source.taken <- customer
	return source.grant
}

// Only a customer whose quota is known to be used up is told so. The time to come back is
// at most a second after the next token.
func TestAnswerOfQuotaIsTrue(t *testing.T) {
	cases := []struct {
		name   string
		grant  quota.Grant
		status int
		code   string
		wait   time.Duration
	}{
		{"token", quota.Grant{Result: quota.Granted}, http.StatusOK, "", 0},
		{"quota used up", quota.Grant{Result: quota.Empty, Wait: 3 * time.Second}, http.StatusTooManyRequests, "2014", 3 * time.Second},
		{"no replica answers", quota.Grant{Result: quota.Unavailable, Wait: time.Second}, http.StatusServiceUnavailable, "2016", time.Second},
	}
	text, err := os.ReadFile("testdata/customers.jsonc")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	text, err = configuration.Patch(text, []byte(`[{"op": "add", "path": "/customers/salto/rate", "value": 5}]`))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			source := &fixedQuota{grant: test.grant, taken: make(chan request.CustomerName, 4)}
			entry := startConfiguredHost(t, "one", "agenda", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil, text,
				func(underTest *node.Node) { underTest.Quotas = source })
			connectHosts(entry)
			answer, content := customerCall{Path: "/visits/1", Keys: []string{"key-salto"}}.send(t, entry.callers)
			expect(answer.StatusCode).To(gomega.Equal(test.status), content)
			expect(answer.Header.Get("Magnoliawall-Code")).To(gomega.Equal(test.code))
			expect(<-source.taken).To(gomega.Equal(request.CustomerName("salto")))
			if test.wait > 0 {
				after, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
				expect(err).NotTo(gomega.HaveOccurred())
				expect(after).To(gomega.And(gomega.BeNumerically(">=", test.wait.Seconds()), gomega.BeNumerically("<=", test.wait.Seconds()+2)))
			}
			// A customer without a quota and a call without a customer need no token.
			_, _ = customerCall{Path: "/visits/1", Keys: []string{"key-artigas"}}.send(t, entry.callers)
			_, _ = customerCall{Path: "/open/1"}.send(t, entry.callers)
			expect(source.taken).To(gomega.BeEmpty())
		})
	}
}
