package soak

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestOverlappingFaultsEndWithTheLast guards against a fault whose end undoes another one
// at the same host.
func TestOverlappingFaultsEndWithTheLast(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	counts := &overlaps{}
	counts.begin(down, 1, 2)
	counts.begin(down, 1)
	counts.begin(frozen, 1)
	expect(counts.end(down, 1)).To(gomega.BeFalse())
	expect(counts.end(down, 2)).To(gomega.BeTrue())
	expect(counts.end(frozen, 1)).To(gomega.BeTrue())
	expect(counts.end(down, 1)).To(gomega.BeTrue())
}
