package peer

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A connection that was opened to ask a replica, and carries nothing else, must be closed;
// otherwise each node would end up with a connection to each replica.
func TestConnectionOfRegistryStreamsIsClosedAfterLastOne(t *testing.T) {
	g := gomega.NewWithT(t)
	fixture := startSilenceFixture(t)
	stream, err := fixture.client.Open(context.Background(), fixture.address, KindRegistry)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(stream.Close()).To(gomega.Succeed())
	conn := <-fixture.conns
	g.Eventually(conn.closed.Load).WithTimeout(time.Minute).Should(gomega.BeTrue())
}

// A connection that is used for calls must be kept while it carries none, as the next call
// would wait for another one.
func TestUnusedConnectionOfCallsIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	for name, use := range map[string]func(*silenceFixture) error{
		"called": func(fixture *silenceFixture) error { _, err := fixture.call(2); return err },
		"connected": func(fixture *silenceFixture) error {
			return fixture.client.Connect(context.Background(), fixture.address)
		},
	} {
		fixture := startSilenceFixture(t)
		g.Expect(use(fixture)).To(gomega.Succeed(), name)
		stream, err := fixture.client.Open(context.Background(), fixture.address, KindRegistry)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(stream.Close()).To(gomega.Succeed(), name)
		g.Expect(fixture.client.discard(fixture.address, stream.session)).To(gomega.BeFalse(), name)
		g.Expect((<-fixture.conns).closed.Load()).To(gomega.BeFalse(), name)
	}
}
