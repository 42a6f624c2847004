package web_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// echoed is a dialect in which targets repeat the name of a call.
type echoed struct{ web.Native }

func (echoed) Belongs(sent, answer http.Header) bool {
	return sent.Get("Call") == answer.Get("Call")
}

// scriptedTarget answers each request that it reads on a connection by the next
// text; an empty one closes the connection.
type scriptedTarget struct {
	net.Listener
	answers  chan string
	requests chan string
	opened   atomic.Int64
}

func startScripted(t *testing.T, answers ...string) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &scriptedTarget{Listener: listener, answers: make(chan string, 16), requests: make(chan string, 16)}
	for _, answer := range answers {
		target.answers <- answer
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.opened.Add(1)
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
		answer := <-target.answers
		cut, closes := strings.CutSuffix(answer, "<close>")
		if _, err := io.WriteString(conn, cut); err != nil || closes {
			return
		}
	}
}

func (target *scriptedTarget) client(dialect web.Dialect) *web.TargetClient {
	client := &web.TargetClient{Address: target.Addr().String(), Connections: 4, Dialect: dialect}
	client.Start()
	return client
}

func call(method, path, name string) web.TargetCall {
	return web.TargetCall{Method: method, Path: path, Host: "agenda", Headers: http.Header{"Call": {name}}}
}

func whole(client *web.TargetClient, sent web.TargetCall) (string, error) {
	answer, err := client.Send(context.Background(), sent)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

// An answer that breaks off fails at its end, and again at each further read.
func TestACutAnswerNeverLooksWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScripted(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart<close>")
	answer, err := target.client(nil).Send(context.Background(), call(http.MethodGet, "/a", "1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadAll(answer.Body)
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
	_, err = answer.Body.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
}

// A call without a body is sent once only, also over a kept connection that
// proves dead when its answer is awaited.
func TestACallIsNeverSentAgainByItself(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScripted(t, fine+"\r\nok", "<close>")
	client := target.client(nil)
	_, err := whole(client, call(http.MethodGet, "/first", "1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = whole(client, call(http.MethodGet, "/second", "2"))
	sent := &web.SentError{}
	g.Expect(errors.As(err, &sent)).To(gomega.BeTrue())
	g.Expect(target.requests).To(gomega.HaveLen(2))
	g.Expect(target.opened.Load()).To(gomega.BeEquivalentTo(1))
}

// The late second answer to an earlier call is passed over.
func TestAnAnswerToAnotherCallIsPassedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScripted(t, fine+"Call: 0\r\n\r\nno"+fine+"Call: 1\r\n\r\nok")
	body, err := whole(target.client(echoed{}), call(http.MethodGet, "/a", "1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("ok"))
}

// Bytes beyond an answer belong to no call: their connection is not used again.
func TestBytesBeyondAnAnswerEndTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScripted(t, fine+"\r\nok"+fine+"\r\nno", fine+"\r\nok")
	client := target.client(nil)
	for _, path := range []string{"/a", "/b"} {
		body, err := whole(client, call(http.MethodGet, path, path))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("ok"))
	}
	g.Expect(target.opened.Load()).To(gomega.BeEquivalentTo(2))
}

// An answer before a long body was read, and the wish to close, end their
// connection too; a plain answer keeps it.
func TestWhichAnswersKeepTheirConnection(t *testing.T) {
	rows := []struct {
		name   string
		answer string
		opened int64
	}{
		{"plain", fine + "\r\nok", 1},
		{"close notice", fine + "Connection: close\r\n\r\nok", 2},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok<close>", 2},
		{"no idle time left", fine + "Keep-Alive: timeout=1\r\n\r\nok", 2},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + fine + "\r\nok", 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target := startScripted(t, row.answer, fine+"\r\nok")
			client := target.client(nil)
			for range 2 {
				body, err := whole(client, call(http.MethodGet, "/a", "1"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(body).To(gomega.Equal("ok"))
			}
			g.Expect(target.opened.Load()).To(gomega.Equal(row.opened))
		})
	}
}

// Path and query reach the target byte for byte.
func TestThePathIsForwardedUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	paths := []string{"/a%2Fb//c;d?q=%20&r=a+b&&", "//a/b", "//a%2Fb//?", "//a?q=//b", "/", "/?"}
	for _, path := range paths {
		target := startScripted(t, fine+"\r\nok")
		_, err := whole(target.client(nil), call(http.MethodGet, path, "1"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(<-target.requests).To(gomega.Equal("GET " + path + " "))
	}
}

// A target that refuses the connection has not run the call.
func TestARefusedConnectionIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	target := startScripted(t)
	client := target.client(nil)
	g.Expect(target.Close()).To(gomega.Succeed())
	_, err := whole(client, call(http.MethodPost, "/a", "1"))
	sent := &web.SentError{}
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(errors.As(err, &sent)).To(gomega.BeFalse())
	g.Expect(request.Describe(request.TargetUnreachable).Outcome).To(gomega.Equal(request.NotRun))
}
