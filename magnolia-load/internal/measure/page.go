package measure

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"
)

const (
	fileMode   = 0o644
	folderMode = 0o755
)

// Write writes the report's page and files to a folder, which it creates if
// needed.
func (report *Report) Write(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return oops.Wrapf(err, "creating the folder of the measurements")
	}
	files := map[string][]byte{report.Name + ".md": report.page()}
	for name, content := range report.Files {
		files[name] = content
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), content, fileMode); err != nil {
			return oops.Wrapf(err, "writing the measurement")
		}
	}
	return nil
}

func (report *Report) page() []byte {
	var page bytes.Buffer
	fmt.Fprintf(&page, "# %s\n\n%s\n\n", report.Name, report.About)
	fmt.Fprintf(&page, "Command: `script/measure %s --seed %d --runs %d --write`\n\n", report.Name, report.Seed, report.Runs)
	fmt.Fprintf(&page, "Seeds %d to %d, one for each run; the naive version gets the same load and seed. ", report.Seed, report.Seed+uint64(report.Runs)-1)
	fmt.Fprintf(&page, "All runs took %s.\n\n", report.Duration.Round(time.Second))
	page.WriteString("| figure | unit | target | median | lowest | highest | naive median | naive lowest | naive highest |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, series := range report.Figures {
		fmt.Fprintf(&page, "| %s | %s | %s | %s | %s |\n", series.Name, series.Unit, series.Target, tableCells(series.Values), tableCells(series.Naive))
	}
	for name := range report.Files {
		fmt.Fprintf(&page, "\n![%s](%s)\n", name, name)
	}
	return page.Bytes()
}

func tableCells(values []float64) string {
	if len(values) == 0 {
		return "- | - | -"
	}
	lowest, highest := Range(values)
	return fmt.Sprintf("%s | %s | %s", formatNumber(Median(values)), formatNumber(lowest), formatNumber(highest))
}
