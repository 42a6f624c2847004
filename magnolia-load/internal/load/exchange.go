package load

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
)

// exchange watches one attempt on its connection. The HTTP client calls it from its own
// goroutines.
type exchange struct {
	onKeptConnection atomic.Bool
	written          atomic.Bool
	answerBegun      atomic.Bool
}

func (exchange *exchange) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			exchange.onKeptConnection.Store(info.Reused)
			exchange.written.Store(false)
		},
		WroteRequest:         func(info httptrace.WroteRequestInfo) { exchange.written.Store(info.Err == nil) },
		GotFirstResponseByte: func() { exchange.answerBegun.Store(true) },
	})
}

// wasCut reports whether the connection ended without the whole answer to a request that
// had been written whole, or in the middle of the answer. On a kept connection that ends
// before the answer, the request may have crossed the server's close, which is no cut.
func (exchange *exchange) wasCut(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return false
	}
	return exchange.answerBegun.Load() || exchange.written.Load() && !exchange.onKeptConnection.Load()
}
