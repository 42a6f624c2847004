package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// BodyDigest is the first 16 bytes of the SHA-256 of a request's path and body.
type BodyDigest [16]byte

// ClaimCommand asks for the exclusive right to run a non-idempotent action.
type ClaimCommand struct {
	Kind    request.KindName
	Key     request.IdempotencyKey
	Digest  BodyDigest
	Attempt request.AttemptID
	Node    request.NodeID
	// FinishWithin is the time after which the node no longer starts the action.
	FinishWithin time.Duration
	// SeenAge is the latest age that the node knew when it made the attempt.
	SeenAge Age
}

// Encode returns the command as a log entry.
func (command ClaimCommand) Encode() []byte {
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Claim{Claim: &ledgerpb.Claim{
		Kind:         string(command.Kind),
		Key:          string(command.Key),
		Digest:       command.Digest[:],
		Attempt:      command.Attempt[:],
		Node:         string(command.Node),
		FinishWithin: int64(command.FinishWithin),
		SeenAge:      int64(command.SeenAge),
	}}})
}

// FinishCommand records that the action of a granted claim ran, or that its
// outcome is lost.
type FinishCommand struct {
	Kind    request.KindName
	Key     request.IdempotencyKey
	Attempt request.AttemptID
	// Lost says that the target may have run the action and that its answer will
	// never arrive.
	Lost bool
	// Answer is returned to retries of the request; nil if it is too large to
	// keep.
	Answer *ledgerpb.Answer
	// AnswerRetention is how long the answer is kept; zero keeps none.
	AnswerRetention time.Duration
	// RecordRetention is how long the record that the action ran is kept.
	RecordRetention time.Duration
}

// Encode returns the command as a log entry.
func (command FinishCommand) Encode() []byte {
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{
		Kind:       string(command.Kind),
		Key:        string(command.Key),
		Attempt:    command.Attempt[:],
		Lost:       command.Lost,
		Answer:     command.Answer,
		KeepAnswer: int64(command.AnswerRetention),
		KeepRecord: int64(command.RecordRetention),
	}}})
}

// ReleaseCommand records that an attempt did not run its action and never will.
type ReleaseCommand struct {
	Kind    request.KindName
	Key     request.IdempotencyKey
	Attempt request.AttemptID
}

// Encode returns the command as a log entry.
func (command ReleaseCommand) Encode() []byte {
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Release{Release: &ledgerpb.Release{
		Kind:    string(command.Kind),
		Key:     string(command.Key),
		Attempt: command.Attempt[:],
	}}})
}

// AdvanceCommand increases the age by the time that the leader's monotonic clock
// measured since the age was From.
type AdvanceCommand struct {
	From    Age
	Elapsed time.Duration
}

// Encode returns the command as a log entry.
func (command AdvanceCommand) Encode() []byte {
	advance := &ledgerpb.Advance{From: int64(command.From), Elapsed: int64(command.Elapsed)}
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Advance{Advance: advance}})
}

// SettleCommand records an operator's decision on whether an action whose
// outcome is in doubt ran.
type SettleCommand struct {
	Kind     request.KindName
	Key      request.IdempotencyKey
	Attempt  request.AttemptID
	Ran      bool
	Operator string
	Note     string
	// RecordRetention is how long the record that the action ran is kept.
	RecordRetention time.Duration
}

// Encode returns the command as a log entry.
func (command SettleCommand) Encode() []byte {
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Settle{Settle: &ledgerpb.Settle{
		Kind:       string(command.Kind),
		Key:        string(command.Key),
		Attempt:    command.Attempt[:],
		Ran:        command.Ran,
		Operator:   command.Operator,
		Note:       command.Note,
		KeepRecord: int64(command.RecordRetention),
	}}})
}

// ClaimState is the result of a [ClaimCommand].
type ClaimState = ledgerpb.ClaimState

