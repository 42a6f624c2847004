package web_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
)

// endlessTarget answers each request with a first part and then repeats another one until
// its client closes the connection, or lastByte bytes were written.
type endlessTarget struct {
	net.Listener
	first, repeated string
	written         atomic.Int64
	closed          chan struct{}
}

// lastByte is far more than the sockets between client and target hold.
const lastByte = 64 << 20

func startEndlessTarget(t *testing.T, first, repeated string) *endlessTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &endlessTarget{Listener: listener, first: first, repeated: strings.Repeat(repeated, 1+(32<<10)/len(repeated)), closed: make(chan struct{}, 4)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn)
		}
	}()
	return target
}

func (target *endlessTarget) client() *web.TargetClient {
	client := &web.TargetClient{Address: target.Addr().String(), Connections: 1, Dialect: echoDialect{}}
	client.Start()
	return client
}

func (target *endlessTarget) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		target.closed <- struct{}{}
	}()
	if _, err := conn.Read(make([]byte, 4<<10)); err != nil {
		return
	}
	_, err := io.WriteString(conn, target.first)
	for err == nil && target.written.Load() < lastByte {
		var count int
		count, err = io.WriteString(conn, target.repeated)
		target.written.Add(int64(count))
	}
}

// A head of a response that does not end, before the status line, within it, in one header,
// in many, or as interim responses, breaks the call off after a bounded number of bytes.
func TestHeadWithoutEndIsBrokenOff(t *testing.T) {
	tests := []struct{ name, first, repeated string }{
		{"no response", "", "x"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"one header", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"many headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"responses to another call", "", okHeader + "Call: 0\r\n\r\nno"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			target := startEndlessTarget(t, test.first, test.repeated)
			client := target.client()
			_, err := client.Send(context.Background(), newCall(http.MethodGet, "/a", "1"))
			sent := &web.SentError{}
			expect(errors.As(err, &sent)).To(gomega.BeTrue())
			<-target.closed
			expect(target.written.Load()).To(gomega.BeNumerically("<", lastByte/2))
		})
	}
}

// A body that does not end is read no further than its reader asks for, ends with the call
// and never looks complete.
func TestBodyWithoutEndEndsWithItsCall(t *testing.T) {
	const wanted = 1 << 20
	tests := []struct{ name, first, repeated string }{
		{"no length", "HTTP/1.1 200 OK\r\nCall: 1\r\n\r\n", "x"},
		{"chunks", "HTTP/1.1 200 OK\r\nCall: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"trailer", "HTTP/1.1 200 OK\r\nCall: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			target := startEndlessTarget(t, test.first, test.repeated)
			client := target.client()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			response, err := client.Send(ctx, newCall(http.MethodGet, "/a", "1"))
			expect(err).NotTo(gomega.HaveOccurred())
			_, _ = io.CopyN(io.Discard, response.Body, wanted)
			cancel()
			_, err = io.Copy(io.Discard, response.Body)
			expect(err).To(gomega.HaveOccurred())
			expect(response.Body.Close()).To(gomega.Succeed())
			<-target.closed
			expect(target.written.Load()).To(gomega.BeNumerically("<", lastByte/2))
		})
	}
}

// Idle connections on which a target sends bytes, or that it has closed, are not kept.
func TestIdleConnectionsOfNoUseAreClosed(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	target := startEndlessTarget(t, okHeader+"Call: 1\r\n\r\nok", "x")
	client := target.client()
	response, err := client.Send(context.Background(), newCall(http.MethodGet, "/a", "1"))
	expect(err).NotTo(gomega.HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	expect(response.Body.Close()).To(gomega.Succeed())
	for open := true; open; {
		client.CloseUnusable(time.Now())
		select {
		case <-target.closed:
			open = false
		default:
		}
	}
	expect(target.written.Load()).To(gomega.BeNumerically("<", lastByte))
}

// The body of a response that is not wanted is waited for only so long, and then costs its
// connection.
func TestDiscardBodyDoesNotWaitForItsEnd(t *testing.T) {
	tests := []struct {
		name, first string
		connections int64
	}{
		{"complete", okHeader + "Call: 1\r\n\r\nok", 1},
		{"silent", okHeader + "Call: 1\r\n\r\no", 2},
		{"longer than the limit", "HTTP/1.1 200 OK\r\nCall: 1\r\n\r\n" + strings.Repeat("x", 100), 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			target := startScriptedTarget(t, test.first, okHeader+"Call: 2\r\n\r\nok")
			client := target.client(echoDialect{})
			response, err := client.Send(context.Background(), newCall(http.MethodGet, "/a", "1"))
			expect(err).NotTo(gomega.HaveOccurred())
			web.DiscardBody(response, 10, 10*time.Millisecond)
			body, err := sendAndReadBody(client, newCall(http.MethodGet, "/b", "2"))
			expect(err).NotTo(gomega.HaveOccurred())
			expect(body).To(gomega.Equal("ok"))
			expect(target.connections.Load()).To(gomega.Equal(test.connections))
		})
	}
}
