package host

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

// notifyingMachine is a ledger that signals when its current version may have
// changed.
type notifyingMachine struct {
	*ledger.Machine
	changed chan struct{}
}

func newNotifyingMachine() *notifyingMachine {
	return &notifyingMachine{Machine: ledger.New(), changed: make(chan struct{}, 1)}
}

// Apply applies a command, and signals if the current version changed.
func (machine *notifyingMachine) Apply(index uint64, command []byte) ([]byte, error) {
	before, _ := machine.CurrentVersion()
	result, err := machine.Machine.Apply(index, command)
	if after, _ := machine.CurrentVersion(); after != before {
		machine.notify()
	}
	return result, err
}

// Restore replaces the state by a snapshot, and signals.
func (machine *notifyingMachine) Restore(snapshot []byte) error {
	defer machine.notify()
	return machine.Machine.Restore(snapshot)
}

func (machine *notifyingMachine) notify() {
	select {
	case machine.changed <- struct{}{}:
	default:
	}
}

// Propose records a command and gives its result. The repetition of an action
// that has already run is answered from the local state, even without a quorum.
func (plane *controlPlane) Propose(ctx context.Context, command []byte) ([]byte, error) {
	var result []byte
	known := false
	err := plane.Peek(ctx, func(machine *ledger.Machine) { result, known = machine.LookupFinished(command) })
	if err == nil && known {
		return result, nil
	}
	if err := plane.requireVoters(ctx); err != nil {
		return nil, err
	}
	return plane.replica.Propose(ctx, command)
}

// Read calls view with a state that holds every command recorded before the call.
func (plane *controlPlane) Read(ctx context.Context, view func(*ledger.Machine)) error {
	return plane.replica.Read(ctx, func(machine *notifyingMachine) { view(machine.Machine) })
}

// Peek calls view with the local state, which may lag behind.
func (plane *controlPlane) Peek(ctx context.Context, view func(*ledger.Machine)) error {
	return plane.replica.Peek(ctx, func(machine *notifyingMachine) { view(machine.Machine) })
}
