package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"time"
)

func init() { plays["early-answer"] = earlyAnswer }

const (
	uploadBytes = 240_000
	uploadPart  = 12_000
	uploadPause = 20 * time.Millisecond
	readFirst   = 24_000
	largeAnswer = 200_000
	answerPause = 1500 * time.Millisecond
	firstAnswer = 160_000
	uploadCount = 80
	uploaders   = 4
	// One of earlyEvery uploads of the instance is answered early, from earlyFrom after the
	// first one on and for earlyTime.
	earlyEvery = 3
	earlyFrom  = 3 * time.Second
	earlyTime  = 5500 * time.Millisecond
)

// photo is a body in which each eight bytes state their own position.
func photo() []byte {
	body := make([]byte, uploadBytes)
	for position := 0; position < len(body); position += 8 {
		binary.BigEndian.PutUint64(body[position:], uint64(position))
	}
	return body
}

// earlyServer is an instance that answers some uploads before it has read all of them, keeps
// the connection and reads on. It compares what it reads with what the requester sends.
type earlyServer struct {
	instance *instance
	record   *record
	early    bool
	// first is when the first upload came.
	first time.Time

	lock sync.Mutex
	// wrong is the number of uploads of which other bytes arrived where the rest was due.
	wrong, ran, answeredEarly int
}

// serve serves one connection.
func (server *earlyServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Magnoliawall-Instance-Id: %s\r\n\r\n", server.instance.id)
			continue
		}
		if !server.upload(conn, request) {
			return
		}
	}
}

// isEarly counts an upload and reports whether it is answered early.
func (server *earlyServer) isEarly() bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	server.ran++
	if server.first.IsZero() {
		server.first = time.Now()
	}
	since := time.Since(server.first) - earlyFrom
	if !server.early || since < 0 || since > earlyTime || server.ran%earlyEvery != 0 {
		return false
	}
	server.answeredEarly++
	return true
}

