package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// BodyDigest is the first half of the SHA-256 of a request's body.
type BodyDigest [16]byte

// ClaimCommand asks to run an action that may not be repeated.
type ClaimCommand struct {
	Kind    request.KindName
	Key     request.IdempotencyKey
	Digest  BodyDigest
	Attempt request.AttemptID
	Node    request.NodeID
	// FinishWithin is the time after which the node no longer starts the action.
	FinishWithin time.Duration
	// SeenAge is an age that the node learned before it made the attempt.
	SeenAge Age
}

// Encode gives the command for the log.
func (claimCommand ClaimCommand) Encode() []byte {
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Claim{Claim: &ledgerpb.Claim{
		Kind:         string(claimCommand.Kind),
		Key:          string(claimCommand.Key),
		Digest:       claimCommand.Digest[:],
		Attempt:      claimCommand.Attempt[:],
		Node:         string(claimCommand.Node),
		FinishWithin: int64(claimCommand.FinishWithin),
		SeenAge:      int64(claimCommand.SeenAge),
	}}})
}

// FinishCommand records how the action of a granted claim ended.
type FinishCommand struct {
	Kind    request.KindName
	Key     request.IdempotencyKey
	Attempt request.AttemptID
	// Lost says that the target may have run the action and will not tell.
	Lost bool
	// Answer is kept for resends; nil if it is too large.
	Answer     *ledgerpb.Answer
	KeepAnswer time.Duration
	KeepRecord time.Duration
}

// Encode gives the command for the log.
func (finishCommand FinishCommand) Encode() []byte {
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{
		Kind:       string(finishCommand.Kind),
		Key:        string(finishCommand.Key),
		Attempt:    finishCommand.Attempt[:],
		Lost:       finishCommand.Lost,
		Answer:     finishCommand.Answer,
		KeepAnswer: int64(finishCommand.KeepAnswer),
		KeepRecord: int64(finishCommand.KeepRecord),
	}}})
}

// ReleaseCommand records that an attempt did not run its action and never will.
type ReleaseCommand struct {
	Kind    request.KindName
	Key     request.IdempotencyKey
	Attempt request.AttemptID
}

// Encode gives the command for the log.
func (releaseCommand ReleaseCommand) Encode() []byte {
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Release{Release: &ledgerpb.Release{
		Kind:    string(releaseCommand.Kind),
		Key:     string(releaseCommand.Key),
		Attempt: releaseCommand.Attempt[:],
	}}})
}

// AdvanceCommand moves the age on by what the leader's monotonic clock measured
// since the state was at From.
type AdvanceCommand struct {
	From    Age
	Elapsed time.Duration
}

// Encode gives the command for the log.
func (advanceCommand AdvanceCommand) Encode() []byte {
	advance := &ledgerpb.Advance{From: int64(advanceCommand.From), Elapsed: int64(advanceCommand.Elapsed)}
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Advance{Advance: advance}})
}

// SettleCommand is an operator's word on an action whose outcome is in doubt.
type SettleCommand struct {
	Kind     request.KindName
	Key      request.IdempotencyKey
	Attempt  request.AttemptID
	Ran      bool
	Operator string
	Note     string
	// KeepRecord is how long it is kept that the action ran.
	KeepRecord time.Duration
}

// Encode gives the command for the log.
func (settleCommand SettleCommand) Encode() []byte {
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Settle{Settle: &ledgerpb.Settle{
		Kind:       string(settleCommand.Kind),
		Key:        string(settleCommand.Key),
		Attempt:    settleCommand.Attempt[:],
		Ran:        settleCommand.Ran,
		Operator:   settleCommand.Operator,
		Note:       settleCommand.Note,
		KeepRecord: int64(settleCommand.KeepRecord),
	}}})
}

// ClaimState is the answer to a claim.
type ClaimState = ledgerpb.ClaimState

// The answers to a claim.
const (
	// Granted lets the attempt run the action.
	Granted = ledgerpb.ClaimState_CLAIM_STATE_GRANTED
	// Running says that another attempt holds the claim.
	Running = ledgerpb.ClaimState_CLAIM_STATE_RUNNING
	// Finished says that the action ran.
	Finished = ledgerpb.ClaimState_CLAIM_STATE_FINISHED
	// OtherBody says that the key was used with another body.
	OtherBody = ledgerpb.ClaimState_CLAIM_STATE_OTHER_BODY
	// Closed says that this attempt was released.
	Closed = ledgerpb.ClaimState_CLAIM_STATE_CLOSED
	// InDoubt says that an attempt may have run the action.
	InDoubt = ledgerpb.ClaimState_CLAIM_STATE_IN_DOUBT
	// TooOld says that the claim was seen too long after it was made.
	TooOld = ledgerpb.ClaimState_CLAIM_STATE_TOO_OLD
	// Full says that no more claims can be held; nobody holds this one.
	Full = ledgerpb.ClaimState_CLAIM_STATE_FULL
)

// ClaimResult is the decoded answer to a claim.
type ClaimResult struct {
	State  ClaimState
	Answer *ledgerpb.Answer
	Age    Age
}

func claimResult(result *ledgerpb.ClaimResult) ClaimResult {
	return ClaimResult{State: result.GetState(), Answer: result.GetAnswer(), Age: Age(result.GetAge())}
}

// DecodeClaim reads the result of a claim.
func DecodeClaim(result []byte) (ClaimResult, error) {
	decoded, err := decodeResult(result)
	if err != nil {
		return ClaimResult{}, err
	}
	if decoded.GetClaim() == nil {
		return ClaimResult{}, &ResultError{Problem: decoded.GetMalformed().GetProblem()}
	}
	return claimResult(decoded.GetClaim()), nil
}

// RecordState is the answer to a finish or a release.
type RecordState = ledgerpb.RecordState

// The answers to a finish or a release.
const (
	// Stored says that the record is in the state.
	Stored = ledgerpb.RecordState_RECORD_STATE_STORED
	// RecordClosed says that the attempt does not hold the claim.
	RecordClosed = ledgerpb.RecordState_RECORD_STATE_CLOSED
)

// DecodeRecord reads the result of a finish or a release.
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

// DecodeSettle reads the result of an operator's settlement.
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

// DecodePatch reads the outcome of a patch.
func DecodePatch(result []byte) (Outcome, error) {
	decoded, err := decodeResult(result)
	if err != nil {
		return Outcome{}, err
	}
	if decoded.GetPatch() == nil {
		return Outcome{}, &ResultError{Problem: decoded.GetMalformed().GetProblem()}
	}
	return outcome(decoded.GetPatch()), nil
}

// ResultError says that a result is not of the kind that its command gives.
type ResultError struct {
	Problem string
}

// Error describes the result.
func (resultError *ResultError) Error() string {
	return "the result cannot be used: " + resultError.Problem
}

func decodeResult(result []byte) (*ledgerpb.Result, error) {
	decoded := new(ledgerpb.Result)
	if err := proto.Unmarshal(result, decoded); err != nil {
		return nil, &ResultError{Problem: err.Error()}
	}
	return decoded, nil
}
