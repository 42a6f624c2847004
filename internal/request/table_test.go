package request_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	page      = "../../docs/RESULT-CODES.md"
	tableHead = "|---|---|---|---|---|---|---|\n"
)

var update = flag.Bool("update", false, "write the table of the docs again")

// TestDocumentedCodes compares the table in the docs with the one in the code.
// With -update it writes the docs.
func TestDocumentedCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	content, err := os.ReadFile(page)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	before, rest, found := strings.Cut(string(content), tableHead)
	g.Expect(found).To(gomega.BeTrue())
	documented, after, found := strings.Cut(rest, "\n\n")
	g.Expect(found).To(gomega.BeTrue())
	want := strings.Join(lines(), "\n")
	if *update {
		g.Expect(os.WriteFile(page, []byte(before+tableHead+want+"\n\n"+after), 0o600)).To(gomega.Succeed())
		return
	}
	g.Expect(strings.Split(documented, "\n")).To(gomega.Equal(lines()), "run: go test ./internal/request -update")
}

func TestCodesStandOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[request.Code]bool{}
	for _, row := range request.Rows {
		g.Expect(seen[row.Code]).To(gomega.BeFalse(), "code %d stands twice", row.Code)
		seen[row.Code] = true
	}
}

func lines() []string {
	rows := make([]string, 0, len(request.Rows))
	for _, row := range request.Rows {
		rows = append(rows, fmt.Sprintf("| %d | %s | %d | %s | %s | %s | %s |",
			row.Code, row.Name, row.Status, row.Outcome, yes(row.Elsewhere), wait(row), row.Meaning))
	}
	return rows
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
