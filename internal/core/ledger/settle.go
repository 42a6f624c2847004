package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// SettleState is the answer to an operator's settlement.
type SettleState = ledgerpb.SettleState

// The answers to a settlement.
const (
	// Settled says that the settlement is in force.
	Settled = ledgerpb.SettleState_SETTLE_STATE_SETTLED
	// SettleNotFound says that nobody holds the claim.
	SettleNotFound = ledgerpb.SettleState_SETTLE_STATE_NOT_FOUND
	// SettleNotInDoubt says that the action finished, may still run, or has not
	// been in doubt for long enough.
	SettleNotInDoubt = ledgerpb.SettleState_SETTLE_STATE_NOT_IN_DOUBT
	// SettleOtherAttempt says that another attempt holds the claim by now.
	SettleOtherAttempt = ledgerpb.SettleState_SETTLE_STATE_OTHER_ATTEMPT
	// SettledOtherwise says that it was settled before with another word; the
	// result tells by whom.
	SettledOtherwise = ledgerpb.SettleState_SETTLE_STATE_OTHERWISE
)

func (b *book) settle(age Age, settle *ledgerpb.Settle) *ledgerpb.SettleResult {
	if earlier := b.settlementOf(settle.GetAttempt()); earlier != nil {
		state := Settled
		if earlier.GetRan() != settle.GetRan() {
			state = SettledOtherwise
		}
		return &ledgerpb.SettleResult{State: state, Settlement: earlier}
	}
	name := claimID(settle.GetKind(), settle.GetKey())
	holder, taken := b.claims[name]
	attempt, valid := attemptID(settle.GetAttempt())
	switch {
	case !taken || settle.GetOperator() == "":
		return &ledgerpb.SettleResult{State: SettleNotFound}
	case !valid || holder.attempt != attempt:
		return &ledgerpb.SettleResult{State: SettleOtherAttempt}
	case !holder.settleable(age):
		return &ledgerpb.SettleResult{State: SettleNotInDoubt}
	}
	if settle.GetRan() {
		b.close(age, name, holder, settle.GetKeepRecord(), nil)
	} else {
		delete(b.claims, name)
		b.bury(age, attempt)
	}
	return &ledgerpb.SettleResult{State: Settled, Settlement: b.recordSettlement(settle)}
}

// settleable asks for the time to finish to be over also when the node reported
// the target lost, since the target may still be running the action.
func (h *held) settleable(age Age) bool {
	return h.state != heldFinished && age > h.expires+Age(SettleAfter)
}

func (b *book) settlementOf(attempt []byte) *ledgerpb.Settlement {
	for _, settlement := range b.settlements {
		if string(settlement.GetAttempt()) == string(attempt) {
			return settlement
		}
	}
	return nil
}

func (b *book) recordSettlement(settle *ledgerpb.Settle) *ledgerpb.Settlement {
	settlement := &ledgerpb.Settlement{
		Kind:     settle.GetKind(),
		Key:      settle.GetKey(),
		Attempt:  settle.GetAttempt(),
		Ran:      settle.GetRan(),
		Operator: settle.GetOperator(),
		Note:     settle.GetNote(),
	}
	b.settlements = append(b.settlements, settlement)
	if len(b.settlements) > MaxSettlements {
		b.settlements = dropFirst(b.settlements)
	}
	return settlement
}

func (b *book) open(age Age) []OpenClaim {
	var open []OpenClaim
	for _, holder := range b.claims {
		if holder.state == heldFinished {
			continue
		}
		open = append(open, OpenClaim{
			Kind:    request.KindName(holder.open.kind),
			Key:     request.IdempotencyKey(holder.open.key),
			Attempt: holder.attempt,
			Node:    request.NodeID(holder.open.node),
			InDoubt: holder.inDoubt(age),
			Overdue: time.Duration(age - holder.expires),
		})
	}
	slices.SortFunc(open, func(left, right OpenClaim) int {
		return cmp.Or(cmp.Compare(left.Kind, right.Kind), cmp.Compare(left.Key, right.Key))
	})
	return open
}
