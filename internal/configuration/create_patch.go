package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// CreatePatch creates an RFC 6902 patch that changes the fields of one text of JSON
// with comments into those of another. An operator uses it after editing a copy of
// a version, or to go back to an earlier one. A list that differs is replaced as a
// whole. Equal fields are an error.
func CreatePatch(before, after []byte) ([]byte, error) {
	left, err := hujson.Parse(bytes.Clone(before))
	if err != nil {
		return nil, fmt.Errorf("parse the earlier text: %w", err)
	}
	right, err := hujson.Parse(bytes.Clone(after))
	if err != nil {
		return nil, fmt.Errorf("parse the later text: %w", err)
	}
	left.Minimize()
	right.Minimize()
	operations := diffToOperations("", left, right)
	if len(operations) == 0 {
		return nil, fmt.Errorf("the two texts have the same fields; no patch is needed")
	}
	return json.MarshalIndent(operations, "", "  ")
}

// patchOperation is one operation of an RFC 6902 patch.
type patchOperation struct {
	Name  string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

func diffToOperations(path string, before, after hujson.Value) []patchOperation {
	left, leftIsObject := before.Value.(*hujson.Object)
	right, rightIsObject := after.Value.(*hujson.Object)
	if !leftIsObject || !rightIsObject {
		if before.String() == after.String() {
			return nil
		}
		return []patchOperation{{Name: "replace", Path: path, Value: after.Pack()}}
	}
	oldValues, newValues := memberValues(left), memberValues(right)
	var operations []patchOperation
	for _, name := range sortedKeys(oldValues) {
		memberPath := path + "/" + escapePointer(name)
		value, inAfter := newValues[name]
		if !inAfter {
			operations = append(operations, patchOperation{Name: "remove", Path: memberPath})
			continue
		}
		operations = append(operations, diffToOperations(memberPath, oldValues[name], value)...)
	}
	for _, name := range sortedKeys(newValues) {
		if _, inBefore := oldValues[name]; !inBefore {
			value := newValues[name]
			operations = append(operations, patchOperation{Name: "add", Path: path + "/" + escapePointer(name), Value: value.Pack()})
		}
	}
	return operations
}

// escapePointer escapes a name for use in a JSON pointer, RFC 6901.
func escapePointer(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
