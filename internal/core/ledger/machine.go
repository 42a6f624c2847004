// Package ledger is the replicated state machine behind the quorum log: the
// numbered versions of the configuration with the outcome of every patch, and
// the claims on actions that may not be repeated.
//
// The same commands in the same order give the same state and results on every
// replica. Everything that may differ between builds of the program (reading a
// document, checking it, applying an RFC 6902 patch) happens before a command
// is proposed, in [Machine.Prepare]; the command carries a splice of the text,
// and applying it needs no library. A command that the log holds twice has the
// effect of one, and its second result says the same as the first.
//
// Time is the ledger's age: the sum of what leaders measured with their
// monotonic clocks and wrote by [AdvanceCommand], each step capped. A clock that
// jumps moves it by one step at most.
//
// # Usage
//
//	machine := ledger.New()
//	command, err := machine.Prepare(submission) // at the replica that proposes
//	result, err := machine.Apply(index, command) // at every replica
//	outcome, err := ledger.DecodePatch(result)
//
// [Machine.Known] answers a claim without a log entry where that is safe.
package ledger

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Age is the time that the ledger has counted since it began.
type Age time.Duration

// Limits of the state.
const (
	// MaxAdvance caps one step of the ledger's age.
	MaxAdvance = 10 * time.Second
	// FinishGrace is added to the time within which a node must finish.
	FinishGrace = 5 * time.Second
	// ClaimLifetime is the age after which a proposed claim is refused, and for
	// which a released attempt is remembered.
	ClaimLifetime = 10 * time.Minute
	// MaxKeep bounds each time that a command asks for.
	MaxKeep = 366 * 24 * time.Hour
	// SettleAfter is how long an outcome must have been in doubt before an
	// operator can settle it.
	SettleAfter = time.Minute
	// MaxClaims bounds the claims in memory.
	MaxClaims = 1_000_000
	// MaxVersions bounds the history of versions.
	MaxVersions = 16_384
	// MaxOutcomes bounds the outcomes of patches.
	MaxOutcomes = 32_768
	// MaxSettlements bounds the list of settled claims.
	MaxSettlements = 4_096
)

// Machine is the state machine. It is owned by one goroutine.
type Machine struct {
	applied uint64
	age     Age
	history history
	book    book
}

// New gives the empty state, without a configuration.
func New() *Machine {
	return &Machine{history: newHistory(), book: newBook()}
}

// Applied is the index of the last command that was applied.
func (machine *Machine) Applied() uint64 {
	return machine.applied
}

// Age is the ledger's age.
func (machine *Machine) Age() Age {
	return machine.age
}

// Apply carries out the command at an index of the log and gives its encoded
// result. An index that was applied before changes nothing and is an error.
func (machine *Machine) Apply(index uint64, command []byte) ([]byte, error) {
	if index <= machine.applied {
		return nil, fmt.Errorf("index %d is applied already, the state is at %d", index, machine.applied)
	}
	machine.applied = index
	decoded := new(ledgerpb.Command)
	if err := proto.Unmarshal(command, decoded); err != nil {
		return encode(malformed("the command cannot be read")), nil
	}
	return encode(machine.apply(decoded)), nil
}

func (machine *Machine) apply(command *ledgerpb.Command) *ledgerpb.Result {
	switch body := command.GetBody().(type) {
	case *ledgerpb.Command_Patch:
		return &ledgerpb.Result{Body: &ledgerpb.Result_Patch{Patch: machine.history.patch(body.Patch)}}
	case *ledgerpb.Command_Claim:
		return &ledgerpb.Result{Body: &ledgerpb.Result_Claim{Claim: machine.book.claim(machine.age, body.Claim)}}
	case *ledgerpb.Command_Finish:
		return recorded(machine.age, machine.book.finish(machine.age, body.Finish))
	case *ledgerpb.Command_Release:
		return recorded(machine.age, machine.book.release(machine.age, body.Release))
	case *ledgerpb.Command_Advance:
		return machine.advance(body.Advance)
	case *ledgerpb.Command_Settle:
		return &ledgerpb.Result{Body: &ledgerpb.Result_Settle{Settle: machine.book.settle(machine.age, body.Settle)}}
	}
	return malformed("the command is of an unknown kind")
}

// advance is idempotent, since it names the age that it starts from.
func (machine *Machine) advance(advance *ledgerpb.Advance) *ledgerpb.Result {
	if Age(advance.GetFrom()) == machine.age && advance.GetElapsed() > 0 {
		machine.age += Age(min(time.Duration(advance.GetElapsed()), MaxAdvance))
		machine.book.expire(machine.age)
	}
	return &ledgerpb.Result{Body: &ledgerpb.Result_Advance{Advance: &ledgerpb.AdvanceResult{Age: int64(machine.age)}}}
}

func recorded(age Age, state ledgerpb.RecordState) *ledgerpb.Result {
	result := &ledgerpb.RecordResult{State: state, Age: int64(age)}
	return &ledgerpb.Result{Body: &ledgerpb.Result_Record{Record: result}}
}

func malformed(problem string) *ledgerpb.Result {
	return &ledgerpb.Result{Body: &ledgerpb.Result_Malformed{Malformed: &ledgerpb.Malformed{Problem: problem}}}
}

func encode(message proto.Message) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil
	}
	return encoded
}

// Known answers a claim from the applied state of one replica, which may lag
// behind the log, or says that only the log can answer it. It answers only for
// a finished action: that an action ran never becomes untrue, so a replica that
// is behind, or cut off from the quorum, cannot be wrong. It grants nothing.
func (machine *Machine) Known(command []byte) ([]byte, bool) {
	decoded := new(ledgerpb.Command)
	if err := proto.Unmarshal(command, decoded); err != nil || decoded.GetClaim() == nil {
		return nil, false
	}
	asked := decoded.GetClaim()
	holder, ok := machine.book.claims[claimID(asked.GetKind(), asked.GetKey())]
	if !ok || holder.state != heldFinished {
		return nil, false
	}
	result := holder.result(machine.age, asked.GetDigest())
	return encode(&ledgerpb.Result{Body: &ledgerpb.Result_Claim{Claim: result}}), true
}

// Open lists the claims that are granted or in doubt, as operators see them.
func (machine *Machine) Open() []OpenClaim {
	return machine.book.open(machine.age)
}

// Settlements lists the claims that operators settled, oldest first.
func (machine *Machine) Settlements() []*ledgerpb.Settlement {
	return machine.book.settlements
}

// ClaimCount is the number of claims in the state.
func (machine *Machine) ClaimCount() int {
	return len(machine.book.claims)
}

// OpenClaim is a claim whose action is not known to have run.
type OpenClaim struct {
	Kind    request.KindName
	Key     request.IdempotencyKey
	Attempt request.AttemptID
	Node    request.NodeID
	// InDoubt says that the time to finish is over, or that the node lost its
	// target.
	InDoubt bool
	// Overdue is the age since the time to finish was over; negative before.
	Overdue time.Duration
}
