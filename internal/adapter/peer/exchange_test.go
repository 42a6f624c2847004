package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A stream on which a call was answered before the peer asked for its body is not
// reused. Otherwise the peer would read the next call as that body.
func TestStreamAnsweredBeforeConsentIsNotReused(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(gomega.HaveOccurred())
	server := &Transport{Self: Hello{Node: "two"}, Handlers: map[StreamKind]Handler{KindCall: ServeCalls(answerWithoutBody)}}
	ctx, stop := context.WithCancel(t.Context())
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ctx, listener) }()
	client := &Transport{Self: Hello{Node: "one"}}
	defer func() {
		stop()
		_ = listener.Close()
		_ = client.Close()
		_ = server.Close()
		<-serveErr
	}()
	for number := range request.CallID(20) {
		header := &peerpb.CallHeader{AwaitContinue: number%2 == 0, BodyLength: 4}
		exchange, answer, err := client.Call(t.Context(), Address(listener.Addr().String()), Outbound{Call: number + 1, Header: header, Body: bytes.NewBufferString("body")})
		expect(err).NotTo(gomega.HaveOccurred(), "call %d", number)
		expect(answer.GetStatus()).To(gomega.BeEquivalentTo(http.StatusServiceUnavailable))
		_, err = io.ReadAll(exchange.Body())
		expect(err).NotTo(gomega.HaveOccurred(), "call %d", number)
		exchange.Finish()
	}
}

// answerWithoutBody rejects a call without reading its body.
func answerWithoutBody(_ context.Context, call *Inbound) {
	_ = call.Answer(&peerpb.AnswerHeader{Status: http.StatusServiceUnavailable}, http.NoBody, func() *peerpb.Report { return &peerpb.Report{} })
}
