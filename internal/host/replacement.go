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

// newestConfiguration is the newest accepted configuration, from a quorum read.
type newestConfiguration struct {
	base         ledger.BaseVersion
	document     *configuration.Document
	patchOutcome ledger.PatchOutcome
	patchDecided bool
}

// Replace implements [port.ConfigurationStore].
func (plane *controlPlane) Replace(ctx context.Context, replacement port.Replacement) (port.ReplaceOutcome, error) {
	found, err := plane.readNewest(ctx, ledger.PatchID(replacement.ID))
	if err != nil {
		return port.ReplaceOutcome{}, err
	}
	if found.patchDecided {
		return toReplaceOutcome(found.patchOutcome, found.document.Label), nil
	}
	if replacement.Base != found.document.Label {
		return port.ReplaceOutcome{State: port.Stale, Newest: found.document.Label}, nil
	}
	outcome, err := plane.proposeReplacement(ctx, found.base, replacement)
	if err != nil {
		return port.ReplaceOutcome{}, err
	}
	return toReplaceOutcome(outcome, found.document.Label), nil
}

// Newest implements [port.ConfigurationStore].
func (plane *controlPlane) Newest(ctx context.Context) (*configuration.Document, error) {
	found, err := plane.readNewest(ctx, "")
	if err != nil || found.base.Version == 0 {
		return nil, err
	}
	return found.document, nil
}

// readNewest reads the newest configuration by a quorum, and the outcome of the
// patch with an id, if it was decided.
func (plane *controlPlane) readNewest(ctx context.Context, id ledger.PatchID) (newestConfiguration, error) {
	found := newestConfiguration{document: &configuration.Document{}}
	err := plane.Read(ctx, func(machine *ledger.Machine) {
		found.base = machine.BaseVersion()
		found.patchOutcome, found.patchDecided = machine.PatchOutcome(id)
	})
	if err != nil || found.base.Version == 0 {
		return found, err
	}
	found.document, err = configuration.Parse(found.base.Text)
	if err != nil {
		return found, fmt.Errorf("%w: version %d is invalid: %w", port.ErrUnavailable, found.base.Version, err)
	}
	return found, nil
}

func (plane *controlPlane) proposeReplacement(ctx context.Context, base ledger.BaseVersion, replacement port.Replacement) (ledger.PatchOutcome, error) {
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
	result, err := plane.Propose(ctx, command)
	if err != nil {
		return ledger.PatchOutcome{}, err
	}
	return ledger.DecodePatch(result)
}

func toReplaceOutcome(outcome ledger.PatchOutcome, label configuration.Label) port.ReplaceOutcome {
	result := port.ReplaceOutcome{Newest: label, Faults: outcome.Faults}
	switch outcome.State {
	case ledger.PatchAccepted:
		result.State = port.Replaced
	case ledger.PatchFaulty:
		result.State = port.Faulty
	default:
		result.State = port.Stale
	}
	return result
}

// errTooFewVoters is the error while the group has too few voters to survive the
// configured number of lost disks.
var errTooFewVoters = errors.New("the group has too few voters")

// requireVoters fails until enough replicas vote for commands to be recorded.
func (plane *controlPlane) requireVoters(ctx context.Context) error {
	needed := plane.replica.NeededVoters()
	if needed <= 1 || plane.enoughVoters.Load() {
		return nil
	}
	status, err := plane.replica.Status(ctx)
	if err != nil {
		return err
	}
	if status.CommittedMembership.VoterCount() < needed {
		return fmt.Errorf("%w: %w, %d of %d", port.ErrUnavailable, errTooFewVoters, status.CommittedMembership.VoterCount(), needed)
	}
	// Only the exchange of a lost disk takes the group below the needed number, until its
	// next entry: no fewer disks than before hold what is recorded meanwhile.
	plane.enoughVoters.Store(true)
	return nil
}
