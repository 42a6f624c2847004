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

// A call that is answered before the peer asked for its body leaves nothing
// behind that a later call would meet.
func TestAnAnswerBeforeConsentSpoilsNoLaterCall(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(gomega.HaveOccurred())
	serving := &Transport{Self: Hello{Node: "two"}, Handlers: map[Kind]Handler{KindCall: ServeCalls(answerAtOnce)}}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- serving.Serve(ctx, listener) }()
	calling := &Transport{Self: Hello{Node: "one"}}
	defer func() {
		stop()
		_ = listener.Close()
		_ = calling.Close()
		_ = serving.Close()
		<-ended
	}()
	for number := range request.CallID(20) {
		header := &peerpb.CallHeader{AwaitContinue: number%2 == 0, BodyLength: 4}
		exchange, answer, err := calling.Call(t.Context(), Address(listener.Addr().String()), number+1, header, bytes.NewBufferString("body"))
		expect(err).NotTo(gomega.HaveOccurred(), "call %d", number)
		expect(answer.GetStatus()).To(gomega.BeEquivalentTo(http.StatusServiceUnavailable))
		_, err = io.ReadAll(exchange.Body())
		expect(err).NotTo(gomega.HaveOccurred(), "call %d", number)
		exchange.Finish()
	}
}

// answerAtOnce refuses a call without its body.
func answerAtOnce(_ context.Context, call *Inbound) {
	_ = call.Answer(&peerpb.AnswerHeader{Status: http.StatusServiceUnavailable}, http.NoBody, func() *peerpb.Report { return &peerpb.Report{} })
}
