package web_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// echoDialect is a dialect in which responses repeat the id of the call.
type echoDialect struct{ web.NativeDialect }

func (echoDialect) NamedCall(sent, response http.Header) web.NamedCall {
	switch response.Get("Call") {
	case "":
		return web.NameMissing
	case sent.Get("Call"):
		return web.OwnCall
	}
	return web.OtherCall
}

// scriptedTarget answers each request with the next scripted text. A text that
// ends in <close> closes the connection after it.
type scriptedTarget struct {
	net.Listener
	responses   chan string
	requests    chan string
	connections atomic.Int64
}

func startScriptedTarget(t *testing.T, responses ...string) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &scriptedTarget{Listener: listener, responses: make(chan string, 16), requests: make(chan string, 16)}
	for _, response := range responses {
		target.responses <- response
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.connections.Add(1)
			go target.serve(conn)
		}
	}()
	return target
}

func (target *scriptedTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(incoming.Body)
		target.requests <- incoming.Method + " " + incoming.RequestURI + " " + string(body)
		response := <-target.responses
		text, closes := strings.CutSuffix(response, "<close>")
		if _, err := io.WriteString(conn, text); err != nil || closes {
			return
		}
	}
}

func (target *scriptedTarget) client(dialect web.Dialect) *web.TargetClient {
	client := &web.TargetClient{Address: target.Addr().String(), Connections: 4, Dialect: dialect}
	client.Start()
	return client
}

func newCall(method, path, name string) web.TargetCall {
	return web.TargetCall{Method: method, Path: path, Host: "agenda", Headers: http.Header{"Call": {name}}}
}

func sendAndReadBody(client *web.TargetClient, sent web.TargetCall) (string, error) {
	response, err := client.Send(context.Background(), sent)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

const okHeader = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

// A truncated response fails where it ends, and again at each later read, so that
// it is never taken for a complete one.
func TestTruncatedResponseFailsEveryRead(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScriptedTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart<close>")
	response, err := target.client(nil).Send(context.Background(), newCall(http.MethodGet, "/a", "1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadAll(response.Body)
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
	_, err = response.Body.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
}

// A call without a body is sent only once, even if its reused connection is closed
// while the response is awaited: the target may have executed it.
func TestCallIsNotResentAutomatically(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScriptedTarget(t, okHeader+"\r\nok", "<close>")
	client := target.client(nil)
	_, err := sendAndReadBody(client, newCall(http.MethodGet, "/first", "1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = sendAndReadBody(client, newCall(http.MethodGet, "/second", "2"))
	sent := &web.SentError{}
	g.Expect(errors.As(err, &sent)).To(gomega.BeTrue())
	g.Expect(target.requests).To(gomega.HaveLen(2))
	g.Expect(target.connections.Load()).To(gomega.BeEquivalentTo(1))
}

// A late second response to an earlier call is skipped.
func TestResponseToAnotherCallIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScriptedTarget(t, okHeader+"Call: 0\r\n\r\nno"+okHeader+"Call: 1\r\n\r\nok")
	body, err := sendAndReadBody(target.client(echoDialect{}), newCall(http.MethodGet, "/a", "1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("ok"))
}

// A target sends a second copy of a response when the connection already carries the
// next call. The caller of that call gets its own response.
func TestSecondCopyOfResponseIsNotTakenForTheNext(t *testing.T) {
	g := gomega.NewWithT(t)
	first, second := okHeader+"Magnoliawall-Call: 1\r\n\r\nno", okHeader+"Magnoliawall-Call: 2\r\n\r\nok"
	target := startScriptedTarget(t, first, first+second)
	client := target.client(nil)
	for index, expected := range []string{"no", "ok"} {
		sent := newCall(http.MethodGet, "/a", "")
		sent.Headers.Set(web.HeaderCall, strconv.Itoa(index+1))
		body, err := sendAndReadBody(client, sent)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal(expected))
	}
	g.Expect(target.connections.Load()).To(gomega.BeEquivalentTo(1))
}

// A call that waits for a connection tells the target the time that is left when it is
// written, not when it began to wait.
func TestTimeLeftIsSetWhenCallIsWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScriptedTarget(t)
	client := &web.TargetClient{Address: target.Addr().String(), Connections: 1}
	client.Start()
	done := make(chan error, 2)
	go func() {
		_, err := sendAndReadBody(client, newCall(http.MethodGet, "/first", ""))
		done <- err
	}()
	g.Eventually(target.requests).WithTimeout(time.Minute).Should(gomega.Receive())

	timeLeft, waits := atomic.Int64{}, make(chan struct{})
	timeLeft.Store(900)
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GetConn: func(string) { close(waits) }})
	stamped := make(chan string, 1)
	go func() {
		call := newCall(http.MethodGet, "/second", "")
		call.BeforeWrite = func(headers http.Header) {
			headers.Set(web.HeaderDeadline, strconv.FormatInt(timeLeft.Load(), 10))
			stamped <- headers.Get(web.HeaderDeadline)
		}
		response, err := client.Send(ctx, call)
		if err == nil {
			err = response.Body.Close()
		}
		done <- err
	}()
	<-waits
	timeLeft.Store(100)
	target.responses <- okHeader + "\r\nok"
	target.responses <- okHeader + "\r\nok"
	g.Expect(<-stamped).To(gomega.Equal("100"))
	g.Expect(<-done).To(gomega.Succeed())
	g.Expect(<-done).To(gomega.Succeed())
}

// Where targets always name the call, a response without a name is taken only on a
// connection that has carried no other call.
func TestResponseWithoutNameIsTakenOnNewConnectionOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	unnamed, named := okHeader+"\r\nno", okHeader+"Call: 2\r\n\r\nok"
	target := startScriptedTarget(t, unnamed, unnamed+named)
	client := target.client(echoDialect{})
	for index, expected := range []string{"no", "ok"} {
		body, err := sendAndReadBody(client, newCall(http.MethodGet, "/a", strconv.Itoa(index+1)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal(expected))
	}
	g.Expect(target.connections.Load()).To(gomega.BeEquivalentTo(1))
}

// Bytes after a response belong to no call, so the connection is not reused.
func TestExtraBytesAfterResponseCloseConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScriptedTarget(t, okHeader+"\r\nok"+okHeader+"\r\nno", okHeader+"\r\nok")
	client := target.client(nil)
	for _, path := range []string{"/a", "/b"} {
		body, err := sendAndReadBody(client, newCall(http.MethodGet, path, path))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("ok"))
	}
	g.Expect(target.connections.Load()).To(gomega.BeEquivalentTo(2))
}

