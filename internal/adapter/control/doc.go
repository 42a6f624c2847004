// Package control sends commands for the replicated log, and requests of operators,
// from a node to a replica, over the peer protocol.
//
// [Client] tries the replicas in order, beginning with the one that answered last;
// at first, those of its own failure domain come first. If it is unknown whether
// a command was recorded, it is sent again to another replica: commands are
// idempotent. If that is still unknown at the deadline, the error is
// [port.ErrInDoubt]; if the command was certainly not recorded, it is
// [port.ErrUnavailable].
//
// A Client and a [Server] are safe for concurrent use.
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

// Ledger is a replica of the state in the replicated log.
type Ledger interface {
	// Propose records a command and returns its result. Its errors wrap
	// [port.ErrUnavailable] or [port.ErrInDoubt].
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Read calls read with a state that includes all commands recorded before the
	// call.
	Read(ctx context.Context, read func(*ledger.Machine)) error
	// Peek calls read with the local state, which may be stale.
	Peek(ctx context.Context, read func(*ledger.Machine)) error
}

var _ Ledger = (*replica.Replica[*ledger.Machine])(nil)

// Operations handles requests of operators.
type Operations interface {
	// Operate returns an HTTP status and a JSON document.
	Operate(ctx context.Context, verb string, body []byte) (int, []byte)
}
