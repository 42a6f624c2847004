package configuration_test

import (
	"encoding/json"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// TestCreatePatchTransformsBeforeIntoAfter checks with random pairs of objects that
// the patch from one to the other yields the other.
func TestCreatePatchTransformsBeforeIntoAfter(t *testing.T) {
	suite.Check(t, 500, func(r *rapid.T) {
		expect := gomega.NewWithT(t).Expect
		before, after := drawObject(r, 3), drawObject(r, 3)
		operations, err := configuration.CreatePatch(before, after)
		changes, diffErr := configuration.Diff(before, after)
		expect(diffErr).NotTo(gomega.HaveOccurred())
		if len(changes) == 0 {
			expect(err).To(gomega.HaveOccurred())
			return
		}
		expect(err).NotTo(gomega.HaveOccurred())
		patched, err := configuration.Patch(before, operations)
		expect(err).NotTo(gomega.HaveOccurred())
		expect(patched).To(gomega.MatchJSON(after), string(operations))
	})
}

func drawObject(r *rapid.T, depth int) []byte {
	text, err := json.Marshal(drawMembers(r, depth))
	if err != nil {
		r.Fatal(err)
	}
	return text
}

func drawMembers(r *rapid.T, depth int) map[string]any {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c/d", "e~f", "", "0"}), 0, 4, rapid.ID).Draw(r, "names")
	members := make(map[string]any, len(names))
	for _, name := range names {
		if depth > 0 && rapid.Bool().Draw(r, "nested") {
			members[name] = drawMembers(r, depth-1)
			continue
		}
		members[name] = rapid.SampledFrom([]any{1, "x", true, nil, []any{1, 2}, []any{}}).Draw(r, "value")
	}
	return members
}

func TestCreatePatchRevertsPatch(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	before := readExample(t, "ktsra.jsonc")
	after, err := configuration.Patch(before, []byte(`[
		{"op": "replace", "path": "/services/callback-svc/slots", "value": 20},
		{"op": "remove", "path": "/services/quota-svc/kinds/cell"},
	]`))
	expect(err).NotTo(gomega.HaveOccurred())
	revert, err := configuration.CreatePatch(after, before)
	expect(err).NotTo(gomega.HaveOccurred())
	restored, err := configuration.Patch(after, revert)
	expect(err).NotTo(gomega.HaveOccurred())
	changes, err := configuration.Diff(before, restored)
	expect(err).NotTo(gomega.HaveOccurred())
	expect(changes).To(gomega.BeEmpty())
}
