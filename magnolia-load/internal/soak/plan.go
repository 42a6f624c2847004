// Package soak runs processes of magnoliad under seeded faults and checks the
// promises made to callers, targets and operators, using only what these observe.
//
// A seed determines the plan of faults. The processes, their targets and the load
// come from the mesh and load packages. A run kills only processes that it started,
// by their process ids. Each [Run] is executed once, by one goroutine.
//
// # Usage
//
//	run := &soak.Run{Program: "bin/magnoliad", Seed: 7, FaultDuration: 20 * time.Second, MaxHosts: 12, Folder: folder}
//	report, err := run.Execute(ctx)
//	for _, promise := range report.BrokenPromises { ... }
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a kind of fault in plans and reports.
type FaultKind string

// The kinds of faults.
const (
	// FaultKill kills a process, and starts it again after the fault's duration.
	FaultKill FaultKind = "kill"
	// FaultStop stops a process with SIGTERM, and starts it again after the fault's
	// duration.
	FaultStop FaultKind = "stop"
	// FaultFreeze pauses a process with SIGSTOP for the fault's duration.
	FaultFreeze FaultKind = "freeze"
	// FaultReload sends SIGHUP, which makes a process read its settings again.
	FaultReload FaultKind = "reload"
	// FaultLoseDisk kills a replica, and starts it again with an empty data folder.
	FaultLoseDisk FaultKind = "lose-disk"
	// FaultKillAll kills all processes at once, and starts them again.
	FaultKillAll FaultKind = "kill-all"
	// FaultCutTo holds back data that other processes send to one, FaultCutFrom data
	// that it sends to them over connections that they opened, FaultSilence both.
	FaultCutTo   FaultKind = "cut-to"
	FaultCutFrom FaultKind = "cut-from"
	FaultSilence FaultKind = "silence"
	// FaultSlowLink delays data between a process and the others.
	FaultSlowLink FaultKind = "slow-link"
	// FaultReset resets the connections to a process, FaultHalfClose closes them for
	// writing towards it.
	FaultReset     FaultKind = "reset"
	FaultHalfClose FaultKind = "half-close"
	// FaultStopAgain is FaultStop with SIGTERM, SIGHUP and SIGTERM during the stop.
	FaultStopAgain FaultKind = "stop-again"
	// FaultLimit makes the target of a host state a rate limit in its answers.
	FaultLimit FaultKind = "limit"
	// FaultLoseDisks is FaultLoseDisk of several replicas at once, right after a change
	// was acknowledged. FaultLoseDisksKillAll kills all other processes at that moment.
	FaultLoseDisks        FaultKind = "lose-disks"
	FaultLoseDisksKillAll FaultKind = "lose-disks-kill-all"
	// FaultSplit holds back all data between the failure domains of some replicas and the
	// others.
	FaultSplit FaultKind = "split"
)

// Parameters of plans and of the time after the last fault.
const (
	// meanFaultInterval is the mean time between two faults. Faults last longer than
	// that on average, so that several overlap.
	meanFaultInterval = 1500 * time.Millisecond
	minFaultDuration  = 100 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	// meanLimitInterval is the mean time between two rate limits, which last long enough
	// for several windows of arrivals.
	meanLimitInterval = 4 * time.Second
	minLimitDuration  = 6 * time.Second
	// meanStopAgainInterval is the mean time between two stops with repeated signals.
	meanStopAgainInterval = 5 * time.Second
	maxLimitDuration      = 14 * time.Second
	// recoveryTimeout is how long the site may take to serve again after the last
	// fault, the users' recovery-s. After it, the requests of checkDuration are
	// checked.
	recoveryTimeout = 15 * time.Second
	checkDuration   = 5 * time.Second
)

// Plan is what a run does to a site.
type Plan struct {
	// Replicas is the number of replicas, each in a failure domain of its own.
	Replicas int `json:"replicas"`
	// Routes is how many kinds each change of the operators sets.
	Routes int `json:"routes,omitempty"`
	// ChangesBefore is how many changes are acknowledged before the load starts.
	ChangesBefore int `json:"changes-before,omitempty"`
	// LinkDelay is the delay of each chunk of data between two processes, of 32 KiB at most.
	LinkDelay time.Duration `json:"link-delay,omitempty"`
	// Links are the links between the places of the processes.
	Links Links `json:"links,omitzero"`
	// Growths add to Routes while the load runs.
	Growths []Growth `json:"growths,omitempty"`
	// ChangeInterval replaces the usual time between two changes of the operators.
	ChangeInterval time.Duration `json:"change-interval,omitempty"`
	// Bursts makes operators send several changes a second at times.
	Bursts bool    `json:"bursts,omitempty"`
	Faults []Fault `json:"faults"`
}

// Links are the links between the places of the processes: one-way latencies, and the rate of
// each direction of a connection in bytes per second. Zero values mean neither.
type Links struct {
	BetweenDomains time.Duration `json:"between-domains"`
	BetweenRegions time.Duration `json:"between-regions"`
	BytesPerSecond int64         `json:"bytes-per-second"`
}

