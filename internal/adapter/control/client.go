package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/control/controlpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/core/quota"
	"github.com/magnoliawall/magnoliawall/internal/port"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/wait"
)

const (
	defaultAttemptTimeout = 500 * time.Millisecond
	retryDelay            = 20 * time.Millisecond
)

// Client sends commands and requests of operators to the replicas. The exported
// fields are set before the first use.
type Client struct {
	Transport *peer.Transport
	// Replicas lists the addresses of the replicas, nearest first.
	Replicas *peer.Directory
	// AttemptTimeout bounds the wait for one replica if there are others to try; zero
	// means half a second.
	AttemptTimeout time.Duration

	// lastCall is the call id of the last request.
	lastCall atomic.Uint64
	// preferredIndex is the index in Replicas of the replica that answered last.
	preferredIndex atomic.Int64
}

// Propose records a command and returns its result. Its error is
// [port.ErrUnavailable] or [port.ErrInDoubt].
func (client *Client) Propose(ctx context.Context, command []byte) ([]byte, error) {
	inDoubt := false
	first := int(client.preferredIndex.Load())
	for attempt := 0; ; attempt++ {
		answer, err := client.tryReplica(ctx, first+attempt, &controlpb.Request{Body: &controlpb.Request_Command{Command: command}})
		if err == nil && answer.GetFailure() == controlpb.Failure_FAILURE_NONE {
			return answer.GetResult(), nil
		}
		inDoubt = inDoubt || mayBeRecorded(answer, err)
		if !awaitNextAttempt(ctx, attempt, len(client.Replicas.List())) {
			return nil, proposeError(inDoubt)
		}
	}
}

// Operate sends an operator's request to a replica, and to the next one while the
// answer is 503 (no quorum). It returns the HTTP status and the document of the
// answer. It returns an error only if no replica answered.
func (client *Client) Operate(ctx context.Context, verb string, body []byte) (int, []byte, error) {
	operation := &controlpb.Operation{Verb: verb, Body: body}
	var last *controlpb.Answer
	first := int(client.preferredIndex.Load())
	for attempt := 0; ; attempt++ {
		answer, err := client.tryReplica(ctx, first+attempt, &controlpb.Request{Body: &controlpb.Request_Operation{Operation: operation}})
		if err == nil && answer.GetStatus() != http.StatusServiceUnavailable {
			return int(answer.GetStatus()), answer.GetResult(), nil
		}
		if err == nil {
			last = answer
		}
		if awaitNextAttempt(ctx, attempt, len(client.Replicas.List())) {
			continue
		}
		if last != nil {
			return int(last.GetStatus()), last.GetResult(), nil
		}
		return 0, nil, fmt.Errorf("no replica answered: %w", err)
	}
}

// TakeToken asks one replica for a token of a customer's quota. An error means that the
// replica did not answer, or too late.
func (client *Client) TakeToken(ctx context.Context, replica peer.Address, customer request.CustomerName) (quota.Grant, error) {
	answer, err := client.exchange(ctx, replica, &controlpb.Request{Body: &controlpb.Request_TakeFor{TakeFor: string(customer)}})
	if err != nil {
		return quota.Grant{Result: quota.Unavailable}, err
	}
	grant := answer.GetGrant()
	switch {
	case grant.GetGranted():
		return quota.Grant{Result: quota.Granted}, nil
	case grant.GetEmpty():
		return quota.Grant{Result: quota.Empty, Wait: peer.StatedTime(grant.GetWaitUs(), time.Microsecond)}, nil
	}
	return quota.Grant{Result: quota.Unavailable}, nil
}

func mayBeRecorded(answer *controlpb.Answer, err error) bool {
	if err != nil {
		return peer.MayHaveBeenSent(err)
	}
	return answer.GetFailure() != controlpb.Failure_FAILURE_UNAVAILABLE
}

func proposeError(inDoubt bool) error {
	if inDoubt {
		return port.ErrInDoubt
	}
	return port.ErrUnavailable
}

// awaitNextAttempt waits for retryDelay after each round over all replicas. It
// returns false if there is no replica or the context has ended.
func awaitNextAttempt(ctx context.Context, attempt, replicas int) bool {
	if replicas == 0 || ctx.Err() != nil {
		return false
	}
	if (attempt+1)%replicas != 0 {
		return true
	}
	return wait.For(ctx, retryDelay)
}

func (client *Client) attemptTimeout() time.Duration {
	if client.AttemptTimeout == 0 {
		return defaultAttemptTimeout
	}
	return client.AttemptTimeout
}

// tryReplica sends a request to the replica at a position of the list, which goes round.
// A replica that answers the request becomes the preferred one, with which the next
// request begins.
func (client *Client) tryReplica(ctx context.Context, position int, message *controlpb.Request) (*controlpb.Answer, error) {
	replicas := client.Replicas.List()
	if len(replicas) == 0 {
		return nil, &peer.NotSentError{Reason: errors.New("no replica is known")}
	}
	index := position % len(replicas)
	if len(replicas) > 1 {
		bounded, cancel := context.WithTimeout(ctx, client.attemptTimeout())
		defer cancel()
		ctx = bounded
	}
	answer, err := client.exchange(ctx, replicas[index], message)
	if err == nil && answer.GetFailure() == controlpb.Failure_FAILURE_NONE && answer.GetStatus() != http.StatusServiceUnavailable {
		client.preferredIndex.Store(int64(index))
	}
	return answer, err
}

func (client *Client) exchange(ctx context.Context, address peer.Address, message *controlpb.Request) (*controlpb.Answer, error) {
	stream, err := client.Transport.Open(ctx, address, peer.KindControl)
	if err != nil {
		return nil, &peer.NotSentError{Reason: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxRequestTime)
	}
	message.RemainingUs = time.Until(deadline).Microseconds()
	call := request.CallID(client.lastCall.Add(1))
	answer := &controlpb.Answer{}
	err = exchangeMessages(stream, call, message, answer)
	if !stop() || err != nil {
		_ = stream.Close()
		return answer, err
	}
	client.Transport.Release(address, stream)
	return answer, nil
}

func exchangeMessages(stream *peer.Stream, call request.CallID, message *controlpb.Request, answer *controlpb.Answer) error {
	if err := stream.Send(call, message); err != nil {
		return err
	}
	received, err := stream.ReceiveMessage(answer)
	if err != nil {
		return err
	}
	if received != call {
		return peer.ErrCallMismatch
	}
	return nil
}
