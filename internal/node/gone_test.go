package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// The end of a connection is seen before it is read, as on a host whose processor is
// taken; a further call that waits on it is no end.
func TestACallerThatLeftIsSeenBeforeItsEndIsRead(t *testing.T) {
	cases := []struct {
		name string
		do   func(caller *net.TCPConn) error
		left bool
	}{
		{"waits", func(*net.TCPConn) error { return nil }, false},
		{"sent more", func(caller *net.TCPConn) error { _, err := caller.Write([]byte("GET")); return err }, false},
		{"closed", func(caller *net.TCPConn) error { return caller.Close() }, true},
		{"reset", func(caller *net.TCPConn) error { _ = caller.SetLinger(0); return caller.Close() }, true},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = listener.Close() }()
			dialled, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = dialled.Close() }()
			accepted, err := listener.Accept()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = accepted.Close() }()
			g.Expect(each.do(dialled.(*net.TCPConn))).To(gomega.Succeed())
			ctx := withConnection(context.Background(), accepted)
			if !each.left {
				g.Expect(hasLeft(ctx)).To(gomega.BeFalse())
				return
			}
			g.Eventually(func() bool { return hasLeft(ctx) }).WithTimeout(time.Minute).Should(gomega.BeTrue())
		})
	}
	ended, end := context.WithCancel(context.Background())
	end()
	gomega.NewWithT(t).Expect(hasLeft(ended)).To(gomega.BeTrue())
	gomega.NewWithT(t).Expect(hasLeft(context.Background())).To(gomega.BeFalse())
}

// A call that was read late is not sent where its caller has left meanwhile.
func TestACallIsNotSentForACallerThatLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	no := &Node{}
	no.pulse.Interval = gateInterval
	no.pulse.Beat(now.Add(-time.Second))
	left, leave := context.WithCancel(context.Background())
	leave()
	og := &outgoing{work: request.Work{Deadline: now.Add(time.Hour)}}
	at := no.try(left, og, nil)
	g.Expect(at.refusal).NotTo(gomega.BeNil())
	g.Expect(at.refusal.Code).To(gomega.Equal(request.CallerLeft))
	g.Expect(at.refusal.Outcome).To(gomega.Equal(request.NotRun))
}
