package host_test

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// record is what all targets of a site ran, by idempotency key or path, and by target.
type record struct {
	lock sync.Mutex
	keys map[string]int
	at   map[*target]int
}

func newRecord() *record {
	return &record{keys: map[string]int{}, at: map[*target]int{}}
}

func (re *record) runs(key string) int {
	re.lock.Lock()
	defer re.lock.Unlock()
	return re.keys[key]
}

func (re *record) total() int {
	re.lock.Lock()
	defer re.lock.Unlock()
	return len(re.keys)
}

func (re *record) runsAt(ta *target) int {
	re.lock.Lock()
	defer re.lock.Unlock()
	return re.at[ta]
}

// target is a stand-in of agenda. It holds a request whose path or key has
// "held" until released, and goes down with all its connections at one with "poison".
type target struct {
	address string
	record  *record
	held    chan struct{}
	release chan struct{}
	letGo   func()

	lock   sync.Mutex
	server *http.Server
	deaths int
}

func startTarget(t *testing.T, re *record, address string) *target {
	t.Helper()
	ta := &target{record: re, address: string(at(address, 7405)), held: make(chan struct{}, 16), release: make(chan struct{})}
	ta.letGo = sync.OnceFunc(func() { close(ta.release) })
	ta.revive(t)
	t.Cleanup(ta.die)
	return ta
}

// revive starts the target again where it is down.
func (ta *target) revive(t *testing.T) {
	t.Helper()
	ta.lock.Lock()
	defer ta.lock.Unlock()
	if ta.server != nil {
		return
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", ta.address)
	if err != nil {
		t.Fatal(err)
	}
	ta.server = &http.Server{Handler: ta}
	go func(server *http.Server) { _ = server.Serve(listener) }(ta.server)
}

// die closes the listener and all connections.
func (ta *target) die() {
	ta.lock.Lock()
	defer ta.lock.Unlock()
	if ta.server != nil {
		_ = ta.server.Close()
		ta.server = nil
		ta.deaths++
	}
}

func (ta *target) died() int {
	ta.lock.Lock()
	defer ta.lock.Unlock()
	return ta.deaths
}

// ServeHTTP runs one request.
func (ta *target) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	key := incoming.Header.Get("Idempotency-Key")
	ta.record.lock.Lock()
	ta.record.at[ta]++
	ta.record.keys[cmp.Or(key, incoming.URL.Path)]++
	ta.record.lock.Unlock()
	switch {
	case strings.Contains(incoming.URL.Path, "poison"):
		ta.die()
	case strings.Contains(incoming.URL.Path+key, "held"):
		ta.held <- struct{}{}
		<-ta.release
	}
	_, _ = writer.Write([]byte("done " + key))
}
