package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// outcome is what a requester saw of one attempt.
type outcome struct {
	id string
	// sentAt is when the last byte of the request was written; zero if it was not.
	sentAt  time.Time
	endedAt time.Time
	status  int
	// named is the id that the answer bears.
	named string
	proof string
	body  string
	err   error
}

func (outcome outcome) String() string {
	if outcome.err != nil {
		return fmt.Sprintf("no complete answer: %v", outcome.err)
	}
	return fmt.Sprintf("%d %q", outcome.status, strings.TrimSpace(outcome.body))
}

// request sends one request on a new connection to the outbound address of a machine.
func (cluster *cluster) request(at *machine, method, path, body string, limit time.Duration) outcome {
	return cluster.requestWith(at, method, path, "", body, limit)
}

// requestWith sends a request with further header lines.
func (cluster *cluster) requestWith(at *machine, method, path, headers, body string, limit time.Duration) outcome {
	result := outcome{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1))}
	defer func() {
		cluster.run.note("requester at %s: %s %s %s, sent %.3f -> %s", at.name, result.id, method, path, cluster.seconds(result.sentAt), result)
	}()
	connection, err := net.DialTimeout("tcp", at.address(cluster.ports.outbound), time.Second)
	if err != nil {
		result.err, result.endedAt = err, time.Now()
		return result
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(limit))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: gota.example\r\n%s: %s\r\n%s: %d\r\n", method, path, headerID, result.id, headerDeadline, limit.Milliseconds()) + headers
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(connection, text+"\r\n"+body); err != nil {
		result.err, result.endedAt = err, time.Now()
		return result
	}
	result.sentAt = time.Now()
	answer, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
	if err == nil {
		var whole []byte
		whole, err = io.ReadAll(answer.Body)
		result.status, result.proof, result.body = answer.StatusCode, answer.Header.Get(headerProof), string(whole)
		result.named = answer.Header.Get(headerID)
	}
	result.err, result.endedAt = err, time.Now()
	return result
}

func (cluster *cluster) seconds(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(cluster.run.began).Seconds()
}

// awaitServed sends requests until one is served, so that the deployment is known to work.
func (cluster *cluster) awaitServed(at *machine, method, path string) error {
	for began := time.Now(); time.Since(began) < 30*time.Second; sleep(cluster.run, 200*time.Millisecond) {
		if result := cluster.request(at, method, path, "", 5*time.Second); result.err == nil && result.status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("no request for %s was served at %s", path, at.name)
}
