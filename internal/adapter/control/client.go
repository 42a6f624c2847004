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
	"github.com/magnoliawall/magnoliawall/internal/port"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/wait"
)

const (
	defaultAttemptTimeout = 500 * time.Millisecond
	retryPause            = 20 * time.Millisecond
)

// Client sends commands to the replicas. The exported fields are set before
// the first use.
type Client struct {
	Transport *peer.Transport
	// Replicas lists where replicas listen, nearest first.
	Replicas *peer.Directory
	// AttemptTimeout bounds the wait for one replica while others are left;
	// zero means half a second.
	AttemptTimeout time.Duration

	calls atomic.Uint64
	// preferred is the replica that answered last.
	preferred atomic.Int64
}

// Propose records a command and gives its result. It errors with
// [port.ErrUnavailable] or [port.ErrInDoubt].
func (client *Client) Propose(ctx context.Context, command []byte) ([]byte, error) {
	doubt := false
	for round := 0; ; round++ {
		answer, err := client.ask(ctx, round, &controlpb.Request{Body: &controlpb.Request_Command{Command: command}})
		if err == nil && answer.GetFailure() == controlpb.Failure_FAILURE_NONE {
			return answer.GetResult(), nil
		}
		doubt = doubt || mayBeRecorded(answer, err)
		if !pause(ctx, round, len(client.Replicas.List())) {
			return nil, failure(doubt)
		}
	}
}

// Operate passes an operator's request to a replica, and to the next one while
// no quorum answers. An error tells that no replica answered.
func (client *Client) Operate(ctx context.Context, verb string, body []byte) (int, []byte, error) {
	operation := &controlpb.Operation{Verb: verb, Body: body}
	var last *controlpb.Answer
	for round := 0; ; round++ {
		answer, err := client.ask(ctx, round, &controlpb.Request{Body: &controlpb.Request_Operation{Operation: operation}})
		if err == nil && answer.GetStatus() != http.StatusServiceUnavailable {
			return int(answer.GetStatus()), answer.GetResult(), nil
		}
		if err == nil {
			last = answer
		}
		if pause(ctx, round, len(client.Replicas.List())) {
			continue
		}
		if last != nil {
			return int(last.GetStatus()), last.GetResult(), nil
		}
		return 0, nil, fmt.Errorf("no replica answered: %w", err)
	}
}

func mayBeRecorded(answer *controlpb.Answer, err error) bool {
	if err != nil {
		return peer.WasSent(err)
	}
	return answer.GetFailure() != controlpb.Failure_FAILURE_UNAVAILABLE
}

func failure(doubt bool) error {
	if doubt {
		return port.ErrInDoubt
	}
	return port.ErrUnavailable
}

// pause waits after each round over all replicas.
func pause(ctx context.Context, round, replicas int) bool {
	if replicas == 0 || ctx.Err() != nil {
		return false
	}
	if (round+1)%replicas != 0 {
		return true
	}
	return wait.For(ctx, retryPause)
}

func (client *Client) attemptTimeout() time.Duration {
	if client.AttemptTimeout == 0 {
		return defaultAttemptTimeout
	}
	return client.AttemptTimeout
}

// ask sends one request to one replica.
func (client *Client) ask(ctx context.Context, round int, message *controlpb.Request) (*controlpb.Answer, error) {
	replicas := client.Replicas.List()
	if len(replicas) == 0 {
		return nil, &peer.NotSentError{Reason: errors.New("no replica is known")}
	}
	index := (int(client.preferred.Load()) + round) % len(replicas)
	if len(replicas) > 1 {
		bounded, cancel := context.WithTimeout(ctx, client.attemptTimeout())
		defer cancel()
		ctx = bounded
	}
	answer, err := client.exchange(ctx, replicas[index], message)
	if err == nil && answer.GetFailure() == controlpb.Failure_FAILURE_NONE {
		client.preferred.Store(int64(index))
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
		deadline = time.Now().Add(longestRequest)
	}
	message.RemainingUs = time.Until(deadline).Microseconds()
	call := request.CallID(client.calls.Add(1))
	answer := &controlpb.Answer{}
	err = converse(stream, call, message, answer)
	if !stop() || err != nil {
		_ = stream.Close()
		return answer, err
	}
	client.Transport.Release(address, stream)
	return answer, nil
}

func converse(stream *peer.Stream, call request.CallID, message *controlpb.Request, answer *controlpb.Answer) error {
	if err := stream.Send(call, message); err != nil {
		return err
	}
	received, err := stream.ReceiveMessage(answer)
	if err != nil {
		return err
	}
	if received != call {
		return peer.ErrOtherCall
	}
	return nil
}
