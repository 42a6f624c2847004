package node

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// connectedPair returns both ends of a connection, which close with the test.
func connectedPair(t *testing.T) (caller, accepted *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close() })
	served, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = served.Close() })
	return dialled.(*net.TCPConn), served.(*net.TCPConn)
}

// On a host with a busy processor the end of a connection may not have been read yet
// when a call is sent. hasLeft must see it nevertheless, and must not take pipelined
// data for it.
func TestHasLeftSeesUnreadEndOfConnection(t *testing.T) {
	cases := []struct {
		name string
		act  func(caller *net.TCPConn) error
		left bool
	}{
		{"waiting", func(*net.TCPConn) error { return nil }, false},
		{"sent more", func(caller *net.TCPConn) error { _, err := caller.Write([]byte("GET")); return err }, false},
		{"sent more and closed", func(caller *net.TCPConn) error {
			_, err := caller.Write([]byte("GET"))
			return errors.Join(err, caller.Close())
		}, true},
		{"closed", func(caller *net.TCPConn) error { return caller.Close() }, true},
		{"reset", func(caller *net.TCPConn) error { _ = caller.SetLinger(0); return caller.Close() }, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			caller, accepted := connectedPair(t)
			g.Expect(test.act(caller)).To(gomega.Succeed())
			ctx := withConnection(context.Background(), accepted)
			if !test.left {
				g.Expect(hasLeft(ctx)).To(gomega.BeFalse())
				return
			}
			g.Eventually(func() bool { return hasLeft(ctx) }).WithTimeout(time.Minute).Should(gomega.BeTrue())
		})
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	gomega.NewWithT(t).Expect(hasLeft(cancelled)).To(gomega.BeTrue())
	gomega.NewWithT(t).Expect(hasLeft(context.Background())).To(gomega.BeFalse())
}

// While a call is served, net/http reads ahead on its connection. hasLeft must not
// wait for that read to end, or the call outlasts its deadline.
func TestHasLeftDoesNotWaitForReader(t *testing.T) {
	g := gomega.NewWithT(t)
	_, accepted := connectedPair(t)
	reading, readEnds := make(chan struct{}), make(chan struct{})
	defer close(readEnds)
	raw, err := accepted.SyscallConn()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() {
		_ = raw.Read(func(uintptr) bool {
			close(reading)
			<-readEnds
			return true
		})
	}()
	<-reading
	looked := make(chan bool, 1)
	go func() { looked <- hasLeft(withConnection(context.Background(), accepted)) }()
	g.Eventually(looked).WithTimeout(time.Minute).Should(gomega.Receive(gomega.BeFalse()))
}

// A call that was read late is not sent if its caller has left in the meantime.
func TestLateCallOfDepartedCallerIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	node := &Node{counters: newCounters()}
	node.lagMonitor.Interval = gateTickInterval
	node.lagMonitor.RecordTick(now.Add(-time.Second))
	left, leave := context.WithCancel(context.Background())
	leave()
	outbound := &outboundCall{work: request.Work{Deadline: now.Add(time.Hour)}}
	attempt := node.tryTarget(left, outbound, nil)
	g.Expect(attempt.refusal).NotTo(gomega.BeNil())
	g.Expect(attempt.refusal.Code).To(gomega.Equal(request.CallerLeft))
	g.Expect(attempt.refusal.Outcome).To(gomega.Equal(request.NotRun))
}
