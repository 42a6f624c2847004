package strictjson

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Line is the line of the text, from one; zero if the fault has no place.
	Line int
	// Field is the path of the field, as in "services.agenda.slots".
	Field string
	// Problem says what is wrong.
	Problem string
	// Advice says what to do about it.
	Advice string
}

// String writes the fault on one line.
func (f Fault) String() string {
	text := ""
	if f.Line > 0 {
		text = fmt.Sprintf("line %d: ", f.Line)
	}
	if f.Field != "" {
		text += f.Field + ": "
	}
	text += f.Problem
	if f.Advice != "" {
		text += "; " + f.Advice
	}
	return text
}

// Faults lists everything that is wrong with a document, in the order of its
// lines.
type Faults []Fault

// Error writes one fault on each line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err gives the faults in the order of their lines as an error, or nil if
// there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line })
	return f
}
