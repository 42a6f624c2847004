package web

import (
	"encoding/hex"
	"strings"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	traceparentLength = 55
	traceIDStart      = 3
	traceIDEnd        = 35
)

// ParseTraceparent reads the trace id of a W3C traceparent header, level 1.
func ParseTraceparent(header string) (request.RootID, bool) {
	root := request.RootID{}
	if len(header) < traceparentLength || header[2] != '-' || header[traceIDEnd] != '-' {
		return root, false
	}
	if strings.HasPrefix(header, "ff") {
		return root, false
	}
	if _, err := hex.Decode(root[:], []byte(header[traceIDStart:traceIDEnd])); err != nil {
		return root, false
	}
	return root, root != request.RootID{}
}

// FormatTraceparent writes a W3C traceparent header for a call below a root.
func FormatTraceparent(root request.RootID, call request.CallID) string {
	buffer := make([]byte, 0, traceparentLength)
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
