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

// viewStatus answers also without a quorum, from what this replica has.
func (service *Service) viewStatus(ctx context.Context, _ Done) (Status, error) {
	status := Status{}
	look := func(machine *ledger.Machine) { status.look(machine) }
	reading, cancel := context.WithTimeout(ctx, statusReadTimeout)
	defer cancel()
	status.Quorum = service.Ledger.Read(reading, look) == nil
	if !status.Quorum {
		if err := service.Ledger.Peek(ctx, look); err != nil {
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

func (status *Status) look(machine *ledger.Machine) {
	status.Version, _ = machine.CurrentVersion()
	status.Actions = 0
	for _, open := range machine.OpenClaims() {
		if open.InDoubt {
			status.Actions++
		}
	}
}

func (service *Service) listReplicas(ctx context.Context, _ Done) (Replicas, error) {
	return service.Replicas.Replicas(ctx)
}

func (service *Service) replaceReplica(ctx context.Context, asked Replacement) (Done, error) {
	if asked.Lost == "" || asked.Address == "" {
		return Done{}, badRequest{"name the lost replica's id and the new one's address"}
	}
	if err := service.Replicas.ReplaceReplica(ctx, asked); err != nil {
		return Done{}, badRequest{err.Error()}
	}
	return Done{Done: true}, nil
}