func (server *earlyServer) upload(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("X-Magnoliawall-Request-Id")
	server.record.add("%s runs request %s: %s %s, length %d", server.instance.id, id, request.Method, request.URL.Path, request.ContentLength)
	first := uploadBytes
	if server.isEarly() {
		first = readFirst
	}
	got := make([]byte, first, uploadBytes)
	if _, err := io.ReadFull(request.Body, got); err != nil {
		server.record.add("%s: the body of %s ends early: %v", server.instance.id, id, err)
		return false
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Magnoliawall-Request-Id: %s\r\nX-Magnoliawall-Response-Signature: %s.%s\r\n\r\n", largeAnswer, id, server.instance.id, id)
	rest := make(chan []byte, 1)
	go func() {
		later, err := io.ReadAll(request.Body)
		server.record.add("%s: read %d more bytes of the body of %s, then %v", server.instance.id, len(later), id, err)
		rest <- later
	}()
	_, _ = conn.Write(bytes.Repeat([]byte{'a'}, firstAnswer))
	// The rest of the answer follows when the body has been read.
	select {
	case later := <-rest:
		got = append(got, later...)
		_, _ = conn.Write(bytes.Repeat([]byte{'b'}, largeAnswer-firstAnswer))
	case <-time.After(answerPause):
		_, _ = conn.Write(bytes.Repeat([]byte{'b'}, largeAnswer-firstAnswer))
		got = append(got, <-rest...)
	}
	server.compare(id, got)
	return len(got) == uploadBytes
}

// compare looks for bytes that were not sent at their position.
func (server *earlyServer) compare(id string, got []byte) {
	want := photo()
	server.lock.Lock()
	defer server.lock.Unlock()
	for position := range min(len(got), len(want)) {
		if got[position] != want[position] {
			position -= position % 8
			server.wrong++
			stated := uint64(0)
			if position+8 <= len(got) {
				stated = binary.BigEndian.Uint64(got[position:])
			}
			server.record.say("upload %s: at byte %d of the body the instance got the bytes of position %d", id, position, stated)
			return
		}
	}
	server.record.add("upload %s: %d bytes arrived, all where they were due", id, len(got))
}

// earlyAnswer uploads photos to two instances, one of which answers some of them before it has
// read them, for some seconds and with an answer of 200 KB. Without the disruption both answer
// each when they have read the whole body.
func earlyAnswer(record *record, trouble bool) (bool, error) {
	cluster, err := newCluster(record, 3, "evidencia", "evidencia", "subsidios", "subsidios")
	if err != nil {
		return false, err
	}
	defer cluster.close()
	// The last machine is in the zone of the first one.
	from := cluster.sidecars()[3]
	server, other := &earlyServer{record: record, early: trouble}, &earlyServer{record: record}
	cluster.sidecars()[0].serve, cluster.sidecars()[1].serve = server.listen, other.listen
	if err := cluster.startAll(); err != nil {
		return false, err
	}
	if err := cluster.mustPut(manifest(map[string]any{"r-photo": route("evidencia.example", "/photo/", "upload", "evidencia")}, "evidencia", "subsidios")); err != nil {
		return false, err
	}
	if err := cluster.awaitReady(cluster.sidecars()...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	statuses, lock := map[int]int{}, sync.Mutex{}
	workers := sync.WaitGroup{}
	for worker := range uploaders {
		workers.Go(func() {
			for number := worker; number < uploadCount; number += uploaders {
				status := 0
				if requester, err := cluster.connect(from); err == nil {
					// Three of four bodies are sent in chunks.
					status = requester.upload(fmt.Sprintf("/photo/%d", number), number%4 != 0).status
					requester.close()
				}
				lock.Lock()
				statuses[status]++
				lock.Unlock()
			}
		})
	}
	workers.Wait()
	time.Sleep(time.Second)
	server.lock.Lock()
	defer server.lock.Unlock()
	other.lock.Lock()
	defer other.lock.Unlock()
	ran := server.ran + other.ran
	record.say("%d uploads, by status %v; %d ran, %d of them at the instance that answers some early; %d were answered early, and %d got other bytes where the rest of the body was due",
		uploadCount, statuses, ran, server.ran, server.answeredEarly, server.wrong+other.wrong)
	if ran < uploadCount/2 || trouble && server.answeredEarly == 0 {
		return false, errors.New("too few uploads ran")
	}
	return server.wrong+other.wrong > 0, nil
}

func (server *earlyServer) listen(instance *instance, listener net.Listener) {
	server.instance = instance
	defer listener.Close()
	for {
		// Ends with this process.
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go server.serve(conn)
		}
	}
}

// upload sends a body in parts and reads the answer meanwhile.
func (requester *requester) upload(path string, chunked bool) sent {
	result := sent{id: newID()}
	requester.cluster.record.add("request %s sent to %s: POST %s, %d bytes, chunked %v", result.id, requester.host.name, path, uploadBytes, chunked)
	began := time.Now()
	_ = requester.conn.SetDeadline(began.Add(6 * time.Second))
	length := fmt.Sprintf("Content-Length: %d", uploadBytes)
	var body io.WriteCloser = plainWriter{requester.conn}
	if chunked {
		length, body = "Transfer-Encoding: chunked", httputil.NewChunkedWriter(requester.conn)
	}
	fmt.Fprintf(requester.conn, "POST %s HTTP/1.1\r\nHost: evidencia.example\r\nX-Magnoliawall-Request-Id: %s\r\nX-Magnoliawall-Deadline-Ms: 5000\r\n%s\r\n\r\n", path, result.id, length)
	written := make(chan error, 1)
	go func() { written <- sendParts(body, requester.conn, chunked) }()
	result.read(requester, http.MethodPost)
	result.took = time.Since(began)
	requester.cluster.record.add("request %s is answered after %d ms: %d, %d bytes, error %v", result.id, result.took.Milliseconds(), result.status, len(result.body), result.err)
	select {
	case err := <-written:
		requester.cluster.record.add("request %s: the body was sent: %v", result.id, err)
	case <-time.After(2 * time.Second):
	}
	return result
}

type plainWriter struct{ io.Writer }

func (plainWriter) Close() error { return nil }

func sendParts(body io.WriteCloser, conn net.Conn, chunked bool) error {
	whole := photo()
	for position := 0; position < len(whole); position += uploadPart {
		if _, err := body.Write(whole[position : position+uploadPart]); err != nil {
			return err
		}
		time.Sleep(uploadPause)
	}
	if err := body.Close(); err != nil || !chunked {
		return err
	}
	_, err := io.WriteString(conn, "\r\n")
	return err
}
