// Package soak runs real processes of magnoliad under seeded faults and checks
// what callers, targets and operators were promised, by what these see alone.
//
// One seed gives one plan of faults. The processes, their targets and the load
// are those of the mesh and load packages. Only processes that the soak started
// are ended, by their ids.
//
// # Usage
//
//	run := &soak.Run{Program: "bin/magnoliad", Seed: 7, Trouble: 20 * time.Second, Hosts: 12}
//	report, err := run.Play(ctx)
//	for _, promise := range report.Broken { ... }
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds.
const (
	// Kill ends a process at once; it starts again after the fault's time.
	Kill Kind = "kill"
	// Stop is a planned stop, followed by a start.
	Stop Kind = "stop"
	// Freeze stops a process from running for the fault's time.
	Freeze Kind = "freeze"
	// Reload tells a process that its settings may have changed.
	Reload Kind = "reload"
	// LoseDisk kills a replica and starts it again with an empty data folder.
	LoseDisk Kind = "lose-disk"
	// KillAll kills all processes at once, and starts them again.
	KillAll Kind = "kill-all"
	// CutTo holds back what other processes send to one, CutFrom what they get of it
	// over the connections that they opened, Silence both.
	CutTo   Kind = "cut-to"
	CutFrom Kind = "cut-from"
	Silence Kind = "silence"
	// Slow delays what passes between the others and a process.
	Slow Kind = "slow-link"
	// Reset breaks the connections to a process, HalfClose ends one half of them.
	Reset     Kind = "reset"
	HalfClose Kind = "half-close"
)

// What a plan holds.
const (
	// faultInterval is the mean time between two faults; with the times that they
	// last, several overlap.
	faultInterval = 1500 * time.Millisecond
	shortest      = 100 * time.Millisecond
	longest       = 4 * time.Second
	// recoveryTime is how long the site may take to serve again after the last
	// fault, the users' recovery-s, and calmTime how long it is then asked to.
	recoveryTime = 15 * time.Second
	calmTime     = 5 * time.Second
)

// Fault is one fault of a plan. Host is the number of the process, or of the
// replica for a lost disk.
type Fault struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	Host int           `json:"host"`
	For  time.Duration `json:"for"`
}

// String describes the fault in one line.
func (fault Fault) String() string {
	return fmt.Sprintf("%6.2fs %-9s host %d for %.2fs", fault.At.Seconds(), fault.Kind, fault.Host, fault.For.Seconds())
}

// NewPlan gives the faults of a seed, in the order of their times. All are over
// at the end.
func NewPlan(seed uint64, end time.Duration, hosts, replicas int) []Fault {
	random := rand.New(rand.NewPCG(seed, 17))
	var plan []Fault
	// A group outlasts the loss of less than half of its disks at once; how soon
	// one is made up for hangs on the other faults, so no more go in all.
	disks := (replicas - 1) / 2
	for at := shortest; at < end; at += time.Duration((0.2 + 1.6*random.Float64()) * float64(faultInterval)) {
		fault := Fault{At: at, Kind: drawKind(random), Host: random.IntN(hosts), For: shortest + time.Duration(random.Int64N(int64(longest-shortest)))}
		if fault.Kind == LoseDisk && disks == 0 {
			fault.Kind = Kill
		}
		if fault.Kind == LoseDisk {
			fault.Host = random.IntN(replicas)
			disks--
		}
		fault.For = min(fault.For, end-at)
		plan = append(plan, fault)
	}
	slices.SortStableFunc(plan, func(one, other Fault) int { return cmp.Compare(one.At, other.At) })
	return plan
}

// weights are the odds of the kinds, in parts of their sum.
var weights = []struct {
	kind  Kind
	parts int
}{{Kill, 6}, {Stop, 6}, {Freeze, 5}, {Reload, 3}, {LoseDisk, 2}, {KillAll, 1}, {CutTo, 2}, {CutFrom, 2}, {Silence, 3}, {Slow, 2}, {Reset, 2}, {HalfClose, 1}}

func drawKind(random *rand.Rand) Kind {
	sum := 0
	for _, weight := range weights {
		sum += weight.parts
	}
	drawn := random.IntN(sum)
	for _, weight := range weights {
		if drawn < weight.parts {
			return weight.kind
		}
		drawn -= weight.parts
	}
	return Kill
}
