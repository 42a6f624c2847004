package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// sampleFunc returns the sample of a call that starts at a time while the given
// number of calls runs.
type sampleFunc func(at time.Time, running int) admission.Sample

// saturate keeps the target of a gate full and some calls queued from one time to
// another, and returns the lowest limit. All calls end before it returns.
func saturate(gate *admission.Gate, from, to time.Duration, sample sampleFunc) int {
	lowest := gate.Slots
	model := &chain{now: epoch.Add(from)}
	lastCall := request.CallID(from)
	var start func(call request.CallID)
	var fill func()
	start = func(call request.CallID) {
		measured := sample(model.now, gate.Running())
		model.schedule(measured.Latency, func() {
			for _, notice := range gate.Finish(model.now, call, measured, nil) {
				start(notice.Call)
			}
			lowest = min(lowest, gate.Limit())
			fill()
		})
	}
	fill = func() {
		for gate.Waiting() < 2 && model.now.Before(epoch.Add(to)) {
			lastCall++
			work := request.Work{Call: lastCall, Deadline: model.now.Add(time.Hour)}
			decision, _ := gate.Arrive(model.now, work, nil)
			switch decision.Verdict {
			case admission.Refuse:
				return
			case admission.Admit:
				start(lastCall)
			}
		}
	}
	fill()
	model.runUntil(epoch.Add(to + time.Second))
	return lowest
}

func constantSample(latency, downstreamTime time.Duration) sampleFunc {
	return func(time.Time, int) admission.Sample {
		return admission.Sample{Latency: latency, DownstreamTime: downstreamTime, Result: admission.Succeeded}
	}
}

// queueingSample is a sample of a target that works on only five calls at a time.
func queueingSample(_ time.Time, running int) admission.Sample {
	return admission.Sample{Latency: time.Duration(max(running, 5)) * 4 * time.Millisecond, Result: admission.Succeeded}
}

// newSteadyGate returns a gate whose limit has risen to all 20 slots.
func newSteadyGate() *admission.Gate {
	gate := &admission.Gate{Slots: 20}
	saturate(gate, 0, time.Second, constantSample(20*time.Millisecond, 0))
	return gate
}

func TestLimitOfColdTargetRisesFast(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := &admission.Gate{Slots: 20}
	saturate(gate, 0, 200*time.Millisecond, constantSample(20*time.Millisecond, 0))
	expect.Expect(gate.Limit()).To(gomega.Equal(20))
}

func TestLimitStaysWhenDownstreamIsSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := newSteadyGate()
	lowest := saturate(gate, time.Second, 6*time.Second, constantSample(100*time.Millisecond, 80*time.Millisecond))
	expect.Expect(lowest).To(gomega.Equal(20))
}

// A target that is slower at any concurrency needs all of its slots.
func TestLimitIsRestoredWhenFewerCallsDoNotHelp(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := newSteadyGate()
	lowest := saturate(gate, time.Second, 6*time.Second, constantSample(80*time.Millisecond, 0))
	expect.Expect(lowest).To(gomega.Equal(17))
	expect.Expect(gate.Limit()).To(gomega.Equal(20))
}

func TestLimitFallsWhenFewerCallsHelp(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := newSteadyGate()
	saturate(gate, time.Second, 20*time.Second, queueingSample)
	expect.Expect(gate.Limit()).To(gomega.BeNumerically("<=", 9))
	saturate(gate, 20*time.Second, 21*time.Second, constantSample(20*time.Millisecond, 0))
	expect.Expect(gate.Limit()).To(gomega.Equal(20))
}

func TestLimitFallsWhenTargetSheds(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := newSteadyGate()
	saturate(gate, time.Second, 2*time.Second, func(_ time.Time, running int) admission.Sample {
		sample := admission.Sample{Latency: 20 * time.Millisecond, Result: admission.Succeeded}
		if running > 10 {
			sample.Result = admission.Shed
		}
		return sample
	})
	expect.Expect(gate.Limit()).To(gomega.BeNumerically("<=", 13))
}

// A target that rejects more than half of its calls regardless of the limit keeps
// most of its slots, as fewer calls at once do not help.
func TestLimitStaysWhenTargetShedsAtAnyLimit(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := newSteadyGate()
	random := rand.New(rand.NewPCG(1, 2))
	served, rejected := 0, 0
	saturate(gate, time.Second, 9*time.Second, func(time.Time, int) admission.Sample {
		if random.Float64() < 0.55 {
			rejected++
			return admission.Sample{Latency: time.Millisecond, Result: admission.Shed}
		}
		served++
		return admission.Sample{Latency: 20 * time.Millisecond, Result: admission.Succeeded}
	})
	// With all slots in use, the target would serve 20 calls in 20 ms plus the
	// time of the calls that it rejects.
	most := 8.0 * 20 / (0.020 + 0.55/0.45*0.001)
	expect.Expect(float64(served)).To(gomega.BeNumerically(">", 0.8*most))
	expect.Expect(rejected).To(gomega.BeNumerically(">", served))
}
