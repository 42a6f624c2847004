package web

import (
	"encoding/hex"
	"strings"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	traceparentBytes = 55
	traceIDOffset    = 3
	traceIDEndOffset = 35
)

// ParseTraceparent returns the trace id of a traceparent header (W3C Trace
// Context, level 1), and false if the header is invalid.
func ParseTraceparent(header string) (request.RootID, bool) {
	root := request.RootID{}
	if len(header) < traceparentBytes || header[2] != '-' || header[traceIDEndOffset] != '-' {
		return root, false
	}
	if strings.HasPrefix(header, "ff") {
		return root, false
	}
	if _, err := hex.Decode(root[:], []byte(header[traceIDOffset:traceIDEndOffset])); err != nil {
		return root, false
	}
	return root, root != request.RootID{}
}

// FormatTraceparent returns the W3C traceparent header of a call: the root is the
// trace id and the call id is the parent id.
func FormatTraceparent(root request.RootID, call request.CallID) string {
	buffer := make([]byte, 0, traceparentBytes)
	buffer = append(buffer, "00-"...)
	buffer = hex.AppendEncode(buffer, root[:])
	buffer = append(buffer, '-')
	span := [8]byte{}
	for index := range span {
		span[index] = byte(call >> (8 * (7 - index)))
	}
	buffer = hex.AppendEncode(buffer, span[:])
	return string(append(buffer, "-01"...))
}
