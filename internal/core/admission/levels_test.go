package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
)

// Two services that call each other must not confirm a level to each other
// forever.
func TestLevelFallsToZeroInCycle(t *testing.T) {
	expect := gomega.NewWithT(t)
	one := &admission.Gate{Slots: 10, Downstream: &admission.Levels{}}
	two := &admission.Gate{Slots: 10, Downstream: &admission.Levels{}}
	one.Downstream.RecordLevel("two", "agenda/checklist", 300, epoch)
	for step := range 20 * 100 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		two.Downstream.RecordLevel("one", "agenda/checklist", one.Level("agenda/checklist", now), now)
		one.Downstream.RecordLevel("two", "agenda/checklist", two.Level("agenda/checklist", now), now)
	}
	expect.Expect(one.Level("agenda/checklist", epoch.Add(20*time.Second))).To(gomega.BeZero())
}

// The levels of a service's targets are averaged; among services the highest
// counts.
func TestLevelsOfTargetsAndServices(t *testing.T) {
	expect := gomega.NewWithT(t)
	levels := &admission.Levels{}
	for step := range 1000 {
		now := epoch.Add(time.Duration(step) * time.Millisecond)
		levels.RecordLevel("consumo", "agenda/checklist", 100, now)
		levels.RecordLevel("consumo", "agenda/checklist", 200, now.Add(500*time.Microsecond))
		levels.RecordLevel("evidencia", "agenda/checklist", 40, now)
	}
	now := epoch.Add(time.Second)
	expect.Expect(levels.OfService("consumo", "agenda/checklist", now)).To(gomega.BeNumerically("~", 150, 10))
	expect.Expect(levels.OfService("evidencia", "agenda/checklist", now)).To(gomega.BeNumerically("~", 40, 1))
	expect.Expect(levels.Highest("agenda/checklist", now)).To(gomega.BeNumerically("~", 150, 10))
	expect.Expect(levels.Highest("agenda/visit", now)).To(gomega.BeZero())
}

// Each hop passes on the age of the level: once the target stops reporting, the
// level falls everywhere at the same time, however many services it passed.
func TestLevelHoldTimeDoesNotGrowWithHops(t *testing.T) {
	expect := gomega.NewWithT(t)
	const hops, hopTime, level = 5, 40 * time.Millisecond, 100
	reported := admission.LevelReport{Level: level}
	now := epoch
	for range hops {
		gate := &admission.Gate{Slots: 1, Downstream: &admission.Levels{}}
		gate.Downstream.RecordReport("next", "agenda/checklist", reported, now)
		now = now.Add(hopTime)
		reported = gate.LevelReport("agenda/checklist", now)
	}
	expect.Expect(reported.Age).To(gomega.Equal(hops * hopTime))
	last := &admission.Levels{}
	last.RecordReport("next", "agenda/checklist", reported, now)
	expect.Expect(last.Highest("agenda/checklist", now)).NotTo(gomega.BeZero())
	expect.Expect(last.Highest("agenda/checklist", epoch.Add(300*time.Millisecond))).To(gomega.BeZero())
}
