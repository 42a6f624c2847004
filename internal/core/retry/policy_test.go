package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func newPolicy() *retry.Policy {
	return &retry.Policy{Random: rand.New(rand.NewPCG(1, 2))}
}

func newAttempt() retry.Attempt {
	return retry.Attempt{MaxRetries: 2, Code: request.Overloaded, Deadline: epoch.Add(time.Second)}
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		change  func(*retry.Attempt)
		account *retry.Account
		budget  *retry.Budget
		reason  retry.Reason
	}{
		{"refused, another target may accept", func(*retry.Attempt) {}, &retry.Account{Remaining: 1}, &retry.Budget{}, retry.Allowed},
		{"success", func(a *retry.Attempt) { a.Code = request.OK }, &retry.Account{Remaining: 1}, &retry.Budget{}, retry.Succeeded},
		{"allowance spent", func(*retry.Attempt) {}, &retry.Account{}, &retry.Budget{}, retry.AllowanceSpent},
		{"no root request", func(*retry.Attempt) {}, nil, &retry.Budget{}, retry.AllowanceSpent},
		{"budget spent", func(*retry.Attempt) {}, &retry.Account{Remaining: 1}, &retry.Budget{Burst: 0.5}, retry.BudgetSpent},
		{"only the reserve left", func(*retry.Attempt) {}, &retry.Account{Remaining: 1}, &retry.Budget{Burst: 1.5}, retry.BudgetSpent},
		{"important call uses the reserve", func(a *retry.Attempt) { a.Important = true }, &retry.Account{Remaining: 1}, &retry.Budget{Burst: 1.5}, retry.Allowed},
		{"not repeatable, may have run", func(a *retry.Attempt) { a.RepeatRule, a.Outcome = request.Once, request.Unknown }, &retry.Account{Remaining: 1}, &retry.Budget{}, retry.MayHaveRun},
		{"not repeatable, not run", func(a *retry.Attempt) { a.RepeatRule = request.Once }, &retry.Account{Remaining: 1}, &retry.Budget{}, retry.Allowed},
		{"downstream service overloaded", func(a *retry.Attempt) { a.Code = request.OverloadedBelow }, &retry.Account{Remaining: 1}, &retry.Budget{}, retry.NoHelpElsewhere},
		{"deadline too close", func(a *retry.Attempt) { a.Deadline = epoch }, &retry.Account{Remaining: 1}, &retry.Budget{}, retry.DeadlineTooClose},
		{"kind limit", func(a *retry.Attempt) { a.UsedRetries = 2 }, &retry.Account{Remaining: 1}, &retry.Budget{}, retry.KindLimit},
		{"no alternative", func(a *retry.Attempt) { a.NoAlternative = true }, &retry.Account{Remaining: 1}, &retry.Budget{}, retry.NoHelpElsewhere},
		{"body lost", func(a *retry.Attempt) { a.BodyLost = true }, &retry.Account{Remaining: 1}, &retry.Budget{}, retry.BodyLost},
		{"quarantined", func(a *retry.Attempt) { a.Code = request.Quarantined }, &retry.Account{Remaining: 1}, &retry.Budget{}, retry.Quarantined},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			attempt := newAttempt()
			test.change(&attempt)
			decision := newPolicy().Decide(epoch, attempt, test.account, test.budget)
			expect.Expect(decision.Reason).To(gomega.Equal(test.reason))
			expect.Expect(decision.Backoff).To(gomega.BeNumerically("<=", 100*time.Millisecond))
		})
	}
}

func TestDecideDoesNotAllocate(t *testing.T) {
	expect := gomega.NewWithT(t)
	expect.Expect(testing.AllocsPerRun(2000, newDecideCycle())).To(gomega.BeZero())
}

func newDecideCycle() func() {
	policy := newPolicy()
	budgets := make([]retry.Budget, 110)
	account := &retry.Account{Remaining: 3}
	index := 0
	return func() {
		index = (index + 1) % len(budgets)
		share := account.TakeShare()
		decision := policy.Decide(epoch, newAttempt(), account, &budgets[index])
		if decision.Reason == retry.Allowed {
			account.Remaining++
		}
		budgets[index].RecordSuccess()
		account.Return(share, share)
	}
}

func BenchmarkDecide(b *testing.B) {
	decide := newDecideCycle()
	b.ReportAllocs()
	for b.Loop() {
		decide()
	}
}
