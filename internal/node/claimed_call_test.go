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

// fakeLedger is a ledger without a log. While it is unavailable it records nothing.
type fakeLedger struct {
	lock        sync.Mutex
	machine     *ledger.Machine
	index       uint64
	unavailable atomic.Bool
}

func (ledger *fakeLedger) Propose(_ context.Context, command []byte) ([]byte, error) {
	if ledger.unavailable.Load() {
		return nil, errors.New("ledger is unavailable")
	}
	ledger.lock.Lock()
	defer ledger.lock.Unlock()
	ledger.index++
	return ledger.machine.Apply(ledger.index, command)
}

// bookings is a target that counts the requests that it runs. It holds each answer
// until release, if set, and aborts the connection instead if told so.
type bookings struct {
	runs    atomic.Int64
	started chan struct{}
	release chan struct{}
	abort   atomic.Bool
}

func (bookings *bookings) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	body, _ := io.ReadAll(incoming.Body)
	bookings.runs.Add(1)
	if bookings.started != nil {
		bookings.started <- struct{}{}
		<-bookings.release
	}
	if bookings.abort.Load() {
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
	answer, content := sendCall(t, entry.callers, "agenda", http.MethodPost, "/visits", strings.NewReader(body), "Idempotency-Key", key)
	refusal := problem{}
	_ = json.Unmarshal(content, &refusal)
	return answer.StatusCode, string(content), refusal
}

func startClaimingPair(t *testing.T, target http.Handler) (*host, *host, *fakeLedger) {
	t.Helper()
	shared := &fakeLedger{machine: ledger.New()}
	entry := startHostWithLedger(t, "one", "consumo", http.NotFoundHandler(), shared)
	agenda := startHostWithLedger(t, "two", "agenda", target, shared)
	connectHosts(entry, agenda)
	return entry, agenda, shared
}

func TestResendGetsKeptAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &bookings{}
	entry, _, _ := startClaimingPair(t, target)
	for range 3 {
		status, content, _ := book(t, entry, "k1", "tuesday")
		g.Expect(status).To(gomega.Equal(http.StatusCreated), content)
		g.Expect(content).To(gomega.Equal("booked tuesday"))
	}
	status, _, refusal := book(t, entry, "k1", "friday")
	g.Expect(status).To(gomega.Equal(http.StatusUnprocessableEntity))
	g.Expect(refusal).To(gomega.Equal(problem{Code: 1007, Outcome: "not-run"}))
	answer, _ := sendCall(t, entry.callers, "agenda", http.MethodPost, "/visits", strings.NewReader("x"))
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(target.runs.Load()).To(gomega.BeEquivalentTo(1))
}

func TestActionContinuesWhenCallerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &bookings{started: make(chan struct{}), release: make(chan struct{})}
	entry, _, _ := startClaimingPair(t, target)
	ctx, cancel := context.WithCancel(t.Context())
	outgoing, _ := http.NewRequestWithContext(ctx, http.MethodPost, entry.callers+"/visits", strings.NewReader("tuesday"))
	outgoing.Host = "agenda"
	outgoing.Header.Set("Idempotency-Key", "k1")
	left := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(outgoing)
		left <- err
	}()
	<-target.started
	cancel()
	g.Expect(<-left).To(gomega.MatchError(context.Canceled))
	close(target.release)
	status, content, _ := book(t, entry, "k1", "tuesday")
	g.Expect(status).To(gomega.Equal(http.StatusCreated), content)
	g.Expect(target.runs.Load()).To(gomega.BeEquivalentTo(1))
}

func TestActionWithLostAnswerIsNotRunAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &bookings{}
	entry, _, _ := startClaimingPair(t, target)
	status, content, _ := book(t, entry, "k0", "opens the connection that the next call uses")
	g.Expect(status).To(gomega.Equal(http.StatusCreated), content)
	target.abort.Store(true)
	_, content, refusal := book(t, entry, "k1", "")
	g.Expect(refusal).To(gomega.Equal(problem{Code: 3003, Outcome: "unknown"}), content)
	_, content, refusal = book(t, entry, "k1", "")
	g.Expect(refusal).To(gomega.Equal(problem{Code: 4004, Outcome: "unknown"}), content)
	g.Expect(target.runs.Load()).To(gomega.BeEquivalentTo(2))
}

func TestActionDoesNotRunWithoutClaim(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &bookings{}
	entry, _, shared := startClaimingPair(t, target)
	shared.unavailable.Store(true)
	status, content, refusal := book(t, entry, "k1", "tuesday")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), content)
	g.Expect(refusal.Outcome).To(gomega.Equal("unknown"))
	shared.unavailable.Store(false)
	status, content, _ = book(t, entry, "k2", "tuesday")
	g.Expect(status).To(gomega.Equal(http.StatusCreated), content)
	g.Expect(target.runs.Load()).To(gomega.BeEquivalentTo(1))
}
