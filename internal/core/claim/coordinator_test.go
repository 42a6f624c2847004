package claim_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A node that is cut off from the quorum refuses new requests once
// MaxPendingAttempts are pending, and proposes each pending record at growing
// intervals.
func TestDisconnectedNodeLimitsRequestsAndProposals(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	coordinator := &claim.Coordinator{
		ClaimRetryInterval: 100 * time.Millisecond, ClaimTimeout: time.Second, StoreTimeout: time.Second,
		RecordRetryInterval: 500 * time.Millisecond, MaxPendingAttempts: 50,
	}
	now := time.Unix(1_000_000, 0)
	end := now.Add(time.Hour)
	refused, records, lastMinute := 0, 0, 0
	count := func(actions []claim.Action) {
		for _, action := range actions {
			switch {
			case action.Type == claim.Refuse:
				refused++
				expect(action.Outcome).To(gomega.Equal(request.Unknown))
			case action.Type == claim.ProposeRecord:
				records++
				if end.Sub(now) < time.Minute {
					lastMinute++
				}
			}
		}
	}
	calls := 0
	for ; now.Before(end); now = now.Add(100 * time.Millisecond) {
		calls++
		count(coordinator.Arrive(now, claim.Request{
			Call: request.CallID(calls), Attempt: request.AttemptID{byte(calls), byte(calls >> 8)},
			Key: request.IdempotencyKey(now.String()), Deadline: now.Add(5 * time.Second),
		}))
		count(coordinator.Tick(now))
	}
	expect(coordinator.Pending()).To(gomega.Equal(50))
	expect(refused).To(gomega.Equal(calls), "every call was refused")
	expect(lastMinute).To(gomega.BeNumerically("<=", 50*4), "one proposal in 16 s for each record")
	expect(records).To(gomega.BeNumerically(">", 50))
}

// Calls with the same key and body share one attempt, and each call is answered
// once.
func TestConcurrentCallsShareAttempt(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	coordinator := &claim.Coordinator{ClaimRetryInterval: time.Second, ClaimTimeout: time.Second, StoreTimeout: time.Second, RecordRetryInterval: time.Second, MaxPendingAttempts: 9}
	now := time.Unix(1_000_000, 0)
	arrive := func(call request.CallID, body byte) []claim.Action {
		return coordinator.Arrive(now, claim.Request{
			Call: call, Attempt: request.AttemptID{byte(call)}, Key: "key", Digest: [16]byte{body},
			Deadline: now.Add(time.Minute), MaxKeptAnswerBytes: 100,
		})
	}
	expect(arrive(1, 1)).To(gomega.HaveLen(1))
	expect(arrive(2, 1)).To(gomega.BeEmpty())
	expect(arrive(3, 2)[0].Code).To(gomega.Equal(request.ClaimInDoubt), "it is not known yet who holds the key")
	granted := coordinator.Claimed(now, request.AttemptID{1}, grantedResult)
	expect(granted).To(gomega.HaveLen(1))
	expect(granted[0].Type).To(gomega.Equal(claim.Run))
	expect(coordinator.Claimed(now, request.AttemptID{1}, grantedResult)).To(gomega.BeEmpty(), "a duplicated grant does not run the action again")
	expect(arrive(4, 2)[0].Code).To(gomega.Equal(request.KeyReusedOtherBody))
	answer := &claim.Answer{Status: 201}
	expect(coordinator.Answered(now, request.AttemptID{1}, answer)).To(gomega.HaveLen(1))
	expect(coordinator.Tick(now.Add(999 * time.Millisecond))).To(gomega.BeEmpty())
	replies := coordinator.Tick(now.Add(time.Second))
	expect(replies).To(gomega.HaveLen(3), "two replies once the time to store is over, and the record proposed again")
	late := arrive(5, 1)
	expect(late).To(gomega.HaveLen(1))
	expect(late[0].Answer).To(gomega.BeIdenticalTo(answer))
}

var grantedResult = ledger.ClaimResult{State: ledger.ClaimGranted}
