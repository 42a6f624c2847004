package configuration

import (
	"bytes"
	"fmt"

	"github.com/tailscale/hujson"
)

// Change is one field that differs between two texts. Before is empty for an
// added field, After for a removed one.
type Change struct {
	Field  string
	Before string
	After  string
}

// String formats the change on one line.
func (change Change) String() string {
	switch {
	case change.Before == "":
		return fmt.Sprintf("%s: added %s", change.Field, change.After)
	case change.After == "":
		return fmt.Sprintf("%s: removed %s", change.Field, change.Before)
	}
	return fmt.Sprintf("%s: %s -> %s", change.Field, change.Before, change.After)
}

// Diff lists the fields that differ between two texts of JSON with
// comments, sorted by name. Comments and white space are ignored. The members of
// objects are compared one by one, lists and other values as a whole. Keys of customers are
// replaced as by [HideKeys].
func Diff(before, after []byte) ([]Change, error) {
	left, err := hujson.Parse(bytes.Clone(before))
	if err != nil {
		return nil, fmt.Errorf("parse the earlier text: %w", err)
	}
	right, err := hujson.Parse(bytes.Clone(after))
	if err != nil {
		return nil, fmt.Errorf("parse the later text: %w", err)
	}
	hideKeys(left)
	hideKeys(right)
	left.Minimize()
	right.Minimize()
	return diffValues("", left, right), nil
}

func diffValues(field string, before, after hujson.Value) []Change {
	left, leftIsObject := before.Value.(*hujson.Object)
	right, rightIsObject := after.Value.(*hujson.Object)
	if leftIsObject && rightIsObject {
		return diffObjects(field, left, right)
	}
	change := Change{Field: field, Before: before.String(), After: after.String()}
	if change.Before == change.After {
		return nil
	}
	return []Change{change}
}

func diffObjects(field string, before, after *hujson.Object) []Change {
	left, right := memberValues(before), memberValues(after)
	names := make(map[string]bool, len(left)+len(right))
	for name := range left {
		names[name] = true
	}
	for name := range right {
		names[name] = true
	}
	var changes []Change
	for _, name := range sortedKeys(names) {
		path := name
		if field != "" {
			path = field + "." + name
		}
		oldValue, inBefore := left[name]
		newValue, inAfter := right[name]
		switch {
		case !inBefore:
			changes = append(changes, Change{Field: path, After: newValue.String()})
		case !inAfter:
			changes = append(changes, Change{Field: path, Before: oldValue.String()})
		default:
			changes = append(changes, diffValues(path, oldValue, newValue)...)
		}
	}
	return changes
}

func memberValues(object *hujson.Object) map[string]hujson.Value {
	values := make(map[string]hujson.Value, len(object.Members))
	for _, member := range object.Members {
		values[member.Name.Value.(hujson.Literal).String()] = member.Value
	}
	return values
}
