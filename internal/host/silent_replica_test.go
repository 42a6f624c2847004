package host

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/control"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/core/quota"
)

// Guards against calls that wait for a token until a frozen replica goes on, or for seconds,
// though the search for one is bounded. The ping interval, which used to end the wait, is
// longer than the test.
func TestSearchForTokenEndsThoughReplicaIsFrozen(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	thawed := make(chan struct{})
	frozen := &peer.Transport{Self: peer.Hello{Node: "replica"}, Handlers: map[peer.StreamKind]peer.Handler{
		peer.KindControl: func(context.Context, *peer.Stream) { <-thawed },
	}}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- frozen.Serve(ctx, listener) }()
	transport := &peer.Transport{Self: peer.Hello{Node: "node"}, PingInterval: time.Hour}
	t.Cleanup(func() {
		close(thawed)
		stop()
		_ = transport.Close()
		_ = frozen.Close()
		<-ended
	})
	directory := peer.NewDirectory(peer.Address(listener.Addr().String()))
	client := &quotaClient{
		client:    &control.Client{Transport: transport, Replicas: directory},
		replicas:  directory,
		nodeCount: func() int { return 1 },
		logger:    &log.Logger{Writer: &log.IOWriter{Writer: &bytes.Buffer{}}},
		asker:     quota.Asker[peer.Address]{Random: newRandom()},
	}
	granted := make(chan quota.Grant, 1)
	go func() { granted <- client.Take(context.Background(), "salto", quota.Limit{Rate: 1, Burst: 1}) }()
	g.Eventually(granted).WithTimeout(time.Minute).Should(gomega.Receive())
}
