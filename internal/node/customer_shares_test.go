package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/fairshare"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A customer that asks for far more than the target can do waits behind one that does not,
// though its calls came first.
func TestCustomerWithinItsShareIsServedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000, 0)
	control := newAdmissionControl(1)
	control.gate.Warm = true
	lastCall := request.CallID(0)
	arrive := func(customer request.CustomerName, bucket request.Bucket) (admission.Decision, <-chan admission.Decision) {
		lastCall++
		return control.arrive(now, request.Work{
			Call: lastCall, Customer: customer, Deadline: now.Add(time.Minute), Patience: time.Minute, Priority: request.NewPriority(1, bucket),
		}, 0)
	}
	// The target takes a tenth of a second for each call, and ten times as many come.
	running, waiting, calls := request.CallID(0), []<-chan admission.Decision{}, []request.CallID{}
	for range 300 {
		decision, wake := arrive("large", request.Bucket(lastCall%request.BucketCount))
		if decision.Verdict == admission.Admit {
			running = lastCall
		} else {
			waiting, calls = append(waiting, wake), append(calls, lastCall)
		}
		now = now.Add(10 * time.Millisecond)
		control.tick(now)
		if lastCall%10 == 0 {
			control.finish(now, running, admission.Sample{Latency: 100 * time.Millisecond, Result: admission.Succeeded})
			running = 0
			for index, wake := range waiting {
				if len(wake) > 0 && (<-wake).Verdict == admission.Admit {
					running, waiting[index] = calls[index], nil
				}
			}
		}
	}
	// Calls of the large customer within its share may come first.
	decision, wake := arrive("small", 0)
	g.Expect(decision.Verdict).To(gomega.Equal(admission.Wait))
	before := control.gate.Waiting()
	for range waiting {
		if len(wake) > 0 {
			break
		}
		control.finish(now, running, admission.Sample{Latency: 100 * time.Millisecond, Result: admission.Succeeded})
		for index, large := range waiting {
			if len(large) > 0 && (<-large).Verdict == admission.Admit {
				running, waiting[index] = calls[index], nil
			}
		}
	}
	g.Expect(wake).To(gomega.Receive(gomega.HaveField("Verdict", admission.Admit)))
	g.Expect(before - control.gate.Waiting()).To(gomega.BeNumerically("<", before/10))
}

// The weight of a customer is its quota, and of one without a quota the largest.
func TestWeightOfCustomerIsItsQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	active, err := NewActiveConfiguration(1, []byte(`{"label": 1, "importances": ["rank-0"], "services": {"agenda": {"connections": 1}},
		"routes": {"all": {"host": "visits.example", "path-prefix": "/", "importance": "rank-0", "repeat": "repeatable",
			"timeout": "1s", "objective": "1s", "attempts": 1, "services": [{"service": "agenda", "weight": 1}]}},
		"customers": {"a": {"keys": ["one"], "rate": 10}, "b": {"keys": ["two"], "rate": 40}, "c": {"keys": ["three"]}}}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for customer, weight := range map[request.CustomerName]fairshare.Weight{"a": 10, "b": 40, "c": 40, "": 0} {
		g.Expect(active.customerWeight(customer)).To(gomega.Equal(weight), string(customer))
	}
}
