package peer

import (
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Kind tells what a stream is for.
type Kind uint8

// The kinds of stream.
const (
	KindCall Kind = iota + 1
	KindQuorum
	KindRegistry
	KindControl
	KindQuarantine
	kindLimit
)

// ErrUnexpectedFrame tells that a peer broke the order of frames.
var ErrUnexpectedFrame = errors.New("peer sent a frame out of order")

// Stream is one ordered channel of frames between two peers. One goroutine may
// send while another receives.
type Stream struct {
	conn     net.Conn
	remote   Hello
	kind     Kind
	opened   bool
	outgoing []byte
	incoming []byte
}

// Remote tells who is at the other end.
func (stream *Stream) Remote() Hello {
	return stream.remote
}

// Add buffers a frame for the next [Stream.Flush].
func (stream *Stream) Add(frame Frame) {
	if !stream.opened {
		stream.opened = true
		stream.outgoing = AppendFrame(stream.outgoing, Frame{Kind: FrameOpen, Payload: []byte{byte(stream.kind)}})
	}
	stream.outgoing = AppendFrame(stream.outgoing, frame)
}

// AddMessage buffers a frame that holds one message.
func (stream *Stream) AddMessage(kind FrameKind, call request.CallID, message proto.Message) error {
	payload, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(payload) > MaxPayload {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLong, len(payload))
	}
	stream.Add(Frame{Kind: kind, Call: call, Payload: payload})
	return nil
}

// Flush writes what was added.
func (stream *Stream) Flush() error {
	if len(stream.outgoing) == 0 {
		return nil
	}
	_, err := stream.conn.Write(stream.outgoing)
	stream.outgoing = stream.outgoing[:0]
	return err
}

// Send writes one message at once.
func (stream *Stream) Send(call request.CallID, message proto.Message) error {
	if err := stream.AddMessage(FrameMessage, call, message); err != nil {
		return err
	}
	return stream.Flush()
}

// Receive reads the next frame. Its payload is valid until the next call.
func (stream *Stream) Receive() (Frame, error) {
	frame, buffer, err := ReadFrame(stream.conn, stream.incoming)
	stream.incoming = buffer
	return frame, err
}

// ReceiveMessage reads the next frame, which must hold a message.
func (stream *Stream) ReceiveMessage(message proto.Message) (request.CallID, error) {
	frame, err := stream.Receive()
	if err != nil {
		return 0, err
	}
	if frame.Kind != FrameMessage {
		return 0, fmt.Errorf("%w: kind %d in place of a message", ErrUnexpectedFrame, frame.Kind)
	}
	if err := proto.Unmarshal(frame.Payload, message); err != nil {
		return 0, fmt.Errorf("decode message: %w", err)
	}
	return frame.Call, nil
}

// SetDeadline bounds all sending and receiving; the zero time lifts the bound.
func (stream *Stream) SetDeadline(at time.Time) error {
	return stream.conn.SetDeadline(at)
}

// keptBuffer is the largest buffer that a stream keeps between two exchanges.
const keptBuffer = 8 << 10

// trim lets go of what a large body left behind in an idle stream.
func (stream *Stream) trim() {
	stream.trimOutgoing()
	if cap(stream.incoming) > keptBuffer {
		stream.incoming = nil
	}
}

func (stream *Stream) trimOutgoing() {
	if cap(stream.outgoing) > keptBuffer {
		stream.outgoing = nil
	}
}

// Close ends the stream at once; the other end reads an error or end of file.
func (stream *Stream) Close() error {
	return stream.conn.Close()
}
