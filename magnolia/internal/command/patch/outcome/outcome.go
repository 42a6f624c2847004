// Package outcome prints the outcome of a patch and maps it to an exit code.
//
// # Usage
//
//	outcome.Print(streams, answer)
//	return outcome.Error(answer) // nil where it was accepted
package outcome

import (
	"errors"
	"fmt"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/internal/terminal"
)

// Print prints the outcome, the faults, and the versions accepted since the base of
// a stale patch.
func Print(streams *terminal.Streams, answer operator.PatchOutcome) {
	streams.Printf("patch %s on version %d: %s, version %d\n", answer.ID, answer.Base, answer.State, answer.Version)
	for _, fault := range answer.Faults {
		streams.Printf("  %s\n", fault)
	}
	for _, version := range answer.Since {
		streams.Printf("  version %d by %s: %s\n", version.Version, version.Operator, version.Note)
		if version.Unknown {
			streams.Printf("    changes are not known: the texts are no longer stored, use your own copies\n")
		}
		for _, change := range version.Changes {
			streams.Printf("    %s\n", change.Text)
		}
	}
}

// Error returns an error with an exit code for a patch that was not accepted, and
// nil for one that was.
func Error(answer operator.PatchOutcome) error {
	switch answer.State {
	case operator.PatchAccepted:
		return nil
	case operator.PatchStale:
		return program.WithCode(program.ExitRefused, fmt.Errorf(
			"the patch is based on version %d, but version %d is in force: look at what changed and send it with --base %d",
			answer.Base, answer.Version, answer.Version))
	case operator.PatchFaulty:
		return program.WithCode(program.ExitUsage, errors.New("the patch has faults: nothing was changed"))
	case operator.PatchOtherContent:
		return errors.New("the patch id belongs to another patch: send this one without --id")
	}
	return fmt.Errorf("the patch is %s: check the list of versions and send the patch against the latest one", answer.State)
}
