package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// sent is one request of a requester and what came back.
type sent struct {
	id       string
	status   int
	header   http.Header
	body     []byte
	err      error
	took     time.Duration
	answered time.Time
}

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// requester is one connection to a node.
type requester struct {
	cluster *cluster
	host    *host
	conn    net.Conn
	reader  *bufio.Reader
}

func (cluster *cluster) connect(host *host) (*requester, error) {
	conn, err := net.DialTimeout("tcp", cluster.at(host, cluster.ports.outbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &requester{cluster: cluster, host: host, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (requester *requester) close() { _ = requester.conn.Close() }

// do sends a request and reads the answer.
func (requester *requester) do(method, hostName, path string, body []byte, extra map[string]string) sent {
	result := sent{id: newID()}
	request := bytes.Buffer{}
	fmt.Fprintf(&request, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Magnoliawall-Request-Id: %s\r\nX-Magnoliawall-Deadline-Ms: 5000\r\n", method, path, hostName, result.id)
	for name, value := range extra {
		fmt.Fprintf(&request, "%s: %s\r\n", name, value)
	}
	if len(body) > 0 {
		fmt.Fprintf(&request, "Content-Length: %d\r\n", len(body))
	}
	request.WriteString("\r\n")
	request.Write(body)
	began := time.Now()
	requester.cluster.record.add("request %s sent to %s: %s %s%s", result.id, requester.host.name, method, hostName, path)
	_ = requester.conn.SetDeadline(began.Add(6 * time.Second))
	if _, result.err = requester.conn.Write(request.Bytes()); result.err == nil {
		result.read(requester, method)
	}
	result.answered = time.Now()
	result.took = result.answered.Sub(began)
	requester.cluster.record.add("request %s is answered after %d ms: %d, request id %q, signature %q, body %q, error %v", result.id, result.took.Milliseconds(),
		result.status, result.header.Get("X-Magnoliawall-Request-Id"), result.header.Get("X-Magnoliawall-Response-Signature"), short(result.body), result.err)
	return result
}

func (result *sent) read(requester *requester, method string) {
	response, err := http.ReadResponse(requester.reader, &http.Request{Method: method})
	if err != nil {
		result.err = err
		return
	}
	defer response.Body.Close()
	result.status, result.header = response.StatusCode, response.Header
	result.body, result.err = io.ReadAll(response.Body)
}

func short(body []byte) []byte { return body[:min(len(body), 60)] }

// once sends one request over a connection of its own.
func (cluster *cluster) once(host *host, method, hostName, path string, body []byte, extra map[string]string) sent {
	requester, err := cluster.connect(host)
	if err != nil {
		return sent{id: newID(), err: err}
	}
	defer requester.close()
	return requester.do(method, hostName, path, body, extra)
}
