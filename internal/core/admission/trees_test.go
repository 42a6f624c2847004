package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// treeLoad is a load of request trees. Each tree makes a number of lookups, one
// after the other, at the targets of a service at the end of the call chain. A
// tree fails if one of its lookups is refused or late.
type treeLoad struct {
	*chain
	random  *rand.Rand
	gates   []*admission.Gate
	waiting waitingCalls
	// sharedPriority gives the lookups of a tree the bucket of the tree and the
	// time already spent on it; otherwise each lookup has a bucket of its own.
	sharedPriority bool
	lastCall       request.CallID
	succeeded      int
}

const (
	lookupsPerTree = 5
	treeTimeout    = 800 * time.Millisecond
	// meanEarlierTime is the mean time that a tree spends before its lookups.
	meanEarlierTime = 240 * time.Millisecond
	meanLookupTime  = 44 * time.Millisecond
	lookupPatience  = 300 * time.Millisecond
	targetCount     = 4
	slotsPerTarget  = 9
	loadTime        = 10 * time.Second
)

// run offers trees at a rate of load times what the targets can serve.
func (trees *treeLoad) run(load float64) {
	for index := range targetCount {
		gate := &admission.Gate{Slots: slotsPerTarget, Warm: true}
		trees.gates = append(trees.gates, gate)
		var tick func()
		tick = func() {
			trees.waiting.deliver(gate.Tick(trees.now, nil))
			trees.schedule(10*time.Millisecond, tick)
		}
		trees.schedule(time.Duration(index)*time.Millisecond, tick)
	}
	interval := time.Duration(float64(lookupsPerTree*meanLookupTime) / (load * targetCount * slotsPerTarget))
	for at := time.Duration(0); at < loadTime; at += interval {
		trees.schedule(at, func() {
			enteredAt := trees.now
			bucket := request.Bucket(trees.random.IntN(request.BucketCount))
			trees.schedule(time.Duration(float64(meanEarlierTime)*(0.5+trees.random.Float64())), func() { trees.lookup(enteredAt, bucket, lookupsPerTree) })
		})
	}
	trees.runUntil(epoch.Add(loadTime + time.Second))
}

// lookup makes the next lookup of a tree that entered at a time and still has to
// make the given number of lookups.
func (trees *treeLoad) lookup(enteredAt time.Time, bucket request.Bucket, left int) {
	if left == 0 {
		trees.succeeded++
		return
	}
	trees.lastCall++
	work := request.Work{Call: trees.lastCall, Deadline: enteredAt.Add(treeTimeout), Patience: lookupPatience}
	work.Priority = request.NewPriority(1, request.Bucket(trees.random.IntN(request.BucketCount)))
	if trees.sharedPriority {
		work.Priority = request.NewPriority(1, bucket)
		work.Spent = trees.now.Sub(enteredAt)
	}
	gate := trees.gates[trees.random.IntN(len(trees.gates))]
	onDecision := func(decision admission.Decision) {
		if decision.Verdict != admission.Admit {
			return
		}
		latency := time.Duration(float64(meanLookupTime) * (0.5 + trees.random.Float64()))
		trees.schedule(latency, func() {
			trees.waiting.deliver(gate.Finish(trees.now, work.Call, admission.Sample{Latency: latency, Result: admission.Succeeded}, nil))
			if trees.now.Before(work.Deadline) {
				trees.lookup(enteredAt, bucket, left-1)
			}
		})
	}
	decision, notices := gate.Arrive(trees.now, work, nil)
	trees.waiting.deliver(notices)
	trees.waiting.await(work.Call, decision, onDecision)
}

// runTrees is the number of trees that succeed, relative to what the targets can
// serve.
func runTrees(sharedPriority bool, load float64) float64 {
	trees := &treeLoad{chain: &chain{now: epoch}, random: rand.New(rand.NewPCG(1, 2)), waiting: waitingCalls{}, sharedPriority: sharedPriority}
	trees.run(load)
	capacity := loadTime.Seconds() * targetCount * slotsPerTarget / (lookupsPerTree * meanLookupTime.Seconds())
	return float64(trees.succeeded) / capacity
}

// After a restart of many targets, the last service in the chain has half of its
// usual speed, and more trees come than usual. Nearly all of the trees that the
// service can serve succeed if the lookups of a tree share its priority. If each
// lookup has a priority of its own, fewer trees succeed, the more so the more
// trees come.
func TestSharedPriorityCompletesMoreTrees(t *testing.T) {
	for _, load := range []float64{1.3, 1.6, 2} {
		g := gomega.NewWithT(t)
		separate, shared := runTrees(false, load), runTrees(true, load)
		t.Logf("load %.1f: trees that succeed, relative to capacity: %.2f with separate priorities, %.2f with a shared priority", load, separate, shared)
		g.Expect(shared).To(gomega.BeNumerically(">", 0.7))
		g.Expect(shared).To(gomega.BeNumerically(">", 1.15*separate))
	}
}
