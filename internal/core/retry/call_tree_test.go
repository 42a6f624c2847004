package retry_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/naive"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const maxDepth = 23

type retryPolicy interface {
	Decide(retry.Attempt, *retry.Account) retry.Decision
}

type boundedPolicy struct{ budget *retry.Budget }

func (policy boundedPolicy) Decide(attempt retry.Attempt, account *retry.Account) retry.Decision {
	return (&retry.Policy{}).Decide(epoch, attempt, account, policy.budget)
}

type naivePolicy struct{}

func (naivePolicy) Decide(attempt retry.Attempt, account *retry.Account) retry.Decision {
	return naive.RetryPolicy{}.Decide(epoch, attempt, account, nil)
}

// callTree simulates one root request through a tree of calls. Its functions
// decide how many calls a target makes, which call fails and whose answer is
// lost.
type callTree struct {
	policy     retryPolicy
	fanOut     func() int
	fails      func(depth int) bool
	answerLost func() bool
	// calls counts the calls that targets made, attempts those that nodes sent,
	// retries included.
	calls           int
	attempts        int
	attemptsByDepth [maxDepth + 1]int
}

// call sends a call to a service at a depth, with its retries.
func (tree *callTree) call(depth int, account *retry.Account) request.Code {
	tree.calls++
	for retries := 0; ; retries++ {
		tree.attempts++
		tree.attemptsByDepth[depth]++
		share := account.TakeShare()
		code, unspent := tree.serve(depth, share)
		if tree.answerLost() {
			code = request.TargetUnreachable
		} else {
			account.Return(share, unspent)
		}
		attempt := newAttempt()
		attempt.Code, attempt.UsedRetries, attempt.MaxRetries = code, retries, 3
		if tree.policy.Decide(attempt, account).Reason != retry.Allowed {
			return code
		}
	}
}

func (tree *callTree) serve(depth int, share retry.Allowance) (request.Code, retry.Allowance) {
	account := &retry.Account{Remaining: share}
	if tree.fails(depth) {
		return request.Overloaded, account.Close()
	}
	if depth < len(tree.attemptsByDepth)-1 {
		for range tree.fanOut() {
			if tree.call(depth+1, account) != request.OK {
				return request.Overloaded, account.Close()
			}
		}
	}
	return request.OK, account.Close()
}

func TestAttemptsStayWithinAllowance(t *testing.T) {
	suite.Check(t, 300, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		allowance := retry.Allowance(rapid.IntRange(0, 8).Draw(r, "allowance"))
		failurePercent := rapid.IntRange(0, 100).Draw(r, "failure percent")
		targetsLeft := 400
		tree := &callTree{policy: boundedPolicy{budget: &retry.Budget{Burst: 1000}}}
		tree.fanOut = func() int {
			targetsLeft--
			if targetsLeft < 0 {
				return 0
			}
			return rapid.IntRange(0, 3).Draw(r, "fan-out")
		}
		tree.fails = func(int) bool { return rapid.IntRange(1, 100).Draw(r, "fails") <= failurePercent }
		tree.answerLost = func() bool { return rapid.IntRange(1, 10).Draw(r, "lost") == 1 }
		account := &retry.Account{Remaining: allowance}
		tree.call(0, account)
		expect.Expect(account.Remaining).To(gomega.BeNumerically(">=", 0))
		expect.Expect(tree.attempts).To(gomega.BeNumerically("<=", tree.calls+int(allowance-account.Remaining)))
	})
}

// A service at the end of a chain always fails. With an allowance of R it gets R+1
// attempts, however long the chain. The naive policy, which retries three times at
// each hop, sends it 4 to the power of the number of hops.
func TestAttemptsByDepth(t *testing.T) {
	const allowance = 3
	for depth, naiveAttempts := 1, 4; depth < maxDepth; depth, naiveAttempts = depth+1, naiveAttempts*4 {
		expect := gomega.NewWithT(t)
		expect.Expect(attemptsAtEnd(depth, boundedPolicy{budget: &retry.Budget{}}, allowance)).To(gomega.Equal(1 + allowance))
		if depth <= 6 {
			expect.Expect(attemptsAtEnd(depth, naivePolicy{}, 0)).To(gomega.Equal(naiveAttempts))
		}
	}
}

// attemptsAtEnd counts the attempts at the last service of a chain, which always
// fails.
func attemptsAtEnd(hops int, policy retryPolicy, allowance retry.Allowance) int {
	lastDepth := hops - 1
	tree := &callTree{policy: policy, fanOut: func() int { return 1 }, answerLost: func() bool { return false }}
	tree.fails = func(depth int) bool { return depth == lastDepth }
	tree.call(0, &retry.Account{Remaining: allowance})
	return tree.attemptsByDepth[lastDepth]
}
