// Package answer makes the answers of the stand-in targets and checks that a
// caller got the whole answer to its own request.
//
// An answer is one line with the caller's nonce, the length and the xxHash64
// checksum of the payload, and then the payload. The check needs no header,
// so that nothing on the way can repair an answer that was cut or swapped.
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

// The faults of an answer.
var (
	ErrCut     = errors.New("the answer is cut short")
	ErrForeign = errors.New("the answer belongs to another request")
	ErrDamaged = errors.New("the answer's checksum is wrong")
)

const (
	partsOfHead = 3
	base        = 36
	filler      = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-\n"
)

// Encode makes the answer to the request with this nonce, with a payload of
// size bytes that differs from nonce to nonce.
func Encode(nonce string, size int) []byte {
	payload := payloadOf(nonce, size)
	sum := strconv.FormatUint(xxhash.Sum64(payload), base)
	head := fmt.Sprintf("%s %d %s\n", nonce, size, sum)
	return append([]byte(head), payload...)
}

// Check tells whether body is the whole answer to the request with this nonce.
func Check(body []byte, nonce string) error {
	head, payload, ok := bytes.Cut(body, []byte{'\n'})
	parts := strings.Fields(string(head))
	if !ok || len(parts) != partsOfHead {
		return ErrCut
	}
	if parts[0] != nonce {
		return ErrForeign
	}
	if strconv.Itoa(len(payload)) != parts[1] {
		return ErrCut
	}
	if strconv.FormatUint(xxhash.Sum64(payload), base) != parts[2] {
		return ErrDamaged
	}
	return nil
}

func payloadOf(nonce string, size int) []byte {
	payload := make([]byte, size)
	offset := int(xxhash.Sum64String(nonce) % uint64(len(filler)))
	for start := 0; start < size; {
		start += copy(payload[start:], filler[offset:])
		offset = 0
	}
	return payload
}
