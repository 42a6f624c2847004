package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// slowingTarget is a target that takes longer for each call while it is nearly
// full, and for some time at any number of calls.
type slowingTarget struct {
	random *rand.Rand
	slots  int
	// fullRatio is the share of the slots in use from which on calls take
	// fullFactor times as long.
	fullRatio  float64
	fullFactor float64
	// All calls take five times as long from slowFrom to slowTo.
	slowFrom time.Duration
	slowTo   time.Duration
	// work is the work of the calls that began in each second, in seconds at the
	// target's normal speed.
	work []float64
}

// sample draws a lookup of 22 ms on average or, one time in ten, a read of
// 360 ms.
func (target *slowingTarget) sample(at time.Time, running int) admission.Sample {
	kind, mean := request.KindName("consumo/tariff"), 0.022
	if target.random.Float64() < 0.1 {
		kind, mean = "consumo/history", 0.360
	}
	seconds := mean * (0.5 + target.random.Float64())
	since := at.Sub(epoch)
	for len(target.work) <= int(since.Seconds()) {
		target.work = append(target.work, 0)
	}
	target.work[int(since.Seconds())] += seconds
	if float64(running) >= target.fullRatio*float64(target.slots) {
		seconds *= target.fullFactor
	}
	if since >= target.slowFrom && since < target.slowTo {
		seconds *= 5
	}
	return admission.Sample{Kind: kind, Latency: time.Duration(seconds * float64(time.Second)), Result: admission.Succeeded}
}

func total(workBySecond []float64) float64 {
	sum := 0.0
	for _, work := range workBySecond {
		sum += work
	}
	return sum
}

// A target that is full all the time keeps some slots free if its calls take
// longer while it is full, which raises its throughput. A target that is as fast
// when it is full soon gets all of its slots.
func TestHeadroomOfFullTarget(t *testing.T) {
	cases := []struct {
		name                  string
		fullRatio, fullFactor float64
		leastShare            float64
	}{
		{"slows down when nearly full", 0.95, 1.3, 1.08},
		{"does not slow down", 2, 1, 0.93},
	}
	for _, each := range cases {
		for _, slots := range []int{11, 12, 15, 19, 23, 28, 41, 58, 90} {
			g := gomega.NewWithT(t)
			gate := &admission.Gate{Slots: slots, Warm: true}
			target := &slowingTarget{random: rand.New(rand.NewPCG(1, uint64(slots))), slots: slots, fullRatio: each.fullRatio, fullFactor: each.fullFactor}
			saturate(gate, 0, 20*time.Second, target.sample)
			share := total(target.work[:20]) * each.fullFactor / (20 * float64(slots))
			t.Logf("%s, %d slots: %.2f of the throughput with all slots in use", each.name, slots, share)
			g.Expect(share).To(gomega.BeNumerically(">", each.leastShare), "%s, %d slots", each.name, slots)
		}
	}
}

// A target that is slow for some seconds must not be mistaken for one that slows
// down when it is nearly full, nor the other way round.
func TestHeadroomWhileTargetIsSlow(t *testing.T) {
	for _, fullRatio := range []float64{0.95, 2} {
		g := gomega.NewWithT(t)
		gate := &admission.Gate{Slots: 28, Warm: true}
		target := &slowingTarget{random: rand.New(rand.NewPCG(3, 1)), slots: 28, fullRatio: fullRatio, fullFactor: 1.3, slowFrom: 8 * time.Second, slowTo: 16 * time.Second}
		saturate(gate, 0, 26*time.Second, target.sample)
		leastWork := 0.9 * 28
		if fullRatio < 1 {
			leastWork = 1.08 * 28 / 1.3
		}
		slow, after := total(target.work[8:16])/8, total(target.work[18:26])/8
		t.Logf("full at ratio %.2f: %.2f of the least work while slow, %.2f after", fullRatio, 5*slow/leastWork, after/leastWork)
		g.Expect(slow).To(gomega.BeNumerically(">", 0.9*leastWork/5))
		g.Expect(after).To(gomega.BeNumerically(">", leastWork))
	}
}

func TestNoHeadroomOfFewSlots(t *testing.T) {
	gate := &admission.Gate{Slots: 6, Warm: true}
	gate.Tick(epoch, nil)
	gomega.NewWithT(t).Expect(gate.EffectiveLimit()).To(gomega.Equal(6))
}

// A trial ends when the target is no longer full, and its calls change nothing.
func TestTrialEndsWhenTargetIsNotFull(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := &admission.Gate{Slots: 20, Warm: true}
	gate.Tick(epoch, nil)
	g.Expect(gate.Headroom()).To(gomega.Equal(1))
	// The first period ends with the third round of calls.
	at := time.Duration(0)
	for ; gate.EffectiveLimit() == 19; at += 20 * time.Millisecond {
		saturate(gate, at, at+20*time.Millisecond, constantSample(10*time.Millisecond, 0))
	}
	g.Expect(gate.EffectiveLimit()).To(gomega.Equal(20))
	gate.Tick(epoch.Add(at+time.Minute), nil)
	g.Expect(gate.EffectiveLimit()).To(gomega.Equal(19))
	g.Expect(gate.Headroom()).To(gomega.Equal(1))
}
