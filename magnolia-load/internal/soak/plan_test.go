package soak

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against faults that outlast the plan, and against plans that lose more
// disks than a replica group survives.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const length = time.Minute
	kinds := map[FaultKind]int{}
	for seed := range uint64(50) {
		alone := slices.DeleteFunc(newFaults(seed, length, 12, 3), func(fault Fault) bool { return fault.Kind != FaultLoseDisk })
		expect(len(alone)).To(gomega.BeNumerically("<=", 1), "three replicas survive the loss of one disk")
		for _, hosts := range []int{8, 12} {
			plan := NewPlan(seed, length, hosts)
			expect(plan).To(gomega.Equal(NewPlan(seed, length, hosts)))
			lost := 0
			for _, fault := range plan.Faults {
				kinds[fault.Kind]++
				expect(fault.At + fault.Duration).To(gomega.BeNumerically("<=", length))
				if fault.Kind == FaultLoseDisk {
					expect(fault.Host).To(gomega.BeNumerically("<", plan.Replicas))
					lost++
				}
			}
			expect(lost).To(gomega.BeNumerically("<=", (plan.Replicas-1)/2), "less than half of the disks may be lost one at a time")
		}
	}
	pairedKinds := []FaultKind{FaultLoseDisks, FaultLoseDisksKillAll, FaultSplit}
	expect(kinds).To(gomega.HaveLen(len(kindWeights)+len(separateKinds)+len(pairedKinds)), "every kind of fault is drawn")
}

// Guards against a plan that loses more replicas than the group tolerates while it loses
// disks, counted from the plan's times: a host is lost until four seconds after its return.
func TestPairsStayWithinTolerance(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	const (
		hosts, hostsPerReplica = 12, 2
		tolerated              = 2
		catchUp                = 4 * time.Second
	)
	pairCount, splitCount, lastKillAll, large, bursts := 0, 0, 0, 0, 0
	for seed := range uint64(200) {
		plan := NewPlan(seed, 20*time.Second, hosts)
		if plan.Replicas != 6 {
			continue
		}
		if plan.Routes > 0 {
			large++
		}
		if plan.Bursts {
			bursts++
		}
		var last Fault
		for _, pair := range plan.Faults {
			if pair.Kind == FaultSplit {
				splitCount++
				expect(pair.Others).To(gomega.HaveLen(2), "half of the replicas are on one side")
			}
			if pair.Kind != FaultLoseDisks && pair.Kind != FaultLoseDisksKillAll {
				continue
			}
			pairCount++
			last = pair
			lost := append([]int{pair.Host}, pair.Others...)
			expect(lost).To(gomega.HaveLen(tolerated))
			for _, other := range plan.Faults {
				if other.At > pair.At || other.At+other.Duration+catchUp <= pair.At {
					continue
				}
				lost = append(lost, lostReplicas(other, hostsPerReplica, plan.Replicas)...)
			}
			for _, other := range plan.Faults {
				if other.At > pair.At && other.At < pair.At+pair.Duration+catchUp && other.Kind != FaultKillAll {
					lost = append(lost, lostReplicas(other, hostsPerReplica, plan.Replicas)...)
				}
			}
			slices.Sort(lost)
			expect(slices.Compact(lost)).To(gomega.HaveLen(tolerated), "seed %d, pair %s", seed, pair)
		}
		if last.Kind == FaultLoseDisksKillAll {
			lastKillAll++
		}
	}
	for _, count := range []int{pairCount, splitCount, lastKillAll, large, bursts} {
		expect(count).To(gomega.BeNumerically(">", 20))
	}
}

// lostReplicas returns the replicas that a fault makes unavailable, beside the kill of all
// that comes with a loss of disks and the split before a pair, which keep the disks.
func lostReplicas(fault Fault, hostsPerReplica, replicas int) []int {
	switch fault.Kind {
	case FaultReload, FaultReset, FaultHalfClose, FaultLimit, FaultSplit:
		return nil
	case FaultKillAll:
		all := make([]int, replicas)
		for replica := range all {
			all[replica] = replica
		}
		return all
	case FaultLoseDisk, FaultLoseDisks, FaultLoseDisksKillAll:
		return append([]int{fault.Host}, fault.Others...)
	}
	if fault.Host%hostsPerReplica != 0 {
		return nil
	}
	return []int{fault.Host / hostsPerReplica}
}

// Guards against plan files with fields that are not read, and faults of replicas that are not
// there.
func TestPlanFilesAreRead(t *testing.T) {
	files, err := filepath.Glob("../../../script/soak-plans/*.json")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(files).NotTo(gomega.BeEmpty())
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			text, err := os.ReadFile(file)
			expect(err).NotTo(gomega.HaveOccurred())
			decoder := json.NewDecoder(bytes.NewReader(text))
			decoder.DisallowUnknownFields()
			plan := Plan{}
			expect(decoder.Decode(&plan)).To(gomega.Succeed())
			expect(plan.Faults).NotTo(gomega.BeEmpty())
			for _, fault := range plan.Faults {
				expect(append(fault.Others, fault.Host)).To(gomega.HaveEach(gomega.BeNumerically("<", plan.Replicas)))
			}
		})
	}
}
