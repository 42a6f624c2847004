package configuration_test

import (
	"testing"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

const smallDocument = `{
	"importances": ["low"], // one
	"services": {"a": {"slots": 1, "connections": 1, "calls": [], "kinds": {
		"r": {"method": "GET", "path": "/{x}", "importance": "low", "repeat": "repeatable", "deadline": "1s"}}}},
}`

// FuzzParse looks for texts that make the decoder, the checks or the matcher panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallDocument), "/7")
	f.Add([]byte(`{"services": {"a": {"kinds": {"r": null}}}}`), "/")
	f.Add([]byte(`[]`), "")
	f.Fuzz(func(_ *testing.T, text []byte, path string) {
		document, err := configuration.Parse(text)
		if err != nil {
			return
		}
		matcher := configuration.Compile(document)
		for name := range document.Services {
			matcher.Match(name, "GET", path)
		}
	})
}

// FuzzPatch looks for patches that cause a panic, or whose result is not JSON.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`[{"op": "add", "path": "/services/a/calls/-", "value": "b"}]`))
	f.Add([]byte(`[{"op": "move", "from": "/services/a", "path": "/services/b"}, {"op": "copy", "from": "/claims", "path": ""}]`))
	f.Add([]byte(`[{"op": 7, "path": null}]`))
	f.Fuzz(func(t *testing.T, operations []byte) {
		text, err := configuration.Patch([]byte(smallDocument), operations)
		if err != nil {
			if _, ok := configuration.AsPatchError(err); !ok {
				t.Fatalf("the error is not a PatchError: %v", err)
			}
			return
		}
		if _, err := configuration.Diff([]byte(smallDocument), text); err != nil {
			t.Fatalf("parse the patched text: %v\n%s", err, text)
		}
	})
}
