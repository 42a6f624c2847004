package replication_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/disk"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/replication"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/replica"
)

// startReplicas runs three replicas until the context ends, over loopback
// connections and with files on disk.
func startReplicas(ctx context.Context, test testing.TB, expect *gomega.WithT) ([]*replica.Replica[*ledger.Machine], <-chan error) {
	var listeners []net.Listener
	var addresses []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	var members []*replica.Replica[*ledger.Machine]
	runErrors := make(chan error, len(listeners))
	for number, listener := range listeners {
		folder := &disk.Folder{Directory: filepath.Join(test.TempDir(), fmt.Sprint(number))}
		expect.Expect(folder.Open()).To(gomega.Succeed())
		messenger := &replication.Messenger{}
		transport := &peer.Transport{Handlers: map[peer.StreamKind]peer.Handler{peer.KindQuorum: messenger.Serve}}
		messenger.Transport = transport
		test.Cleanup(func() {
			_ = transport.Close()
			_ = folder.Close()
		})
		member := &replica.Replica[*ledger.Machine]{
			Machine: ledger.New(), Disk: folder, Messenger: messenger,
			Address: addresses[number], Peers: addresses,
		}
		members = append(members, member)
		go func() { _ = transport.Serve(ctx, listener) }()
		go func() { _ = messenger.Run(ctx) }()
		go func() { runErrors <- member.Run(ctx) }()
	}
	return members, runErrors
}

// A command proposed at one of three replicas is read at each of them.
func TestReplicasOverPeerProtocol(t *testing.T) {
	expect := gomega.NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	members, runErrors := startReplicas(ctx, t, expect)
	command := ledger.AdvanceCommand{Elapsed: 5}.Encode()
	_, err := members[0].Propose(ctx, command)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	for _, member := range members {
		var age ledger.Age
		expect.Expect(member.Read(ctx, func(machine *ledger.Machine) { age = machine.Age() })).To(gomega.Succeed())
		expect.Expect(age).To(gomega.Equal(ledger.Age(5)))
	}
	stop()
	for range members {
		expect.Expect(<-runErrors).To(gomega.Succeed())
	}
}

// BenchmarkPropose measures the wall time of proposals of concurrent callers at one
// replica, which may be the leader or forward them to it.
func BenchmarkPropose(b *testing.B) {
	expect := gomega.NewWithT(b)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	members, _ := startReplicas(ctx, b, expect)
	command := ledger.AdvanceCommand{Elapsed: 5}.Encode()
	_, err := members[0].Propose(ctx, command)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	for _, callers := range []int{1, 64, 1024} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			b.SetParallelism(max(1, callers/runtime.GOMAXPROCS(0)))
			b.RunParallel(func(loop *testing.PB) {
				for loop.Next() {
					if _, err := members[1].Propose(ctx, command); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}
