// Package suite runs the ginkgo specs and rapid properties of this module with a
// fixed seed, so that every run has the same result.
//
// # Usage
//
//	func TestAdmission(t *testing.T) { suite.Run(t, "admission") }
//
//	func TestNeverOverspends(t *testing.T) {
//		suite.Check(t, 200, func(r *rapid.T) { ... })
//	}
//
// To test other random inputs, set MAGNOLIAWALL_SEED to another number.
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
	seedEnv     = "MAGNOLIAWALL_SEED"
	defaultSeed = 20261203
)

// Seed returns the seed of all random tests: MAGNOLIAWALL_SEED, or a fixed number if
// it is not set to an integer.
func Seed() int64 {
	text, ok := os.LookupEnv(seedEnv)
	if !ok {
		return defaultSeed
	}
	seed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return defaultSeed
	}
	return seed
}

// Run runs the ginkgo specs of the package in the order that [Seed] determines.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suiteConfig, reporterConfig := ginkgo.GinkgoConfiguration()
	suiteConfig.RandomSeed = Seed()
	ginkgo.RunSpecs(t, name, suiteConfig, reporterConfig)
}

// Check runs a rapid property the given number of times, starting from [Seed].
func Check(t *testing.T, times int, property func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.seed", strconv.FormatInt(Seed(), 10))
	setFlag(t, "rapid.checks", strconv.Itoa(times))
	setFlag(t, "rapid.nofailfile", "true")
	rapid.Check(t, property)
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatalf("set %s: %v", name, err)
	}
}
