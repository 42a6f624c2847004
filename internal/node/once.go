package node

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// maxOnceAnswer is the largest answer of an action that may not be repeated.
const maxOnceAnswer = 4 << 20

// onceTable holds the calls whose attempt may still be granted.
type onceTable struct {
	lock  sync.Mutex
	calls map[request.AttemptID]*arrival
}

func (table *onceTable) add(attempt request.AttemptID, ar *arrival) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.calls == nil {
		table.calls = make(map[request.AttemptID]*arrival)
	}
	table.calls[attempt] = ar
}

func (table *onceTable) take(attempt request.AttemptID) *arrival {
	table.lock.Lock()
	defer table.lock.Unlock()
	ar := table.calls[attempt]
	delete(table.calls, attempt)
	return ar
}

// serveOnce claims the action before it is run. The caller's leaving does not
// end an action that runs: its answer is kept for a resend.
func (ar *arrival) serveOnce(ctx context.Context) {
	no := ar.node
	if no.claims == nil {
		ar.refuse(web.NewRefusal(request.ClaimUnavailable, "this node knows no replica"))
		return
	}
	body, err := io.ReadAll(ar.inbound.Body())
	if err != nil {
		return
	}
	ar.onceBody = body
	if refusal := ar.refusedBefore(); refusal != nil {
		ar.refuse(refusal)
		return
	}
	attempt := newAttempt()
	no.once.add(attempt, ar)
	defer no.once.take(attempt)
	waiting := no.claims.arrive(ar.claimRequest(attempt, body))
	select {
	case how := <-waiting:
		ar.answerOnce(how)
	case <-ctx.Done():
		no.claims.callerLeft(ar.work.Call)
	}
}

// refusedBefore spares the ledger a claim that the gate would turn away.
func (ar *arrival) refusedBefore() *web.Refusal {
	if ar.node.traffic.gauge(time.Now(), ar.work.RootKind).level.Level <= ar.work.Priority {
		return nil
	}
	return web.NewRefusal(request.Overloaded, "")
}

func newAttempt() request.AttemptID {
	attempt := request.AttemptID{}
	_, _ = rand.Read(attempt[:])
	return attempt
}

func (ar *arrival) claimRequest(attempt request.AttemptID, body []byte) claim.Request {
	rules := ar.node.Configuration.Current().Document.Claims
	return claim.Request{
		Call:       ar.work.Call,
		Attempt:    attempt,
		Kind:       ar.kind.Name,
		Key:        request.IdempotencyKey(ar.header(web.HeaderIdempotencyKey)),
		Digest:     digestOf(ar.inbound.Header, body),
		Deadline:   ar.work.Deadline,
		KeptAnswer: int64(rules.KeptAnswer),
		KeepAnswer: time.Duration(rules.Retention),
		KeepRecord: time.Duration(rules.RecordRetention),
	}
}

func (ar *arrival) header(name string) string {
	for _, header := range ar.inbound.Header.GetHeaders() {
		if http.CanonicalHeaderKey(header.GetName()) == name {
			return header.GetValue()
		}
	}
	return ""
}

// digestOf tells apart requests that share a key: by path and body.
func digestOf(header *peerpb.CallHeader, body []byte) ledger.BodyDigest {
	hash := sha256.New()
	hash.Write([]byte(header.GetPath()))
	hash.Write([]byte{0})
	hash.Write(body)
	digest := ledger.BodyDigest{}
	copy(digest[:], hash.Sum(nil))
	return digest
}

func (ar *arrival) answerOnce(how ending) {
	if how.answer == nil {
		refusal := web.NewRefusal(how.code, "")
		refusal.Outcome = how.outcome
		refusal.Claimed = true
		ar.refuse(refusal)
		return
	}
	header := &peerpb.AnswerHeader{Status: how.answer.GetStatus(), BodyLength: int64(len(how.answer.GetBody()))}
	for _, kept := range how.answer.GetHeader() {
		header.Headers = append(header.Headers, &peerpb.Header{Name: kept.GetName(), Value: kept.GetValue()})
	}
	_ = ar.inbound.Answer(header, bytes.NewReader(how.answer.GetBody()), ar.report)
}

// runOnce hands a granted attempt to the target, in its own goroutine, and
// tells the claims how it ended.
func (no *Node) runOnce(attempt request.AttemptID) {
	ar := no.once.take(attempt)
	if ar == nil {
		go no.claims.notStarted(attempt, request.CallerLeft)
		return
	}
	no.runs.Add(1)
	go func() {
		defer no.runs.Done()
		ar.runAttempt(attempt)
	}()
}

func (ar *arrival) runAttempt(attempt request.AttemptID) {
	no := ar.node
	ctx, cancel := context.WithDeadline(context.Background(), ar.work.Deadline)
	defer cancel()
	root := no.roots.enter(ar.work, ar.inbound.Header.GetDepth(), retry.Allowance(0), time.Now())
	defer no.roots.leave(root)
	if refusal := ar.admitAll(ctx); refusal != nil {
		no.claims.notStarted(attempt, refusal.Code)
		return
	}
	answer, refusal := ar.runHeld(ctx, root)
	ar.finishSuspect(refusal == nil)
	switch {
	case refusal == nil:
		no.claims.answered(attempt, answer)
	case refusal.Outcome == request.NotRun:
		no.claims.notStarted(attempt, refusal.Code)
	default:
		no.claims.lost(attempt, refusal.Code)
	}
}

// runHeld hands the call to the target and holds its whole answer.
func (ar *arrival) runHeld(ctx context.Context, root *root) (*claim.Answer, *web.Refusal) {
	visit := ar.begin(root)
	response, err := ar.node.Target.Send(ctx, ar.targetCall())
	if err != nil {
		visit.end(admission.Failed)
		return nil, ar.targetFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxOnceAnswer+1))
	if err != nil {
		visit.end(admission.Failed)
		return nil, ar.targetFailure(ctx, &web.SentError{Reason: err})
	}
	visit.end(resultOf(response))
	if len(body) > maxOnceAnswer {
		return nil, web.NewRefusal(request.AnswerCut, "")
	}
	answer := &claim.Answer{Status: uint32(response.StatusCode), Body: body}
	for _, header := range web.EncodeHeaders(response.Header) {
		answer.Header = append(answer.Header, &ledgerpb.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return answer, nil
}

// bodyReader gives the call's body for its one hand-over to the target.
func (ar *arrival) bodyReader() io.Reader {
	if ar.onceBody != nil {
		return bytes.NewReader(ar.onceBody)
	}
	return ar.inbound.Body()
}
