package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/magnoliawall/magnoliawall/internal/memory"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

const (
	addedAbout     = "Eight callers make the same call directly, directly again, through two nodes and through two naive nodes, one after the other in random order; the added time is the difference between calls of one round and the first direct one; noise is that of the second direct call. All run in one process, whose garbage collector is set as magnoliad sets it."
	addedCallers   = 8
	addedLength    = 4 * time.Second
	addedWarm      = 500 * time.Millisecond
	addedPause     = 4 * time.Millisecond
	addedCostCalls = 1000
	addedAnswer    = 1 << 10
	addedKind      = "agenda/checklist"
	highestAdded   = 10 * time.Second
	addedDigits    = 3
	medianPart     = 50
	tailPart       = 99
)

// The ways of a call. The second direct call shows the noise of the machine.
const (
	direct = iota
	directAgain
	throughOurs
	throughNaive
	wayCount
)

// added is one run of the measurement.
type added struct {
	kind  load.Kind
	ways  [wayCount]*load.Caller
	until time.Time
	warm  time.Time

	costs [wayCount]time.Duration

	mu    sync.Mutex
	times [wayCount]*hdrhistogram.Histogram
	extra [wayCount]*hdrhistogram.Histogram
	calls int
}

// addedDesign is one service on one host and an entry node beside it.
func addedDesign() mesh.Design {
	design := mesh.GotaJusta()
	place := design.Places[0]
	design.Places = []request.Place{place}
	behaviour := target.Behaviour{Kind: addedKind, Pattern: "GET /visits/{id}/checklist", AnswerSize: addedAnswer}
	design.Services = []mesh.Service{
		{Name: "agenda", Slots: 20, Connections: 160, Behaviours: []target.Behaviour{behaviour}},
		{Name: "subsidios", Slots: 20, Connections: 160},
	}
	for _, kind := range design.Kinds {
		if kind.Name == addedKind {
			design.Kinds = []load.Kind{kind}
		}
	}
	return design
}

func runAdded(ctx context.Context, run Run) ([]Figure, error) {
	memory.Tune(false, 0)
	ours := &mesh.Mesh{Design: addedDesign(), System: &mesh.Magnolia{}, Seed: run.Seed}
	if err := ours.Start(ctx); err != nil {
		return nil, err
	}
	naive := &mesh.Mesh{Design: addedDesign(), System: &mesh.Naive{}, Seed: run.Seed}
	if err := naive.Start(ctx); err != nil {
		return nil, err
	}
	trial := newAdded(ours, naive)
	before, begin := processorTime(), time.Now()
	err := trial.run(ctx, run.Seed)
	share := (processorTime() - before).Seconds() / time.Since(begin).Seconds() / float64(runtime.NumCPU())
	run.Progress("added-time: %d calls", trial.calls)
	if err == nil {
		err = trial.runCosts(ctx, run.Seed)
	}
	for _, running := range []*mesh.Mesh{ours, naive} {
		if stopped := running.Stop(); err == nil {
			err = stopped
		}
	}
	return trial.figures(share), err
}

func newAdded(ours, naive *mesh.Mesh) *added {
	entry := 1 // the node of the other service, so that the call takes two nodes
	straight := &load.Caller{Entry: ours.Targets("agenda")[0].Listener.Addr().String()}
	straight.Start()
	trial := &added{
		kind: addedDesign().Kinds[0],
		ways: [wayCount]*load.Caller{straight, straight, ours.Callers()[entry], naive.Callers()[entry]},
	}
	for way := range wayCount {
		trial.times[way] = newHistogram()
		trial.extra[way] = newHistogram()
	}
	return trial
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestAdded.Nanoseconds(), addedDigits)
}

func (a *added) run(ctx context.Context, seed uint64) error {
	a.warm = time.Now().Add(addedWarm)
	a.until = a.warm.Add(addedLength)
	var callers errgroup.Group
	for caller := range addedCallers {
		callers.Go(func() error { return a.rounds(ctx, seed, caller) })
	}
	return callers.Wait()
}

// rounds makes calls on all ways in a random order until the run is over.
func (a *added) rounds(ctx context.Context, seed uint64, caller int) error {
	random := rand.New(rand.NewPCG(seed, uint64(caller)))
	for round := 0; time.Now().Before(a.until); round++ {
		var took [wayCount]time.Duration
		for _, way := range random.Perm(wayCount) {
			name := target.AttemptName(fmt.Sprintf("added-%d-%d-%d-%d", seed, caller, round, way))
			begin := time.Now()
			reply := a.ways[way].Send(ctx, a.kind, "", name)
			took[way] = time.Since(begin)
			if reply.Result != load.Whole {
				return oops.Errorf("call %s ended %s %s", name, reply.Result, reply.Code)
			}
		}
		if time.Now().After(a.warm) {
			a.record(took)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(addedPause)))
	}
	return nil
}

// runCosts measures the processor time of a call on each way by itself, which
// the noise of the machine moves less.
func (a *added) runCosts(ctx context.Context, seed uint64) error {
	for way := range wayCount {
		before := processorTime()
		for round := range addedCostCalls {
			name := target.AttemptName(fmt.Sprintf("cost-%d-%d-%d", seed, round, way))
			if reply := a.ways[way].Send(ctx, a.kind, "", name); reply.Result != load.Whole {
				return oops.Errorf("call %s ended %s %s", name, reply.Result, reply.Code)
			}
		}
		a.costs[way] = (processorTime() - before) / addedCostCalls
	}
	return nil
}

func (a *added) record(took [wayCount]time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls += wayCount
	for way, length := range took {
		_ = a.times[way].RecordValue(length.Nanoseconds())
		_ = a.extra[way].RecordValue(max(length-took[direct], 0).Nanoseconds())
	}
}

func (a *added) figures(share float64) []Figure {
	const unit Unit = "ms"
	return []Figure{
		a.compared("99", unit, "0.45 at most", a.extra, tailPart),
		a.compared("median", unit, "", a.extra, medianPart),
		a.compared("whole-call-99", unit, "", a.times, tailPart),
		a.compared("whole-call-median", unit, "", a.times, medianPart),
		{
			Name: "processor", Unit: "ms a call", HasNaive: true,
			Value: inMilliseconds(a.costs[throughOurs] - a.costs[direct]),
			Naive: inMilliseconds(a.costs[throughNaive] - a.costs[direct]),
		},
		{Name: "noise-99", Unit: unit, Value: milliseconds(a.extra[directAgain], tailPart)},
		{Name: "direct-call-99", Unit: unit, Value: milliseconds(a.times[direct], tailPart)},
		{Name: "direct-call-median", Unit: unit, Value: milliseconds(a.times[direct], medianPart)},
		{Name: "load", Unit: "% of the machine", Target: "under 33", Value: percent(share)},
	}
}

func (a *added) compared(name FigureName, unit Unit, wanted Target, from [wayCount]*hdrhistogram.Histogram, part float64) Figure {
	return Figure{
		Name: name, Unit: unit, Target: wanted, HasNaive: true,
		Value: milliseconds(from[throughOurs], part),
		Naive: milliseconds(from[throughNaive], part),
	}
}

func milliseconds(histogram *hdrhistogram.Histogram, part float64) float64 {
	return inMilliseconds(time.Duration(histogram.ValueAtQuantile(part)))
}

func inMilliseconds(length time.Duration) float64 {
	return float64(length) / float64(time.Millisecond)
}

// processorTime is what this process has used of the processors so far.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
