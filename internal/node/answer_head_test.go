package node_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/tailscale/hujson"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/node"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// answerHead is one line of the table of heads of the target's client.
type answerHead struct {
	Name   string `json:"name"`
	Answer string `json:"answer"`
	Status int    `json:"status"`
	Body   string `json:"body"`
}

func readAnswerHeads(t *testing.T) []answerHead {
	t.Helper()
	text, err := os.ReadFile("../adapter/web/testdata/answer-heads.jsonc")
	if err == nil {
		text, err = hujson.Standardize(text)
	}
	var heads []answerHead
	if err == nil {
		err = json.Unmarshal(text, &heads)
	}
	if err != nil {
		t.Fatal(err)
	}
	return heads
}

// rawTarget answers each request, once it has read it whole, with a text, and closes the
// connection.
type rawTarget struct {
	net.Listener
	answer atomic.Value
	runs   atomic.Int64
}

func startRawTarget(t *testing.T) *rawTarget {
	t.Helper()
	target := &rawTarget{Listener: listen(t)}
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			connection, err := target.Accept()
			if err != nil {
				return
			}
			go target.serve(connection)
		}
	}()
	return target
}

func (target *rawTarget) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	incoming, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, incoming.Body); err != nil {
		return
	}
	target.runs.Add(1)
	_, _ = io.WriteString(connection, target.answer.Load().(string))
}

// startRawPair starts a node for callers, which may pick a target again right after a failure,
// and one beside the raw target. The returned function sets the answer of the target, and
// closes the connections that the target is about to close.
func startRawPair(t *testing.T, target *rawTarget, claims node.Proposer, text []byte) (entry *host, setAnswer func(string)) {
	t.Helper()
	entry = startConfiguredHost(t, "one", "consumo", http.NotFoundHandler(), claims, text, func(underTest *node.Node) { underTest.Balancer.EjectionTime = time.Nanosecond })
	callee := startConfiguredHost(t, "two", "agenda", http.NotFoundHandler(), claims, text, func(underTest *node.Node) { underTest.Target.Address = target.Addr().String() })
	connectHosts(entry, callee)
	return entry, func(answer string) {
		callee.node.Target.Close()
		target.answer.Store(answer)
	}
}

// expectOutcome checks the answer to a call: that of its target, or a refusal that says that
// the call may have run.
func (head answerHead) expectOutcome(t *testing.T, answer *http.Response, body []byte) {
	t.Helper()
	expect := gomega.NewWithT(t).Expect
	if head.Status != 0 {
		expect(answer.StatusCode).To(gomega.Equal(head.Status))
		expect(string(body)).To(gomega.Equal(head.Body))
		return
	}
	refusal := problem{}
	expect(json.Unmarshal(body, &refusal)).To(gomega.Succeed(), "status %d, body %q", answer.StatusCode, body)
	expect(answer.StatusCode).To(gomega.Equal(http.StatusBadGateway))
	expect(refusal.Outcome).To(gomega.Equal("unknown"))
}

// Guards against heads that are no HTTP/1 answers and reach a caller as an answer, or as a
// refusal that says that the call did not run (MIXED, REFUSED).
func TestHeadThatIsNoAnswerReachesNoCaller(t *testing.T) {
	text, err := os.ReadFile("testdata/routes.jsonc")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	// There is one target, and a retry would find none.
	text = bytes.ReplaceAll(text, []byte(`"attempts": 3`), []byte(`"attempts": 1`))
	entry, setAnswer := startRawPair(t, startRawTarget(t), nil, text)
	calls := []struct{ name, method, path, body string }{
		{"repeatable", http.MethodGet, "/visits/7", ""},
		{"once", http.MethodPost, "/visits/grants/7", "grant"},
		{"upload", http.MethodPost, "/photos/7", strings.Repeat("photo", 40_000)},
	}
	for _, head := range readAnswerHeads(t) {
		for _, call := range calls {
			t.Run(head.Name+", "+call.name, func(t *testing.T) {
				setAnswer(head.Answer)
				answer, body := sendCall(t, entry.callers, "visits.example", call.method, call.path, strings.NewReader(call.body))
				head.expectOutcome(t, answer, body)
			})
		}
	}
}

// The same for a claimed action, which is not run again.
func TestHeadThatIsNoAnswerIsNotKept(t *testing.T) {
	text, err := os.ReadFile("../../examples/gota-justa.jsonc")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	target := startRawTarget(t)
	entry, setAnswer := startRawPair(t, target, &fakeLedger{machine: ledger.New()}, text)
	for _, head := range readAnswerHeads(t) {
		t.Run(head.Name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			setAnswer(head.Answer)
			runs := target.runs.Load()
			answer, body := sendCall(t, entry.callers, "agenda", http.MethodPost, "/visits", strings.NewReader("tuesday"), "Idempotency-Key", head.Name)
			head.expectOutcome(t, answer, body)
			status, content, refusal := book(t, entry, head.Name, "tuesday")
			if head.Status != 0 {
				expect(status).To(gomega.Equal(head.Status))
				expect(content).To(gomega.Equal(head.Body))
			} else {
				expect(refusal).To(gomega.Equal(problem{Code: int(request.OutcomeUnknown), Outcome: "unknown"}), content)
			}
			expect(target.runs.Load()).To(gomega.Equal(runs + 1))
		})
	}
}

// A target whose health check gets such a head is not healthy.
func TestHeadThatIsNoAnswerIsNotHealthy(t *testing.T) {
	target := startRawTarget(t)
	checked := startRoutedHost(t, "one", "agenda", http.NotFoundHandler(), func(underTest *node.Node) { underTest.Target.Address = target.Addr().String() })
	for _, head := range readAnswerHeads(t) {
		t.Run(head.Name, func(t *testing.T) {
			checked.node.Target.Close()
			target.answer.Store(head.Answer)
			err := checked.node.CheckTarget("", "/health", time.Minute)
			gomega.NewWithT(t).Expect(err == nil).To(gomega.Equal(head.Status == http.StatusOK), "%v", err)
		})
	}
}
