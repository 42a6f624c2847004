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
	addedAbout             = "Eight callers make the same call directly, directly again, through two nodes and through two naive nodes, one after the other in random order; the added time is the difference between calls of one round and the first direct one; noise is that of the second direct call. All run in one process, whose garbage collector is set as magnoliad sets it."
	addedCallers           = 8
	addedDuration          = 4 * time.Second
	addedWarmUp            = 500 * time.Millisecond
	addedMeanPause         = 4 * time.Millisecond
	addedCostCalls         = 1000
	addedAnswerBytes       = 1 << 10
	addedKind              = "agenda/checklist"
	maxRecordedTime        = 10 * time.Second
	addedSignificantDigits = 3
	medianPercentile       = 50
	tailPercentile         = 99
)

// The paths of a call. The second direct call shows the noise of the machine.
const (
	pathDirect = iota
	pathDirectAgain
	pathMagnolia
	pathNaive
	pathCount
)

// addedTime is one run of the measurement. Its callers are indexed by path.
type addedTime struct {
	kind         load.Kind
	callers      [pathCount]*load.Caller
	endsAt       time.Time
	warmUpEndsAt time.Time

	processorTimes [pathCount]time.Duration

	mu         sync.Mutex
	callTimes  [pathCount]*hdrhistogram.Histogram
	addedTimes [pathCount]*hdrhistogram.Histogram
	callCount  int
}

// addedDesign is a mesh of one failure domain with one service and an entry node
// in front of it.
func addedDesign() mesh.Design {
	design := mesh.GotaJusta()
	place := design.Places[0]
	design.Places = []request.Place{place}
	behaviour := target.Behaviour{Kind: addedKind, Pattern: "GET /visits/{id}/checklist", AnswerBytes: addedAnswerBytes}
	design.Services = []mesh.Service{
		{Name: "agenda", Slots: 20, MaxConnections: 160, Behaviours: []target.Behaviour{behaviour}},
		{Name: "subsidios", Slots: 20, MaxConnections: 160},
	}
	for _, kind := range design.Kinds {
		if kind.Name == addedKind {
			design.Kinds = []load.Kind{kind}
		}
	}
	return design
}

func runAddedTime(ctx context.Context, run Run) ([]Figure, error) {
	memory.Tune(false, 0)
	magnolia := &mesh.Mesh{Design: addedDesign(), System: &mesh.Magnolia{}, Seed: run.Seed}
	if err := magnolia.Start(ctx); err != nil {
		return nil, err
	}
	naive := &mesh.Mesh{Design: addedDesign(), System: &mesh.Naive{}, Seed: run.Seed}
	if err := naive.Start(ctx); err != nil {
		return nil, err
	}
	trial := newAddedTime(magnolia, naive)
	processorBefore, begin := processorTime(), time.Now()
	err := trial.run(ctx, run.Seed)
	processorShare := (processorTime() - processorBefore).Seconds() / time.Since(begin).Seconds() / float64(runtime.NumCPU())
	run.Progress("added-time: %d calls", trial.callCount)
	if err == nil {
		err = trial.measureProcessorTime(ctx, run.Seed)
	}
	for _, running := range []*mesh.Mesh{magnolia, naive} {
		if stopped := running.Stop(); err == nil {
			err = stopped
		}
	}
	return trial.figures(processorShare), err
}

func newAddedTime(magnolia, naive *mesh.Mesh) *addedTime {
	entry := 1 // node of the other service, so that the call passes two nodes
	direct := &load.Caller{EntryAddress: magnolia.Targets("agenda")[0].Listener.Addr().String()}
	direct.Start()
	trial := &addedTime{
		kind:    addedDesign().Kinds[0],
		callers: [pathCount]*load.Caller{direct, direct, magnolia.Callers()[entry], naive.Callers()[entry]},
	}
	for path := range pathCount {
		trial.callTimes[path] = newHistogram()
		trial.addedTimes[path] = newHistogram()
	}
	return trial
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Nanoseconds(), addedSignificantDigits)
}

