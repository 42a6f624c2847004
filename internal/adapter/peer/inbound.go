package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/socket"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Inbound is one call from a peer. Its handler answers exactly once; it may read
// the body before.
type Inbound struct {
	Header *peerpb.CallHeader
	Call   request.CallID
	// Waited is how much longer the call was under way than the fastest of its connection,
	// until its header was read. It is zero if the peer does not state when it sent it.
	Waited time.Duration

	stream     *Stream
	body       io.Reader
	pipeWriter *io.PipeWriter
	pipeReader *io.PipeReader
	answerErr  error
	// readEnded is closed when the stream is not read any more on behalf of this call.
	readEnded chan struct{}

	// lock orders the consent, which the reader of the body sends, and the answer:
	// both are written to the stream.
	lock        sync.Mutex
	consentSent bool
	answering   bool
}

// Remote returns the hello of the peer that sent the call, or zero for a call that did not
// come over a stream.
func (inbound *Inbound) Remote() Hello {
	if inbound.stream == nil {
		return Hello{}
	}
	return inbound.stream.remote
}

// Body returns the body of the call. If the peer awaits consent, the first read
// sends it.
func (inbound *Inbound) Body() io.Reader {
	return consentingBody{inbound: inbound}
}

type consentingBody struct{ inbound *Inbound }

// Read sends the consent if the peer awaits it, and reads from the body.
func (body consentingBody) Read(data []byte) (int, error) {
	if err := body.inbound.sendConsent(); err != nil {
		return 0, err
	}
	return body.inbound.body.Read(data)
}

// sendConsent asks the peer for the body, once. After the answer has begun it is
// too late: it returns [io.ErrClosedPipe].
func (inbound *Inbound) sendConsent() error {
	inbound.lock.Lock()
	defer inbound.lock.Unlock()
	if !inbound.Header.GetAwaitContinue() || inbound.consentSent {
		return nil
	}
	if inbound.answering {
		return io.ErrClosedPipe
	}
	inbound.consentSent = true
	inbound.stream.Add(Frame{Kind: FrameContinue, Call: inbound.Call})
	return inbound.stream.Flush()
}

// Answer sends the header and the body of the answer. report is called after the
// last byte of the body; its result goes into the end frame.
func (inbound *Inbound) Answer(header *peerpb.AnswerHeader, body io.Reader, report func() *peerpb.Report) error {
	inbound.lock.Lock()
	inbound.answering = true
	inbound.lock.Unlock()
	if err := inbound.stream.AddMessage(FrameMessage, inbound.Call, header); err != nil {
		inbound.answerErr = err
		return err
	}
	inbound.answerErr = sendBody(inbound.stream, inbound.Call, body, report)
	return inbound.answerErr
}

// CallHandler serves one call. The context ends when the caller closes the stream.
type CallHandler func(ctx context.Context, call *Inbound)

// smallBodyFrameTimeout bounds the wait for each frame of a body that is sent
// without consent.
const smallBodyFrameTimeout = 10 * time.Second

// ServeCalls returns a stream handler that serves the calls of a stream one after
// the other. The stream is read while a call is served, so that the call's context
// ends as soon as the caller closes the stream.
func ServeCalls(serve CallHandler) Handler {
	return func(ctx context.Context, stream *Stream) {
		ctx, cancel := context.WithCancel(ctx)
		worker := &callWorker{calls: make(chan *Inbound), done: make(chan struct{}, 1)}
		go worker.run(ctx, serve)
		defer close(worker.calls)
		defer cancel()
		frame, err := stream.Receive()
		for err == nil {
			frame, err = worker.serveOne(stream, frame, cancel)
		}
	}
}

// callWorker runs the handler for all calls of one stream in one goroutine, whose
// stack grows to the size that a call needs only once.
type callWorker struct {
	calls chan *Inbound
	done  chan struct{}
}

func (worker *callWorker) run(ctx context.Context, serve CallHandler) {
	for inbound := range worker.calls {
		serve(ctx, inbound)
		inbound.closeBody()
		worker.done <- struct{}{}
	}
}

