package host

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

// watchedMachine is the ledger, with a signal when a version may be new.
type watchedMachine struct {
	*ledger.Machine
	changed chan struct{}
}

func newWatchedMachine() *watchedMachine {
	return &watchedMachine{Machine: ledger.New(), changed: make(chan struct{}, 1)}
}

// Apply applies a command.
func (machine *watchedMachine) Apply(index uint64, command []byte) ([]byte, error) {
	before, _ := machine.CurrentVersion()
	result, err := machine.Machine.Apply(index, command)
	if after, _ := machine.CurrentVersion(); after != before {
		machine.signal()
	}
	return result, err
}

// Restore takes in a snapshot.
func (machine *watchedMachine) Restore(snapshot []byte) error {
	defer machine.signal()
	return machine.Machine.Restore(snapshot)
}

func (machine *watchedMachine) signal() {
	select {
	case machine.changed <- struct{}{}:
	default:
	}
}

// Propose records a command and gives its result. A resend of an action that
// ran is answered from the state here, also while no quorum can be reached.
func (se *seat) Propose(ctx context.Context, command []byte) ([]byte, error) {
	var result []byte
	known := false
	err := se.Peek(ctx, func(machine *ledger.Machine) { result, known = machine.LookupFinished(command) })
	if err == nil && known {
		return result, nil
	}
	if err := se.settled(ctx); err != nil {
		return nil, err
	}
	return se.replica.Propose(ctx, command)
}

// Read shows a state that holds all that was recorded before.
func (se *seat) Read(ctx context.Context, look func(*ledger.Machine)) error {
	return se.replica.Read(ctx, func(machine *watchedMachine) { look(machine.Machine) })
}

// Peek shows the state as it is here.
func (se *seat) Peek(ctx context.Context, look func(*ledger.Machine)) error {
	return se.replica.Peek(ctx, func(machine *watchedMachine) { look(machine.Machine) })
}
