package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// FrameKind tells what a frame carries.
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

// MaxPayload is the largest payload of one frame, in bytes.
const MaxPayload = 1 << 20

const headerLength = 17

// Errors of a broken frame. The connection that carried it is closed.
var (
	ErrFrameTooLong  = errors.New("frame is longer than the protocol allows")
	ErrFrameKind     = errors.New("frame has an unknown kind")
	ErrFrameChecksum = errors.New("frame has a wrong checksum")
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Frame is one unit between two peers: kind, length, call id, checksum and
// payload. The checksum is CRC-32C over all but itself.
type Frame struct {
	Kind    FrameKind
	Call    request.CallID
	Payload []byte
}

// AppendFrame appends the encoded frame to buffer.
func AppendFrame(buffer []byte, frame Frame) []byte {
	start := len(buffer)
	buffer = append(buffer, byte(frame.Kind))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(frame.Payload)))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(frame.Call))
	sum := checksum(buffer[start:], frame.Payload)
	buffer = binary.BigEndian.AppendUint32(buffer, sum)
	return append(buffer, frame.Payload...)
}

// ReadFrame reads one frame; its payload is placed in buffer, which grows as
// needed, and stays valid until the next read into the same buffer.
func ReadFrame(source io.Reader, buffer []byte) (Frame, []byte, error) {
	if cap(buffer) < headerLength {
		buffer = make([]byte, 0, 4096)
	}
	header := buffer[:headerLength]
	if _, err := io.ReadFull(source, header); err != nil {
		return Frame{}, buffer, err
	}
	frame := Frame{
		Kind: FrameKind(header[0]),
		Call: request.CallID(binary.BigEndian.Uint64(header[5:13])),
	}
	length := binary.BigEndian.Uint32(header[1:5])
	sum := binary.BigEndian.Uint32(header[13:17])
	if frame.Kind == 0 || frame.Kind >= frameKindLimit {
		return Frame{}, buffer, fmt.Errorf("%w: %d", ErrFrameKind, frame.Kind)
	}
	if length > MaxPayload {
		return Frame{}, buffer, fmt.Errorf("%w: %d bytes", ErrFrameTooLong, length)
	}
	headerSum := crc32.Update(0, checksumTable, header[:13])
	payload, err := readPayload(source, buffer, int(length))
	if err != nil {
		return Frame{}, buffer, err
	}
	if crc32.Update(headerSum, checksumTable, payload) != sum {
		return Frame{}, buffer, ErrFrameChecksum
	}
	frame.Payload = payload
	return frame, payload[:0], nil
}

const readStep = 64 << 10

// readPayload grows the buffer only as bytes arrive, so that a large length
// alone costs no memory.
func readPayload(source io.Reader, buffer []byte, length int) ([]byte, error) {
	payload := buffer[:0]
	for len(payload) < length {
		step := min(length-len(payload), readStep)
		start := len(payload)
		payload = growBy(payload, step)
		if _, err := io.ReadFull(source, payload[start:]); err != nil {
			return nil, unexpected(err)
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

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func checksum(header, payload []byte) uint32 {
	sum := crc32.Update(0, checksumTable, header)
	return crc32.Update(sum, checksumTable, payload)
}
