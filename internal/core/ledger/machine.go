// Package ledger implements the state machine that is replicated through the
// quorum log. Its state is the numbered versions of the configuration, the
// outcome of each patch, and the claims on non-idempotent actions.
//
// Applying the same commands in the same order produces the same state and the
// same results on every replica. Work whose result may differ between builds
// of the program (parsing and validating a document, applying an RFC 6902
// patch) is done before a command is proposed, in [Machine.Prepare]. The
// command carries the resulting text change as a splice, which is applied
// without any library. Commands are idempotent: a command that is in the log
// twice changes the state once, and both results say the same.
//
// Time inside the state machine is its [Age], the sum of the intervals that
// leaders measured with their monotonic clocks and proposed as
// [AdvanceCommand]. Each interval is capped at [MaxAdvanceStep], so a clock that
// jumps moves the age by one step at most.
//
// A [Machine] is not safe for concurrent use: one goroutine owns it. A
// [BaseVersion] and a [FrozenState] taken from it can be used by another goroutine.
//
// # Usage
//
//	machine := ledger.New()
//	command, err := machine.Prepare(submission) // on the proposing replica
//	result, err := machine.Apply(index, command) // on every replica
//	outcome, err := ledger.DecodePatch(result)
//
// [Machine.LookupFinished] answers a claim on a finished action without a log entry.
package ledger

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Age is the time since the state machine was created, as counted by
// [AdvanceCommand], in nanoseconds.
type Age time.Duration

// Limits of the state.
const (
	// MaxAdvanceStep caps the time that one [AdvanceCommand] adds to the age.
	MaxAdvanceStep = 10 * time.Second
	// FinishGrace is added to the FinishWithin of a claim before its outcome is
	// considered in doubt.
	FinishGrace = 5 * time.Second
	// ClaimCommandLifetime is the time after which a claim command that was
	// proposed but not yet applied is refused. Released attempts are remembered
	// for as long, so that a delayed copy of their command is refused too.
	ClaimCommandLifetime = 10 * time.Minute
	// MaxRetention caps each duration that a command carries.
	MaxRetention = 366 * 24 * time.Hour
	// MinInDoubtTime is how long an outcome must have been in doubt before an
	// operator can settle it.
	MinInDoubtTime = time.Minute
	// MaxClaims is the maximum number of claims, open and finished.
	MaxClaims = 1_000_000
	// MaxVersions is the maximum number of configuration versions in the
	// history.
	MaxVersions = 16_384
	// MaxReverseBytes caps the total size of the differences back to the texts of
	// earlier versions. The texts of the versions before are not stored, only their
	// records.
	MaxReverseBytes = 1 << 20
	// MaxOutcomes is the maximum number of patch outcomes that are kept.
	MaxOutcomes = 32_768
	// MaxFaultBytes caps the total size of the faults in the outcomes. Older outcomes
	// keep their state without the faults.
	MaxFaultBytes = 1 << 20
	// MaxSettlements is the maximum number of settlements that are kept.
	MaxSettlements = 4_096
)

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	applied uint64
	age     Age
	history versionHistory
	claims  claimTable
}

// New returns a machine with an empty state and no configuration.
func New() *Machine {
	return &Machine{history: newVersionHistory(), claims: newClaimTable()}
}

// Applied returns the log index of the last command that was applied.
func (machine *Machine) Applied() uint64 {
	return machine.applied
}

// Age returns the time counted since the state machine was created.
func (machine *Machine) Age() Age {
	return machine.age
}

// Apply applies the command at a log index and returns its encoded result. A
// command that cannot be decoded yields a Malformed result. Apply returns an
// error and changes nothing if the index was applied before.
func (machine *Machine) Apply(index uint64, command []byte) ([]byte, error) {
	if index <= machine.applied {
		return nil, fmt.Errorf("log index %d was already applied; the last applied index is %d", index, machine.applied)
	}
	machine.applied = index
	decoded := new(ledgerpb.Command)
	if err := proto.Unmarshal(command, decoded); err != nil {
		return encode(malformedResult("the command cannot be read")), nil
	}
	return encode(machine.apply(decoded)), nil
}

