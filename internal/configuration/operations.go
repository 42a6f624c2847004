package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Operations gives an RFC 6902 patch that turns the fields of one text into
// those of another, as for an operator who edited a copy of a version, or who
// goes back to an earlier one. A list that differs is replaced as a whole.
func Operations(before, after []byte) ([]byte, error) {
	left, err := hujson.Parse(bytes.Clone(before))
	if err != nil {
		return nil, fmt.Errorf("the earlier text cannot be read: %w", err)
	}
	right, err := hujson.Parse(bytes.Clone(after))
	if err != nil {
		return nil, fmt.Errorf("the later text cannot be read: %w", err)
	}
	left.Minimize()
	right.Minimize()
	operations := compareForPatch("", left, right)
	if len(operations) == 0 {
		return nil, fmt.Errorf("the two texts have the same fields; there is nothing to patch")
	}
	return json.MarshalIndent(operations, "", "  ")
}

type patchOperation struct {
	Name  string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

func compareForPatch(path string, before, after hujson.Value) []patchOperation {
	left, leftIsObject := before.Value.(*hujson.Object)
	right, rightIsObject := after.Value.(*hujson.Object)
	if !leftIsObject || !rightIsObject {
		if before.String() == after.String() {
			return nil
		}
		return []patchOperation{{Name: "replace", Path: path, Value: after.Pack()}}
	}
	old, young := memberValues(left), memberValues(right)
	var operations []patchOperation
	for _, name := range sortedNames(old) {
		inner := path + "/" + escapePointer(name)
		value, stays := young[name]
		if !stays {
			operations = append(operations, patchOperation{Name: "remove", Path: inner})
			continue
		}
		operations = append(operations, compareForPatch(inner, old[name], value)...)
	}
	for _, name := range sortedNames(young) {
		if _, had := old[name]; !had {
			value := young[name]
			operations = append(operations, patchOperation{Name: "add", Path: path + "/" + escapePointer(name), Value: value.Pack()})
		}
	}
	return operations
}

func escapePointer(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
