package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// newest is what a quorum read shows of the configuration.
type newest struct {
	base     ledger.BaseVersion
	document *configuration.Document
	outcome  ledger.PatchOutcome
	decided  bool
}

// Replace gives the configuration a new text, if it builds on the newest.
func (se *seat) Replace(ctx context.Context, replacement port.Replacement) (port.ReplaceOutcome, error) {
	found, err := se.newest(ctx, ledger.PatchID(replacement.ID))
	if err != nil {
		return port.ReplaceOutcome{}, err
	}
	if found.decided {
		return replaceOutcome(found.outcome, found.document.Label), nil
	}
	if replacement.Base != found.document.Label {
		return port.ReplaceOutcome{State: port.Stale, Newest: found.document.Label}, nil
	}
	outcome, err := se.propose(ctx, found.base, replacement)
	if err != nil {
		return port.ReplaceOutcome{}, err
	}
	return replaceOutcome(outcome, found.document.Label), nil
}

// Newest gives the newest accepted configuration.
func (se *seat) Newest(ctx context.Context) (*configuration.Document, error) {
	found, err := se.newest(ctx, "")
	if err != nil || found.base.Version == 0 {
		return nil, err
	}
	return found.document, nil
}

// newest reads the newest configuration by a quorum, and how the patch of an id
// ended, if it did.
func (se *seat) newest(ctx context.Context, id ledger.PatchID) (newest, error) {
	found := newest{document: &configuration.Document{}}
	err := se.Read(ctx, func(machine *ledger.Machine) {
		found.base = machine.BaseVersion()
		found.outcome, found.decided = machine.PatchOutcome(id)
	})
	if err != nil || found.base.Version == 0 {
		return found, err
	}
	found.document, err = configuration.Parse(found.base.Text)
	if err != nil {
		return found, fmt.Errorf("%w: version %d cannot be read: %w", port.ErrUnavailable, found.base.Version, err)
	}
	return found, nil
}

func (se *seat) propose(ctx context.Context, base ledger.BaseVersion, replacement port.Replacement) (ledger.PatchOutcome, error) {
	text, err := json.Marshal(replacement.Document)
	if err != nil {
		return ledger.PatchOutcome{}, err
	}
	command, err := base.Prepare(ledger.Submission{
		ID:       ledger.PatchID(replacement.ID),
		Base:     base.Version,
		Operator: replacement.Operator,
		Note:     fmt.Sprintf("replaced as a whole by %d", replacement.Document.Label),
		Text:     text,
		At:       time.Now(),
	})
	if err != nil {
		return ledger.PatchOutcome{State: ledger.PatchFaulty, Faults: []string{err.Error()}}, nil
	}
	result, err := se.Propose(ctx, command)
	if err != nil {
		return ledger.PatchOutcome{}, err
	}
	return ledger.DecodePatch(result)
}

func replaceOutcome(outcome ledger.PatchOutcome, label configuration.Label) port.ReplaceOutcome {
	told := port.ReplaceOutcome{Newest: label, Faults: outcome.Faults}
	switch outcome.State {
	case ledger.PatchAccepted:
		told.State = port.Replaced
	case ledger.PatchFaulty:
		told.State = port.Faulty
	default:
		told.State = port.Stale
	}
	return told
}

// errTooFewVoters says that the group cannot yet lose as many disks as it has to.
var errTooFewVoters = errors.New("too few replicas vote yet")

// settled tells whether enough replicas vote for anything to be recorded.
func (se *seat) settled(ctx context.Context) error {
	needed := se.replica.NeededVoters()
	if needed <= 1 || se.enough.Load() {
		return nil
	}
	status, err := se.replica.Status(ctx)
	if err != nil {
		return err
	}
	if status.CommittedMembership.VoterCount() < needed {
		return fmt.Errorf("%w: %w, %d of %d", port.ErrUnavailable, errTooFewVoters, status.CommittedMembership.VoterCount(), needed)
	}
	// The group never shrinks below what it needs.
	se.enough.Store(true)
	return nil
}