func (trial *addedTime) run(ctx context.Context, seed uint64) error {
	trial.warmUpEndsAt = time.Now().Add(addedWarmUp)
	trial.endsAt = trial.warmUpEndsAt.Add(addedDuration)
	var callers errgroup.Group
	for caller := range addedCallers {
		callers.Go(func() error { return trial.makeCalls(ctx, seed, caller) })
	}
	return callers.Wait()
}

// makeCalls calls on all paths in random order until the run is over.
func (trial *addedTime) makeCalls(ctx context.Context, seed uint64, caller int) error {
	random := rand.New(rand.NewPCG(seed, uint64(caller)))
	for round := 0; time.Now().Before(trial.endsAt); round++ {
		var durations [pathCount]time.Duration
		for _, path := range random.Perm(pathCount) {
			name := target.AttemptName(fmt.Sprintf("added-%d-%d-%d-%d", seed, caller, round, path))
			begin := time.Now()
			reply := trial.callers[path].Send(ctx, trial.kind, "", name)
			durations[path] = time.Since(begin)
			if reply.Result != load.ResultWhole {
				return oops.Errorf("call %s ended with result %s, code %s", name, reply.Result, reply.Code)
			}
		}
		if time.Now().After(trial.warmUpEndsAt) {
			trial.record(durations)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(addedMeanPause)))
	}
	return nil
}

// measureProcessorTime measures the processor time of a call on each path
// separately, which depends less on the noise of the machine than latency does.
func (trial *addedTime) measureProcessorTime(ctx context.Context, seed uint64) error {
	for path := range pathCount {
		before := processorTime()
		for round := range addedCostCalls {
			name := target.AttemptName(fmt.Sprintf("cost-%d-%d-%d", seed, round, path))
			if reply := trial.callers[path].Send(ctx, trial.kind, "", name); reply.Result != load.ResultWhole {
				return oops.Errorf("call %s ended with result %s, code %s", name, reply.Result, reply.Code)
			}
		}
		trial.processorTimes[path] = (processorTime() - before) / addedCostCalls
	}
	return nil
}

func (trial *addedTime) record(durations [pathCount]time.Duration) {
	trial.mu.Lock()
	defer trial.mu.Unlock()
	trial.callCount += pathCount
	for path, duration := range durations {
		_ = trial.callTimes[path].RecordValue(duration.Nanoseconds())
		_ = trial.addedTimes[path].RecordValue(max(duration-durations[pathDirect], 0).Nanoseconds())
	}
}

func (trial *addedTime) figures(processorShare float64) []Figure {
	const unit Unit = "ms"
	return []Figure{
		trial.percentileFigure("99", unit, "0.45 at most", trial.addedTimes, tailPercentile),
		trial.percentileFigure("median", unit, "", trial.addedTimes, medianPercentile),
		trial.percentileFigure("whole-call-99", unit, "", trial.callTimes, tailPercentile),
		trial.percentileFigure("whole-call-median", unit, "", trial.callTimes, medianPercentile),
		{
			Name: "processor", Unit: "ms a call", HasNaive: true,
			Value: toMS(trial.processorTimes[pathMagnolia] - trial.processorTimes[pathDirect]),
			Naive: toMS(trial.processorTimes[pathNaive] - trial.processorTimes[pathDirect]),
		},
		{Name: "noise-99", Unit: unit, Value: percentileMS(trial.addedTimes[pathDirectAgain], tailPercentile)},
		{Name: "direct-call-99", Unit: unit, Value: percentileMS(trial.callTimes[pathDirect], tailPercentile)},
		{Name: "direct-call-median", Unit: unit, Value: percentileMS(trial.callTimes[pathDirect], medianPercentile)},
		{Name: "load", Unit: "% of the machine", Target: "under 33", Value: toPercent(processorShare)},
	}
}

func (trial *addedTime) percentileFigure(name FigureName, unit Unit, target Target, histograms [pathCount]*hdrhistogram.Histogram, percentile float64) Figure {
	return Figure{
		Name: name, Unit: unit, Target: target, HasNaive: true,
		Value: percentileMS(histograms[pathMagnolia], percentile),
		Naive: percentileMS(histograms[pathNaive], percentile),
	}
}

func percentileMS(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return toMS(time.Duration(histogram.ValueAtQuantile(percentile)))
}

func toMS(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
