package node

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// attemptTable holds the calls whose attempt may still be granted.
type attemptTable struct {
	lock  sync.Mutex
	calls map[request.AttemptID]*inboundCall
}

func (table *attemptTable) add(attempt request.AttemptID, inbound *inboundCall) {
	table.lock.Lock()
	defer table.lock.Unlock()
	if table.calls == nil {
		table.calls = make(map[request.AttemptID]*inboundCall)
	}
	table.calls[attempt] = inbound
}

func (table *attemptTable) take(attempt request.AttemptID) *inboundCall {
	table.lock.Lock()
	defer table.lock.Unlock()
	inbound := table.calls[attempt]
	delete(table.calls, attempt)
	return inbound
}

// serveClaimed claims the action before it runs it. An action that runs goes on when
// its caller leaves, and its answer is kept for a resend.
func (inbound *inboundCall) serveClaimed(ctx context.Context) {
	node := inbound.node
	if node.claimDriver == nil {
		inbound.refuse(web.NewRefusal(request.ClaimUnavailable, "this node has no ledger replica to claim from"))
		return
	}
	// The node of the caller sends no larger one. What a faulty peer sends is held here.
	body, err := io.ReadAll(io.LimitReader(inbound.peerCall.Body(), peer.MaxBodyPartBytes+1))
	if err != nil {
		return
	}
	if len(body) > peer.MaxBodyPartBytes {
		inbound.refuse(web.NewRefusal(request.BodyTooLarge, ""))
		return
	}
	inbound.claimedBody = body
	if refusal := inbound.refusalBeforeClaim(); refusal != nil {
		inbound.refuse(refusal)
		return
	}
	attempt := newAttemptID()
	node.claimedAttempts.add(attempt, inbound)
	defer node.claimedAttempts.take(attempt)
	waiting := node.claimDriver.submit(inbound.claimRequest(attempt, body))
	select {
	case outcome := <-waiting:
		inbound.answerClaimed(outcome)
	case <-ctx.Done():
		node.claimDriver.callerLeft(inbound.work.Call)
	}
}

// refusalBeforeClaim refuses a call whose answer may find no memory, and one that the gate
// would refuse anyway, which spares the ledger a claim.
func (inbound *inboundCall) refusalBeforeClaim() *web.Refusal {
	if inbound.node.answerMemory.mayLack() {
		return web.NewRefusal(request.Overloaded, errNoAnswerMemory.Error())
	}
	if inbound.node.admissionControl.state(time.Now(), inbound.work.RootKind).level.Level <= inbound.work.Priority {
		return nil
	}
	return web.NewRefusal(request.Overloaded, "")
}

func newAttemptID() request.AttemptID {
	attempt := request.AttemptID{}
	_, _ = rand.Read(attempt[:])
	return attempt
}

func (inbound *inboundCall) claimRequest(attempt request.AttemptID, body []byte) claim.Request {
	rules := inbound.node.Configuration.Current().Document.Claims
	return claim.Request{
		Call:               inbound.work.Call,
		Attempt:            attempt,
		Kind:               inbound.kind.Name,
		Key:                inbound.claimKey(),
		Digest:             digestOf(inbound.peerCall.Header, body),
		Deadline:           inbound.work.Deadline,
		MaxKeptAnswerBytes: int64(rules.KeptAnswer),
		AnswerRetention:    time.Duration(rules.Retention),
		RecordRetention:    time.Duration(rules.RecordRetention),
	}
}

// claimKey is the idempotency key, within the customer of the call: customers that choose
// the same key never get each other's answers.
func (inbound *inboundCall) claimKey() request.IdempotencyKey {
	key := inbound.headerValue(web.HeaderIdempotencyKey)
	return request.IdempotencyKey(key).ForCustomer(inbound.work.Customer)
}

func (inbound *inboundCall) headerValue(name string) string {
	for _, header := range inbound.peerCall.Header.GetHeaders() {
		if http.CanonicalHeaderKey(header.GetName()) == name {
			return header.GetValue()
		}
	}
	return ""
}

