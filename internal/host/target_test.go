package host_test

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
)

// executionLog counts what all targets of a cluster ran, by idempotency key or path,
// and by target.
type executionLog struct {
	lock     sync.Mutex
	byKey    map[string]int
	byTarget map[*testTarget]int
}

func newExecutionLog() *executionLog {
	return &executionLog{byKey: map[string]int{}, byTarget: map[*testTarget]int{}}
}

func (executions *executionLog) count(key string) int {
	executions.lock.Lock()
	defer executions.lock.Unlock()
	return executions.byKey[key]
}

func (executions *executionLog) distinctCount() int {
	executions.lock.Lock()
	defer executions.lock.Unlock()
	return len(executions.byKey)
}

func (executions *executionLog) countAt(target *testTarget) int {
	executions.lock.Lock()
	defer executions.lock.Unlock()
	return executions.byTarget[target]
}

// testTarget is a stand-in for a target of the service agenda. It holds a request
// whose path or key contains "held" until releaseHeld is called, crashes at a request
// whose path contains "poison", and says in all answers until its next crash that it is
// leaving after one whose path contains "leave".
type testTarget struct {
	address     string
	executions  *executionLog
	held        chan struct{}
	release     chan struct{}
	releaseHeld func()

	lock    sync.Mutex
	server  *http.Server
	crashes int
	leaving bool
}

func startTestTarget(t *testing.T, executions *executionLog, address string) *testTarget {
	t.Helper()
	target := &testTarget{executions: executions, address: string(addressWithPort(address, 7405)), held: make(chan struct{}, 16), release: make(chan struct{})}
	target.releaseHeld = sync.OnceFunc(func() { close(target.release) })
	target.restart(t)
	t.Cleanup(target.crash)
	return target
}

// restart starts the target again if it is down.
func (target *testTarget) restart(t *testing.T) {
	t.Helper()
	target.lock.Lock()
	defer target.lock.Unlock()
	if target.server != nil {
		return
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", target.address)
	if err != nil {
		t.Fatal(err)
	}
	target.server = &http.Server{Handler: target}
	go func(server *http.Server) { _ = server.Serve(listener) }(target.server)
}

// crash closes the listener and all connections.
func (target *testTarget) crash() {
	target.lock.Lock()
	defer target.lock.Unlock()
	if target.server != nil {
		_ = target.server.Close()
		target.server = nil
		target.crashes++
		target.leaving = false
	}
}

func (target *testTarget) crashCount() int {
	target.lock.Lock()
	defer target.lock.Unlock()
	return target.crashes
}

func (target *testTarget) isLeaving() bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	return target.leaving
}

// ServeHTTP implements [http.Handler].
func (target *testTarget) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	key := incoming.Header.Get("Idempotency-Key")
	target.executions.lock.Lock()
	target.executions.byTarget[target]++
	target.executions.byKey[cmp.Or(key, incoming.URL.Path)]++
	target.executions.lock.Unlock()
	switch {
	case strings.Contains(incoming.URL.Path, "poison"):
		target.crash()
	case strings.Contains(incoming.URL.Path+key, "held"):
		target.held <- struct{}{}
		<-target.release
	}
	target.lock.Lock()
	target.leaving = target.leaving || strings.Contains(incoming.URL.Path, "leave")
	if target.leaving {
		writer.Header().Set(web.HeaderLeaving, "1")
	}
	target.lock.Unlock()
	_, _ = writer.Write([]byte("done " + key))
}
