package peer

import (
	"context"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Exchange is one call to a peer and its answer, on one stream.
type Exchange struct {
	transport *Transport
	address   Address
	stream    *Stream
	call      request.CallID
	stop      func() bool
	answer    *bodyReader
	// sent is closed when the body has gone out as a whole, which never happens
	// where the answer came before the peer's consent; nil means that it went out
	// before the answer was awaited.
	sent chan struct{}
}

// Call sends the header and the body and reads the header of the answer. When
// the header asks to await the peer's consent, the body is only read from its
// source once the peer has given it. An error before anything was sent is a
// [*NotSentError].
func (tr *Transport) Call(ctx context.Context, address Address, call request.CallID, header *peerpb.CallHeader, body io.Reader) (*Exchange, *peerpb.AnswerHeader, error) {
	stream, err := tr.Open(ctx, address, KindCall)
	if err != nil {
		return nil, nil, &NotSentError{Reason: err}
	}
	exchange := &Exchange{transport: tr, address: address, stream: stream, call: call}
	exchange.stop = context.AfterFunc(ctx, func() { _ = stream.Close() })
	answer, err := exchange.start(header, body)
	if err != nil {
		exchange.Abort()
		return nil, nil, err
	}
	return exchange, answer, nil
}

// NotSentError tells that no byte of a call left this process.
type NotSentError struct{ Reason error }

// Error describes the reason.
func (notSentError *NotSentError) Error() string {
	return "call was not sent: " + notSentError.Reason.Error()
}

// Unwrap gives the reason.
func (notSentError *NotSentError) Unwrap() error { return notSentError.Reason }

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
	return exchange.startAwaiting(body)
}

func (exchange *Exchange) startAwaiting(body io.Reader) (*peerpb.AnswerHeader, error) {
	if err := exchange.stream.Flush(); err != nil {
		return nil, err
	}
	frame, err := exchange.receive()
	if err != nil {
		return nil, err
	}
	if frame.Kind == FrameMessage {
		// The peer still expects the body, which will not be sent: the next call
		// on this stream would be taken for it.
		exchange.sent = make(chan struct{})
		return exchange.decodeAnswer(frame)
	}
	if frame.Kind != FrameContinue {
		return nil, fmt.Errorf("%w: kind %d in place of an answer", ErrUnexpectedFrame, frame.Kind)
	}
	exchange.sent = make(chan struct{})
	go exchange.sendRest(body)
	return exchange.receiveAnswer()
}

func (exchange *Exchange) receive() (Frame, error) {
	frame, err := exchange.stream.Receive()
	if err != nil {
		return Frame{}, fmt.Errorf("receive answer: %w", unexpected(err))
	}
	if frame.Call != exchange.call {
		return Frame{}, fmt.Errorf("%w: %d in place of %d", ErrOtherCall, frame.Call, exchange.call)
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
		return nil, fmt.Errorf("%w: kind %d in place of an answer", ErrUnexpectedFrame, frame.Kind)
	}
	header := &peerpb.AnswerHeader{}
	if err := proto.Unmarshal(frame.Payload, header); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	exchange.answer = newBodyReader(exchange.stream, exchange.call)
	return header, nil
}

// Body reads the body of the answer; it ends with io.EOF only when all of it
// arrived and matched.
func (exchange *Exchange) Body() io.Reader {
	return exchange.answer
}

// Report gives what the peer's end frame told, or nil before the body was read
// to its end.
func (exchange *Exchange) Report() *peerpb.Report {
	if exchange.answer == nil || exchange.answer.end == nil {
		return nil
	}
	return exchange.answer.end.GetReport()
}

// Finish ends the exchange; a stream that is clean is kept for the next one.
func (exchange *Exchange) Finish() {
	running := exchange.stop()
	if !running || exchange.answer == nil || !exchange.answer.complete() {
		exchange.close()
		return
	}
	if !exchange.bodySent() {
		exchange.close()
		return
	}
	exchange.transport.Keep(exchange.address, exchange.stream)
}

func (exchange *Exchange) sendRest(body io.Reader) {
	if err := sendBody(exchange.stream, exchange.call, body, nil); err != nil {
		_ = exchange.stream.Close()
		return
	}
	close(exchange.sent)
}

// bodySent tells whether the body has gone out as a whole. An answer that came
// before leaves the stream in the middle of a body.
func (exchange *Exchange) bodySent() bool {
	if exchange.sent == nil {
		return true
	}
	select {
	case <-exchange.sent:
		return true
	default:
		return false
	}
}

// Abort closes the stream, which cancels the call at the peer.
func (exchange *Exchange) Abort() {
	exchange.stop()
	exchange.close()
}

func (exchange *Exchange) close() {
	_ = exchange.stream.Close()
}

// WasSent tells whether an error of [Transport.Call] may have left the call
// running at the peer.
func WasSent(err error) bool {
	notSent := &NotSentError{}
	return !errors.As(err, &notSent)
}
