package configuration

import (
	"fmt"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// CheckChange checks the rules between two consecutive versions: the label must
// increase, and a kind whose repeat rule is "once" must keep its name. Claims are
// recorded under the name of the kind, so after a rename the resend of an action
// that ran would run again. The error is of type [Faults].
func CheckChange(before, after *Document) error {
	var faults Faults
	if after.Label != 0 && after.Label <= before.Label {
		faults = append(faults, Fault{
			Field:   "label",
			Problem: fmt.Sprintf("%d is not greater than %d, the label of the previous version", after.Label, before.Label),
			Advice:  "use a greater label",
		})
	}
	for _, service := range sortedKeys(before.Services) {
		index := make(kindIndex)
		for name, kind := range after.Services[service].Kinds {
			index.add(name, kind)
		}
		for _, name := range sortedKeys(before.Services[service].Kinds) {
			kind := before.Services[service].Kinds[name]
			if kind.Repeat != onceRule {
				continue
			}
			if newName, renamed := findRenamedKind(index, name, kind); renamed {
				faults = append(faults, renamedKindFault(service, name, newName))
			}
		}
	}
	return faults.Err()
}

// findRenamedKind returns the name of a kind of the new service that matches
// requests of the given old kind under a different name.
func findRenamedKind(index kindIndex, name string, kind Kind) (string, bool) {
	for _, candidate := range index.overlapping(kind) {
		if candidate != name {
			return candidate, true
		}
	}
	return "", false
}

func renamedKindFault(service request.ServiceName, oldName, newName string) Fault {
	return Fault{
		Field:   fmt.Sprintf("services.%s.kinds.%s", service, newName),
		Problem: fmt.Sprintf("matches the requests of the once kind %q under another name, and resends of its actions would run again", oldName),
		Advice:  fmt.Sprintf("keep the name %q, or use another method or path", oldName),
	}
}
