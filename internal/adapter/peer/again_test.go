package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/onsi/gomega"
)

// A host that does not answer the first try is tried anew, without the wait for
// a repetition by TCP.
func TestASilentHostIsDialledAnew(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	tries := 0
	here, there := net.Pipe()
	defer func() { _ = there.Close() }()
	conn, err := dialAgain(t.Context(), func(ctx context.Context) (net.Conn, error) {
		if tries++; tries == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return here, nil
	})
	expect(err).NotTo(gomega.HaveOccurred())
	expect(conn.Close()).To(gomega.Succeed())
	expect(tries).To(gomega.Equal(2))
}

// A refusal ends the dialling, and so does the caller.
func TestDiallingEnds(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	refused := errors.New("connection refused")
	tries := 0
	_, err := dialAgain(t.Context(), func(context.Context) (net.Conn, error) {
		tries++
		return nil, refused
	})
	expect(err).To(gomega.MatchError(refused))
	expect(tries).To(gomega.Equal(1))
	ctx, cancel := context.WithCancel(t.Context())
	_, err = dialAgain(ctx, func(ctx context.Context) (net.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	})
	expect(err).To(gomega.MatchError(context.Canceled))
}
