package ledger

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// VersionRecord describes how a version came about.
type VersionRecord struct {
	Number   configuration.Version
	PatchID  PatchID
	Operator string
	Note     string
	// At is the wall-clock time of the submission, in UTC.
	At time.Time
	// Digest is the SHA-256 of the text in hexadecimal.
	Digest string
}

// CurrentVersion returns the number and text of the current configuration, or zero
// and nil before the first version.
func (machine *Machine) CurrentVersion() (configuration.Version, []byte) {
	return configuration.Version(machine.history.currentVersion()), machine.history.currentText
}

// OldestText returns the oldest version whose text is stored, or zero before the first
// version.
func (machine *Machine) OldestText() configuration.Version {
	if len(machine.history.versions) == 0 {
		return 0
	}
	return configuration.Version(machine.history.versions[machine.history.oldestText].GetNumber())
}

// VersionText returns the text of a version, or false if it is not stored, see
// [Machine.OldestText].
func (machine *Machine) VersionText(number configuration.Version) ([]byte, bool) {
	return machine.history.textAt(uint64(number))
}

// TextsAfter returns the texts of the versions after a base, oldest first. It returns nil if
// one of them or that of the base is not stored, or if the changes from one to the next
// insert maxInserted bytes or more in total.
func (machine *Machine) TextsAfter(base configuration.Version, maxInserted int) [][]byte {
	return machine.history.textsAfter(uint64(base), uint64(max(0, maxInserted)))
}

// Versions returns the records in the history with a number above after and at
// most upTo, oldest first.
func (machine *Machine) Versions(after, upTo configuration.Version) []VersionRecord {
	var records []VersionRecord
	for _, version := range machine.history.versions {
		number := configuration.Version(version.GetNumber())
		if number <= after || number > upTo {
			continue
		}
		records = append(records, VersionRecord{
			Number:   number,
			PatchID:  PatchID(version.GetPatchId()),
			Operator: version.GetOperator(),
			Note:     version.GetNote(),
			At:       time.UnixMilli(version.GetUnixMilliseconds()).UTC(),
			Digest:   hexDigest(version.GetTextDigest()),
		})
	}
	return records
}

// VersionChange is a version with its changes from the version before. Changes is
// empty if TextsStored is false.
type VersionChange struct {
	VersionRecord
	// TextsStored reports whether the texts of both versions are stored.
	TextsStored bool
	Changes     []configuration.Change
}

// VersionChanges returns the versions with a number above after and at most upTo,
// each with its changes, oldest first. If there are more than limit, only the
// latest ones are returned. Operators see this list when a patch is refused as stale.
func (machine *Machine) VersionChanges(after, upTo configuration.Version, limit int) []VersionChange {
	records := machine.Versions(after, upTo)
	records = records[max(0, len(records)-limit):]
	changes := make([]VersionChange, 0, len(records))
	for _, record := range records {
		change := VersionChange{VersionRecord: record}
		before, hasBefore := machine.VersionText(record.Number - 1)
		text, hasText := machine.VersionText(record.Number)
		if hasBefore && hasText {
			change.TextsStored = true
			change.Changes, _ = configuration.Diff(before, text)
		}
		changes = append(changes, change)
	}
	return changes
}

// PatchOutcome returns the recorded outcome of a patch, or false if the patch was
// not decided or its outcome is no longer kept. It needs no log entry, since a
// recorded outcome never changes.
func (machine *Machine) PatchOutcome(id PatchID) (PatchOutcome, bool) {
	recorded, ok := machine.history.outcomeByID[string(id)]
	if !ok {
		return PatchOutcome{}, false
	}
	return decodePatchOutcome(recorded), true
}

// PatchOutcomes returns the latest patch outcomes, at most limit of them, oldest
// first.
func (machine *Machine) PatchOutcomes(limit int) []PatchOutcome {
	recorded := machine.history.patchOutcomes[max(0, len(machine.history.patchOutcomes)-limit):]
	outcomes := make([]PatchOutcome, len(recorded))
	for i, patchOutcome := range recorded {
		outcomes[i] = decodePatchOutcome(patchOutcome)
	}
	return outcomes
}
