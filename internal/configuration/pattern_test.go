package configuration

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// patternsOverlap compares two patterns segment by segment.
func patternsOverlap(left, right string) bool {
	leftSegments, leftErr := parsePathPattern(left)
	rightSegments, rightErr := parsePathPattern(right)
	if leftErr != nil || rightErr != nil || len(leftSegments) != len(rightSegments) {
		return false
	}
	for i, segment := range leftSegments {
		if !segment.wildcard && !rightSegments[i].wildcard && segment.literal != rightSegments[i].literal {
			return false
		}
	}
	return true
}

// The index finds the same overlaps as a comparison of each pattern with each other one.
func TestIndexFindsAllOverlaps(t *testing.T) {
	suite.Check(t, 300, func(r *rapid.T) {
		expect := gomega.NewWithT(r).Expect
		paths := rapid.SliceOfN(rapid.StringMatching("(/(a|b|\\{id\\})){1,3}|/"), 1, 12).Draw(r, "paths")
		index := &patternIndex{}
		for added, path := range paths {
			pattern, err := parsePathPattern(path)
			expect(err).NotTo(gomega.HaveOccurred())
			var compared []string
			for other := range added {
				if patternsOverlap(path, paths[other]) {
					compared = append(compared, fmt.Sprint(other))
				}
			}
			found := index.overlapping(pattern)
			slices.Sort(found)
			slices.Sort(compared)
			expect(slices.Equal(found, compared)).To(gomega.BeTrue(), "%v of %v: %v, compared %v", path, paths[:added], found, compared)
			index.add(pattern, fmt.Sprint(added))
		}
	})
}