// The results of a [ClaimCommand].
const (
	// ClaimGranted means that the attempt holds the claim and may run the action.
	ClaimGranted = ledgerpb.ClaimState_CLAIM_STATE_GRANTED
	// ClaimRunning means that another attempt holds the claim and can still finish.
	ClaimRunning = ledgerpb.ClaimState_CLAIM_STATE_RUNNING
	// ClaimFinished means that the action ran.
	ClaimFinished = ledgerpb.ClaimState_CLAIM_STATE_FINISHED
	// ClaimOtherBody means that the key was used before with another body.
	ClaimOtherBody = ledgerpb.ClaimState_CLAIM_STATE_OTHER_BODY
	// ClaimClosed means that this attempt was released or refused before, or
	// that its command is malformed.
	ClaimClosed = ledgerpb.ClaimState_CLAIM_STATE_CLOSED
	// ClaimInDoubt means that an attempt may or may not have run the action.
	ClaimInDoubt = ledgerpb.ClaimState_CLAIM_STATE_IN_DOUBT
	// ClaimTooOld means that the command is older than [ClaimCommandLifetime].
	ClaimTooOld = ledgerpb.ClaimState_CLAIM_STATE_TOO_OLD
	// ClaimsFull means that the number of claims is at [MaxClaims] and that no attempt
	// holds this one.
	ClaimsFull = ledgerpb.ClaimState_CLAIM_STATE_FULL
)

// ClaimResult is the decoded result of a [ClaimCommand].
type ClaimResult struct {
	State ClaimState
	// Answer is set if the action finished and its answer is still kept.
	Answer *ledgerpb.Answer
	// Age is the age of the state machine when it applied the command.
	Age Age
}

func decodeClaimResult(result *ledgerpb.ClaimResult) ClaimResult {
	return ClaimResult{State: result.GetState(), Answer: result.GetAnswer(), Age: Age(result.GetAge())}
}

// DecodeClaim decodes the result of a [ClaimCommand]. It returns a
// [*ResultError] if the result cannot be decoded or is of another kind.
func DecodeClaim(result []byte) (ClaimResult, error) {
	decoded, err := decodeResult(result)
	if err != nil {
		return ClaimResult{}, err
	}
	if decoded.GetClaim() == nil {
		return ClaimResult{}, &ResultError{Problem: decoded.GetMalformed().GetProblem()}
	}
	return decodeClaimResult(decoded.GetClaim()), nil
}

// RecordState is the result of a [FinishCommand] or a [ReleaseCommand].
type RecordState = ledgerpb.RecordState

// The results of a [FinishCommand] or a [ReleaseCommand].
const (
	// RecordStored means that the finish or release is part of the state.
	RecordStored = ledgerpb.RecordState_RECORD_STATE_STORED
	// RecordClosed means that the attempt does not hold the claim.
	RecordClosed = ledgerpb.RecordState_RECORD_STATE_CLOSED
)

// DecodeRecord decodes the result of a [FinishCommand] or a [ReleaseCommand]. It
// returns a [*ResultError] if the result cannot be decoded or is of another
// kind.
func DecodeRecord(result []byte) (RecordState, error) {
	decoded, err := decodeResult(result)
	if err != nil {
		return 0, err
	}
	if decoded.GetRecord() == nil {
		return 0, &ResultError{Problem: decoded.GetMalformed().GetProblem()}
	}
	return decoded.GetRecord().GetState(), nil
}

// DecodeSettle decodes the result of a [SettleCommand]. It returns a
// [*ResultError] if the result cannot be decoded or is of another kind.
func DecodeSettle(result []byte) (*ledgerpb.SettleResult, error) {
	decoded, err := decodeResult(result)
	if err != nil {
		return nil, err
	}
	if decoded.GetSettle() == nil {
		return nil, &ResultError{Problem: decoded.GetMalformed().GetProblem()}
	}
	return decoded.GetSettle(), nil
}

// DecodePatch decodes the result of a patch command. It returns a
// [*ResultError] if the result cannot be decoded or is of another kind.
func DecodePatch(result []byte) (PatchOutcome, error) {
	decoded, err := decodeResult(result)
	if err != nil {
		return PatchOutcome{}, err
	}
	if decoded.GetPatch() == nil {
		return PatchOutcome{}, &ResultError{Problem: decoded.GetMalformed().GetProblem()}
	}
	return decodePatchOutcome(decoded.GetPatch()), nil
}

// ResultError reports a command result that cannot be decoded, or that is not
// of the kind that the command should produce.
type ResultError struct {
	Problem string
}

// Error describes the problem with the result.
func (err *ResultError) Error() string {
	return "invalid command result: " + err.Problem
}

func decodeResult(result []byte) (*ledgerpb.Result, error) {
	decoded := new(ledgerpb.Result)
	if err := proto.Unmarshal(result, decoded); err != nil {
		return nil, &ResultError{Problem: err.Error()}
	}
	return decoded, nil
}
