package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/onsi/gomega"
)

// An attempt without an answer is repeated after its timeout, without waiting for
// a TCP retransmission.
func TestUnansweredDialIsRetried(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	attempts := 0
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn, err := dialWithRetries(t.Context(), func(ctx context.Context) (net.Conn, error) {
		if attempts++; attempts == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return near, nil
	})
	expect(err).NotTo(gomega.HaveOccurred())
	expect(conn.Close()).To(gomega.Succeed())
	expect(attempts).To(gomega.Equal(2))
}

// A refused connection ends the attempts, and so does the end of the context.
func TestDialRetriesEndOnRefusalOrCancellation(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	refused := errors.New("connection refused")
	attempts := 0
	_, err := dialWithRetries(t.Context(), func(context.Context) (net.Conn, error) {
		attempts++
		return nil, refused
	})
	expect(err).To(gomega.MatchError(refused))
	expect(attempts).To(gomega.Equal(1))
	ctx, cancel := context.WithCancel(t.Context())
	_, err = dialWithRetries(ctx, func(ctx context.Context) (net.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	})
	expect(err).To(gomega.MatchError(context.Canceled))
}
