package peer

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// StreamKind is the purpose of a stream.
type StreamKind uint8

// The kinds of stream.
const (
	KindCall StreamKind = iota + 1
	KindQuorum
	KindRegistry
	KindControl
	KindQuarantine
	kindCount
)

// ErrUnexpectedFrame is returned if a peer sends a frame of a kind that the
// protocol does not allow at this point.
var ErrUnexpectedFrame = errors.New("peer sent an unexpected frame")

// Stream is an ordered stream of frames between two peers. One goroutine may send
// while another receives.
type Stream struct {
	conn   net.Conn
	remote Hello
	kind   StreamKind
	// session is the connection that the stream was opened on, or nil for an accepted
	// stream.
	session *session
	// accepted is the connection that carries an accepted stream, and nil for others.
	accepted *acceptedConn
	probe    probe
	// readFrom is the position of the accepted connection at which the reader last began to
	// wait: the end of the stream is not among the bytes before it.
	readFrom atomic.Uint64
	// openSent is set once the frame that starts the stream was buffered; always on
	// the accepting side.
	openSent bool
	outgoing []byte
	// reader buffers incoming frames; incoming holds a payload that does not fit
	// into that buffer.
	reader   *bufio.Reader
	incoming []byte
}

// streamBufferBytes is the size of the read buffer. It fits the frames of a typical
// call or answer without its body.
const streamBufferBytes = 4 << 10

func newStream(conn net.Conn, remote Hello, kind StreamKind) *Stream {
	return &Stream{conn: conn, remote: remote, kind: kind, reader: bufio.NewReaderSize(conn, streamBufferBytes)}
}

// Remote returns the hello of the peer.
func (stream *Stream) Remote() Hello {
	return stream.remote
}

// Add buffers a frame for the next [Stream.Flush].
func (stream *Stream) Add(frame Frame) {
	stream.addOpen()
	stream.outgoing = AppendFrame(stream.outgoing, frame)
}

// addOpen buffers the frame that starts the stream, once.
func (stream *Stream) addOpen() {
	if stream.openSent {
		return
	}
	stream.openSent = true
	stream.outgoing = AppendFrame(stream.outgoing, Frame{Kind: FrameOpen, Payload: []byte{byte(stream.kind)}})
}

// AddMessage buffers a frame with the message for the next [Stream.Flush].
func (stream *Stream) AddMessage(kind FrameKind, call request.CallID, message proto.Message) error {
	stream.addOpen()
	buffer, err := appendMessage(stream.outgoing, kind, call, message)
	stream.outgoing = buffer
	return err
}

// Flush writes the buffered frames.
func (stream *Stream) Flush() error {
	if len(stream.outgoing) == 0 {
		return nil
	}
	_, err := stream.conn.Write(stream.outgoing)
	stream.outgoing = stream.outgoing[:0]
	return err
}

// Send writes a message and all buffered frames.
func (stream *Stream) Send(call request.CallID, message proto.Message) error {
	if err := stream.AddMessage(FrameMessage, call, message); err != nil {
		return err
	}
	return stream.Flush()
}

// Receive reads the next frame. Its payload is valid until the next call.
func (stream *Stream) Receive() (Frame, error) {
	header, err := stream.peekHeader()
	if err != nil {
		return Frame{}, endOfStream(len(header), err)
	}
	decoded, err := decodeHeader(header)
	if err != nil {
		return Frame{}, err
	}
	sum := checksum(header[:checksumOffset], nil)
	if headerBytes+decoded.length > stream.reader.Size() {
		return stream.receiveLong(decoded, sum)
	}
	whole, err := stream.reader.Peek(headerBytes + decoded.length)
	if err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	// The bytes stay in the buffer until the next read.
	_, _ = stream.reader.Discard(len(whole))
	return decoded.frame(sum, whole[headerBytes:])
}

