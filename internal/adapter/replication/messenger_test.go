package replication_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/disk"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/replication"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/replica"
)

// TestReplicasOverPeerProtocol forms a log of three replicas over loopback and
// real files, and reads at one what was proposed at another.
func TestReplicasOverPeerProtocol(t *testing.T) {
	expect := gomega.NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	var listeners []net.Listener
	var addresses []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	var controls []*replica.Replica[*ledger.Machine]
	ended := make(chan error, len(listeners))
	for number, listener := range listeners {
		folder := &disk.Folder{Directory: filepath.Join(t.TempDir(), fmt.Sprint(number))}
		expect.Expect(folder.Open()).To(gomega.Succeed())
		defer folder.Close()
		messenger := &replication.Messenger{}
		transport := &peer.Transport{Handlers: map[peer.Kind]peer.Handler{peer.KindQuorum: messenger.Serve}}
		defer transport.Close()
		messenger.Transport = transport
		control := &replica.Replica[*ledger.Machine]{
			Machine: ledger.New(), Disk: folder, Messenger: messenger,
			Address: addresses[number], Peers: addresses,
		}
		controls = append(controls, control)
		go func() { _ = transport.Serve(ctx, listener) }()
		go func() { _ = messenger.Run(ctx) }()
		go func() { ended <- control.Run(ctx) }()
	}
	command := ledger.AdvanceCommand{Elapsed: 5}.Encode()
	_, err := controls[0].Propose(ctx, command)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	for _, control := range controls {
		var age ledger.Age
		expect.Expect(control.Read(ctx, func(machine *ledger.Machine) { age = machine.Age() })).To(gomega.Succeed())
		expect.Expect(age).To(gomega.Equal(ledger.Age(5)))
	}
	stop()
	for range controls {
		expect.Expect(<-ended).To(gomega.Succeed())
	}
}
