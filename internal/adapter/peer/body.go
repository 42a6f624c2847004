package peer

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// MaxBodyPartBytes is the largest part of a body in one frame, in bytes.
const MaxBodyPartBytes = 64 << 10

// Errors of a body.
var (
	// ErrBodyIncomplete is returned if a body ended before all of it arrived.
	ErrBodyIncomplete = errors.New("body is incomplete")
	// ErrCallMismatch is returned if a frame of another call arrives.
	ErrCallMismatch = errors.New("frame belongs to another call")
)

// bodyReader reads the body frames of one call or answer, and checks length and
// xxHash against the end frame.
type bodyReader struct {
	stream *Stream
	call   request.CallID
	part   []byte
	hash   xxhash.Digest
	length int64
	end    *peerpb.End
	err    error
	// frameTimeout bounds the wait for each frame; zero means no bound.
	frameTimeout time.Duration
}

func newBodyReader(stream *Stream, call request.CallID) *bodyReader {
	reader := &bodyReader{stream: stream, call: call}
	reader.hash.Reset()
	return reader
}

// Read returns io.EOF only after a matching end frame.
func (reader *bodyReader) Read(data []byte) (int, error) {
	for len(reader.part) == 0 {
		if reader.err != nil {
			return 0, reader.err
		}
		reader.err = reader.next()
	}
	count := copy(data, reader.part)
	reader.part = reader.part[count:]
	return count, nil
}

func (reader *bodyReader) next() error {
	frame, err := reader.receive()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBodyIncomplete, unexpectedEOF(err))
	}
	if frame.Call != reader.call {
		return fmt.Errorf("%w: got call %d, want %d", ErrCallMismatch, frame.Call, reader.call)
	}
	switch frame.Kind {
	case FrameBody:
		reader.part = frame.Payload
		reader.length += int64(len(frame.Payload))
		_, _ = reader.hash.Write(frame.Payload)
		return nil
	case FrameEnd:
		return reader.finish(frame.Payload)
	}
	return fmt.Errorf("%w: got kind %d in a body", ErrUnexpectedFrame, frame.Kind)
}

func (reader *bodyReader) receive() (Frame, error) {
	if reader.frameTimeout > 0 {
		return reader.stream.receiveWithTimeout(reader.frameTimeout)
	}
	return reader.stream.Receive()
}

func (reader *bodyReader) finish(payload []byte) error {
	end := &peerpb.End{}
	if err := proto.Unmarshal(payload, end); err != nil {
		return fmt.Errorf("decode end frame: %w", err)
	}
	if end.GetAborted() {
		return fmt.Errorf("%w: its source failed", ErrBodyIncomplete)
	}
	if end.GetBodyLength() != reader.length || end.GetBodyHash() != reader.hash.Sum64() {
		return fmt.Errorf("%w: %d of %d bytes arrived", ErrBodyIncomplete, reader.length, end.GetBodyLength())
	}
	reader.end = end
	return io.EOF
}

// ReadBody reads source into memory until io.EOF. It first allocates for
// expectedBytes, which may be negative if unknown. If the body is longer than
// maxBytes, it returns the first maxBytes+1 bytes, so that the caller can tell.
func ReadBody(source io.Reader, expectedBytes, maxBytes int64) ([]byte, error) {
	body := make([]byte, 0, min(max(expectedBytes, 0), maxBytes)+1)
	for int64(len(body)) <= maxBytes {
		if len(body) == cap(body) {
			body = slices.Grow(body, len(body))
		}
		count, err := source.Read(body[len(body):min(int64(cap(body)), maxBytes+1)])
		body = body[:len(body)+count]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// complete reports whether the end frame was read and matched.
func (reader *bodyReader) complete() bool {
	return reader.end != nil
}

// sendBody sends source as body frames and an end frame. The first part is written
// together with the frames that the stream has buffered.
func sendBody(stream *Stream, call request.CallID, source io.Reader, report func() *peerpb.Report) error {
	hash := xxhash.Digest{}
	hash.Reset()
	length := int64(0)
	part := bodyPartPool.Get().(*[]byte)
	defer bodyPartPool.Put(part)
	for {
		count, err := readPart(source, *part)
		if count > 0 {
			_, _ = hash.Write((*part)[:count])
			length += int64(count)
			stream.Add(Frame{Kind: FrameBody, Call: call, Payload: (*part)[:count]})
		}
		if err != nil {
			return sendEnd(stream, call, newEnd(err, length, hash.Sum64(), report))
		}
		if err := stream.Flush(); err != nil {
			return err
		}
	}
}

func newEnd(err error, length int64, hash uint64, report func() *peerpb.Report) *peerpb.End {
	end := &peerpb.End{BodyLength: length, BodyHash: hash}
	end.Aborted = !errors.Is(err, io.EOF)
	if report != nil {
		end.Report = report()
	}
	return end
}

func sendEnd(stream *Stream, call request.CallID, end *peerpb.End) error {
	if err := stream.AddMessage(FrameEnd, call, end); err != nil {
		return err
	}
	if err := stream.Flush(); err != nil {
		return err
	}
	stream.trimOutgoing()
	if end.GetAborted() {
		return fmt.Errorf("%w: its source failed", ErrBodyIncomplete)
	}
	return nil
}

// readPart fills part. It returns io.EOF together with the last bytes.
func readPart(source io.Reader, part []byte) (int, error) {
	if source == nil {
		return 0, io.EOF
	}
	count, err := io.ReadFull(source, part)
	if errors.Is(err, io.ErrUnexpectedEOF) && count < len(part) {
		return count, errorAfterLastByte(source)
	}
	return count, err
}

// errorAfterLastByte returns the error that ended the source. It tells a clean end
// (io.EOF) from a source that itself fails with io.ErrUnexpectedEOF; io.ReadFull
// returns the latter for both.
func errorAfterLastByte(source io.Reader) error {
	probe := [1]byte{}
	_, err := source.Read(probe[:])
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}
