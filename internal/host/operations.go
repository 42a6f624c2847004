package host

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// drainHereVerb asks a node to drain; it is sent by the replica that serves the
// operator.
const drainHereVerb = "drain-here"

// replicaHereVerb asks a host for the id of its replica, which has no log yet; it
// is sent by the leader.
const replicaHereVerb = "replica-here"

// drainDelay leaves time to send the answer before the process stops.
const drainDelay = 200 * time.Millisecond

// operateFunc adapts a function to [control.Operations].
type operateFunc operator.OperateFunc

// Operate implements [control.Operations].
func (operate operateFunc) Operate(ctx context.Context, verb string, body []byte) (int, []byte) {
	return operate(ctx, verb, body)
}

// operateForPeer answers an operator request that came over the peer port. It
// does not forward the request to a further process.
func (host *Host) operateForPeer(ctx context.Context, verb string, body []byte) (int, []byte) {
	if verb == drainHereVerb {
		host.Logger.Info().Msg("host: draining, requested by an operator")
		time.AfterFunc(drainDelay, host.drain)
		return doneAnswer()
	}
	if host.controlPlane == nil {
		return http.StatusServiceUnavailable, []byte(`{"error":"this node holds no replica; ask another one"}`)
	}
	if verb == replicaHereVerb {
		replicas, err := host.controlPlane.Replicas(ctx)
		if err != nil {
			return http.StatusServiceUnavailable, []byte(`{"error":"the replica does not answer; see its log"}`)
		}
		return encodeAnswer(replicas)
	}
	if answer := host.controlPlane.unavailableAnswer(ctx); answer != "" {
		return http.StatusServiceUnavailable, []byte(answer)
	}
	return host.executeOperation(ctx, verb, body)
}

func doneAnswer() (int, []byte) {
	return encodeAnswer(operator.Done{Done: true})
}

func encodeAnswer(message any) (int, []byte) {
	answer, err := json.Marshal(message)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return http.StatusOK, answer
}

// unavailableLedger stands in for the ledger on a node without a replica.
type unavailableLedger struct{}

// Propose fails with [port.ErrUnavailable].
func (unavailableLedger) Propose(context.Context, []byte) ([]byte, error) {
	return nil, port.ErrUnavailable
}

// Read fails with [port.ErrUnavailable].
func (unavailableLedger) Read(context.Context, func(*ledger.Machine)) error {
	return port.ErrUnavailable
}

// Peek fails with [port.ErrUnavailable].
func (unavailableLedger) Peek(context.Context, func(*ledger.Machine)) error {
	return port.ErrUnavailable
}