// peekHeader returns the header of the next frame. It answers the questions of
// [Inbound.Confirm] while it waits.
func (stream *Stream) peekHeader() ([]byte, error) {
	for {
		if stream.accepted != nil {
			stream.readFrom.Store(uint64(stream.accepted.handledSoFar()))
		}
		header, err := stream.reader.Peek(headerBytes)
		if err == nil || !stream.probe.answer(stream, err) {
			return header, err
		}
	}
}

// receiveLong reads a frame that does not fit into the read buffer.
func (stream *Stream) receiveLong(decoded frameHeader, sum uint32) (Frame, error) {
	_, _ = stream.reader.Discard(headerBytes)
	payload, err := readPayload(stream.reader, stream.incoming, decoded.length)
	if err != nil {
		return Frame{}, err
	}
	stream.incoming = payload[:0]
	return decoded.frame(sum, payload)
}

// endOfStream turns io.EOF into io.ErrUnexpectedEOF if part of a frame was read.
func endOfStream(read int, err error) error {
	if read > 0 {
		return unexpectedEOF(err)
	}
	return err
}

// receiveWithTimeout reads the next frame. If it is not buffered yet, limit bounds
// the wait for it.
func (stream *Stream) receiveWithTimeout(limit time.Duration) (Frame, error) {
	if stream.frameBuffered() {
		return stream.Receive()
	}
	if err := stream.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return Frame{}, err
	}
	frame, err := stream.Receive()
	return frame, errors.Join(err, stream.conn.SetReadDeadline(time.Time{}))
}

// frameBuffered reports whether Receive would return without reading from the
// connection: the read buffer holds a whole frame or an invalid header.
func (stream *Stream) frameBuffered() bool {
	buffered := stream.reader.Buffered()
	if buffered < headerBytes {
		return false
	}
	header, err := stream.reader.Peek(headerBytes)
	if err != nil {
		return false
	}
	decoded, err := decodeHeader(header)
	return err != nil || headerBytes+decoded.length <= buffered
}

// ReceiveMessage reads the next frame, which must hold a message.
func (stream *Stream) ReceiveMessage(message proto.Message) (request.CallID, error) {
	frame, err := stream.Receive()
	if err != nil {
		return 0, err
	}
	if frame.Kind != FrameMessage {
		return 0, fmt.Errorf("%w: got kind %d, want a message", ErrUnexpectedFrame, frame.Kind)
	}
	if err := proto.Unmarshal(frame.Payload, message); err != nil {
		return 0, fmt.Errorf("decode message: %w", err)
	}
	return frame.Call, nil
}

// SetDeadline sets the deadline of all sends and receives; the zero time removes
// it.
func (stream *Stream) SetDeadline(at time.Time) error {
	return stream.conn.SetDeadline(at)
}

// maxIdleBufferBytes bounds each buffer that a stream keeps between two exchanges.
const maxIdleBufferBytes = 8 << 10

// trimBuffers releases the large buffers of a stream that becomes idle.
func (stream *Stream) trimBuffers() {
	stream.trimOutgoing()
	if cap(stream.incoming) > maxIdleBufferBytes {
		stream.incoming = nil
	}
}

func (stream *Stream) trimOutgoing() {
	if cap(stream.outgoing) > maxIdleBufferBytes {
		stream.outgoing = nil
	}
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Close closes the stream at once. The peer's Receive returns an error or
// [io.EOF], and so does one that waits on this side.
func (stream *Stream) Close() error {
	return stream.closeReadingUntil(longAgo)
}

// closeReadingUntil closes the stream, but reads what arrives until a time.
func (stream *Stream) closeReadingUntil(latest time.Time) error {
	// Yamux lets reads of a stream that is closed on this side wait for the other one.
	deadlineErr := stream.conn.SetReadDeadline(latest)
	if stream.session != nil {
		stream.session.forget(stream)
	}
	return errors.Join(deadlineErr, stream.conn.Close())
}
