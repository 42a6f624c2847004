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

// drainHere is the request of a replica to a node that an operator drains.
const drainHere = "drain-here"

// replicaHere is the request of a leader for the id of a new replica, which
// has no log yet.
const replicaHere = "replica-here"

// answerTime is left to the answer of a request that ends this process.
const answerTime = 200 * time.Millisecond

// operations makes a function serve as [control.Operations].
type operations operator.Operate

// Operate carries out one request.
func (op operations) Operate(ctx context.Context, verb string, body []byte) (int, []byte) {
	return op(ctx, verb, body)
}

// operateHere answers a request that came over the peer port. It is never
// passed on to a third process.
func (ho *Host) operateHere(ctx context.Context, verb string, body []byte) (int, []byte) {
	if verb == drainHere {
		ho.Logger.Info().Msg("host: an operator drains this node")
		time.AfterFunc(answerTime, ho.drain)
		return done()
	}
	if ho.seat == nil {
		return http.StatusServiceUnavailable, []byte(`{"error":"this node holds no replica; ask another one"}`)
	}
	if verb == replicaHere {
		here, err := ho.seat.Replicas(ctx)
		if err != nil {
			return http.StatusServiceUnavailable, []byte(`{"error":"the replica does not answer; look at its log"}`)
		}
		return encode(here)
	}
	if why := ho.seat.knowsNothing(ctx); why != "" {
		return http.StatusServiceUnavailable, []byte(why)
	}
	return ho.operations(ctx, verb, body)
}

func done() (int, []byte) {
	return encode(operator.Done{Done: true})
}

func encode(message any) (int, []byte) {
	answer, err := json.Marshal(message)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return http.StatusOK, answer
}

// noLedger is what a node without a replica has for one.
type noLedger struct{}

// Propose records nothing.
func (noLedger) Propose(context.Context, []byte) ([]byte, error) {
	return nil, port.ErrUnavailable
}

// Read shows nothing.
func (noLedger) Read(context.Context, func(*ledger.Machine)) error { return port.ErrUnavailable }

// Peek shows nothing.
func (noLedger) Peek(context.Context, func(*ledger.Machine)) error { return port.ErrUnavailable }
