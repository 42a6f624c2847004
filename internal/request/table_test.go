package request_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// TestDocumentedCodes compares the table in the docs with the one in the code.
func TestDocumentedCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	seen := map[request.Code]bool{}
	for _, row := range request.Rows {
		g.Expect(seen[row.Code]).To(gomega.BeFalse(), "code %d stands twice", row.Code)
		seen[row.Code] = true
		line := fmt.Sprintf("| %d | %s | %d | %s | %s | %s | %s |\n",
			row.Code, row.Name, row.Status, row.Outcome, yes(row.Elsewhere), wait(row), row.Meaning)
		g.Expect(string(page)).To(gomega.ContainSubstring(line))
	}
	documented := regexp.MustCompile(`(?m)^\| \d{4} `).FindAll(page, -1)
	g.Expect(documented).To(gomega.HaveLen(len(request.Rows)))
}

func yes(flag bool) string {
	if flag {
		return "yes"
	}
	return "no"
}

func wait(row request.Row) string {
	if !row.Later {
		return "no"
	}
	return fmt.Sprintf("after %s", row.RetryAfter)
}
