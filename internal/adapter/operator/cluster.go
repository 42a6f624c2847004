package operator

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

func (service *Service) listTargets(ctx context.Context, _ Done) (Targets, error) {
	rows, err := service.Directory.Targets(ctx)
	return Targets{Targets: rows}, err
}

func (service *Service) drainTarget(ctx context.Context, query NodeQuery) (Done, error) {
	if err := service.Directory.Drain(ctx, query); err != nil {
		return Done{}, notFound{err.Error()}
	}
	return Done{Done: true}, nil
}

// viewStatus answers even without a quorum, then from the state of this replica
// alone.
func (service *Service) viewStatus(ctx context.Context, _ Done) (Status, error) {
	status := Status{}
	readState := func(machine *ledger.Machine) { status.setLedgerState(machine) }
	readCtx, cancel := context.WithTimeout(ctx, statusReadTimeout)
	defer cancel()
	status.Quorum = service.Ledger.Read(readCtx, readState) == nil
	if !status.Quorum {
		if err := service.Ledger.Peek(ctx, readState); err != nil {
			return status, err
		}
	}
	replicas, err := service.Replicas.Replicas(ctx)
	if err != nil {
		return status, err
	}
	status.Leader = replicas.Leader
	status.Replicas = len(replicas.Replicas)
	for _, row := range replicas.Replicas {
		if row.Reached {
			status.Reached++
		}
	}
	status.Domains, err = service.Directory.Domains(ctx, status.Version)
	return status, err
}

func (status *Status) setLedgerState(machine *ledger.Machine) {
	status.Version, _ = machine.CurrentVersion()
	status.Actions = 0
	for _, action := range machine.OpenClaims() {
		if action.InDoubt {
			status.Actions++
		}
	}
}

func (service *Service) listReplicas(ctx context.Context, _ Done) (Replicas, error) {
	return service.Replicas.Replicas(ctx)
}

func (service *Service) replaceReplica(ctx context.Context, replacement Replacement) (Done, error) {
	if replacement.Lost == "" || replacement.Address == "" {
		return Done{}, badRequest{"give the id of the lost replica and the address of the new one"}
	}
	if err := service.Replicas.ReplaceReplica(ctx, replacement); err != nil {
		return Done{}, badRequest{err.Error()}
	}
	return Done{Done: true}, nil
}
