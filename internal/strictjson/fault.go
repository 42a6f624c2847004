package strictjson

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Line is the line in the text, counted from one, or zero if unknown.
	Line int
	// Field is the path of the field, such as "services.agenda.slots".
	Field string
	// Problem describes the fault.
	Problem string
	// Advice is a remedy, or empty.
	Advice string
}

// String formats the fault on one line.
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

// Faults lists the faults of a document. [Faults.Err] sorts them by line.
type Faults []Fault

// Error formats the faults, one on each line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the faults by line and returns them as an error, or nil if there are
// none.
func (faults Faults) Err() error {
	if len(faults) == 0 {
		return nil
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return faults
}
