package configuration_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// TestParseReportsAllFaults checks that exactly the faults listed at the head of
// each file are reported.
func TestParseReportsAllFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*.jsonc")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(files).NotTo(gomega.BeEmpty())
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			text, err := os.ReadFile(file)
			expect(err).NotTo(gomega.HaveOccurred())
			document, err := configuration.Parse(text)
			expect(document).To(gomega.BeNil())
			var faults configuration.Faults
			expect(errors.As(err, &faults)).To(gomega.BeTrue())
			expected := expectedFaults(string(text))
			expect(faults).To(gomega.HaveLen(len(expected)), err.Error())
			for _, line := range expected {
				expect(err.Error()).To(gomega.ContainSubstring(line))
			}
		})
	}
}

func expectedFaults(text string) []string {
	var expected []string
	for line := range strings.Lines(text) {
		if want, ok := strings.CutPrefix(line, "// want: "); ok {
			expected = append(expected, strings.TrimSpace(want))
		}
	}
	return expected
}

func TestExamplesParseAndAreFormatted(t *testing.T) {
	for _, name := range []string{"gota-justa.jsonc", "ktsra.jsonc"} {
		expect := gomega.NewWithT(t).Expect
		text := readExample(t, name)
		document, err := configuration.Parse(text)
		expect(err).NotTo(gomega.HaveOccurred())
		expect(document.Services).To(gomega.HaveLen(4))
		formatted, err := configuration.Patch(text, []byte(`[{"op": "test", "path": "/retry/allowance-per-root", "value": 3}]`))
		expect(err).NotTo(gomega.HaveOccurred())
		expect(string(formatted)).To(gomega.Equal(string(text)), "the example has the standard layout")
	}
}

func TestPatch(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	text := readExample(t, "gota-justa.jsonc")
	patched, err := configuration.Patch(text, []byte(`[
		{"op": "replace", "path": "/services/consumo/slots", "value": 12},
		{"op": "remove", "path": "/services/agenda/kinds/free-slots"},
		{"op": "add", "path": "/services/agenda/calls/0", "value": "consumo"},
	]`))
	expect(err).NotTo(gomega.HaveOccurred())
	expect(string(patched)).To(gomega.ContainSubstring("// Consumption records"))
	changes, err := configuration.Diff(text, patched)
	expect(err).NotTo(gomega.HaveOccurred())
	var lines []string
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	expect(lines).To(gomega.HaveLen(3))
	expect(lines[0]).To(gomega.ContainSubstring(`services.agenda.calls: ["subsidios"`))
	expect(lines[1]).To(gomega.ContainSubstring(`services.agenda.kinds.free-slots: removed {`))
	expect(lines[2]).To(gomega.Equal("services.consumo.slots: 10 -> 12"))
	_, err = configuration.Parse(patched)
	expect(err).To(gomega.MatchError(gomega.ContainSubstring(`"consumo" is listed twice`)))
}

func TestPatchErrorNamesFailedOperation(t *testing.T) {
	text := readExample(t, "gota-justa.jsonc")
	for patch, want := range map[string]string{
		`[{"op": "test", "path": "/retry/allowance-per-root", "value": 3}, {"op": "remove", "path": "/services/nowhere"}]`: `patch operation 2, remove "/services/nowhere": value not found`,
		`[{"op": "test", "path": "/retry/allowance-per-root", "value": 4}]`:                                                `patch operation 1, test "/retry/allowance-per-root": values differ`,
		`[{"op": "turn", "path": "/retry"}]`:  `patch operation 1, turn "/retry": unknown operation`,
		`[{"op": "add", "path": "/retry/x"}]`: `patch operation 1, add "/retry/x": missing required member "value"`,
		`{"op": "add"}`:                       `is not a list`,
		`[]`:                                  `has no operations`,
		`[{"op": "remove", "path": "retry"}]`: `lacks a forward slash prefix`,
		`[7]`:                                 `patch operation 1`,
	} {
		expect := gomega.NewWithT(t).Expect
		_, err := configuration.Patch(text, []byte(patch))
		expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)), patch)
		_, ok := configuration.AsPatchError(err)
		expect(ok).To(gomega.BeTrue())
	}
}

// Claims are recorded under the name of the kind. After a rename, the resend of an
// action would run again.
func TestCheckChangeRejectsRenamedOnceKind(t *testing.T) {
	text := readExample(t, "gota-justa.jsonc")
	before, err := configuration.Parse(text)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for patch, want := range map[string]string{
		`[{"op": "move", "from": "/services/subsidios/kinds/file", "path": "/services/subsidios/kinds/file-request"}]`: `services.subsidios.kinds.file-request: matches the requests of the once kind "file" under another name`,
		`[{"op": "move", "from": "/services/subsidios/kinds/status", "path": "/services/subsidios/kinds/state"}]`:      "",
		`[{"op": "remove", "path": "/services/subsidios/kinds/withdraw"}]`:                                             "",
		`[{"op": "replace", "path": "/services/subsidios/kinds/file/deadline", "value": "7s"}]`:                        "",
	} {
		expect := gomega.NewWithT(t).Expect
		patched, err := configuration.Patch(text, []byte(patch))
		expect(err).NotTo(gomega.HaveOccurred())
		after, err := configuration.Parse(patched)
		expect(err).NotTo(gomega.HaveOccurred())
		err = configuration.CheckChange(before, after)
		if want == "" {
			expect(err).NotTo(gomega.HaveOccurred(), patch)
			continue
		}
		expect(err).To(gomega.MatchError(gomega.HavePrefix(want)), patch)
	}
}

// hujson formats a document in place. Without a copy, Patch would modify the text
// of the version in force while others read it.
func TestPatchDoesNotModifyInput(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	text := []byte("{\"retry\":   {\n\n\n  \"allowance-per-root\" :3 /* a */ }  }\n\n")
	before := string(text)
	after, err := configuration.Patch(text, []byte(`[{"op":"replace","path":"/retry/allowance-per-root","value":4}]`))
	expect(err).NotTo(gomega.HaveOccurred())
	expect(string(after)).To(gomega.ContainSubstring("4"))
	expect(string(text)).To(gomega.Equal(before))
}
