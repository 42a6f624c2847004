package node

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A target whose node cannot be dialled in time is unreachable, so the call may go to
// another one. That is not the call's own deadline.
func TestUnansweredDialIsUnreachableTarget(t *testing.T) {
	dialTimeout := fmt.Errorf("connect to peer: %w", context.DeadlineExceeded)
	cases := []struct {
		name string
		err  error
		code request.Code
		// elsewhere says that another target may be tried.
		elsewhere bool
	}{
		{"dial timed out", &peer.NotSentError{Reason: dialTimeout}, request.TargetUnreachable, true},
		{"dial refused", &peer.NotSentError{Reason: errors.New("connection refused")}, request.TargetUnreachable, true},
		{"no time left", &peer.NotSentError{Reason: peer.ErrNoTimeLeft}, request.DeadlineTooClose, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			refusal := callFailure(context.Background(), &outboundCall{body: &callBody{}}, test.err)
			g.Expect(refusal.Code).To(gomega.Equal(test.code))
			g.Expect(refusal.Outcome).To(gomega.Equal(request.NotRun))
			g.Expect(request.Describe(refusal.Code).RetryElsewhere).To(gomega.Equal(test.elsewhere))
		})
	}
}
