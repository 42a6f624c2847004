package operator

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

func (se *Service) listTargets(ctx context.Context, _ Done) (Targets, error) {
	rows, err := se.Directory.Targets(ctx)
	return Targets{Targets: rows}, err
}

func (se *Service) drainTarget(ctx context.Context, query NodeQuery) (Done, error) {
	if err := se.Directory.Drain(ctx, query); err != nil {
		return Done{}, notFound{err.Error()}
	}
	return Done{Done: true}, nil
}

// viewStatus answers also without a quorum, from what this replica has.
func (se *Service) viewStatus(ctx context.Context, _ Done) (Status, error) {
	status := Status{}
	look := func(machine *ledger.Machine) { status.look(machine) }
	reading, cancel := context.WithTimeout(ctx, statusReadTimeout)
	defer cancel()
	status.Quorum = se.Ledger.Read(reading, look) == nil
	if !status.Quorum {
		if err := se.Ledger.Peek(ctx, look); err != nil {
			return status, err
		}
	}
	replicas, err := se.Replicas.Replicas(ctx)
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
	status.Domains, err = se.Directory.Domains(ctx, status.Version)
	return status, err
}

func (st *Status) look(machine *ledger.Machine) {
	st.Version, _ = machine.Current()
	st.Actions = 0
	for _, open := range machine.Open() {
		if open.InDoubt {
			st.Actions++
		}
	}
}

func (se *Service) listReplicas(ctx context.Context, _ Done) (Replicas, error) {
	return se.Replicas.Replicas(ctx)
}

func (se *Service) replaceReplica(ctx context.Context, asked Replacement) (Done, error) {
	if asked.Lost == "" || asked.Address == "" {
		return Done{}, badRequest{"name the lost replica's id and the new one's address"}
	}
	if err := se.Replicas.ReplaceReplica(ctx, asked); err != nil {
		return Done{}, badRequest{err.Error()}
	}
	return Done{Done: true}, nil
}
