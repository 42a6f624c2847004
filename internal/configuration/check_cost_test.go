package configuration_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// kindsText returns a configuration with kinds that may run only once and whose paths end with
// a number.
func kindsText(kinds int) []byte {
	var text strings.Builder
	text.WriteString(`{"importances": ["visit"], "services": {"archive": {"slots": 1, "connections": 1, "kinds": {`)
	for number := range kinds {
		fmt.Fprintf(&text, `"record-%d": {"method": "POST", "path": "/records/{id}/%d", "importance": "visit", "repeat": "once", "deadline": "1s", "retries": 1},`, number, number)
	}
	text.WriteString(`}}}}`)
	return []byte(text.String())
}

// Guards against a check of a configuration that compares all kinds with each other, so that a
// version with many is in force late at each node (CONFIG): the cost must grow as the text does.
func TestCostOfChecksGrowsWithText(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	parse := func(kinds int) (document *configuration.Document, allocations float64) {
		text := kindsText(kinds)
		allocations = testing.AllocsPerRun(1, func() {
			var err error
			document, err = configuration.Parse(text)
			expect(err).NotTo(gomega.HaveOccurred())
		})
		return document, allocations
	}
	small, parsedSmall := parse(400)
	large, parsedLarge := parse(800)
	expect(parsedLarge).To(gomega.BeNumerically("<", 2.5*parsedSmall))

	check := func(document *configuration.Document) float64 {
		return testing.AllocsPerRun(1, func() { expect(configuration.CheckChange(document, document)).To(gomega.Succeed()) })
	}
	expect(check(large)).To(gomega.BeNumerically("<", 2.5*check(small)))
}
