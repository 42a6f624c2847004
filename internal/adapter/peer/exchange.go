package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Exchange is one call to a peer and its answer, on one stream. It ends with
// either [Exchange.Finish] or [Exchange.Abort].
type Exchange struct {
	transport *Transport
	address   Address
	stream    *Stream
	call      request.CallID
	stopWatch func() bool
	answer    *bodyReader
	// bodyDone is closed when the whole body has been sent. It is never closed if
	// the answer came before the peer's consent. Nil means that the body was sent
	// before the answer was awaited.
	bodyDone chan struct{}
}

// Outbound is a call to a peer.
type Outbound struct {
	Call   request.CallID
	Header *peerpb.CallHeader
	Body   io.Reader
	// Confirm, if set, is called when the connection to the peer is at hand, right before
	// the call is sent. If it returns an error, the call is not sent.
	Confirm func() error
}

// Call sends the header and the body and reads the header of the answer. If the
// header sets AwaitContinue, the body is read from its source only after the peer
// has sent its consent (a [FrameContinue]). If ctx has a deadline, the time left of the
// header is set to it when the call is sent. If the call failed before anything
// was sent, the error is a [*NotSentError]. When ctx ends, the stream is closed,
// which cancels the call at the peer.
func (transport *Transport) Call(ctx context.Context, address Address, outbound Outbound) (*Exchange, *peerpb.AnswerHeader, error) {
	stream, err := transport.Open(ctx, address, KindCall)
	if err != nil {
		return nil, nil, &NotSentError{Reason: err}
	}
	if err := outbound.prepare(ctx); err != nil {
		transport.Release(address, stream)
		return nil, nil, &NotSentError{Reason: err}
	}
	exchange := &Exchange{transport: transport, address: address, stream: stream, call: outbound.Call}
	exchange.stopWatch = context.AfterFunc(ctx, exchange.cancel)
	answer, err := exchange.start(outbound.Header, outbound.Body)
	if err != nil {
		exchange.Abort()
		return nil, nil, err
	}
	return exchange, answer, nil
}

// ErrNoTimeLeft is the reason of a call that was not sent because its deadline had
// passed. A connection that could not be opened in time has other errors.
var ErrNoTimeLeft = errors.New("the call's deadline has passed")

// prepare brings the header up to date after a wait for a connection. It returns an error
// if the call is not to be sent any more.
func (outbound *Outbound) prepare(ctx context.Context) error {
	// The stream is closed by another goroutine than the one that sends the call, and so
	// perhaps after it.
	if err := ctx.Err(); err != nil {
		return err
	}
	if outbound.Confirm != nil {
		if err := outbound.Confirm(); err != nil {
			return err
		}
	}
	outbound.Header.SentUs = hostTime().Microseconds()
	return setRemaining(ctx, outbound.Header)
}

// setRemaining sets the time left of a call to that of the context, since it may have
// waited for a connection. It returns an error if none is left.
func setRemaining(ctx context.Context, header *peerpb.CallHeader) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return ErrNoTimeLeft
	}
	header.RemainingUs = max(remaining.Microseconds(), 1)
	return nil
}

// NotSentError is the error of a call of which no byte left this process.
type NotSentError struct{ Reason error }

// Error implements error.
func (err *NotSentError) Error() string {
	return "call was not sent: " + err.Reason.Error()
}

// Unwrap returns the reason.
func (err *NotSentError) Unwrap() error { return err.Reason }

func (exchange *Exchange) start(header *peerpb.CallHeader, body io.Reader) (*peerpb.AnswerHeader, error) {
	if err := exchange.stream.AddMessage(FrameMessage, exchange.call, header); err != nil {
		return nil, &NotSentError{Reason: err}
	}
	if !header.GetAwaitContinue() {
		if err := sendBody(exchange.stream, exchange.call, body, nil); err != nil {
			return nil, err
		}
		return exchange.receiveAnswer()
	}
	return exchange.startWithConsent(body)
}

