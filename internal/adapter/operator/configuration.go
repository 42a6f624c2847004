package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

const (
	maxVersionsSinceBase = 20
	defaultListRows      = 50
	maxListRows          = 1000
)

var patchStates = map[ledger.PatchState]string{
	ledger.PatchAccepted:     PatchAccepted,
	ledger.PatchStale:        PatchStale,
	ledger.PatchFaulty:       PatchFaulty,
	ledger.PatchOtherContent: PatchOtherContent,
	ledger.PatchForgotten:    PatchForgotten,
}

// createPatch proposes a patch and returns its outcome. A patch that is sent
// again with the same id gets the outcome of the first one.
func (service *Service) createPatch(ctx context.Context, patch Patch) (PatchOutcome, error) {
	var base ledger.BaseVersion
	err := service.Ledger.Read(ctx, func(machine *ledger.Machine) { base = machine.BaseVersion() })
	if err != nil {
		return PatchOutcome{}, err
	}
	command, err := base.Prepare(ledger.Submission{
		ID:         ledger.PatchID(patch.ID),
		Base:       patch.Base,
		Operator:   patch.Operator,
		Note:       patch.Note,
		Operations: patch.Operations,
		Text:       []byte(patch.Text),
		At:         service.Now(),
	})
	if err != nil {
		return PatchOutcome{}, badRequest{err.Error()}
	}
	result, err := service.Ledger.Propose(ctx, command)
	if err != nil {
		return PatchOutcome{}, err
	}
	outcome, err := ledger.DecodePatch(result)
	if err != nil {
		return PatchOutcome{}, err
	}
	return service.describeOutcome(ctx, outcome)
}

// describeOutcome adds to the outcome of a stale patch the versions accepted
// since its base.
func (service *Service) describeOutcome(ctx context.Context, outcome ledger.PatchOutcome) (PatchOutcome, error) {
	described := patchOutcome(outcome)
	if outcome.State != ledger.PatchStale {
		return described, nil
	}
	err := service.Ledger.Peek(ctx, func(machine *ledger.Machine) {
		described.Since = versionChanges(machine.VersionChanges(outcome.Base, outcome.Version, maxVersionsSinceBase))
	})
	return described, err
}

func patchOutcome(outcome ledger.PatchOutcome) PatchOutcome {
	return PatchOutcome{
		ID:      string(outcome.ID),
		State:   patchStates[outcome.State],
		Version: outcome.Version,
		Base:    outcome.Base,
		Faults:  outcome.Faults,
	}
}

func (service *Service) viewPatch(ctx context.Context, query PatchQuery) (PatchOutcome, error) {
	var outcome ledger.PatchOutcome
	found := false
	err := service.Ledger.Read(ctx, func(machine *ledger.Machine) {
		outcome, found = machine.PatchOutcome(ledger.PatchID(query.ID))
	})
	if err != nil {
		return PatchOutcome{}, err
	}
	if !found {
		return PatchOutcome{}, notFound{"no patch " + query.ID + " was decided; it is safe to send it again with the same id"}
	}
	return service.describeOutcome(ctx, outcome)
}

func (service *Service) listPatches(ctx context.Context, query ListQuery) (PatchList, error) {
	list := PatchList{Patches: []PatchOutcome{}}
	err := service.Ledger.Read(ctx, func(machine *ledger.Machine) {
		for _, outcome := range machine.PatchOutcomes(rowLimit(query.Limit)) {
			list.Patches = append(list.Patches, patchOutcome(outcome))
		}
	})
	return list, err
}

// rowLimit returns the number of rows to list for a requested number.
func rowLimit(requested int) int {
	if requested <= 0 {
		return defaultListRows
	}
	return min(requested, maxListRows)
}