func (machine *Machine) apply(command *ledgerpb.Command) *ledgerpb.Result {
	switch body := command.GetBody().(type) {
	case *ledgerpb.Command_Patch:
		return &ledgerpb.Result{Body: &ledgerpb.Result_Patch{Patch: machine.history.applyPatch(body.Patch)}}
	case *ledgerpb.Command_Claim:
		return &ledgerpb.Result{Body: &ledgerpb.Result_Claim{Claim: machine.claims.claim(machine.age, body.Claim)}}
	case *ledgerpb.Command_Finish:
		return recordResult(machine.age, machine.claims.finish(machine.age, body.Finish))
	case *ledgerpb.Command_Release:
		return recordResult(machine.age, machine.claims.release(machine.age, body.Release))
	case *ledgerpb.Command_Advance:
		return machine.advance(body.Advance)
	case *ledgerpb.Command_Settle:
		return &ledgerpb.Result{Body: &ledgerpb.Result_Settle{Settle: machine.claims.settle(machine.age, body.Settle)}}
	}
	return malformedResult("the command is of an unknown kind")
}

// advance ignores a command whose starting age is not the current one, which
// makes a repeated command harmless.
func (machine *Machine) advance(advance *ledgerpb.Advance) *ledgerpb.Result {
	if Age(advance.GetFrom()) == machine.age && advance.GetElapsed() > 0 {
		machine.age += Age(min(time.Duration(advance.GetElapsed()), MaxAdvanceStep))
		machine.claims.expire(machine.age)
	}
	return &ledgerpb.Result{Body: &ledgerpb.Result_Advance{Advance: &ledgerpb.AdvanceResult{Age: int64(machine.age)}}}
}

func recordResult(age Age, state ledgerpb.RecordState) *ledgerpb.Result {
	result := &ledgerpb.RecordResult{State: state, Age: int64(age)}
	return &ledgerpb.Result{Body: &ledgerpb.Result_Record{Record: result}}
}

func malformedResult(problem string) *ledgerpb.Result {
	return &ledgerpb.Result{Body: &ledgerpb.Result_Malformed{Malformed: &ledgerpb.Malformed{Problem: problem}}}
}

func encode(message proto.Message) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil
	}
	return encoded
}

// LookupFinished answers an encoded [ClaimCommand] from the local state, without a
// log entry, if the action is finished. It returns an encoded result, or false if
// only the log can answer. A finished action stays finished, so the answer is
// correct on a replica that lags behind or is cut off from the quorum. It never
// grants a claim.
func (machine *Machine) LookupFinished(command []byte) ([]byte, bool) {
	decoded := new(ledgerpb.Command)
	if err := proto.Unmarshal(command, decoded); err != nil || decoded.GetClaim() == nil {
		return nil, false
	}
	claim := decoded.GetClaim()
	entry, exists := machine.claims.entries[newClaimID(claim.GetKind(), claim.GetKey())]
	if !exists || entry.state != entryFinished {
		return nil, false
	}
	result := entry.resultFor(machine.age, claim.GetDigest())
	return encode(&ledgerpb.Result{Body: &ledgerpb.Result_Claim{Claim: result}}), true
}

// OpenClaims lists the claims that are granted or in doubt, sorted by kind and key.
func (machine *Machine) OpenClaims() []OpenClaim {
	return machine.claims.openClaims(machine.age)
}

// Settlements returns the settlements that operators made, oldest first. The
// caller must not modify them.
func (machine *Machine) Settlements() []*ledgerpb.Settlement {
	return machine.claims.settlements
}

// ClaimCount returns the number of claims, open and finished.
func (machine *Machine) ClaimCount() int {
	return len(machine.claims.entries)
}

// OpenClaim is a claim that is granted or whose outcome is in doubt.
type OpenClaim struct {
	Kind    request.KindName
	Key     request.IdempotencyKey
	Attempt request.AttemptID
	Node    request.NodeID
	// InDoubt is set once the time to finish has passed, or when the node
	// reported that it lost its target.
	InDoubt bool
	// Overdue is the time since the time to finish has passed; it is negative
	// before that.
	Overdue time.Duration
}
