package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
)

// startAnsweringPeer returns a node whose only target is a peer that passes on an answer.
func startAnsweringPeer(t *testing.T, answer *atomic.Pointer[peerpb.AnswerHeader]) *host {
	t.Helper()
	entry := startRoutedHost(t, "one", "subsidios", http.NotFoundHandler())
	entry.node.Balancer.EjectionTime = time.Nanosecond
	listener := listen(t)
	transport := &peer.Transport{Handlers: map[peer.StreamKind]peer.Handler{peer.KindCall: peer.ServeCalls(func(_ context.Context, call *peer.Inbound) {
		_ = call.Answer(answer.Load(), strings.NewReader("hi"), nil)
	})}}
	go func() { _ = transport.Serve(t.Context(), listener) }()
	entry.node.Balancer.Update(time.Now(), balancer.View{Service: "agenda", Targets: []balancer.Target{
		{Node: "fake", Incarnation: 1, Address: listener.Addr().String(), Place: testPlace, Slots: 50},
	}})
	return entry
}

// Guards against answers of a peer that no caller can get: net/http takes a status below 200
// for an interim answer and follows it with 200, and ends the connection for others (MIXED).
func TestOddAnswerOfPeerReachesNoCaller(t *testing.T) {
	tests := []struct {
		status   uint32
		header   string
		expected int
	}{
		{200, "X-Y", 200},
		{599, "X-Y", 599},
		{0, "X-Y", 502},
		{99, "X-Y", 502},
		{100, "X-Y", 502},
		{101, "X-Y", 502},
		{103, "X-Y", 502},
		{199, "X-Y", 502},
		{600, "X-Y", 502},
		{1000, "X-Y", 502},
		{1 << 31, "X-Y", 502},
		{200, "X Y", 502},
		{200, "Content-Length ", 502},
	}
	var passed atomic.Pointer[peerpb.AnswerHeader]
	entry := startAnsweringPeer(t, &passed)
	for _, test := range tests {
		for _, path := range []string{"/visits/7", "/visits/grants/7"} {
			t.Run(fmt.Sprintf("status %d, header %q, %s", test.status, test.header, path), func(t *testing.T) {
				expect := gomega.NewWithT(t).Expect
				passed.Store(&peerpb.AnswerHeader{Status: test.status, BodyLength: -1, Headers: []*peerpb.Header{{Name: test.header, Value: "1"}}})
				outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.callers+path, nil)
				expect(err).NotTo(gomega.HaveOccurred())
				outgoing.Host = "visits.example"
				answer, err := http.DefaultClient.Do(outgoing)
				expect(err).NotTo(gomega.HaveOccurred())
				expect(answer.Body.Close()).To(gomega.Succeed())
				expect(answer.StatusCode).To(gomega.Equal(test.expected))
			})
		}
	}
}
