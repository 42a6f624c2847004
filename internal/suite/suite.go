// Package suite starts the behavioural and property tests of this module with
// fixed seeds, so that every run gives the same verdict.
//
// # Usage
//
//	func TestAdmission(t *testing.T) { suite.Run(t, "admission") }
//
//	func TestNeverOverspends(t *testing.T) {
//		suite.Check(t, 200, func(r *rapid.T) { ... })
//	}
//
// A longer search sets MAGNOLIAWALL_SEED to another number.
package suite

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	seedVariable = "MAGNOLIAWALL_SEED"
	defaultSeed  = 20261203
)

// Seed is the seed of every random test: MAGNOLIAWALL_SEED, or a fixed number.
func Seed() int64 {
	text, ok := os.LookupEnv(seedVariable)
	if !ok {
		return defaultSeed
	}
	seed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return defaultSeed
	}
	return seed
}

// Run runs the package's ginkgo specs in a fixed order.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suiteConfig, reporterConfig := ginkgo.GinkgoConfiguration()
	suiteConfig.RandomSeed = Seed()
	ginkgo.RunSpecs(t, name, suiteConfig, reporterConfig)
}

// Check runs a rapid property a fixed number of times from the fixed seed.
func Check(t *testing.T, times int, property func(*rapid.T)) {
	t.Helper()
	set(t, "rapid.seed", strconv.FormatInt(Seed(), 10))
	set(t, "rapid.checks", strconv.Itoa(times))
	set(t, "rapid.nofailfile", "true")
	rapid.Check(t, property)
}

func set(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("set %s: %v", name, err)
	}
}
