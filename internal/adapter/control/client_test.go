package control_test

import (
	"context"
	"net"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/control"
	"github.com/magnoliawall/magnoliawall/internal/adapter/control/controlpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
)

// secondCopies answers the first request of a stream, and each later one with another
// copy of that answer.
func secondCopies(_ context.Context, stream *peer.Stream) {
	first := controlpb.Request{}
	call, err := stream.ReceiveMessage(&first)
	for err == nil {
		if stream.Send(call, &controlpb.Answer{Result: first.GetCommand()}) != nil {
			return
		}
		_, err = stream.ReceiveMessage(&controlpb.Request{})
	}
}

// A second copy of the answer to an earlier command is not taken for the answer to the
// next one, which is sent again.
func TestAnswerToEarlierCommandIsNotTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := &peer.Transport{Self: peer.Hello{Node: "replica"}, Handlers: map[peer.StreamKind]peer.Handler{peer.KindControl: secondCopies}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	transport := &peer.Transport{Self: peer.Hello{Node: "node"}}
	defer func() {
		stop()
		_ = transport.Close()
		_ = server.Close()
		<-ended
	}()
	directory := &peer.Directory{Self: "node"}
	directory.SetSeeds([]peer.Address{peer.Address(listener.Addr().String())})
	client := &control.Client{Transport: transport, Replicas: directory}

	result, err := client.Propose(context.Background(), []byte("first"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result).To(gomega.Equal([]byte("first")))
	// The replica answers "first" once more on the same stream, which is closed then.
	result, err = client.Propose(context.Background(), []byte("second"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result).To(gomega.Equal([]byte("second")))
}
