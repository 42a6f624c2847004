package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is its length, a checksum of the length, a checksum of the payload,
// and the payload.
const frameHeaderBytes = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// beginFrame leaves room for the header of a record.
func beginFrame(buffer []byte) []byte {
	return append(buffer[:0], make([]byte, frameHeaderBytes)...)
}

// endFrame fills in the header of the record that is the whole buffer.
func endFrame(buffer []byte) []byte {
	payload := buffer[frameHeaderBytes:]
	binary.LittleEndian.PutUint32(buffer, uint32(len(payload)))
	binary.LittleEndian.PutUint32(buffer[4:], lengthChecksum(buffer[:4]))
	binary.LittleEndian.PutUint32(buffer[8:], crc32.Checksum(payload, castagnoli))
	return buffer
}

// lengthChecksum is not zero for a length of zero, so that a run of zeros is
// no record.
func lengthChecksum(length []byte) uint32 {
	return ^crc32.Checksum(length, castagnoli)
}

// readFrame gives the payload of the record at the start of data, and the
// bytes after it.
func readFrame(data []byte) (payload, rest []byte, ok bool) {
	if len(data) < frameHeaderBytes || binary.LittleEndian.Uint32(data[4:]) != lengthChecksum(data[:4]) {
		return nil, data, false
	}
	length := uint64(binary.LittleEndian.Uint32(data))
	body := data[frameHeaderBytes:]
	if length > uint64(len(body)) {
		return nil, data, false
	}
	payload = body[:length]
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, data, false
	}
	return payload, body[length:], true
}

// holdsFrame tells whether a whole record begins anywhere after the first byte.
func holdsFrame(data []byte) bool {
	for at := 1; at+frameHeaderBytes <= len(data); at++ {
		if _, _, ok := readFrame(data[at:]); ok {
			return true
		}
	}
	return false
}