func (service *Service) viewConfiguration(ctx context.Context, query VersionQuery) (Configuration, error) {
	answer := Configuration{}
	var missing error
	err := service.Ledger.Read(ctx, func(machine *ledger.Machine) {
		number, _ := machine.CurrentVersion()
		if query.Version != 0 {
			number = query.Version
		}
		text, stored := machine.VersionText(number)
		if !stored {
			missing = missingText(machine, number)
			return
		}
		answer = Configuration{VersionRow: versionRow(machine.Versions(number-1, number)[0]), Text: string(text)}
	})
	if err := cmp.Or(err, missing); err != nil {
		return answer, err
	}
	shown, err := configuration.HideKeys([]byte(answer.Text))
	answer.Text = string(shown)
	return answer, err
}

// missingText returns the error of a request for the text of a version that is not stored.
func missingText(machine *ledger.Machine, number configuration.Version) error {
	current, _ := machine.CurrentVersion()
	switch {
	case current == 0:
		return notFound{"there is no configuration yet; send the first one"}
	case number == 0 || number > current:
		return notFound{fmt.Sprintf("version %d does not exist, the latest is %d; check the list of versions", number, current)}
	}
	return notFound{fmt.Sprintf("the text of version %d is no longer stored, only those of versions %d to %d; use your own copy of it, and compare its SHA-256 with the digest in the list of versions", number, machine.OldestText(), current)}
}

func (service *Service) checkConfiguration(_ context.Context, query Configuration) (PatchOutcome, error) {
	_, err := configuration.Parse([]byte(query.Text))
	faults := configuration.Faults{}
	if err == nil {
		return PatchOutcome{State: PatchAccepted}, nil
	}
	answer := PatchOutcome{State: PatchFaulty}
	if !errors.As(err, &faults) {
		answer.Faults = []string{err.Error()}
		return answer, nil
	}
	for _, fault := range faults {
		answer.Faults = append(answer.Faults, fault.String())
	}
	return answer, nil
}

func versionRow(record ledger.VersionRecord) VersionRow {
	return VersionRow{
		Version:  record.Number,
		Operator: record.Operator,
		Note:     record.Note,
		At:       record.At,
		PatchID:  string(record.PatchID),
		Digest:   record.Digest,
	}
}

func (service *Service) listVersions(ctx context.Context, query VersionRange) (Versions, error) {
	list := Versions{Versions: []VersionRow{}}
	err := service.Ledger.Read(ctx, func(machine *ledger.Machine) {
		current, _ := machine.CurrentVersion()
		upTo := query.UpTo
		if upTo == 0 || upTo > current {
			upTo = current
		}
		records := machine.Versions(query.After, upTo)
		records = records[max(0, len(records)-rowLimit(query.Limit)):]
		for _, record := range records {
			list.Versions = append(list.Versions, versionRow(record))
		}
	})
	return list, err
}

func (service *Service) diffVersions(ctx context.Context, query DifferenceQuery) (Difference, error) {
	answer := Difference{From: query.From, To: query.To, Changes: []Change{}}
	var before, after []byte
	var missing error
	err := service.Ledger.Read(ctx, func(machine *ledger.Machine) {
		if query.To == 0 {
			answer.To, _ = machine.CurrentVersion()
		}
		var stored bool
		if before, stored = machine.VersionText(query.From); !stored {
			missing = missingText(machine, query.From)
			return
		}
		if after, stored = machine.VersionText(answer.To); !stored {
			missing = missingText(machine, answer.To)
		}
	})
	if err := cmp.Or(err, missing); err != nil {
		return answer, err
	}
	changes, err := configuration.Diff(before, after)
	answer.Changes = changeRows(changes)
	return answer, err
}

func changeRows(changes []configuration.Change) []Change {
	rows := make([]Change, 0, len(changes))
	for _, change := range changes {
		rows = append(rows, Change{Field: change.Field, Text: change.String()})
	}
	return rows
}

func versionChanges(changes []ledger.VersionChange) []VersionChange {
	rows := make([]VersionChange, 0, len(changes))
	for _, change := range changes {
		rows = append(rows, VersionChange{VersionRow: versionRow(change.VersionRecord), Unknown: !change.TextsStored, Changes: changeRows(change.Changes)})
	}
	return rows
}