// digestOf returns the truncated SHA-256 of path and body, which tells apart requests
// that use the same key.
func digestOf(header *peerpb.CallHeader, body []byte) ledger.BodyDigest {
	hash := sha256.New()
	hash.Write([]byte(header.GetPath()))
	hash.Write([]byte{0})
	hash.Write(body)
	digest := ledger.BodyDigest{}
	copy(digest[:], hash.Sum(nil))
	return digest
}

func (inbound *inboundCall) answerClaimed(outcome claimOutcome) {
	if outcome.answer == nil {
		refusal := web.NewRefusal(outcome.code, "")
		refusal.Outcome = outcome.outcome
		refusal.IsActionOutcome = true
		inbound.refuse(refusal)
		return
	}
	length := int64(len(outcome.answer.GetBody()))
	inbound.node.answerMemory.hold(length)
	defer inbound.node.answerMemory.give(length)
	header := &peerpb.AnswerHeader{Status: outcome.answer.GetStatus(), BodyLength: length}
	for _, kept := range outcome.answer.GetHeader() {
		header.Headers = append(header.Headers, &peerpb.Header{Name: kept.GetName(), Value: kept.GetValue()})
	}
	_ = inbound.peerCall.Answer(header, bytes.NewReader(outcome.answer.GetBody()), inbound.report)
}

// startAttempt runs a granted attempt at the target in its own goroutine, which
// passes the outcome to the claim driver.
func (node *Node) startAttempt(attempt request.AttemptID) {
	inbound := node.claimedAttempts.take(attempt)
	if inbound == nil {
		go node.claimDriver.notStarted(attempt, request.CallerLeft)
		return
	}
	node.claimedRuns.Add(1)
	go func() {
		defer node.claimedRuns.Done()
		inbound.runAttempt(attempt)
	}()
}

func (inbound *inboundCall) runAttempt(attempt request.AttemptID) {
	node := inbound.node
	ctx, cancel := context.WithDeadline(context.Background(), inbound.work.Deadline)
	defer cancel()
	root := node.roots.enter(inbound.work, inbound.peerCall.Header.GetDepth(), retry.Allowance(0), time.Now())
	defer node.roots.leave(root)
	if refusal := inbound.admit(ctx); refusal != nil {
		node.claimDriver.notStarted(attempt, refusal.Code)
		return
	}
	answer, refusal := inbound.runBuffered(ctx, root)
	inbound.finishSuspect(refusal == nil)
	switch {
	case refusal == nil:
		node.claimDriver.answered(attempt, answer)
	case refusal.Outcome == request.NotRun:
		node.claimDriver.notStarted(attempt, refusal.Code)
	default:
		node.claimDriver.lost(attempt, refusal.Code)
	}
}

// runBuffered hands the call to the target and buffers its whole answer.
func (inbound *inboundCall) runBuffered(ctx context.Context, root *root) (*claim.Answer, *web.Refusal) {
	run := inbound.beginRun(root)
	call := inbound.targetCall()
	call.Confirm = inbound.confirmTarget
	response, err := inbound.node.sendToTarget(ctx, inbound.local, call)
	if err != nil {
		run.end(admission.Failed)
		return nil, inbound.targetFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := inbound.node.answerMemory.read(response.Body, response.ContentLength)
	if errors.Is(err, errAnswerTooLarge) || errors.Is(err, errNoAnswerMemory) {
		run.end(admissionResult(response))
		return nil, web.NewRefusal(request.AnswerCut, err.Error())
	}
	if err != nil {
		run.end(admission.Failed)
		return nil, inbound.targetFailure(ctx, &web.SentError{Reason: err})
	}
	run.end(admissionResult(response))
	answer := &claim.Answer{Status: uint32(response.StatusCode), Body: body}
	for _, header := range web.EncodeHeaders(response.Header) {
		answer.Header = append(answer.Header, &ledgerpb.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return answer, nil
}

// bodyReader returns the call's body, which goes to the target once.
func (inbound *inboundCall) bodyReader() io.Reader {
	if inbound.claimedBody != nil {
		return bytes.NewReader(inbound.claimedBody)
	}
	return inbound.peerCall.Body()
}
