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

func refused() retry.Attempt {
	return retry.Attempt{Retries: 2, Code: request.Overloaded, Deadline: epoch.Add(time.Second)}
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name    string
		change  func(*retry.Attempt)
		account *retry.Account
		edge    *retry.Edge
		reason  retry.Reason
	}{
		{"refusal that elsewhere can help", func(*retry.Attempt) {}, &retry.Account{Left: 1}, &retry.Edge{}, retry.Allowed},
		{"success", func(a *retry.Attempt) { a.Code = request.OK }, &retry.Account{Left: 1}, &retry.Edge{}, retry.Succeeded},
		{"allowance spent", func(*retry.Attempt) {}, &retry.Account{}, &retry.Edge{}, retry.AllowanceSpent},
		{"no root", func(*retry.Attempt) {}, nil, &retry.Edge{}, retry.AllowanceSpent},
		{"edge spent", func(*retry.Attempt) {}, &retry.Account{Left: 1}, &retry.Edge{Burst: 0.5}, retry.EdgeSpent},
		{"edge spent but for important calls", func(*retry.Attempt) {}, &retry.Account{Left: 1}, &retry.Edge{Burst: 1.5}, retry.EdgeSpent},
		{"important", func(a *retry.Attempt) { a.Important = true }, &retry.Account{Left: 1}, &retry.Edge{Burst: 1.5}, retry.Allowed},
		{"may have run", func(a *retry.Attempt) { a.Rule, a.Outcome = request.Once, request.Unknown }, &retry.Account{Left: 1}, &retry.Edge{}, retry.MayHaveRun},
		{"once, not run", func(a *retry.Attempt) { a.Rule = request.Once }, &retry.Account{Left: 1}, &retry.Edge{}, retry.Allowed},
		{"overloaded below", func(a *retry.Attempt) { a.Code = request.OverloadedBelow }, &retry.Account{Left: 1}, &retry.Edge{}, retry.NoHelpElsewhere},
		{"deadline", func(a *retry.Attempt) { a.Deadline = epoch }, &retry.Account{Left: 1}, &retry.Edge{}, retry.DeadlineTooClose},
		{"kind limit", func(a *retry.Attempt) { a.Used = 2 }, &retry.Account{Left: 1}, &retry.Edge{}, retry.KindLimit},
		{"body lost", func(a *retry.Attempt) { a.BodyLost = true }, &retry.Account{Left: 1}, &retry.Edge{}, retry.BodyLost},
		{"quarantined", func(a *retry.Attempt) { a.Code = request.Quarantined }, &retry.Account{Left: 1}, &retry.Edge{}, retry.Quarantined},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			expect := gomega.NewWithT(t)
			attempt := refused()
			each.change(&attempt)
			decision := newPolicy().Decide(epoch, attempt, each.account, each.edge)
			expect.Expect(decision.Reason).To(gomega.Equal(each.reason))
			expect.Expect(decision.Backoff).To(gomega.BeNumerically("<=", 100*time.Millisecond))
		})
	}
}

func TestDecideAllocatesNothing(t *testing.T) {
	expect := gomega.NewWithT(t)
	expect.Expect(testing.AllocsPerRun(2000, decideOnce())).To(gomega.BeZero())
}

func decideOnce() func() {
	policy := newPolicy()
	edges := make([]retry.Edge, 110)
	account := &retry.Account{Left: 3}
	index := 0
	return func() {
		index = (index + 1) % len(edges)
		handed := account.HandOver()
		decision := policy.Decide(epoch, refused(), account, &edges[index])
		if decision.Reason == retry.Allowed {
			account.Left++
		}
		edges[index].Success()
		account.Return(handed, handed)
	}
}

func BenchmarkDecide(b *testing.B) {
	decide := decideOnce()
	b.ReportAllocs()
	for b.Loop() {
		decide()
	}
}