// serveOne serves the call that starts with the frame first, and returns the frame
// that starts the next call. It calls cancelCall if the stream fails meanwhile.
func (worker *callWorker) serveOne(stream *Stream, first Frame, cancelCall func()) (Frame, error) {
	inbound, err := decodeInbound(stream, first)
	if err != nil {
		return Frame{}, err
	}
	if !inbound.Header.GetAwaitContinue() {
		if err := inbound.readSmallBody(); err != nil {
			return Frame{}, err
		}
	}
	worker.calls <- inbound
	next, err := inbound.awaitNext()
	if err != nil {
		cancelCall()
	}
	close(inbound.readEnded)
	<-worker.done
	return next, errors.Join(err, inbound.answerErr)
}

func decodeInbound(stream *Stream, first Frame) (*Inbound, error) {
	if first.Kind != FrameMessage {
		return nil, fmt.Errorf("%w: got kind %d, want a call", ErrUnexpectedFrame, first.Kind)
	}
	header := &peerpb.CallHeader{}
	if err := proto.Unmarshal(first.Payload, header); err != nil {
		return nil, fmt.Errorf("decode call: %w", err)
	}
	inbound := &Inbound{Header: header, Call: first.Call, Waited: stream.waited(header), stream: stream, readEnded: make(chan struct{})}
	if header.GetAwaitContinue() {
		inbound.pipeReader, inbound.pipeWriter = io.Pipe()
		inbound.body = inbound.pipeReader
	}
	return inbound, nil
}

// waited returns how long a call that was read now had waited.
func (stream *Stream) waited(header *peerpb.CallHeader) time.Duration {
	received := hostTime()
	if header.GetSentUs() <= 0 || received == 0 || stream.accepted == nil {
		return 0
	}
	sent := time.Duration(min(header.GetSentUs(), math.MaxInt64/int64(time.Microsecond))) * time.Microsecond
	return stream.accepted.transit.Record(sent, received)
}

// HasUnread reports whether bytes of the peer that sent the call have arrived and were not
// read yet. The end of the call may be among them.
func (inbound *Inbound) HasUnread() bool {
	if inbound.stream == nil || inbound.stream.accepted == nil {
		return false
	}
	return socket.Peek(inbound.stream.accepted.Conn) != socket.Idle
}

// readSmallBody reads a body that was sent without awaiting consent. Its length is
// limited to MaxBodyPartBytes.
func (inbound *Inbound) readSmallBody() error {
	reader := newBodyReader(inbound.stream, inbound.Call)
	reader.frameTimeout = smallBodyFrameTimeout
	body, err := ReadBody(reader, inbound.Header.GetBodyLength(), MaxBodyPartBytes)
	if err != nil {
		return err
	}
	if len(body) > MaxBodyPartBytes {
		return fmt.Errorf("%w: body sent without consent is longer than one part", ErrFrameTooLong)
	}
	inbound.body = bytes.NewReader(body)
	return nil
}

// awaitNext copies a body that awaits consent to the handler, then waits for the
// first frame of the next call or the end of the stream.
func (inbound *Inbound) awaitNext() (Frame, error) {
	if inbound.pipeWriter != nil {
		if err := inbound.copyBody(); err != nil {
			return Frame{}, err
		}
	}
	return inbound.stream.Receive()
}

func (inbound *Inbound) copyBody() error {
	reader := newBodyReader(inbound.stream, inbound.Call)
	_, err := io.Copy(discardAfterCloseWriter{inbound.pipeWriter}, reader)
	_ = inbound.pipeWriter.CloseWithError(err)
	return err
}

// discardAfterCloseWriter writes to a pipe and discards what is written after its
// reader was closed, so that a body is consumed even if the handler stops reading.
type discardAfterCloseWriter struct{ pipe *io.PipeWriter }

// Write never returns an error.
func (writer discardAfterCloseWriter) Write(data []byte) (int, error) {
	_, _ = writer.pipe.Write(data)
	return len(data), nil
}

func (inbound *Inbound) closeBody() {
	if inbound.pipeReader != nil {
		_ = inbound.pipeReader.Close()
	}
}