// A response that asks for a close, has no length or leaves no idle time ends its
// connection; any other complete response keeps it.
func TestConnectionReuseByResponse(t *testing.T) {
	tests := []struct {
		name        string
		response    string
		connections int64
	}{
		{"plain", okHeader + "\r\nok", 1},
		{"close notice", okHeader + "Connection: close\r\n\r\nok", 2},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok<close>", 2},
		{"no idle time left", okHeader + "Keep-Alive: timeout=1\r\n\r\nok", 2},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + okHeader + "\r\nok", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target := startScriptedTarget(t, test.response, okHeader+"\r\nok")
			client := target.client(nil)
			for range 2 {
				body, err := sendAndReadBody(client, newCall(http.MethodGet, "/a", "1"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(body).To(gomega.Equal("ok"))
			}
			g.Expect(target.connections.Load()).To(gomega.Equal(test.connections))
		})
	}
}

// The target receives path and query byte for byte.
func TestPathIsForwardedUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	paths := []string{"/a%2Fb//c;d?q=%20&r=a+b&&", "//a/b", "//a%2Fb//?", "//a?q=//b", "/", "/?"}
	for _, path := range paths {
		target := startScriptedTarget(t, okHeader+"\r\nok")
		_, err := sendAndReadBody(target.client(nil), newCall(http.MethodGet, path, "1"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(<-target.requests).To(gomega.Equal("GET " + path + " "))
	}
}

// When the target refuses the connection, the call was not sent.
func TestRefusedConnectionReturnsNoSentError(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScriptedTarget(t)
	client := target.client(nil)
	g.Expect(target.Close()).To(gomega.Succeed())
	_, err := sendAndReadBody(client, newCall(http.MethodPost, "/a", "1"))
	sent := &web.SentError{}
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(errors.As(err, &sent)).To(gomega.BeFalse())
	g.Expect(request.Describe(request.TargetUnreachable).Outcome).To(gomega.Equal(request.NotRun))
}

// TestUnrequestedUpgradeEndsCall guards against the bytes of another protocol that are read
// as the response to a call.
func TestUnrequestedUpgradeEndsCall(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScriptedTarget(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"+okHeader+"Call: 1\r\n\r\nno", okHeader+"Call: 2\r\n\r\nok")
	client := target.client(echoDialect{})
	defer client.Close()
	_, err := client.Send(t.Context(), newCall(http.MethodGet, "/first", "1"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("switches the protocol")))
	second, err := sendAndReadBody(client, newCall(http.MethodGet, "/second", "2"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second).To(gomega.Equal("ok"))
	g.Expect(target.connections.Load()).To(gomega.BeEquivalentTo(2))
}
