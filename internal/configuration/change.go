package configuration

import (
	"fmt"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// CheckChange looks for what a version may not change of the one before. Claims
// on actions are recorded under the name of their kind: under another name, the
// resend of an action that ran would run again.
func CheckChange(before, after *Document) error {
	var faults Faults
	if after.Label != 0 && after.Label <= before.Label {
		faults = append(faults, Fault{
			Field:   "label",
			Problem: fmt.Sprintf("%d is not above %d, the label of the version before", after.Label, before.Label),
			Advice:  "give a higher one",
		})
	}
	for _, service := range sortedNames(before.Services) {
		for _, name := range sortedNames(before.Services[service].Kinds) {
			kind := before.Services[service].Kinds[name]
			if kind.Repeat != onceName {
				continue
			}
			if other, renamed := renamedKind(after.Services[service], name, kind); renamed {
				faults = append(faults, renameFault(service, name, other))
			}
		}
	}
	return faults.Err()
}

// renamedKind gives the kind that would take the requests of another one.
func renamedKind(service Service, name string, kind Kind) (string, bool) {
	for _, other := range sortedNames(service.Kinds) {
		candidate := service.Kinds[other]
		if other != name && candidate.Method == kind.Method && patternsOverlap(candidate.Path, kind.Path) {
			return other, true
		}
	}
	return "", false
}

func renameFault(service request.ServiceName, name, other string) Fault {
	return Fault{
		Field:   fmt.Sprintf("services.%s.kinds.%s", service, other),
		Problem: fmt.Sprintf("takes the requests of the once kind %q under another name, and resends would run again", name),
		Advice:  fmt.Sprintf("keep the name %q, or another method or path", name),
	}
}
