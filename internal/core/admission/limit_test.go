package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// answers gives the sample of a call that begins at a time, with so many running.
type answers func(at time.Time, running int) admission.Sample

// pressed keeps a gate's places all taken for a time, with some calls waiting, and
// gives the lowest limit. The calls end before it returns.
func pressed(gate *admission.Gate, from, to time.Duration, sample answers) int {
	lowest := gate.Slots
	model := &chain{now: epoch.Add(from)}
	next := request.CallID(from)
	var begin func(call request.CallID)
	var fill func()
	begin = func(call request.CallID) {
		measured := sample(model.now, gate.Running())
		model.after(measured.Latency, func() {
			for _, notice := range gate.Finish(model.now, call, measured, nil) {
				begin(notice.Call)
			}
			lowest = min(lowest, gate.Limit())
			fill()
		})
	}
	fill = func() {
		for gate.Waiting() < 2 && model.now.Before(epoch.Add(to)) {
			next++
			work := request.Work{Call: next, Deadline: model.now.Add(time.Hour)}
			decision, _ := gate.Arrive(model.now, work, nil)
			switch decision.Verdict {
			case admission.Refuse:
				return
			case admission.Admit:
				begin(next)
			}
		}
	}
	fill()
	model.runUntil(epoch.Add(to + time.Second))
	return lowest
}

func steadySample(latency, below time.Duration) answers {
	return func(time.Time, int) admission.Sample {
		return admission.Sample{Latency: latency, Below: below, Result: admission.Succeeded}
	}
}

// queueing is a target that really works on five calls at a time.
func queueing(_ time.Time, running int) admission.Sample {
	return admission.Sample{Latency: time.Duration(max(running, 5)) * 4 * time.Millisecond, Result: admission.Succeeded}
}

func newGate() *admission.Gate {
	gate := &admission.Gate{Slots: 20}
	pressed(gate, 0, time.Second, steadySample(20*time.Millisecond, 0))
	return gate
}

func TestLimitOpensFast(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := &admission.Gate{Slots: 20}
	pressed(gate, 0, 200*time.Millisecond, steadySample(20*time.Millisecond, 0))
	expect.Expect(gate.Limit()).To(gomega.Equal(20))
}

func TestLimitKeepsWhenBelowIsSlow(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := newGate()
	lowest := pressed(gate, time.Second, 6*time.Second, steadySample(100*time.Millisecond, 80*time.Millisecond))
	expect.Expect(lowest).To(gomega.Equal(20))
}

// A target that is slower at any concurrency needs all of its slots.
func TestLimitKeepsWhenFewerCallsDoNotHelp(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := newGate()
	lowest := pressed(gate, time.Second, 6*time.Second, steadySample(80*time.Millisecond, 0))
	expect.Expect(lowest).To(gomega.Equal(17))
	expect.Expect(gate.Limit()).To(gomega.Equal(20))
}

func TestLimitFallsWhenFewerCallsHelp(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := newGate()
	pressed(gate, time.Second, 20*time.Second, queueing)
	expect.Expect(gate.Limit()).To(gomega.BeNumerically("<=", 9))
	pressed(gate, 20*time.Second, 21*time.Second, steadySample(20*time.Millisecond, 0))
	expect.Expect(gate.Limit()).To(gomega.Equal(20))
}

func TestLimitFallsWhenTargetSheds(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := newGate()
	pressed(gate, time.Second, 2*time.Second, func(_ time.Time, running int) admission.Sample {
		sample := admission.Sample{Latency: 20 * time.Millisecond, Result: admission.Succeeded}
		if running > 10 {
			sample.Result = admission.Shed
		}
		return sample
	})
	expect.Expect(gate.Limit()).To(gomega.BeNumerically("<=", 13))
}

// The pattern: a target that turns away more than half of all calls, however few
// it is given. Fewer calls at once do not help, so it keeps most of its places.
func TestLimitStaysWhenTargetShedsAtAnyNumber(t *testing.T) {
	expect := gomega.NewWithT(t)
	gate := newGate()
	random := rand.New(rand.NewPCG(1, 2))
	served, turnedAway := 0, 0
	pressed(gate, time.Second, 9*time.Second, func(time.Time, int) admission.Sample {
		if random.Float64() < 0.55 {
			turnedAway++
			return admission.Sample{Latency: time.Millisecond, Result: admission.Shed}
		}
		served++
		return admission.Sample{Latency: 20 * time.Millisecond, Result: admission.Succeeded}
	})
	// With all places the target would serve 20 calls in 20 ms and the time of the
	// calls that it turns away.
	most := 8.0 * 20 / (0.020 + 0.55/0.45*0.001)
	expect.Expect(float64(served)).To(gomega.BeNumerically(">", 0.8*most))
	expect.Expect(turnedAway).To(gomega.BeNumerically(">", served))
}
