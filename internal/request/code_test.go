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
	docsPath    = "../../docs/RESULT-CODES.md"
	tableHeader = "|---|---|---|---|---|---|---|\n"
)

var update = flag.Bool("update", false, "write the table of result codes in the docs")

// The table in the docs must match the one in the code. -update writes the docs.
func TestDocsListAllCodes(t *testing.T) {
	g := gomega.NewWithT(t)
	content, err := os.ReadFile(docsPath)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	before, rest, found := strings.Cut(string(content), tableHeader)
	g.Expect(found).To(gomega.BeTrue())
	documented, after, found := strings.Cut(rest, "\n\n")
	g.Expect(found).To(gomega.BeTrue())
	want := strings.Join(tableLines(), "\n")
	if *update {
		g.Expect(os.WriteFile(docsPath, []byte(before+tableHeader+want+"\n\n"+after), 0o600)).To(gomega.Succeed())
		return
	}
	g.Expect(strings.Split(documented, "\n")).To(gomega.Equal(tableLines()), "run: go test ./internal/request -update")
}

func TestCodesAreUnique(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[request.Code]bool{}
	for _, row := range request.Codes {
		g.Expect(seen[row.Code]).To(gomega.BeFalse(), "code %d appears twice", row.Code)
		seen[row.Code] = true
	}
}

func tableLines() []string {
	rows := make([]string, 0, len(request.Codes))
	for _, row := range request.Codes {
		rows = append(rows, fmt.Sprintf("| %d | %s | %d | %s | %s | %s | %s |",
			row.Code, row.Name, row.Status, row.Outcome, yesOrNo(row.RetryElsewhere), retryText(row), row.Meaning))
	}
	return rows
}

func yesOrNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func retryText(row request.CodeDescription) string {
	if !row.RetryLater {
		return "no"
	}
	return fmt.Sprintf("after %s", row.RetryAfter)
}
