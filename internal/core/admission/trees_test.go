package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// forest is a load of trees that each make some calls, one after the other, to the
// targets of a deep service, and are lost where one of them is refused or comes too
// late.
type forest struct {
	*chain
	random *rand.Rand
	gates  []*admission.Gate
	admits map[request.CallID]func(admission.Decision)
	tied   bool
	calls  request.CallID
	whole  int
}

const (
	treeCalls    = 5
	treeTime     = 800 * time.Millisecond
	treeBefore   = 240 * time.Millisecond
	lookupTime   = 44 * time.Millisecond
	lookupWaits  = 300 * time.Millisecond
	forestGates  = 4
	forestSlots  = 9
	forestLength = 10 * time.Second
)

// play offers trees at a rate, of all lookups that the targets can take.
func (fo *forest) play(load float64) {
	for index := range forestGates {
		gate := &admission.Gate{Slots: forestSlots, Warm: true}
		fo.gates = append(fo.gates, gate)
		var tick func()
		tick = func() {
			fo.tell(gate.Tick(fo.now, nil))
			fo.after(10*time.Millisecond, tick)
		}
		fo.after(time.Duration(index)*time.Millisecond, tick)
	}
	every := time.Duration(float64(treeCalls*lookupTime) / (load * forestGates * forestSlots))
	for at := time.Duration(0); at < forestLength; at += every {
		fo.after(at, func() {
			entered := fo.now
			bucket := request.Bucket(fo.random.IntN(request.BucketCount))
			fo.after(time.Duration(float64(treeBefore)*(0.5+fo.random.Float64())), func() { fo.lookup(entered, bucket, treeCalls) })
		})
	}
	fo.runUntil(epoch.Add(forestLength + time.Second))
}

// lookup makes the next of the calls that are left of a tree.
func (fo *forest) lookup(entered time.Time, bucket request.Bucket, left int) {
	if left == 0 {
		fo.whole++
		return
	}
	fo.calls++
	work := request.Work{Call: fo.calls, Deadline: entered.Add(treeTime), Patience: lookupWaits}
	work.Priority = request.NewPriority(1, request.Bucket(fo.random.IntN(request.BucketCount)))
	if fo.tied {
		work.Priority = request.NewPriority(1, bucket)
		work.Spent = fo.now.Sub(entered)
	}
	gate := fo.gates[fo.random.IntN(len(fo.gates))]
	begin := func(decision admission.Decision) {
		if decision.Verdict != admission.Admit {
			return
		}
		took := time.Duration(float64(lookupTime) * (0.5 + fo.random.Float64()))
		fo.after(took, func() {
			fo.tell(gate.Finish(fo.now, work.Call, admission.Sample{Latency: took, Result: admission.Succeeded}, nil))
			if fo.now.Before(work.Deadline) {
				fo.lookup(entered, bucket, left-1)
			}
		})
	}
	decision, notices := gate.Arrive(fo.now, work, nil)
	fo.tell(notices)
	if decision.Verdict == admission.Wait {
		fo.admits[work.Call] = begin
		return
	}
	begin(decision)
}

func (fo *forest) tell(notices []admission.Notice) {
	for _, notice := range notices {
		begin := fo.admits[notice.Call]
		delete(fo.admits, notice.Call)
		begin(notice.Decision)
	}
}

func playForest(tied bool, load float64) float64 {
	fo := &forest{chain: &chain{now: epoch}, random: rand.New(rand.NewPCG(1, 2)), admits: map[request.CallID]func(admission.Decision){}, tied: tied}
	fo.play(load)
	fits := forestLength.Seconds() * forestGates * forestSlots / (treeCalls * lookupTime.Seconds())
	return float64(fo.whole) / fits
}

// The pattern: a cold restart of many, after which the deepest service has half of
// its usual pace for more trees than usual. Calls that share the place of their tree
// bring nearly all of the trees that fit to their end; calls that each have their own
// bring fewer, the more trees come.
func TestTreesOfAFullServiceEndWhereTheirCallsAreTied(t *testing.T) {
	for _, load := range []float64{1.3, 1.6, 2} {
		g := gomega.NewWithT(t)
		loose, tied := playForest(false, load), playForest(true, load)
		t.Logf("load %.1f: %.2f of the trees that fit end without ties, %.2f with", load, loose, tied)
		g.Expect(tied).To(gomega.BeNumerically(">", 0.7))
		g.Expect(tied).To(gomega.BeNumerically(">", 1.15*loose))
	}
}
