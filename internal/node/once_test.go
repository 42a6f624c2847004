package node_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

// fakeLedger is a ledger without a log. While it is away it records nothing.
type fakeLedger struct {
	lock    sync.Mutex
	machine *ledger.Machine
	index   uint64
	away    atomic.Bool
}

func (ledger *fakeLedger) Propose(_ context.Context, command []byte) ([]byte, error) {
	if ledger.away.Load() {
		return nil, errors.New("away")
	}
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.index++
	return ledger.machine.Apply(ledger.index, command)
}

// bookings is a target that counts what it runs. Before it answers a request it
// waits for release, where one is set; it breaks the connection where told.
type bookings struct {
	runs    atomic.Int64
	started chan struct{}
	release chan struct{}
	breaks  atomic.Bool
}

func (bo *bookings) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	body, _ := io.ReadAll(incoming.Body)
	bo.runs.Add(1)
	if bo.started != nil {
		bo.started <- struct{}{}
		<-bo.release
	}
	if bo.breaks.Load() {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(http.StatusCreated)
	_, _ = writer.Write(append([]byte("booked "), body...))
}

type problem struct {
	Code    int    `json:"code"`
	Outcome string `json:"outcome"`
}

func book(t *testing.T, entry *host, key, body string) (int, string, problem) {
	t.Helper()
	answer, content := call(t, entry.callers, "agenda", http.MethodPost, "/visits", strings.NewReader(body), "Idempotency-Key", key)
	told := problem{}
	_ = json.Unmarshal(content, &told)
	return answer.StatusCode, string(content), told
}

func startOnce(t *testing.T, target http.Handler) (*host, *host, *fakeLedger) {
	t.Helper()
	shared := &fakeLedger{machine: ledger.New()}
	entry := startClaiming(t, "one", "consumo", http.NotFoundHandler(), shared)
	agenda := startClaiming(t, "two", "agenda", target, shared)
	connect(entry, agenda)
	return entry, agenda, shared
}

func TestResendGetsTheKeptAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &bookings{}
	entry, _, _ := startOnce(t, target)
	for range 3 {
		status, content, _ := book(t, entry, "k1", "tuesday")
		g.Expect(status).To(gomega.Equal(http.StatusCreated), content)
		g.Expect(content).To(gomega.Equal("booked tuesday"))
	}
	status, _, told := book(t, entry, "k1", "friday")
	g.Expect(status).To(gomega.Equal(http.StatusUnprocessableEntity))
	g.Expect(told).To(gomega.Equal(problem{Code: 1007, Outcome: "not-run"}))
	answer, _ := call(t, entry.callers, "agenda", http.MethodPost, "/visits", strings.NewReader("x"))
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(target.runs.Load()).To(gomega.BeEquivalentTo(1))
}

func TestActionGoesOnWhenItsCallerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &bookings{started: make(chan struct{}), release: make(chan struct{})}
	entry, _, _ := startOnce(t, target)
	ctx, leave := context.WithCancel(t.Context())
	outgoing, _ := http.NewRequestWithContext(ctx, http.MethodPost, entry.callers+"/visits", strings.NewReader("tuesday"))
	outgoing.Host = "agenda"
	outgoing.Header.Set("Idempotency-Key", "k1")
	left := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(outgoing)
		left <- err
	}()
	<-target.started
	leave()
	g.Expect(<-left).To(gomega.MatchError(context.Canceled))
	close(target.release)
	status, content, _ := book(t, entry, "k1", "tuesday")
	g.Expect(status).To(gomega.Equal(http.StatusCreated), content)
	g.Expect(target.runs.Load()).To(gomega.BeEquivalentTo(1))
}

func TestLostAnswerIsNeverRunAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &bookings{}
	entry, _, _ := startOnce(t, target)
	status, content, _ := book(t, entry, "k0", "opens the connection that the next call uses")
	g.Expect(status).To(gomega.Equal(http.StatusCreated), content)
	target.breaks.Store(true)
	_, content, told := book(t, entry, "k1", "")
	g.Expect(told).To(gomega.Equal(problem{Code: 3003, Outcome: "unknown"}), content)
	_, content, told = book(t, entry, "k1", "")
	g.Expect(told).To(gomega.Equal(problem{Code: 4004, Outcome: "unknown"}), content)
	g.Expect(target.runs.Load()).To(gomega.BeEquivalentTo(2))
}

func TestNothingRunsWithoutAClaim(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &bookings{}
	entry, _, shared := startOnce(t, target)
	shared.away.Store(true)
	status, content, told := book(t, entry, "k1", "tuesday")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), content)
	g.Expect(told.Outcome).To(gomega.Equal("unknown"))
	shared.away.Store(false)
	status, content, _ = book(t, entry, "k2", "tuesday")
	g.Expect(status).To(gomega.Equal(http.StatusCreated), content)
	g.Expect(target.runs.Load()).To(gomega.BeEquivalentTo(1))
}
