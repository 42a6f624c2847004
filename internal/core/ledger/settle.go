package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// SettleState is the result of a [SettleCommand].
type SettleState = ledgerpb.SettleState

// The results of a [SettleCommand].
const (
	// Settled means that the settlement is recorded, by this command or by an
	// earlier one with the same decision.
	Settled = ledgerpb.SettleState_SETTLE_STATE_SETTLED
	// SettleNotFound means that the claim does not exist, or that the command
	// names no operator.
	SettleNotFound = ledgerpb.SettleState_SETTLE_STATE_NOT_FOUND
	// SettleNotInDoubt means that the action finished, may still run, or has been
	// in doubt for less than [MinInDoubtTime].
	SettleNotInDoubt = ledgerpb.SettleState_SETTLE_STATE_NOT_IN_DOUBT
	// SettleOtherAttempt means that another attempt holds the claim now.
	SettleOtherAttempt = ledgerpb.SettleState_SETTLE_STATE_OTHER_ATTEMPT
	// SettledOtherwise means that the attempt was settled before with the
	// opposite decision; the result holds that settlement.
	SettledOtherwise = ledgerpb.SettleState_SETTLE_STATE_OTHERWISE
)

func (table *claimTable) settle(age Age, settle *ledgerpb.Settle) *ledgerpb.SettleResult {
	if earlier := table.findSettlement(settle.GetAttempt()); earlier != nil {
		state := Settled
		if earlier.GetRan() != settle.GetRan() {
			state = SettledOtherwise
		}
		return &ledgerpb.SettleResult{State: state, Settlement: earlier}
	}
	id := newClaimID(settle.GetKind(), settle.GetKey())
	entry, exists := table.entries[id]
	attempt, valid := parseAttemptID(settle.GetAttempt())
	switch {
	case !exists || settle.GetOperator() == "":
		return &ledgerpb.SettleResult{State: SettleNotFound}
	case !valid || entry.attempt != attempt:
		return &ledgerpb.SettleResult{State: SettleOtherAttempt}
	case !entry.canSettle(age):
		return &ledgerpb.SettleResult{State: SettleNotInDoubt}
	}
	if settle.GetRan() {
		table.markFinished(age, id, entry, settle.GetKeepRecord(), nil)
	} else {
		delete(table.entries, id)
		table.addTombstone(age, attempt)
	}
	return &ledgerpb.SettleResult{State: Settled, Settlement: table.recordSettlement(settle)}
}

// canSettle requires that the time to finish has passed even if the node
// reported the target lost, since the target may still be running the action.
func (entry *claimEntry) canSettle(age Age) bool {
	return entry.state != entryFinished && age > entry.expires+Age(MinInDoubtTime)
}

func (table *claimTable) findSettlement(attempt []byte) *ledgerpb.Settlement {
	for _, settlement := range table.settlements {
		if string(settlement.GetAttempt()) == string(attempt) {
			return settlement
		}
	}
	return nil
}

func (table *claimTable) recordSettlement(settle *ledgerpb.Settle) *ledgerpb.Settlement {
	settlement := &ledgerpb.Settlement{
		Kind:     settle.GetKind(),
		Key:      settle.GetKey(),
		Attempt:  settle.GetAttempt(),
		Ran:      settle.GetRan(),
		Operator: settle.GetOperator(),
		Note:     settle.GetNote(),
	}
	table.settlements = append(table.settlements, settlement)
	if len(table.settlements) > MaxSettlements {
		table.settlements = dropFirst(table.settlements)
	}
	return settlement
}

func (table *claimTable) openClaims(age Age) []OpenClaim {
	var claims []OpenClaim
	for _, entry := range table.entries {
		if entry.state == entryFinished {
			continue
		}
		claims = append(claims, OpenClaim{
			Kind:    request.KindName(entry.details.kind),
			Key:     request.IdempotencyKey(entry.details.key),
			Attempt: entry.attempt,
			Node:    request.NodeID(entry.details.node),
			InDoubt: entry.inDoubt(age),
			Overdue: time.Duration(age - entry.expires),
		})
	}
	slices.SortFunc(claims, func(left, right OpenClaim) int {
		return cmp.Or(cmp.Compare(left.Kind, right.Kind), cmp.Compare(left.Key, right.Key))
	})
	return claims
}
