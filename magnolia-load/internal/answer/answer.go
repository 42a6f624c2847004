// Package answer encodes the answers of stand-in targets and checks that a
// caller received the complete answer to its own request.
//
// An answer is a header line and a payload. The header line holds the caller's
// nonce, the payload's length in bytes, and the payload's xxHash64 checksum in
// base 36. The check uses no HTTP header, so a proxy between target and caller
// cannot hide a truncated or swapped answer by changing one.
//
// All functions are safe for concurrent use.
//
// # Usage
//
//	body := answer.Encode("r-17", 2048)
//	err := answer.Check(body, "r-17")
package answer

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Errors of Check.
var (
	ErrTruncated    = errors.New("the answer is truncated")
	ErrOtherRequest = errors.New("the answer belongs to another request")
	ErrCorrupted    = errors.New("the answer's checksum does not match its payload")
)

const (
	headerFieldCount  = 3
	numberBase        = 36
	payloadCharacters = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-\n"
)

// Encode returns the answer to the request with the given nonce. Its payload is
// size bytes long and depends on the nonce.
func Encode(nonce string, size int) []byte {
	payload := makePayload(nonce, size)
	checksum := strconv.FormatUint(xxhash.Sum64(payload), numberBase)
	header := fmt.Sprintf("%s %d %s\n", nonce, size, checksum)
	return append([]byte(header), payload...)
}

// Check returns nil if body is the complete answer to the request with the given
// nonce, and otherwise ErrTruncated, ErrOtherRequest or ErrCorrupted.
func Check(body []byte, nonce string) error {
	header, payload, ok := bytes.Cut(body, []byte{'\n'})
	fields := strings.Fields(string(header))
	if !ok || len(fields) != headerFieldCount {
		return ErrTruncated
	}
	if fields[0] != nonce {
		return ErrOtherRequest
	}
	if strconv.Itoa(len(payload)) != fields[1] {
		return ErrTruncated
	}
	if strconv.FormatUint(xxhash.Sum64(payload), numberBase) != fields[2] {
		return ErrCorrupted
	}
	return nil
}

func makePayload(nonce string, size int) []byte {
	payload := make([]byte, size)
	offset := int(xxhash.Sum64String(nonce) % uint64(len(payloadCharacters)))
	for start := 0; start < size; {
		start += copy(payload[start:], payloadCharacters[offset:])
		offset = 0
	}
	return payload
}
