package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A record on disk is a frame: the length of the payload, a checksum of the length,
// a checksum of the payload, each of 4 bytes in little-endian order, and the payload.
const frameHeaderBytes = 12

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

// beginFrame empties a buffer and reserves the frame header in it.
func beginFrame(buffer []byte) []byte {
	return append(buffer[:0], make([]byte, frameHeaderBytes)...)
}

// endFrame fills in the header of the frame that the buffer holds.
func endFrame(buffer []byte) []byte {
	payload := buffer[frameHeaderBytes:]
	binary.LittleEndian.PutUint32(buffer, uint32(len(payload)))
	binary.LittleEndian.PutUint32(buffer[4:], lengthChecksum(buffer[:4]))
	binary.LittleEndian.PutUint32(buffer[8:], crc32.Checksum(payload, crc32cTable))
	return buffer
}

// lengthChecksum is not zero for a length of zero, so that a run of zero bytes is not
// a valid frame.
func lengthChecksum(length []byte) uint32 {
	return ^crc32.Checksum(length, crc32cTable)
}

// readFrame gives the payload of the frame at the start of data, and the bytes after
// the frame.
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
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(payload, crc32cTable) {
		return nil, data, false
	}
	return payload, body[length:], true
}

// containsFrame reports whether a whole frame begins anywhere after the first byte.
func containsFrame(data []byte) bool {
	for at := 1; at+frameHeaderBytes <= len(data); at++ {
		if _, _, ok := readFrame(data[at:]); ok {
			return true
		}
	}
	return false
}