func (exchange *Exchange) startWithConsent(body io.Reader) (*peerpb.AnswerHeader, error) {
	if err := exchange.stream.Flush(); err != nil {
		return nil, err
	}
	frame, err := exchange.receive()
	if err != nil {
		return nil, err
	}
	if frame.Kind == FrameMessage {
		// The peer still expects the body, which is not sent. It would read the next
		// call on this stream as the body, so bodyDone stays open and Finish closes
		// the stream.
		exchange.bodyDone = make(chan struct{})
		return exchange.decodeAnswer(frame)
	}
	if frame.Kind != FrameContinue {
		return nil, fmt.Errorf("%w: got kind %d, want an answer", ErrUnexpectedFrame, frame.Kind)
	}
	exchange.bodyDone = make(chan struct{})
	go exchange.sendAwaitedBody(body)
	return exchange.receiveAnswer()
}

func (exchange *Exchange) receive() (Frame, error) {
	frame, err := exchange.stream.Receive()
	if err != nil {
		return Frame{}, fmt.Errorf("receive answer: %w", unexpectedEOF(err))
	}
	if frame.Call != exchange.call {
		return Frame{}, fmt.Errorf("%w: got call %d, want %d", ErrCallMismatch, frame.Call, exchange.call)
	}
	return frame, nil
}

func (exchange *Exchange) receiveAnswer() (*peerpb.AnswerHeader, error) {
	frame, err := exchange.receive()
	if err != nil {
		return nil, err
	}
	return exchange.decodeAnswer(frame)
}

func (exchange *Exchange) decodeAnswer(frame Frame) (*peerpb.AnswerHeader, error) {
	if frame.Kind != FrameMessage {
		return nil, fmt.Errorf("%w: got kind %d, want an answer", ErrUnexpectedFrame, frame.Kind)
	}
	header := &peerpb.AnswerHeader{}
	if err := proto.Unmarshal(frame.Payload, header); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	exchange.answer = newBodyReader(exchange.stream, exchange.call)
	return header, nil
}

// Body returns the body of the answer. It ends with [io.EOF] only if all of it
// arrived and its length and hash match the end frame.
func (exchange *Exchange) Body() io.Reader {
	return exchange.answer
}

// Report returns the report in the end frame of the answer, or nil before the body
// was read to its end.
func (exchange *Exchange) Report() *peerpb.Report {
	if exchange.answer == nil || exchange.answer.end == nil {
		return nil
	}
	return exchange.answer.end.GetReport()
}

// Finish ends the exchange. The stream is released for reuse if the body was sent
// and the answer read completely, and closed otherwise.
func (exchange *Exchange) Finish() {
	running := exchange.stopWatch()
	if !running || exchange.answer == nil || !exchange.answer.complete() {
		exchange.close()
		return
	}
	if !exchange.bodySent() {
		exchange.close()
		return
	}
	exchange.transport.Release(exchange.address, exchange.stream)
}

func (exchange *Exchange) sendAwaitedBody(body io.Reader) {
	if err := sendBody(exchange.stream, exchange.call, body, nil); err != nil {
		_ = exchange.stream.Close()
		return
	}
	close(exchange.bodyDone)
}

// bodySent reports whether the whole body has been sent. If the answer came
// earlier, the stream is in the middle of a body and cannot be reused.
func (exchange *Exchange) bodySent() bool {
	if exchange.bodyDone == nil {
		return true
	}
	select {
	case <-exchange.bodyDone:
		return true
	default:
		return false
	}
}

// lateAnswerTime is how long an answer is read after its call has ended on this side. It may
// have been sent before the peer learned of that, and is delivered also late.
const lateAnswerTime = 100 * time.Millisecond

// cancel cancels the call at the peer, and ends the wait for its answer.
func (exchange *Exchange) cancel() {
	// A stream that cannot be closed belongs to a connection that has ended.
	_ = exchange.stream.closeReadingUntil(time.Now().Add(lateAnswerTime))
}

// Abort closes the stream, which cancels the call at the peer.
func (exchange *Exchange) Abort() {
	exchange.stopWatch()
	exchange.close()
}

func (exchange *Exchange) close() {
	_ = exchange.stream.Close()
}

// MayHaveBeenSent reports whether the call may be running at the peer in spite of err, an
// error of [Transport.Call]: it is true for all errors but a [*NotSentError].
func MayHaveBeenSent(err error) bool {
	notSent := &NotSentError{}
	return !errors.As(err, &notSent)
}
