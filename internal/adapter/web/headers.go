package web

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
)

// Headers that a node reads or writes.
const (
	HeaderService        = "Magnoliawall-Service"
	HeaderDeadline       = "Magnoliawall-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTraceparent    = "Traceparent"
	HeaderCode           = "Magnoliawall-Code"
	// HeaderCustomerKey is the key of the customer that a call is for. Targets get the
	// customer's name in HeaderCustomer instead.
	HeaderCustomerKey = "Magnoliawall-Customer-Key"
	HeaderCustomer    = "Magnoliawall-Customer"
	// HeaderCall is the id of a call at a target, in hexadecimal. A target that repeats
	// it in its response protects the next call on the connection from a late one.
	HeaderCall = "Magnoliawall-Call"
	// HeaderRateLimit is the number of calls per second that a target takes from all
	// callers together, in its responses. HeaderLeaving with the value 1 says that the
	// target is about to stop.
	HeaderRateLimit = "Magnoliawall-Rate-Limit"
	HeaderLeaving   = "Magnoliawall-Leaving"
)

// hopByHop lists the headers that are not forwarded: those of one connection, and
// those that each node sets itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
	HeaderService:         true,
	HeaderDeadline:        true,
	HeaderCode:            true,
	HeaderCall:            true,
}

// EncodeHeaders encodes the end-to-end headers for the transport between nodes.
func EncodeHeaders(headers http.Header) []*peerpb.Header {
	excluded := connectionHeaders(headers)
	encoded := make([]*peerpb.Header, 0, len(headers))
	// One allocation serves all headers; headers with several values are rare.
	storage := make([]peerpb.Header, len(headers))
	for name, values := range headers {
		if hopByHop[name] || excluded[name] {
			continue
		}
		for _, value := range values {
			if len(storage) == 0 {
				storage = make([]peerpb.Header, 1)
			}
			storage[0].Name, storage[0].Value = name, value
			encoded = append(encoded, &storage[0])
			storage = storage[1:]
		}
	}
	return encoded
}

// connectionHeaders returns the headers that the Connection header declares
// hop-by-hop.
func connectionHeaders(headers http.Header) map[string]bool {
	values := headers["Connection"]
	if len(values) == 0 {
		return nil
	}
	excluded := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			excluded[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return excluded
}

// DecodeHeaders adds headers that a peer encoded to headers, without hop-by-hop
// ones.
func DecodeHeaders(headers http.Header, encoded []*peerpb.Header) {
	values := make([]string, len(encoded))
	for index, header := range encoded {
		name := textproto.CanonicalMIMEHeaderKey(header.GetName())
		if hopByHop[name] {
			continue
		}
		values[index] = header.GetValue()
		if present := headers[name]; len(present) > 0 {
			headers[name] = append(present, values[index])
			continue
		}
		headers[name] = values[index : index+1 : index+1]
	}
}
