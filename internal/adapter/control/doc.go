// Package control carries commands for the replicated log from a node to a
// replica, over the peer protocol.
//
// [Client] tries the replicas in order, those of its own failure domain first.
// A command whose fate is unknown is sent again to another replica: commands
// are idempotent. What stays unknown at the deadline is [port.ErrInDoubt]; a command
// that was certainly not recorded is [port.ErrUnavailable].
//
// # Usage
//
//	transport.Handlers[peer.KindControl] = (&control.Server{Ledger: replica}).Serve
//
//	client := &control.Client{Transport: transport, Replicas: addresses}
//	result, err := client.Propose(ctx, command)
package control

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/replica"
)

// Ledger is a replica of the control state.
type Ledger interface {
	// Propose records a command and gives its result. Its errors wrap
	// [port.ErrUnavailable] or [port.ErrInDoubt].
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Read calls look on a state that holds all that was recorded before.
	Read(ctx context.Context, look func(*ledger.Machine)) error
	// Peek calls look on the state as it is here, which may be behind.
	Peek(ctx context.Context, look func(*ledger.Machine)) error
}

var _ Ledger = (*replica.Replica[*ledger.Machine])(nil)

// Operations answers operators' requests.
type Operations interface {
	// Operate gives an HTTP status and a JSON document.
	Operate(ctx context.Context, verb string, body []byte) (int, []byte)
}
