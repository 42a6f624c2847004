package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

const (
	normalRate    = 1000.0
	overloadRate  = 2000.0
	overloadStart = 3 * time.Second
	overloadEnd   = 8 * time.Second
	runTime       = 12 * time.Second
	callerWait    = time.Second
	resendWait    = 100 * time.Millisecond
	resends       = 3
	slowFactor    = 4
	important     = request.Importance(3)
	binTime       = 50 * time.Millisecond
	binCount      = int(runTime / binTime)
)

// outcome is what callers saw of one run.
type outcome struct {
	good      [binCount]int
	lost      map[request.Importance]int
	refused   map[request.Code]int
	wasted    time.Duration
	worked    time.Duration
	firstLoss int
	answers   []request.Code
}

// crowd sends requests and sends them again when they fail.
type crowd struct {
	model  *chain
	seen   outcome
	sent   int
	start  time.Duration
	end    time.Duration
	during float64
}

func (c *crowd) run() *outcome {
	c.seen.lost, c.seen.refused = map[request.Importance]int{}, map[request.Code]int{}
	c.model.after(c.start, func() { c.model.times[chainDepth-1] *= slowFactor })
	c.model.after(c.end, func() { c.model.times[chainDepth-1] /= slowFactor })
	c.next()
	c.model.runUntil(epoch.Add(runTime + 2*time.Second))
	return &c.seen
}

func (c *crowd) next() {
	rate := normalRate
	if elapsed := c.model.now.Sub(epoch); elapsed >= c.start && elapsed < c.end {
		rate = c.during
	}
	if c.model.now.Sub(epoch) < runTime {
		c.model.after(time.Duration(float64(time.Second)/rate), c.next)
	}
	c.sent++
	importance := [...]request.Importance{important, 2, 2, 1, 1, 0, 0, 0, 0, 0}[c.sent%10]
	c.send(importance, 0)
}

func (c *crowd) send(importance request.Importance, used int) {
	root := &tree{}
	answered := false
	work := request.Work{
		Root:     rootID(c.model.random.Uint64()),
		RootKind: "agenda/checklist",
		Deadline: c.model.now.Add(callerWait),
	}
	work.Priority = request.NewPriority(importance, request.BucketOf(work.Root))
	finish := func(code request.Code) {
		if answered {
			return
		}
		answered = true
		c.record(root, importance, code, used)
	}
	c.model.call(root, 0, work, allowance, func(result answer) { finish(result.code) })
	c.model.after(callerWait, func() {
		if !answered {
			c.model.abandon(root)
			finish(request.DeadlinePassed)
		}
	})
	c.model.after(2*callerWait, func() {
		c.seen.worked += root.work
		if !root.done {
			c.seen.wasted += root.work
		}
	})
}

func (c *crowd) record(root *tree, importance request.Importance, code request.Code, used int) {
	c.seen.answers = append(c.seen.answers, code)
	if code == request.OK {
		root.done = true
		if bin := int(c.model.now.Sub(epoch) / binTime); bin < binCount {
			c.seen.good[bin]++
		}
		return
	}
	c.seen.refused[code]++
	if used == 0 && importance == important {
		c.seen.firstLoss++
	}
	if used == resends {
		c.seen.lost[importance]++
		return
	}
	wait := resendWait/2 + time.Duration(c.model.random.Int64N(int64(resendWait)))
	c.model.after(wait, func() { c.send(importance, used+1) })
}

// goodput is the rate of whole answers between two times.
func (o *outcome) goodput(from, to time.Duration) float64 {
	sum := 0
	for bin := int(from / binTime); bin < int(to/binTime); bin++ {
		sum += o.good[bin]
	}
	return float64(sum) / (to - from).Seconds()
}

// recovery is the time from the end of the overload to the first quarter of a
// second, of those that all later ones equal, at 95% of the goodput before.
func (o *outcome) recovery() time.Duration {
	const width = 250 * time.Millisecond
	before := o.goodput(time.Second, overloadStart)
	back := overloadEnd
	for from := overloadEnd; from+width <= runTime; from += binTime {
		if o.goodput(from, from+width) < 0.95*before {
			back = from + binTime
		}
	}
	return back - overloadEnd
}

func (o *outcome) wastedShare() float64 {
	return o.wasted.Seconds() / o.worked.Seconds()
}

func overload(plain bool, seed uint64) *outcome {
	crowd := crowd{model: newChain(plain, seed), start: overloadStart, end: overloadEnd, during: overloadRate}
	return crowd.run()
}

const slowedCapacity = 6 * 10 / (0.020 * slowFactor)

// capacityShare is the goodput during the overload, relative to what the slowed
// service can do.
func (o *outcome) capacityShare() float64 {
	return o.goodput(overloadStart, overloadEnd) / slowedCapacity
}

func (o *outcome) String() string {
	return fmt.Sprintf("goodput %.1f%% of capacity, wasted %.2f%%, important lost %d, recovery %v, refused %v",
		100*o.capacityShare(), 100*o.wastedShare(), o.firstLoss, o.recovery(), o.refused)
}

func TestOverload(t *testing.T) {
	expect := gomega.NewWithT(t)
	seed := uint64(suite.Seed())
	ours, plain := overload(false, seed), overload(true, seed)
	t.Logf("ours:  %v", ours)
	t.Logf("naive: %v", plain)
	expect.Expect(ours.capacityShare()).To(gomega.BeNumerically(">=", 0.95))
	expect.Expect(ours.firstLoss).To(gomega.BeZero())
	expect.Expect(ours.wastedShare()).To(gomega.BeNumerically("<", 0.03))
	expect.Expect(ours.recovery()).To(gomega.BeNumerically("<=", time.Second))
	expect.Expect(plain.capacityShare()).To(gomega.BeNumerically("<", 0.5))
	expect.Expect(plain.firstLoss).NotTo(gomega.BeZero())
	expect.Expect(plain.wastedShare()).To(gomega.BeNumerically(">", 0.03))
}

// Without overload and faults, ours and the naive version give the same
// answers.
func TestCalm(t *testing.T) {
	expect := gomega.NewWithT(t)
	calm := func(plain bool) []request.Code {
		crowd := crowd{model: newChain(plain, 1), start: runTime, end: runTime}
		return crowd.run().answers
	}
	ours, plain := calm(false), calm(true)
	expect.Expect(ours).To(gomega.HaveEach(request.OK))
	expect.Expect(ours).To(gomega.Equal(plain))
}
