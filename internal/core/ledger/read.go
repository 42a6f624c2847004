package ledger

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// VersionRecord says who made a version.
type VersionRecord struct {
	Number   configuration.Version
	PatchID  PatchID
	Operator string
	Note     string
	At       time.Time
	Digest   string
}

// Current gives the number and text of the configuration in force; zero and nil
// before the first.
func (machine *Machine) Current() (configuration.Version, []byte) {
	return configuration.Version(machine.history.current()), machine.history.text
}

// Text gives the text of a version that the history still holds.
func (machine *Machine) Text(number configuration.Version) ([]byte, bool) {
	return machine.history.textAt(uint64(number))
}

// Versions gives the records after one version up to another that the history
// still holds.
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

// VersionChange is a version with what it changed.
type VersionChange struct {
	VersionRecord
	Changes []configuration.Change
}

// Since gives the versions after one version up to another with what each
// changed, as a refusal of a stale patch shows them. Of more than most versions
// the latest ones are given.
func (machine *Machine) Since(after, upTo configuration.Version, most int) []VersionChange {
	records := machine.Versions(after, upTo)
	records = records[max(0, len(records)-most):]
	changes := make([]VersionChange, 0, len(records))
	for _, record := range records {
		change := VersionChange{VersionRecord: record}
		before, hasBefore := machine.Text(record.Number - 1)
		text, hasText := machine.Text(record.Number)
		if hasBefore && hasText {
			change.Changes, _ = configuration.Difference(before, text)
		}
		changes = append(changes, change)
	}
	return changes
}

// Outcome gives how a patch ended, if it was decided and is still kept. It
// needs no log entry, since an outcome never changes.
func (machine *Machine) Outcome(id PatchID) (Outcome, bool) {
	recorded, ok := machine.history.byID[string(id)]
	if !ok {
		return Outcome{}, false
	}
	return outcome(recorded), true
}

// Outcomes gives the latest decided patches, oldest first, at most as many as
// asked.
func (machine *Machine) Outcomes(most int) []Outcome {
	recorded := machine.history.outcomes[max(0, len(machine.history.outcomes)-most):]
	outcomes := make([]Outcome, len(recorded))
	for i, one := range recorded {
		outcomes[i] = outcome(one)
	}
	return outcomes
}
