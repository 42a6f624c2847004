package operator

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

func (se *Service) listTargets(context.Context, Done) (Targets, error) {
	return Targets{Targets: se.Directory.Targets()}, nil
}

func (se *Service) drainTarget(_ context.Context, query NodeQuery) (Done, error) {
	if err := se.Directory.Drain(query); err != nil {
		return Done{}, notFound{err.Error()}
	}
	return Done{Done: true}, nil
}

// viewStatus answers also without a quorum, from what this replica has.
func (se *Service) viewStatus(ctx context.Context, _ Done) (Status, error) {
	status := Status{Domains: se.Directory.Domains(), Leader: se.Replicas.Replicas().Leader}
	look := func(machine *ledger.Machine) {
		status.Version, _ = machine.Current()
		status.Actions = 0
		for _, open := range machine.Open() {
			if open.InDoubt {
				status.Actions++
			}
		}
	}
	if se.Ledger.Read(ctx, look) == nil {
		status.Quorum = true
		return status, nil
	}
	return status, se.Ledger.Peek(context.WithoutCancel(ctx), look)
}

func (se *Service) listReplicas(context.Context, Done) (Replicas, error) {
	return se.Replicas.Replicas(), nil
}

func (se *Service) addReplica(ctx context.Context, row ReplicaRow) (Done, error) {
	if row.ID == 0 || row.Address == "" {
		return Done{}, badRequest{"a new replica needs an id that was never used and an address"}
	}
	return Done{Done: true}, se.Replicas.AddReplica(ctx, row)
}

func (se *Service) promoteReplica(ctx context.Context, query ReplicaQuery) (Done, error) {
	return Done{Done: true}, se.Replicas.PromoteReplica(ctx, query.ID)
}

func (se *Service) removeReplica(ctx context.Context, query ReplicaQuery) (Done, error) {
	return Done{Done: true}, se.Replicas.RemoveReplica(ctx, query.ID)
}
