package node_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// unrecordingLedger grants claims, and records no outcome while held is set.
type unrecordingLedger struct {
	fakeLedger
	held atomic.Bool
}

func (unrecording *unrecordingLedger) Propose(ctx context.Context, command []byte) ([]byte, error) {
	decoded := &ledgerpb.Command{}
	if err := proto.Unmarshal(command, decoded); err != nil {
		return nil, err
	}
	if unrecording.held.Load() && decoded.GetFinish() != nil {
		return nil, errors.New("ledger records no outcomes")
	}
	return unrecording.fakeLedger.Propose(ctx, command)
}

// Guards against large answers of actions whose outcomes cannot be recorded, which take all
// memory of a node, so that all its calls end with its process (LOST). An action whose
// answer may find no memory is not run.
func TestAnswersOfUnrecordedActionsAreBoundedTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	const answerBytes, mostHeld = 4 << 20, 8
	runs := atomic.Int64{}
	target := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		writer.WriteHeader(http.StatusCreated)
		_, _ = writer.Write(make([]byte, answerBytes))
	})
	shared := &unrecordingLedger{fakeLedger: fakeLedger{machine: ledger.New()}}
	entry := startHostWithLedger(t, "one", "consumo", http.NotFoundHandler(), shared)
	agenda := startHostWithLedger(t, "two", "agenda", target, shared)
	connectHosts(entry, agenda)
	shared.held.Store(true)
	for number := range mostHeld {
		status, content, _ := book(t, entry, "k"+strconv.Itoa(number), "tuesday")
		g.Expect(status).To(gomega.Equal(http.StatusCreated))
		g.Expect(content).To(gomega.HaveLen(answerBytes))
	}
	for number := range 3 {
		status, content, _ := book(t, entry, "m"+strconv.Itoa(number), "tuesday")
		g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), content)
	}
	g.Expect(runs.Load()).To(gomega.BeEquivalentTo(mostHeld))
	shared.held.Store(false)
	number := 0
	g.Eventually(func() int {
		number++
		status, _, _ := book(t, entry, "n"+strconv.Itoa(number), "tuesday")
		return status
	}).WithTimeout(testTimeout).Should(gomega.Equal(http.StatusCreated))
}

// endlessBody counts the bytes that are read of it. It ends after bodyEnd of them, so that a
// test fails where nothing else ends it.
type endlessBody struct{ read atomic.Int64 }

const bodyEnd = 256 << 20

func (body *endlessBody) Read(data []byte) (int, error) {
	if body.read.Add(int64(len(data))) > bodyEnd {
		return 0, io.EOF
	}
	return len(data), nil
}

// Guards against a peer that sends the body of an action without end, which the target's
// node holds whole (LOST).
func TestClaimedBodyWithoutEndIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	target := &bookings{}
	_, agenda, _ := startClaimingPair(t, target)
	transport := &peer.Transport{Self: peer.Hello{Node: "caller", Place: testPlace, Service: "subsidios"}}
	defer func() { _ = transport.Close() }()
	body := &endlessBody{}
	header := &peerpb.CallHeader{
		Service: "agenda", Kind: "agenda/book", Method: http.MethodPost, Path: "/visits", BodyLength: -1, AwaitContinue: true,
		RemainingUs: testTimeout.Microseconds(), Root: make([]byte, len(request.RootID{})),
		Headers: []*peerpb.Header{{Name: "Idempotency-Key", Value: "k1"}},
	}
	exchange, answer, err := transport.Call(t.Context(), peer.Address(agenda.target.Address), peer.Outbound{Call: 1, Header: header, Body: body})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	exchange.Abort()
	g.Expect(answer.GetCode()).To(gomega.BeEquivalentTo(request.BodyTooLarge))
	g.Expect(body.read.Load()).To(gomega.BeNumerically("<", bodyEnd))
	g.Expect(target.runs.Load()).To(gomega.BeZero())
}
