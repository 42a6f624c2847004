package strictjson

import (
	"bytes"
	"strings"
)

// Source is a decoded text and the positions of its fields.
type Source struct {
	text    []byte
	offsets map[string]int
}

// Has reports whether the text contains the field.
func (source *Source) Has(field string) bool {
	_, ok := source.offsets[field]
	return ok
}

// Line returns the line of a field, or of the nearest enclosing field that the
// text contains. Lines are counted from one.
func (source *Source) Line(field string) int {
	for {
		if offset, ok := source.offsets[field]; ok {
			return source.lineAt(offset)
		}
		if field == "" {
			return 1
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
}

func (source *Source) lineAt(offset int) int {
	return bytes.Count(source.text[:offset], []byte("\n")) + 1
}

// Fault creates a fault of a field, with its line.
func (source *Source) Fault(field, problem, advice string) Fault {
	return Fault{Line: source.Line(field), Field: field, Problem: problem, Advice: advice}
}
