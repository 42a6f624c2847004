package configuration

import (
	"bytes"
	"fmt"

	"github.com/tailscale/hujson"
)

// Change is one field that differs between two texts. An absent value is
// empty.
type Change struct {
	Field  string
	Before string
	After  string
}

// String writes the change on one line.
func (change Change) String() string {
	switch {
	case change.Before == "":
		return fmt.Sprintf("%s: added %s", change.Field, change.After)
	case change.After == "":
		return fmt.Sprintf("%s: removed %s", change.Field, change.Before)
	}
	return fmt.Sprintf("%s: %s -> %s", change.Field, change.Before, change.After)
}

// Difference lists the fields that differ between two texts of JSON with
// comments, in the order of their names. Comments and layout do not count.
func Difference(before, after []byte) ([]Change, error) {
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
	return compareValues("", left, right), nil
}

func compareValues(field string, before, after hujson.Value) []Change {
	left, leftIsObject := before.Value.(*hujson.Object)
	right, rightIsObject := after.Value.(*hujson.Object)
	if leftIsObject && rightIsObject {
		return compareObjects(field, left, right)
	}
	change := Change{Field: field, Before: before.String(), After: after.String()}
	if change.Before == change.After {
		return nil
	}
	return []Change{change}
}

func compareObjects(field string, before, after *hujson.Object) []Change {
	left, right := memberValues(before), memberValues(after)
	union := make(map[string]bool, len(left)+len(right))
	for name := range left {
		union[name] = true
	}
	for name := range right {
		union[name] = true
	}
	var changes []Change
	for _, name := range sortedNames(union) {
		path := name
		if field != "" {
			path = field + "." + name
		}
		old, had := left[name]
		young, has := right[name]
		switch {
		case !had:
			changes = append(changes, Change{Field: path, After: young.String()})
		case !has:
			changes = append(changes, Change{Field: path, Before: old.String()})
		default:
			changes = append(changes, compareValues(path, old, young)...)
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
