package claim_test

import (
	"strings"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// execute carries out the actions that the coordinator of one node returned, and
// schedules its next tick.
func (sim *simulation) execute(node int, actions []claim.Action) {
	for _, nodeAction := range append([]claim.Action(nil), actions...) {
		switch nodeAction.Type {
		case claim.ProposeClaim, claim.ProposeRecord:
			sim.propose(node, nodeAction)
		case claim.Run:
			sim.sendToTarget(node, nodeAction.Attempt)
		case claim.Reply:
			sim.replied(nodeAction)
		case claim.Refuse:
			sim.refused(nodeAction)
		}
	}
	nodeState, incarnation := sim.nodes[node], sim.nodes[node].incarnation
	wake, due := nodeState.coordinator.NextWake()
	if due {
		// A paused process ticks late.
		late := time.Duration(0)
		if sim.chance(10) {
			late = sim.randomDuration(8 * time.Second)
		}
		sim.schedule(max(0, wake.Sub(sim.now))+late, func() {
			if again, due := nodeState.coordinator.NextWake(); due && nodeState.incarnation == incarnation && !again.After(sim.now) {
				sim.execute(node, nodeState.coordinator.Tick(sim.now))
			}
		})
	}
}

// propose sends a command to the ledger. The command may be lost, duplicated or
// delayed.
func (sim *simulation) propose(node int, proposed claim.Action) {
	copies := 1
	if sim.chance(15) {
		copies = 2
	}
	for range copies {
		if sim.chance(15) || sim.now.Before(sim.nodes[node].disconnectedUntil) {
			continue
		}
		delay := sim.randomDuration(60 * time.Millisecond)
		switch {
		case sim.chance(5):
			delay = sim.randomDuration(20 * time.Second)
		case sim.chance(1):
			delay = sim.randomDuration(faultPhase)
		}
		sim.schedule(delay, func() { sim.deliverToLedger(node, proposed) })
	}
}

func (sim *simulation) deliverToLedger(node int, proposed claim.Action) {
	result := sim.apply(proposed.Command)
	if sim.chance(15) || sim.now.Before(sim.nodes[node].disconnectedUntil) {
		return
	}
	nodeState, incarnation := sim.nodes[node], sim.nodes[node].incarnation
	sim.schedule(sim.randomDuration(60*time.Millisecond), func() {
		if nodeState.incarnation != incarnation {
			return
		}
		if proposed.Type == claim.ProposeClaim {
			claimed, err := ledger.DecodeClaim(result)
			if err != nil {
				sim.addViolation("decode: %v", err)
			}
			sim.execute(node, nodeState.coordinator.Claimed(sim.now, proposed.Attempt, claimed))
			return
		}
		recorded, err := ledger.DecodeRecord(result)
		if err != nil {
			sim.addViolation("decode: %v", err)
		}
		sim.execute(node, nodeState.coordinator.Recorded(sim.now, proposed.Attempt, recorded))
	})
}

// sendToTarget sends the request to the node's target. The target keeps its own
// record of the actions that it ran.
func (sim *simulation) sendToTarget(node int, attempt request.AttemptID) {
	nodeState, incarnation := sim.nodes[node], sim.nodes[node].incarnation
	arrived, known := nodeState.requests[attempt]
	if !known {
		sim.addViolation("an attempt that the node does not know was run")
		return
	}
	ifRunning := func(handle func() []claim.Action) {
		if nodeState.incarnation == incarnation {
			sim.execute(node, handle())
		}
	}
	if !sim.now.Before(arrived.Deadline) {
		sim.addViolation("the action of %s was started after its deadline", arrived.Key)
	}
	if sim.chance(15) {
		sim.schedule(sim.randomDuration(time.Second), func() {
			ifRunning(func() []claim.Action {
				return nodeState.coordinator.NotStarted(sim.now, attempt, request.TargetUnreachable)
			})
		})
		return
	}
	requested := action{arrived.Key, arrived.Digest[0]}
	sim.inProgress[requested]++
	sim.mayStayOpen[attempt] = true
	lost, runs := sim.chance(20), sim.chance(90)
	duration := sim.randomDuration(500 * time.Millisecond)
	if sim.chance(10) {
		duration = sim.randomDuration(12 * time.Second)
	}
	sim.schedule(duration, func() {
		sim.inProgress[requested]--
		answer := sim.runAction(requested, attempt, runs)
		if lost || !runs {
			ifRunning(func() []claim.Action { return nodeState.coordinator.Lost(sim.now, attempt, request.TargetDied) })
			return
		}
		ifRunning(func() []claim.Action { return nodeState.coordinator.Answered(sim.now, attempt, answer) })
	})
}

func (sim *simulation) runAction(requested action, attempt request.AttemptID, runs bool) *claim.Answer {
	body := string(attempt[:])
	if attempt[0]%8 == 0 {
		body += strings.Repeat("x", 200)
	}
	if runs {
		sim.runCounts[requested.key]++
		sim.counts["ran"]++
		if sim.runCounts[requested.key] > 1 {
			sim.addViolation("%s ran %d times", requested.key, sim.runCounts[requested.key])
		}
		sim.answers[requested] = body
	}
	return &claim.Answer{Status: 201, Body: []byte(body)}
}

func (sim *simulation) endCall(number request.CallID) *call {
	ended := sim.calls[number]
	if ended.ended {
		sim.addViolation("call %d was answered twice", number)
	}
	ended.ended = true
	return ended
}

func (sim *simulation) replied(nodeAction claim.Action) {
	ended := sim.endCall(nodeAction.Call)
	sim.counts["answered"]++
	if string(nodeAction.Answer.GetBody()) != sim.answers[ended.action] {
		sim.addViolation("the answer to %s is not the one that the target gave", ended.action.key)
	}
}

// refused checks the outcome that a refusal gives against the target's record.
func (sim *simulation) refused(nodeAction claim.Action) {
	ended := sim.endCall(nodeAction.Call)
	sim.counts[nodeAction.Code.String()+" "+nodeAction.Outcome.String()]++
	requested := ended.action
	_, ran := sim.answers[requested]
	switch nodeAction.Outcome {
	case request.NotRun:
		if ran || sim.inProgress[requested] > 0 {
			sim.addViolation("%s was reported as not run with %s, but it ran or may still run", requested.key, nodeAction.Code)
		}
	case request.Ran:
		if !ran {
			sim.addViolation("%s was reported as run, but it did not run", requested.key)
		}
	}
	if nodeAction.Code != request.KeyReusedOtherBody && sim.chance(70) {
		sim.schedule(sim.randomDuration(5*time.Second), func() { sim.send(requested, ended.sendCount+1) })
	}
}
