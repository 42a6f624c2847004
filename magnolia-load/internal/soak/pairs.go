package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxReplicas bounds the replicas of a plan without pairs, and pairedReplicas is their
	// number in one with pairs.
	maxReplicas    = 5
	pairedReplicas = 6
	hostsPerPlace  = 4
	// lossDuration is how long replicas that lost their disks are down.
	lossDuration = time.Second
	// catchUpTimeout is how long a host still counts as lost after its return, the users'
	// catch-up-s.
	catchUpTimeout = 4 * time.Second
	// lossMargin is how long after that the next disks are lost at the earliest.
	lossMargin    = 200 * time.Millisecond
	maxLossDelay  = time.Second
	splitDuration = 4 * time.Second
	// acknowledgementTimeout bounds how long a loss waits for an acknowledged change.
	acknowledgementTimeout = 3 * time.Second
	// maxStopDuration bounds a planned stop of a host without calls that hang.
	maxStopDuration = 6 * time.Second
	minPairsEnd     = 10 * time.Second
	largeRoutes     = 350
	pairsStream     = 37
)

// pairs are a series of losses of as many disks as the group tolerates, and what else is
// drawn with it.
type pairs struct {
	faults []Fault
	routes int
	bursts bool
}

// drawPairs returns the pairs of a seed: none for a short run, a small site and some of
// the seeds.
func drawPairs(seed uint64, end time.Duration, hosts int) pairs {
	random := rand.New(rand.NewPCG(seed, pairsStream))
	if hosts < 2*pairedReplicas || end < minPairsEnd || random.IntN(4) == 0 {
		return pairs{}
	}
	drawn := pairs{bursts: random.IntN(2) == 0}
	if random.IntN(2) == 0 {
		drawn.routes = largeRoutes
	}
	at := time.Second + time.Duration(random.Int64N(int64(2*time.Second)))
	if random.IntN(2) == 0 {
		half := random.Perm(pairedReplicas)[:pairedReplicas/2]
		drawn.faults = append(drawn.faults, Fault{At: at, Kind: FaultSplit, Host: half[0], Others: half[1:], Duration: splitDuration})
		at += splitDuration
	}
	var lost []int
	for at+lossDuration <= end {
		lost = othersThan(lost, random)
		loss := Fault{At: at, Kind: FaultLoseDisks, Host: lost[0], Others: lost[1:], Duration: lossDuration}
		at += lossDuration
		if next := at + catchUpTimeout + lossMargin + lossDuration; (next > end || random.IntN(4) == 0) && random.IntN(2) == 0 {
			loss.Kind = FaultLoseDisksKillAll
		}
		drawn.faults = append(drawn.faults, loss)
		if again, struck := strikeAgain(lost, at, random); struck && again.At+again.Duration <= end {
			again.Host *= hosts / pairedReplicas
			drawn.faults = append(drawn.faults, again)
			at = again.At + again.Duration
		}
		at += catchUpTimeout + lossMargin + time.Duration(random.Int64N(int64(maxLossDelay)))
	}
	return drawn
}

// othersThan draws as many replicas as may be lost at once, which are not among those that
// were lost before them.
func othersThan(before []int, random *rand.Rand) []int {
	others := slices.DeleteFunc(random.Perm(pairedReplicas), func(replica int) bool { return slices.Contains(before, replica) })
	return others[:(pairedReplicas-1)/2]
}

// strikeAgain draws a fault of a replica whose disk was lost, soon after its return. The
// host of the fault is the index among the replicas.
func strikeAgain(lost []int, returned time.Duration, random *rand.Rand) (Fault, bool) {
	kinds := []FaultKind{FaultKill, FaultFreeze, FaultSilence, FaultSlowLink}
	again := Fault{
		At: returned + time.Duration(random.Int64N(int64(time.Second))), Kind: kinds[random.IntN(len(kinds))], Host: lost[random.IntN(len(lost))],
		Duration: minFaultDuration + time.Duration(random.Int64N(int64(time.Second))),
	}
	return again, random.IntN(4) == 0
}

// withinTolerance returns the faults that leave enough replicas beside a series of pairs: a
// host counts as lost from the fault until catchUpTimeout after its return. A kill of all
// processes, which keeps the disks, may come while a pair catches up.
func withinTolerance(faults, paired []Fault, hostsPerReplica int) []Fault {
	return slices.DeleteFunc(faults, func(fault Fault) bool {
		if !fault.makesLost(hostsPerReplica) {
			return false
		}
		return slices.ContainsFunc(paired, func(pair Fault) bool {
			from, to := pair.At, pair.lostUntil()+acknowledgementTimeout
			if fault.Kind == FaultKillAll {
				to = pair.At + acknowledgementTimeout
			}
			return fault.At < to && fault.lostUntil()+lossMargin > from
		})
	})
}

// makesLost reports whether a fault makes a replica unavailable. The replica of a failure
// domain is its first host.
func (fault Fault) makesLost(hostsPerReplica int) bool {
	switch fault.Kind {
	case FaultLoseDisk, FaultKillAll, FaultLoseDisks, FaultLoseDisksKillAll, FaultSplit:
		return true
	case FaultKill, FaultStop, FaultStopAgain, FaultFreeze, FaultCutTo, FaultCutFrom, FaultSilence, FaultSlowLink:
		return fault.Host%hostsPerReplica == 0
	}
	return false
}

// lostUntil is when the hosts of a fault no longer count as lost.
func (fault Fault) lostUntil() time.Duration {
	until := fault.At + fault.Duration + catchUpTimeout
	if fault.Kind == FaultStop || fault.Kind == FaultStopAgain {
		until += maxStopDuration
	}
	return until
}
