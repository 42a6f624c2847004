package operator

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

func (service *Service) listActions(ctx context.Context, _ Done) (Actions, error) {
	list := Actions{Actions: []ActionRow{}}
	err := service.Ledger.Read(ctx, func(machine *ledger.Machine) {
		for _, open := range machine.OpenClaims() {
			list.Actions = append(list.Actions, ActionRow{
				Kind:    open.Kind,
				Key:     open.Key,
				Attempt: hex.EncodeToString(open.Attempt[:]),
				Node:    open.Node,
				InDoubt: open.InDoubt,
			})
		}
	})
	return list, err
}

var settleProblems = map[ledger.SettleState]string{
	ledger.SettleNotFound:     "no such action is open; look at the list of actions",
	ledger.SettleNotInDoubt:   "the action finished, may still run, or has not been in doubt for a minute; wait and look again",
	ledger.SettleOtherAttempt: "another attempt holds the action by now; look at the list of actions",
	ledger.SettledOtherwise:   "another operator settled the action the other way",
}

func (service *Service) settleAction(ctx context.Context, settlement Settlement) (Done, error) {
	attempt := request.AttemptID{}
	decoded, err := hex.DecodeString(settlement.Attempt)
	if err != nil || copy(attempt[:], decoded) != len(attempt) {
		return Done{}, badRequest{"the attempt must be the 32 hexadecimal digits that the list of actions shows"}
	}
	if settlement.Operator == "" {
		return Done{}, badRequest{"the operator's name is missing"}
	}
	keep, err := service.recordRetention(ctx)
	if err != nil {
		return Done{}, err
	}
	result, err := service.Ledger.Propose(ctx, ledger.SettleCommand{
		Kind:            settlement.Kind,
		Key:             settlement.Key,
		Attempt:         attempt,
		Ran:             settlement.Ran,
		Operator:        settlement.Operator,
		Note:            settlement.Note,
		RecordRetention: keep,
	}.Encode())
	if err != nil {
		return Done{}, err
	}
	settled, err := ledger.DecodeSettle(result)
	if err != nil {
		return Done{}, err
	}
	if problem, ok := settleProblems[settled.GetState()]; ok {
		return Done{}, badRequest{problem}
	}
	return Done{Done: true}, nil
}

func (service *Service) recordRetention(ctx context.Context) (time.Duration, error) {
	var text []byte
	if err := service.Ledger.Peek(ctx, func(machine *ledger.Machine) { _, text = machine.CurrentVersion() }); err != nil {
		return 0, err
	}
	document, err := configuration.Parse(text)
	if err != nil {
		return 0, err
	}
	return time.Duration(document.Claims.RecordRetention), nil
}