// Growth is how many more kinds each change of the operators sets from a time on, counted from
// the start of the load.
type Growth struct {
	At     time.Duration `json:"at"`
	Routes int           `json:"routes"`
}

// Fault is one fault of a plan. Host is the index of the process. For the losses of
// disks and for FaultSplit it is that among the replicas, and Others holds further
// ones. At is the time since the start of the load.
type Fault struct {
	At       time.Duration `json:"at"`
	Kind     FaultKind     `json:"kind"`
	Host     int           `json:"host"`
	Others   []int         `json:"others,omitempty"`
	Duration time.Duration `json:"for"`
}

// String returns the fault as one line of text.
func (fault Fault) String() string {
	return fmt.Sprintf("%6.2fs %-9s host %d %v for %.2fs", fault.At.Seconds(), fault.Kind, fault.Host, fault.Others, fault.Duration.Seconds())
}

// NewPlan returns the plan of a seed, with the faults in the order of their times. All
// faults are over at the end.
func NewPlan(seed uint64, end time.Duration, hosts int) Plan {
	drawn := drawPairs(seed, end, hosts)
	plan := Plan{Replicas: min(hosts/hostsPerPlace, maxReplicas), Routes: drawn.routes, Bursts: drawn.bursts}
	if len(drawn.faults) == 0 {
		plan.Faults = newFaults(seed, end, hosts, plan.Replicas)
	} else {
		plan.Replicas = pairedReplicas
		hosts -= hosts % pairedReplicas
		plan.Faults = withinTolerance(newFaults(seed, end, hosts, plan.Replicas), drawn.faults, hosts/pairedReplicas)
		plan.Faults = append(plan.Faults, drawn.faults...)
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// newFaults returns the faults of a seed that hosts have independently of each other.
func newFaults(seed uint64, end time.Duration, hosts, replicas int) []Fault {
	random := rand.New(rand.NewPCG(seed, 17))
	var plan []Fault
	// A replica group survives the loss of less than half of its disks. How soon a
	// lost one is replaced depends on the other faults, so the limit applies to the
	// whole plan.
	disksToLose := (replicas - 1) / 2
	for at := minFaultDuration; at < end; at += time.Duration((0.2 + 1.6*random.Float64()) * float64(meanFaultInterval)) {
		fault := Fault{At: at, Kind: randomKind(random), Host: random.IntN(hosts), Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))}
		if fault.Kind == FaultLoseDisk && disksToLose == 0 {
			fault.Kind = FaultKill
		}
		if fault.Kind == FaultLoseDisk {
			fault.Host = random.IntN(replicas)
			disksToLose--
		}
		fault.Duration = min(fault.Duration, end-at)
		plan = append(plan, fault)
	}
	for _, separate := range separateKinds {
		plan = append(plan, separate.faults(seed, end, hosts)...)
	}
	return plan
}

// separateKind is a kind of fault that is drawn apart, so that the other faults of a seed
// stay the same.
type separateKind struct {
	kind FaultKind
	// stream is the second word of the seed of the kind's random numbers.
	stream                   uint64
	meanInterval             time.Duration
	minDuration, maxDuration time.Duration
}

var separateKinds = []separateKind{
	{kind: FaultLimit, stream: 18, meanInterval: meanLimitInterval, minDuration: minLimitDuration, maxDuration: maxLimitDuration},
	{kind: FaultStopAgain, stream: 19, meanInterval: meanStopAgainInterval, minDuration: minFaultDuration, maxDuration: maxFaultDuration},
}

func (separate separateKind) faults(seed uint64, end time.Duration, hosts int) []Fault {
	random := rand.New(rand.NewPCG(seed, separate.stream))
	var faults []Fault
	for at := minFaultDuration; at < end; at += time.Duration((0.2 + 1.6*random.Float64()) * float64(separate.meanInterval)) {
		duration := separate.minDuration + time.Duration(random.Int64N(int64(separate.maxDuration-separate.minDuration)))
		faults = append(faults, Fault{At: at, Kind: separate.kind, Host: random.IntN(hosts), Duration: min(duration, end-at)})
	}
	return faults
}

// kindWeights are the relative frequencies of the kinds.
var kindWeights = []struct {
	kind   FaultKind
	weight int
}{{FaultKill, 6}, {FaultStop, 6}, {FaultFreeze, 5}, {FaultReload, 3}, {FaultLoseDisk, 2}, {FaultKillAll, 1}, {FaultCutTo, 2}, {FaultCutFrom, 2}, {FaultSilence, 3}, {FaultSlowLink, 2}, {FaultReset, 2}, {FaultHalfClose, 1}}

func randomKind(random *rand.Rand) FaultKind {
	sum := 0
	for _, entry := range kindWeights {
		sum += entry.weight
	}
	drawn := random.IntN(sum)
	for _, entry := range kindWeights {
		if drawn < entry.weight {
			return entry.kind
		}
		drawn -= entry.weight
	}
	return FaultKill
}
