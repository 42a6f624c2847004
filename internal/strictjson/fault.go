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
func (fault Fault) String() string {
	text := ""
	if fault.Line > 0 {
		text = fmt.Sprintf("line %d: ", fault.Line)
	}
	if fault.Field != "" {
		text += fault.Field + ": "
	}
	text += fault.Problem
	if fault.Advice != "" {
		text += "; " + fault.Advice
	}
	return text
}

// Faults lists everything that is wrong with a document, in the order of its
// lines.
type Faults []Fault

// Error writes one fault on each line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err gives the faults in the order of their lines as an error, or nil if
// there are none.
func (faults Faults) Err() error {
	if len(faults) == 0 {
		return nil
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return faults
}
