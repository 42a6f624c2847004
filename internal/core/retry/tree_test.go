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

const deepest = 23

type policy interface {
	Decide(retry.Attempt, *retry.Account) retry.Decision
}

type bounded struct{ edge *retry.Edge }

func (b bounded) Decide(attempt retry.Attempt, account *retry.Account) retry.Decision {
	return (&retry.Policy{}).Decide(epoch, attempt, account, b.edge)
}

type unbounded struct{}

func (unbounded) Decide(attempt retry.Attempt, account *retry.Account) retry.Decision {
	return naive.Policy{}.Decide(epoch, attempt, account, nil)
}

// walk runs one root request through a tree of calls. Draws decide which call
// fails, whose answer is lost and how many calls a target makes.
type walk struct {
	policy policy
	fanOut func() int
	fails  func(depth int) bool
	lost   func() bool
	// calls counts what targets asked for, attempts what nodes sent.
	calls    int
	attempts int
	byDepth  [deepest + 1]int
}

// call sends a call to a service at the depth, with all its retries.
func (w *walk) call(depth int, account *retry.Account) request.Code {
	w.calls++
	for used := 0; ; used++ {
		w.attempts++
		w.byDepth[depth]++
		share := account.HandOver()
		code, unspent := w.serve(depth, share)
		if w.lost() {
			code = request.TargetUnreachable
		} else {
			account.Return(share, unspent)
		}
		attempt := refused()
		attempt.Code, attempt.Used, attempt.Retries = code, used, 3
		if w.policy.Decide(attempt, account).Reason != retry.Allowed {
			return code
		}
	}
}

func (w *walk) serve(depth int, share retry.Allowance) (request.Code, retry.Allowance) {
	account := &retry.Account{Left: share}
	if w.fails(depth) {
		return request.Overloaded, account.Close()
	}
	if depth < len(w.byDepth)-1 {
		for range w.fanOut() {
			if w.call(depth+1, account) != request.OK {
				return request.Overloaded, account.Close()
			}
		}
	}
	return request.OK, account.Close()
}

func TestAttemptsStayWithinAllowance(t *testing.T) {
	suite.Check(t, 300, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		root := retry.Allowance(rapid.IntRange(0, 8).Draw(r, "allowance"))
		failing := rapid.IntRange(0, 100).Draw(r, "failing")
		budget := 400
		tree := &walk{policy: bounded{edge: &retry.Edge{Burst: 1000}}}
		tree.fanOut = func() int {
			budget--
			if budget < 0 {
				return 0
			}
			return rapid.IntRange(0, 3).Draw(r, "fan-out")
		}
		tree.fails = func(int) bool { return rapid.IntRange(1, 100).Draw(r, "fails") <= failing }
		tree.lost = func() bool { return rapid.IntRange(1, 10).Draw(r, "lost") == 1 }
		account := &retry.Account{Left: root}
		tree.call(0, account)
		expect.Expect(account.Left).To(gomega.BeNumerically(">=", 0))
		expect.Expect(tree.attempts).To(gomega.BeNumerically("<=", tree.calls+int(root-account.Left)))
	})
}

// A service that always fails at the end of a chain is asked R+1 times by ours,
// and 4 to the power of the hops to it by the naive version.
func TestAttemptsByDepth(t *testing.T) {
	const root = 3
	for depth, plain := 1, 4; depth < deepest; depth, plain = depth+1, plain*4 {
		expect := gomega.NewWithT(t)
		expect.Expect(attemptsAt(depth, bounded{edge: &retry.Edge{}}, root)).To(gomega.Equal(1 + root))
		if depth <= 6 {
			expect.Expect(attemptsAt(depth, unbounded{}, 0)).To(gomega.Equal(plain))
		}
	}
}

// attemptsAt gives the attempts at the last service of a chain, which always
// fails.
func attemptsAt(hops int, decide policy, root retry.Allowance) int {
	last := hops - 1
	tree := &walk{policy: decide, fanOut: func() int { return 1 }, lost: func() bool { return false }}
	tree.fails = func(depth int) bool { return depth == last }
	tree.call(0, &retry.Account{Left: root})
	return tree.byDepth[last]
}
