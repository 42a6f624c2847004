package control_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

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

// startReplica serves control streams with a handler and returns its address.
func startReplica(t *testing.T, handler peer.Handler) peer.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &peer.Transport{Self: peer.Hello{Node: "replica"}, Handlers: map[peer.StreamKind]peer.Handler{peer.KindControl: handler}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		_ = server.Close()
		<-ended
	})
	return peer.Address(listener.Addr().String())
}

func newClient(t *testing.T, replicas ...peer.Address) *control.Client {
	t.Helper()
	transport := &peer.Transport{Self: peer.Hello{Node: "node"}}
	t.Cleanup(func() { _ = transport.Close() })
	directory := &peer.Directory{Self: "node"}
	directory.SetSeeds(replicas)
	return &control.Client{Transport: transport, Replicas: directory, AttemptTimeout: time.Minute}
}

// A second copy of the answer to an earlier command is not taken for the answer to the
// next one, which is sent again.
func TestAnswerToEarlierCommandIsNotTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newClient(t, startReplica(t, secondCopies))
	// The replica answers the second command with "first" once more on the same stream,
	// which is closed then.
	for _, command := range []string{"first", "second"} {
		result, err := client.Propose(context.Background(), []byte(command))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(result)).To(gomega.Equal(command))
	}
}

// operations answers every operation with a status.
type operations int

func (status operations) Operate(context.Context, string, []byte) (int, []byte) {
	return int(status), nil
}

// An operation goes round all replicas while they answer that they have no quorum.
func TestOperationAsksEachReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	var replicas []peer.Address
	for _, status := range []operations{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusOK} {
		replicas = append(replicas, startReplica(t, (&control.Server{Operations: status}).Serve))
	}
	client := newClient(t, replicas...)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	status, _, err := client.Operate(ctx, "status", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
}
