package link_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/link"
)

var (
	norteA = request.Place{Region: "norte", Domain: "norte-a"}
	norteB = request.Place{Region: "norte", Domain: "norte-b"}
	surA   = request.Place{Region: "sur", Domain: "sur-a"}
)

func TestLatencyDependsOnBothPlaces(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	latencies := link.Latencies{BetweenDomains: time.Millisecond, BetweenRegions: 20 * time.Millisecond}
	expect(latencies.Between(norteA, norteA)).To(gomega.BeZero())
	expect(latencies.Between(norteA, norteB)).To(gomega.Equal(time.Millisecond))
	expect(latencies.Between(norteA, surA)).To(gomega.Equal(20 * time.Millisecond))
}

func TestDelayedConnectionPreservesByteStream(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	go echo(listener)
	topology := link.NewTopology(link.Latencies{BetweenRegions: 10 * time.Millisecond})
	topology.SetPlace(listener.Addr().String(), surA)

	begin := time.Now()
	conn, err := topology.Dialer(norteA)(context.Background(), "tcp", listener.Addr().String())
	expect(err).NotTo(gomega.HaveOccurred())
	sent := make([]byte, 300_000)
	for index := range sent {
		sent[index] = byte(index * 7)
	}
	go func() { _, _ = conn.Write(sent) }()
	received := make([]byte, len(sent))
	_, err = io.ReadFull(conn, received)
	expect(err).NotTo(gomega.HaveOccurred())
	expect(received).To(gomega.Equal(sent))
	expect(time.Since(begin)).To(gomega.BeNumerically(">=", 20*time.Millisecond))
	expect(conn.Close()).To(gomega.Succeed())
	_, err = conn.Write(sent)
	expect(err).To(gomega.MatchError(net.ErrClosed))
}

func echo(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}
