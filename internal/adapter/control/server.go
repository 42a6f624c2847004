package control

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/control/controlpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/core/quota"
	"github.com/magnoliawall/magnoliawall/internal/port"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// maxRequestTime bounds the time for one request, whatever its client asks for.
const maxRequestTime = 30 * time.Second

// Server handles the requests of nodes at a replica. The exported fields are set
// before Serve.
type Server struct {
	Ledger     Ledger
	Operations Operations
	// Quotas is nil on hosts without a replica.
	Quotas Quotas
}

// Quotas grants tokens of the quotas of customers. Its methods may be called
// concurrently.
type Quotas interface {
	Take(customer request.CustomerName) quota.Grant
}

// Serve handles the requests of one stream, one after the other. It is the
// [peer.Handler] of [peer.KindControl].
func (server *Server) Serve(ctx context.Context, stream *peer.Stream) {
	for {
		message := &controlpb.Request{}
		call, err := stream.ReceiveMessage(message)
		if err != nil {
			return
		}
		if err := stream.Send(call, server.answer(ctx, message)); err != nil {
			return
		}
	}
}

func (server *Server) answer(ctx context.Context, message *controlpb.Request) *controlpb.Answer {
	remaining := peer.StatedTime(message.GetRemainingUs(), time.Microsecond)
	ctx, cancel := context.WithTimeout(ctx, min(remaining, maxRequestTime))
	defer cancel()
	if customer := message.GetTakeFor(); customer != "" {
		return &controlpb.Answer{Grant: server.takeToken(request.CustomerName(customer))}
	}
	if operation := message.GetOperation(); operation != nil {
		status, body := server.Operations.Operate(ctx, operation.GetVerb(), operation.GetBody())
		return &controlpb.Answer{Status: uint32(status), Result: body}
	}
	result, err := server.Ledger.Propose(ctx, message.GetCommand())
	return encodeResult(result, err)
}

func (server *Server) takeToken(customer request.CustomerName) *controlpb.Grant {
	if server.Quotas == nil {
		return &controlpb.Grant{}
	}
	grant := server.Quotas.Take(customer)
	return &controlpb.Grant{
		Granted: grant.Result == quota.Granted,
		Empty:   grant.Result == quota.Empty,
		WaitUs:  grant.Wait.Microseconds(),
	}
}

func encodeResult(result []byte, err error) *controlpb.Answer {
	switch {
	case err == nil:
		return &controlpb.Answer{Result: result}
	case errors.Is(err, port.ErrUnavailable):
		return &controlpb.Answer{Failure: controlpb.Failure_FAILURE_UNAVAILABLE, Detail: err.Error()}
	}
	return &controlpb.Answer{Failure: controlpb.Failure_FAILURE_IN_DOUBT, Detail: err.Error()}
}
