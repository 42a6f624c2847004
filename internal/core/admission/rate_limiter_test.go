package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const (
	rateWindow    = 4 * time.Second
	rateLoadTime  = 60 * time.Second
	rateArrivals  = 200.0
	rateTestSlots = 60
)

// A target that states a rate limit gets in any four seconds at most one and a half times
// what the limit allows, and five calls more, under arrivals at random with quiet times,
// queued and refused calls, calls that are cancelled, and a gate that stands still.
func TestCallsStayWithinStatedRate(t *testing.T) {
	for _, limit := range []request.Rate{0, 0.3, 1, 7.4, 12.2, 80} {
		random := rand.New(rand.NewPCG(uint64(suite.Seed()), uint64(limit*1000)))
		gate := &admission.Gate{Slots: rateTestSlots, Warm: true}
		gate.RecordRate(epoch, admission.RateStatement{Limited: true, Limit: limit, HandedAt: epoch}, nil)
		admitted := simulateRateLoad(gate, random)
		allowed := 1.5*float64(limit)*rateWindow.Seconds() + 5
		gomega.NewWithT(t).Expect(float64(mostWithin(admitted, rateWindow))).To(gomega.BeNumerically("<=", allowed), "limit %g", limit)
		// What the target allows is used.
		gomega.NewWithT(t).Expect(float64(len(admitted))).To(gomega.BeNumerically(">=", 0.6*float64(limit)*rateLoadTime.Seconds()), "limit %g", limit)
	}
}

// simulateRateLoad runs calls at random through a gate, and returns when calls were
// admitted.
func simulateRateLoad(gate *admission.Gate, random *rand.Rand) []time.Time {
	var admitted []time.Time
	now, lastCall := epoch, request.CallID(0)
	admit := func(call request.CallID, notices []admission.Notice) []admission.Notice {
		admitted = append(admitted, now)
		return gate.Finish(now, call, admission.Sample{Latency: time.Millisecond, Result: admission.Succeeded}, notices)
	}
	for now.Before(epoch.Add(rateLoadTime)) {
		step := time.Duration(random.ExpFloat64() / rateArrivals * float64(time.Second))
		if random.IntN(2000) == 0 {
			step = time.Duration(random.IntN(3000)) * time.Millisecond
		}
		now = now.Add(step)
		lastCall++
		work := request.Work{Call: lastCall, Deadline: now.Add(2 * time.Second), Patience: time.Duration(random.IntN(900)) * time.Millisecond}
		work.Priority = request.NewPriority(request.Importance(random.IntN(3)), request.Bucket(random.IntN(request.BucketCount)))
		work.Movable = random.IntN(2) == 0
		decision, notices := gate.Arrive(now, work, nil)
		if decision.Verdict == admission.Admit {
			notices = admit(lastCall, notices)
		}
		if random.IntN(20) == 0 {
			notices = gate.Cancel(now, lastCall, notices)
		}
		notices = gate.Tick(now, notices)
		for len(notices) > 0 {
			notice := notices[0]
			notices = notices[1:]
			if notice.Decision.Verdict == admission.Admit {
				notices = admit(notice.Call, notices)
			}
		}
	}
	return admitted
}

// mostWithin returns the largest number of times within any window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
