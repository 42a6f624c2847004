package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// outgoing is one request of a requester, or a call of an instance.
type outgoing struct {
	method  string
	host    string
	path    string
	body    string
	limit   time.Duration
	headers map[string]string
}

// answer is what the sender of a request saw.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// err says that the connection ended without a complete answer.
	err  error
	took time.Duration
}

func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to the process on a machine, on a new connection, and waits for its
// answer until its time limit.
func send(ctx context.Context, log *record, machine *machine, sent outgoing) answer {
	id := newRequestID()
	began := time.Now()
	log.add("sent: id %s to %s: %s http://%s%s, time limit %d ms", id, machine.name, sent.method, sent.host, sent.path, sent.limit.Milliseconds())
	got := exchange(ctx, machine, id, sent)
	got.id, got.took = id, time.Since(began)
	if got.err != nil {
		log.add("answered: id %s: no complete answer: %v, after %.3f s", id, got.err, got.took.Seconds())
		return got
	}
	log.add("answered: id %s: %d, id in the answer %q, signature %q, %d bytes, after %.3f s", id, got.status,
		got.header.Get(headerRequestID), got.header.Get(headerSignature), len(got.body), got.took.Seconds())
	return got
}

func exchange(ctx context.Context, machine *machine, id string, sent outgoing) answer {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", machine.address(portOutbound))
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.SetDeadline(time.Now().Add(sent.limit)); err != nil {
		return answer{err: err}
	}
	request, err := http.NewRequestWithContext(ctx, sent.method, "http://"+sent.host+sent.path, strings.NewReader(sent.body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set(headerRequestID, id)
	request.Header.Set(headerDeadline, fmt.Sprint(sent.limit.Milliseconds()))
	for name, value := range sent.headers {
		request.Header.Set(name, value)
	}
	if err := request.Write(conn); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
