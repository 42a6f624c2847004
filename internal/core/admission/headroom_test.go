package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// slowing is a target that works on each call longer while it is nearly full, and
// for a time at any number.
type slowing struct {
	random *rand.Rand
	slots  int
	// knee is the share of the slots from which on calls take factor times as long.
	knee   float64
	factor float64
	// slowFrom to slowTo is the time in which all calls take five times as long.
	slowFrom time.Duration
	slowTo   time.Duration
	// done is the work of the calls that began in each second, in seconds at the
	// target's usual speed.
	done []float64
}

// sample draws a lookup of 22 ms, or one time in ten a read of 360 ms.
func (sl *slowing) sample(at time.Time, running int) admission.Sample {
	kind, mean := request.KindName("consumo/tariff"), 0.022
	if sl.random.Float64() < 0.1 {
		kind, mean = "consumo/history", 0.360
	}
	seconds := mean * (0.5 + sl.random.Float64())
	since := at.Sub(epoch)
	for len(sl.done) <= int(since.Seconds()) {
		sl.done = append(sl.done, 0)
	}
	sl.done[int(since.Seconds())] += seconds
	if float64(running) >= sl.knee*float64(sl.slots) {
		seconds *= sl.factor
	}
	if since >= sl.slowFrom && since < sl.slowTo {
		seconds *= 5
	}
	return admission.Sample{Kind: kind, Latency: time.Duration(seconds * float64(time.Second)), Result: admission.Succeeded}
}

func total(seconds []float64) float64 {
	sum := 0.0
	for _, work := range seconds {
		sum += work
	}
	return sum
}

// The pattern: the deepest service is full. Where its targets take longer for each
// call while they are, some slots left free get more done than all of them; a target
// that takes as long when it is full is given all of its slots soon.
func TestHeadroomWhereItHelpsAndWhereNot(t *testing.T) {
	cases := []struct {
		name         string
		knee, factor float64
		least        float64
	}{
		{"slows down when nearly full", 0.95, 1.3, 1.08},
		{"does not slow down", 2, 1, 0.93},
	}
	for _, each := range cases {
		for _, slots := range []int{11, 12, 15, 19, 23, 28, 41, 58, 90} {
			g := gomega.NewWithT(t)
			gate := &admission.Gate{Slots: slots, Warm: true}
			target := &slowing{random: rand.New(rand.NewPCG(1, uint64(slots))), slots: slots, knee: each.knee, factor: each.factor}
			pressed(gate, 0, 20*time.Second, target.sample)
			share := total(target.done[:20]) * each.factor / (20 * float64(slots))
			t.Logf("%s, %d slots: %.2f of what all slots get done", each.name, slots, share)
			g.Expect(share).To(gomega.BeNumerically(">", each.least), "%s, %d slots", each.name, slots)
		}
	}
}

// A target that is slow for some seconds is not taken for one that slows down when
// nearly full, nor the other way round.
func TestHeadroomWhileATargetIsSlow(t *testing.T) {
	for _, knee := range []float64{0.95, 2} {
		g := gomega.NewWithT(t)
		gate := &admission.Gate{Slots: 28, Warm: true}
		target := &slowing{random: rand.New(rand.NewPCG(3, 1)), slots: 28, knee: knee, factor: 1.3, slowFrom: 8 * time.Second, slowTo: 16 * time.Second}
		pressed(gate, 0, 26*time.Second, target.sample)
		least := 0.9 * 28
		if knee < 1 {
			least = 1.08 * 28 / 1.3
		}
		slow, after := total(target.done[8:16])/8, total(target.done[18:26])/8
		t.Logf("knee %.2f: %.2f of the least while slow, %.2f after", knee, 5*slow/least, after/least)
		g.Expect(slow).To(gomega.BeNumerically(">", 0.9*least/5))
		g.Expect(after).To(gomega.BeNumerically(">", least))
	}
}

// Few slots are all given.
func TestNoHeadroomOfFewSlots(t *testing.T) {
	gate := &admission.Gate{Slots: 6, Warm: true}
	gate.Tick(epoch, nil)
	gomega.NewWithT(t).Expect(gate.Places()).To(gomega.Equal(6))
}

// A trial that no longer fills the target ends, and its calls are not judged.
func TestATrialEndsWhenTheTargetIsNotFull(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := &admission.Gate{Slots: 20, Warm: true}
	gate.Tick(epoch, nil)
	g.Expect(gate.Headroom()).To(gomega.Equal(1))
	// The first stretch ends with the third round of calls.
	at := time.Duration(0)
	for ; gate.Places() == 19; at += 20 * time.Millisecond {
		pressed(gate, at, at+20*time.Millisecond, steadySample(10*time.Millisecond, 0))
	}
	g.Expect(gate.Places()).To(gomega.Equal(20))
	gate.Tick(epoch.Add(at+time.Minute), nil)
	g.Expect(gate.Places()).To(gomega.Equal(19))
	g.Expect(gate.Headroom()).To(gomega.Equal(1))
}
