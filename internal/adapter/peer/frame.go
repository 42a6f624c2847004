package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// FrameKind is the type of a frame's payload.
type FrameKind uint8

// The kinds of frame.
const (
	FrameHello FrameKind = iota + 1
	FrameOpen
	FrameMessage
	FrameBody
	FrameEnd
	FrameContinue
	frameKindLimit
)

// MaxPayloadBytes is the largest payload of one frame, in bytes.
const MaxPayloadBytes = 1 << 20

const (
	headerBytes = 17
	// Offsets of the header fields after the kind, which is the first byte.
	lengthOffset   = 1
	callOffset     = 5
	checksumOffset = 13
)

// Errors of an invalid frame. The stream or connection that carried it is closed.
var (
	ErrFrameTooLong  = errors.New("frame is longer than the protocol allows")
	ErrFrameKind     = errors.New("frame has an unknown kind")
	ErrFrameChecksum = errors.New("frame has a wrong checksum")
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Frame is the unit of transmission on a stream. It is encoded as kind (1 byte),
// payload length (4 bytes), call id (8 bytes), checksum (4 bytes) and payload, in
// big-endian order. The checksum is CRC-32C over everything but itself.
type Frame struct {
	Kind    FrameKind
	Call    request.CallID
	Payload []byte
}

// AppendFrame appends the encoded frame to buffer.
func AppendFrame(buffer []byte, frame Frame) []byte {
	start := len(buffer)
	buffer = append(buffer, make([]byte, headerBytes)...)
	buffer = append(buffer, frame.Payload...)
	putHeader(buffer[start:], frame.Kind, frame.Call)
	return buffer
}

// appendMessage appends a frame that holds the message, encoded in place.
func appendMessage(buffer []byte, kind FrameKind, call request.CallID, message proto.Message) ([]byte, error) {
	start := len(buffer)
	grown, err := proto.MarshalOptions{}.MarshalAppend(append(buffer, make([]byte, headerBytes)...), message)
	if err != nil {
		return buffer, fmt.Errorf("encode message: %w", err)
	}
	if length := len(grown) - start - headerBytes; length > MaxPayloadBytes {
		return buffer, fmt.Errorf("%w: %d bytes", ErrFrameTooLong, length)
	}
	putHeader(grown[start:], kind, call)
	return grown, nil
}

// putHeader fills in the header of a frame whose payload is in place.
func putHeader(frame []byte, kind FrameKind, call request.CallID) {
	payload := frame[headerBytes:]
	frame[0] = byte(kind)
	binary.BigEndian.PutUint32(frame[lengthOffset:], uint32(len(payload)))
	binary.BigEndian.PutUint64(frame[callOffset:], uint64(call))
	binary.BigEndian.PutUint32(frame[checksumOffset:], checksum(frame[:checksumOffset], payload))
}

// frameHeader is the decoded header of a frame.
type frameHeader struct {
	kind     FrameKind
	length   int
	call     request.CallID
	checksum uint32
}

func decodeHeader(header []byte) (frameHeader, error) {
	decoded := frameHeader{
		kind:     FrameKind(header[0]),
		length:   int(binary.BigEndian.Uint32(header[lengthOffset:])),
		call:     request.CallID(binary.BigEndian.Uint64(header[callOffset:])),
		checksum: binary.BigEndian.Uint32(header[checksumOffset:]),
	}
	if decoded.kind == 0 || decoded.kind >= frameKindLimit {
		return frameHeader{}, fmt.Errorf("%w: %d", ErrFrameKind, decoded.kind)
	}
	if decoded.length > MaxPayloadBytes {
		return frameHeader{}, fmt.Errorf("%w: %d bytes", ErrFrameTooLong, decoded.length)
	}
	return decoded, nil
}

// frame verifies the checksum and returns the frame. headerSum is the checksum of
// the encoded header up to the checksum field.
func (header frameHeader) frame(headerSum uint32, payload []byte) (Frame, error) {
	if crc32.Update(headerSum, checksumTable, payload) != header.checksum {
		return Frame{}, ErrFrameChecksum
	}
	return Frame{Kind: header.kind, Call: header.call, Payload: payload}, nil
}

// ReadFrame reads one frame. The payload is stored in buffer, which grows as
// needed and is returned for the next read; the payload is valid until then.
func ReadFrame(source io.Reader, buffer []byte) (Frame, []byte, error) {
	header := [headerBytes]byte{}
	if _, err := io.ReadFull(source, header[:]); err != nil {
		return Frame{}, buffer, err
	}
	decoded, err := decodeHeader(header[:])
	if err != nil {
		return Frame{}, buffer, err
	}
	payload, err := readPayload(source, buffer, decoded.length)
	if err != nil {
		return Frame{}, buffer, err
	}
	frame, err := decoded.frame(checksum(header[:checksumOffset], nil), payload)
	return frame, payload[:0], err
}

// readStepBytes bounds how much readPayload allocates ahead of the bytes received.
const readStepBytes = 64 << 10

// readPayload reads length bytes into buffer. The buffer grows only as bytes
// arrive, so that a large length in a header alone costs no memory.
func readPayload(source io.Reader, buffer []byte, length int) ([]byte, error) {
	payload := buffer[:0]
	for len(payload) < length {
		step := min(length-len(payload), readStepBytes)
		start := len(payload)
		payload = growBy(payload, step)
		if _, err := io.ReadFull(source, payload[start:]); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	return payload, nil
}

func growBy(buffer []byte, step int) []byte {
	need := len(buffer) + step
	if need <= cap(buffer) {
		return buffer[:need]
	}
	grown := make([]byte, need, max(need, 2*cap(buffer)))
	copy(grown, buffer)
	return grown
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func checksum(header, payload []byte) uint32 {
	sum := crc32.Update(0, checksumTable, header)
	return crc32.Update(sum, checksumTable, payload)
}
