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
	normalRate     = 1000.0 // requests per second
	overloadRate   = 2000.0 // requests per second
	overloadStart  = 3 * time.Second
	overloadEnd    = 8 * time.Second
	runTime        = 12 * time.Second
	clientTimeout  = time.Second
	resendDelay    = 100 * time.Millisecond
	maxResends     = 3
	slowdownFactor = 4
	// highImportance is the importance of one request in ten.
	highImportance = request.Importance(3)
	binTime        = 50 * time.Millisecond
	binCount       = int(runTime / binTime)
)

// outcome is what the clients saw in one run.
type outcome struct {
	// succeeded counts complete answers by time.
	succeeded [binCount]int
	// lost counts requests that failed after their last resend.
	lost    map[request.Importance]int
	refused map[request.Code]int
	// wastedWork is the part of totalWork that was done for failed requests.
	wastedWork time.Duration
	totalWork  time.Duration
	// highFailures counts first attempts of high importance that failed.
	highFailures int
	answers      []request.Code
}

// clients send requests, and resend those that fail.
type clients struct {
	model        *chain
	result       outcome
	sent         int
	start        time.Duration
	end          time.Duration
	overloadRate float64
}

func (clients *clients) run() *outcome {
	clients.result.lost, clients.result.refused = map[request.Importance]int{}, map[request.Code]int{}
	clients.model.schedule(clients.start, func() { clients.model.serviceTimes[chainDepth-1] *= slowdownFactor })
	clients.model.schedule(clients.end, func() { clients.model.serviceTimes[chainDepth-1] /= slowdownFactor })
	clients.sendNext()
	clients.model.runUntil(epoch.Add(runTime + 2*time.Second))
	return &clients.result
}

func (clients *clients) sendNext() {
	rate := normalRate
	if elapsed := clients.model.now.Sub(epoch); elapsed >= clients.start && elapsed < clients.end {
		rate = clients.overloadRate
	}
	if clients.model.now.Sub(epoch) < runTime {
		clients.model.schedule(time.Duration(float64(time.Second)/rate), clients.sendNext)
	}
	clients.sent++
	importance := [...]request.Importance{highImportance, 2, 2, 1, 1, 0, 0, 0, 0, 0}[clients.sent%10]
	clients.send(importance, 0)
}

func (clients *clients) send(importance request.Importance, resends int) {
	root := &callTree{}
	answered := false
	work := request.Work{
		Root:     rootID(clients.model.random.Uint64()),
		RootKind: "agenda/checklist",
		Deadline: clients.model.now.Add(clientTimeout),
	}
	work.Priority = request.NewPriority(importance, request.BucketOf(work.Root))
	finish := func(code request.Code) {
		if answered {
			return
		}
		answered = true
		clients.record(root, importance, code, resends)
	}
	clients.model.send(root, 0, work, retryAllowance, func(result answer) { finish(result.code) })
	clients.model.schedule(clientTimeout, func() {
		if !answered {
			clients.model.abandon(root)
			finish(request.DeadlinePassed)
		}
	})
	clients.model.schedule(2*clientTimeout, func() {
		clients.result.totalWork += root.work
		if !root.succeeded {
			clients.result.wastedWork += root.work
		}
	})
}

func (clients *clients) record(root *callTree, importance request.Importance, code request.Code, resends int) {
	clients.result.answers = append(clients.result.answers, code)
	if code == request.OK {
		root.succeeded = true
		if bin := int(clients.model.now.Sub(epoch) / binTime); bin < binCount {
			clients.result.succeeded[bin]++
		}
		return
	}
	clients.result.refused[code]++
	if resends == 0 && importance == highImportance {
		clients.result.highFailures++
	}
	if resends == maxResends {
		clients.result.lost[importance]++
		return
	}
	wait := resendDelay/2 + time.Duration(clients.model.random.Int64N(int64(resendDelay)))
	clients.model.schedule(wait, func() { clients.send(importance, resends+1) })
}

// goodput is the number of complete answers per second between two times.
func (result *outcome) goodput(from, to time.Duration) float64 {
	sum := 0
	for bin := int(from / binTime); bin < int(to/binTime); bin++ {
		sum += result.succeeded[bin]
	}
	return float64(sum) / (to - from).Seconds()
}

// recoveryTime is the time from the end of the overload until goodput stays at
// 95% or more of that before the overload, in each window of a quarter of a
// second.
func (result *outcome) recoveryTime() time.Duration {
	const width = 250 * time.Millisecond
	before := result.goodput(time.Second, overloadStart)
	recovered := overloadEnd
	for from := overloadEnd; from+width <= runTime; from += binTime {
		if result.goodput(from, from+width) < 0.95*before {
			recovered = from + binTime
		}
	}
	return recovered - overloadEnd
}

func (result *outcome) wastedShare() float64 {
	return result.wastedWork.Seconds() / result.totalWork.Seconds()
}

func runOverload(useNaive bool, seed uint64) *outcome {
	clients := clients{model: newChain(useNaive, seed), start: overloadStart, end: overloadEnd, overloadRate: overloadRate}
	return clients.run()
}

// slowedCapacity is what the slowed service can do, in requests per second.
const slowedCapacity = 6 * 10 / (0.020 * slowdownFactor)

// capacityShare is the goodput during the overload, relative to slowedCapacity.
func (result *outcome) capacityShare() float64 {
	return result.goodput(overloadStart, overloadEnd) / slowedCapacity
}

func (result *outcome) String() string {
	return fmt.Sprintf("goodput %.1f%% of capacity, wasted work %.2f%%, failures of high importance %d, recovery %v, refused %v",
		100*result.capacityShare(), 100*result.wastedShare(), result.highFailures, result.recoveryTime(), result.refused)
}

func TestOverload(t *testing.T) {
	expect := gomega.NewWithT(t)
	seed := uint64(suite.Seed())
	gated, naive := runOverload(false, seed), runOverload(true, seed)
	t.Logf("gated: %v", gated)
	t.Logf("naive: %v", naive)
	expect.Expect(gated.capacityShare()).To(gomega.BeNumerically(">=", 0.95))
	expect.Expect(gated.highFailures).To(gomega.BeZero())
	expect.Expect(gated.wastedShare()).To(gomega.BeNumerically("<", 0.03))
	expect.Expect(gated.recoveryTime()).To(gomega.BeNumerically("<=", time.Second))
	expect.Expect(naive.capacityShare()).To(gomega.BeNumerically("<", 0.5))
	expect.Expect(naive.highFailures).NotTo(gomega.BeZero())
	expect.Expect(naive.wastedShare()).To(gomega.BeNumerically(">", 0.03))
}

// Without overload and faults, the gates under test and the naive version give
// the same answers.
func TestNormalLoad(t *testing.T) {
	expect := gomega.NewWithT(t)
	answersOf := func(useNaive bool) []request.Code {
		clients := clients{model: newChain(useNaive, 1), start: runTime, end: runTime}
		return clients.run().answers
	}
	gated, naive := answersOf(false), answersOf(true)
	expect.Expect(gated).To(gomega.HaveEach(request.OK))
	expect.Expect(gated).To(gomega.Equal(naive))
}
