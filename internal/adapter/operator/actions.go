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
		for _, action := range machine.OpenClaims() {
			customer, key := action.Key.SplitCustomer()
			list.Actions = append(list.Actions, ActionRow{
				Kind:     action.Kind,
				Customer: customer,
				Key:      key,
				Attempt:  hex.EncodeToString(action.Attempt[:]),
				Node:     action.Node,
				InDoubt:  action.InDoubt,
			})
		}
	})
	return list, err
}

var settleErrors = map[ledger.SettleState]string{
	ledger.SettleNotFound:     "no open action has this kind and key; check the list of actions",
	ledger.SettleNotInDoubt:   "the action has finished, may still be running, or has been in doubt for less than a minute; wait and check the list of actions",
	ledger.SettleOtherAttempt: "another attempt now owns the action; check the list of actions",
	ledger.SettledOtherwise:   "another operator already settled the action with the opposite outcome",
}

func (service *Service) settleAction(ctx context.Context, settlement Settlement) (Done, error) {
	attempt := request.AttemptID{}
	decoded, err := hex.DecodeString(settlement.Attempt)
	if err != nil || copy(attempt[:], decoded) != len(attempt) {
		return Done{}, badRequest{"the attempt must be the 32 hexadecimal digits shown in the list of actions"}
	}
	if settlement.Operator == "" {
		return Done{}, badRequest{"the operator name is missing"}
	}
	retention, err := service.recordRetention(ctx)
	if err != nil {
		return Done{}, err
	}
	result, err := service.Ledger.Propose(ctx, ledger.SettleCommand{
		Kind:            settlement.Kind,
		Key:             settlement.Key.ForCustomer(settlement.Customer),
		Attempt:         attempt,
		Ran:             settlement.Ran,
		Operator:        settlement.Operator,
		Note:            settlement.Note,
		RecordRetention: retention,
	}.Encode())
	if err != nil {
		return Done{}, err
	}
	state, err := ledger.DecodeSettle(result)
	if err != nil {
		return Done{}, err
	}
	if problem, ok := settleErrors[state.GetState()]; ok {
		return Done{}, badRequest{problem}
	}
	return Done{Done: true}, nil
}

// recordRetention reads from the current configuration how long the record of a
// finished action is kept.
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
