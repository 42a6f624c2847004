package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/fairshare"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var noon = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

// asking is what a customer asks for, in requests per second.
type asking struct {
	customer   request.CustomerName
	perSecond  int
	weight     fairshare.Weight
	importance request.Importance
}

// withinShares sends requests of all buckets for ten seconds, divides a rate ten times a
// second, and returns the part of each customer's last requests that lies within its share.
func withinShares(rate float64, customers ...asking) map[request.CustomerName]float64 {
	shares := &fairshare.Shares{}
	within, asked := map[request.CustomerName]float64{}, map[request.CustomerName]float64{}
	number := 0
	for tenth := range 100 {
		for _, customer := range customers {
			for range customer.perSecond / 10 {
				number++
				excess := shares.Record(fairshare.Request{
					Customer: customer.customer, Weight: customer.weight,
					Priority: request.NewPriority(customer.importance, request.Bucket(number%request.BucketCount)),
				})
				if tenth < 50 {
					continue
				}
				asked[customer.customer]++
				if excess == 0 {
					within[customer.customer]++
				}
			}
		}
		shares.Divide(noon.Add(time.Duration(tenth)*100*time.Millisecond), rate)
	}
	for customer, count := range asked {
		within[customer] /= count
	}
	return within
}

func TestDivisionIsMaxMinFair(t *testing.T) {
	cases := []struct {
		name      string
		rate      float64
		customers []asking
		within    map[request.CustomerName]float64
	}{
		{"enough for all", 400, []asking{{"a", 100, 0, 1}, {"b", 200, 0, 1}}, map[request.CustomerName]float64{"a": 1, "b": 1}},
		{"unknown rate", 0, []asking{{"a", 100, 0, 1}, {"b", 900, 0, 1}}, map[request.CustomerName]float64{"a": 1, "b": 1}},
		{"one asks for too much", 400, []asking{{"a", 100, 0, 1}, {"b", 600, 0, 1}}, map[request.CustomerName]float64{"a": 1, "b": 0.5}},
		{"all ask for too much", 300, []asking{{"a", 200, 0, 1}, {"b", 200, 0, 1}, {"c", 600, 0, 1}}, map[request.CustomerName]float64{"a": 0.5, "b": 0.5, "c": 0.167}},
		{"what one leaves goes to the others", 300, []asking{{"a", 20, 0, 1}, {"b", 280, 0, 1}, {"c", 280, 0, 1}}, map[request.CustomerName]float64{"a": 1, "b": 0.5, "c": 0.5}},
		{"by weight", 300, []asking{{"a", 400, 1, 1}, {"b", 400, 2, 1}}, map[request.CustomerName]float64{"a": 0.25, "b": 0.5}},
		{"the more important first", 300, []asking{{"a", 200, 0, 2}, {"b", 400, 0, 1}}, map[request.CustomerName]float64{"a": 1, "b": 0.25}},
		{"without a customer", 300, []asking{{"a", 400, 0, 1}, {"", 200, 0, 1}}, map[request.CustomerName]float64{"a": 0.25, "": 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			within := withinShares(test.rate, test.customers...)
			for customer, want := range test.within {
				gomega.NewWithT(t).Expect(within[customer]).To(gomega.BeNumerically("~", want, 0.06), "customer %q", customer)
			}
		})
	}
}

// Of the requests over its share, those that lie over it by least come first.
func TestExcessGrowsWithDistanceFromShare(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := &fairshare.Shares{}
	ask := func(bucket request.Bucket) request.Excess {
		return shares.Record(fairshare.Request{Customer: "a", Priority: request.NewPriority(1, bucket)})
	}
	for tenth := range 100 {
		for range 40 {
			ask(request.BucketCount - 1)
		}
		shares.Divide(noon.Add(time.Duration(tenth)*100*time.Millisecond), 100)
	}
	last := request.Excess(0)
	for bucket := request.Bucket(request.BucketCount - 1); bucket > 0; bucket-- {
		excess := ask(bucket)
		g.Expect(excess).To(gomega.BeNumerically(">=", last))
		last = excess
	}
	g.Expect(ask(request.BucketCount - 1)).To(gomega.BeZero())
	g.Expect(last).To(gomega.BeNumerically("~", 8, 1), "a quarter is within the share")
}

// Nothing is kept where there are no customers, and of many only a bounded number.
func TestStateIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := &fairshare.Shares{}
	shares.Divide(noon, 1)
	g.Expect(testing.AllocsPerRun(100, func() {
		shares.Record(fairshare.Request{Priority: request.NewPriority(3, 1)})
	})).To(gomega.BeZero())
	for number := range 5000 {
		excess := shares.Record(fairshare.Request{Customer: request.CustomerName(fmt.Sprint(number)), Priority: request.NewPriority(3, 1)})
		g.Expect(excess).To(gomega.BeZero())
	}
	shares.Divide(noon.Add(100*time.Millisecond), 1)
	g.Expect(shares.Record(fairshare.Request{Customer: "10", Priority: request.NewPriority(3, 0)})).NotTo(gomega.BeZero())
	g.Expect(shares.Record(fairshare.Request{Customer: "4999", Priority: request.NewPriority(3, 0)})).To(gomega.BeZero(), "not known")
}

// A customer that has stopped asking leaves its part to the others within seconds.
func TestCustomerThatStopsLeavesItsPart(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := &fairshare.Shares{}
	within := func(second int) (count int) {
		for tenth := range 10 {
			for number := range 20 {
				if second < 5 {
					shares.Record(fairshare.Request{Customer: "b", Priority: request.NewPriority(1, 0)})
				}
				if shares.Record(fairshare.Request{Customer: "a", Priority: request.NewPriority(1, request.Bucket(number*6))}) == 0 {
					count++
				}
			}
			shares.Divide(noon.Add(time.Duration(second*10+tenth)*100*time.Millisecond), 200)
		}
		return count
	}
	for second := range 5 {
		within(second)
	}
	g.Expect(within(5)).To(gomega.BeNumerically("<", 160))
	for second := range 4 {
		within(6 + second)
	}
	g.Expect(within(10)).To(gomega.Equal(200))
}

// Guards against a place without a number where nothing of the rate is left: its conversion
// differs between processors.
func TestNothingLeftPutsAllRequestsOver(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := &fairshare.Shares{}
	ask := func(customer request.CustomerName, importance request.Importance, bucket request.Bucket) request.Excess {
		return shares.Record(fairshare.Request{Customer: customer, Priority: request.NewPriority(importance, bucket)})
	}
	for tenth := range 20 {
		for range 50 {
			ask("important", 2, request.BucketCount-1)
			ask("other", 1, request.BucketCount-1)
		}
		shares.Divide(noon.Add(time.Duration(tenth)*100*time.Millisecond), 100)
	}
	for _, bucket := range []request.Bucket{0, request.BucketCount / 2, request.BucketCount - 1} {
		g.Expect(ask("other", 1, bucket)).To(gomega.Equal(request.MaxExcess), "bucket %d", bucket)
	}
}
