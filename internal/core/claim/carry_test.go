package claim_test

import (
	"strings"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// do carries out the actions of one node.
func (w *world) do(node int, actions []claim.Action) {
	for _, one := range append([]claim.Action(nil), actions...) {
		switch one.Type {
		case claim.Ask, claim.Record:
			w.propose(node, one)
		case claim.Run:
			w.hand(node, one.Attempt)
		case claim.Reply:
			w.replied(one)
		case claim.Refuse:
			w.refused(one)
		}
	}
	host, lives := w.nodes[node], w.nodes[node].lives
	wake, due := host.core.NextWake()
	if due {
		// A process that is held up ticks late.
		late := time.Duration(0)
		if w.chance(10) {
			late = w.upTo(8 * time.Second)
		}
		w.after(max(0, wake.Sub(w.now))+late, func() {
			if again, due := host.core.NextWake(); due && host.lives == lives && !again.After(w.now) {
				w.do(node, host.core.Tick(w.now))
			}
		})
	}
}

// propose sends a command over a channel that loses, doubles and delays it and
// its result.
func (w *world) propose(node int, proposed claim.Action) {
	copies := 1
	if w.chance(15) {
		copies = 2
	}
	for range copies {
		if w.chance(15) || w.now.Before(w.nodes[node].cutUntil) {
			continue
		}
		delay := w.upTo(60 * time.Millisecond)
		switch {
		case w.chance(5):
			delay = w.upTo(20 * time.Second)
		case w.chance(1):
			delay = w.upTo(historyLength)
		}
		w.after(delay, func() { w.arriveAtLedger(node, proposed) })
	}
}

func (w *world) arriveAtLedger(node int, proposed claim.Action) {
	result := w.apply(proposed.Command)
	if w.chance(15) || w.now.Before(w.nodes[node].cutUntil) {
		return
	}
	host, lives := w.nodes[node], w.nodes[node].lives
	w.after(w.upTo(60*time.Millisecond), func() {
		if host.lives != lives {
			return
		}
		if proposed.Type == claim.Ask {
			claimed, err := ledger.DecodeClaim(result)
			if err != nil {
				w.breach("decode: %v", err)
			}
			w.do(node, host.core.Claimed(w.now, proposed.Attempt, claimed))
			return
		}
		recorded, err := ledger.DecodeRecord(result)
		if err != nil {
			w.breach("decode: %v", err)
		}
		w.do(node, host.core.Recorded(w.now, proposed.Attempt, recorded))
	})
}

// hand gives the request to the node's target, which keeps its own record of
// what it ran.
func (w *world) hand(node int, attempt request.AttemptID) {
	host, lives := w.nodes[node], w.nodes[node].lives
	arrived, known := host.requests[attempt]
	if !known {
		w.breach("an unknown attempt was run")
		return
	}
	alive := func(act func() []claim.Action) {
		if host.lives == lives {
			w.do(node, act())
		}
	}
	if !w.now.Before(arrived.Deadline) {
		w.breach("the action of %s was started after its deadline", arrived.Key)
	}
	if w.chance(15) {
		w.after(w.upTo(time.Second), func() {
			alive(func() []claim.Action { return host.core.NotStarted(w.now, attempt, request.TargetUnreachable) })
		})
		return
	}
	done := action{arrived.Key, arrived.Digest[0]}
	w.handed[done]++
	w.excused[attempt] = true
	lost, runs := w.chance(20), w.chance(90)
	work := w.upTo(500 * time.Millisecond)
	if w.chance(10) {
		work = w.upTo(12 * time.Second)
	}
	w.after(work, func() {
		w.handed[done]--
		answer := w.execute(done, attempt, runs)
		if lost || !runs {
			alive(func() []claim.Action { return host.core.Lost(w.now, attempt, request.TargetDied) })
			return
		}
		alive(func() []claim.Action { return host.core.Answered(w.now, attempt, answer) })
	})
}

func (w *world) execute(done action, attempt request.AttemptID, runs bool) *claim.Answer {
	body := string(attempt[:])
	if attempt[0]%8 == 0 {
		body += strings.Repeat("x", 200)
	}
	if runs {
		w.ran[done.key]++
		w.tallies["ran"]++
		if w.ran[done.key] > 1 {
			w.breach("%s ran %d times", done.key, w.ran[done.key])
		}
		w.first[done] = body
	}
	return &claim.Answer{Status: 201, Body: []byte(body)}
}

func (w *world) end(number request.CallID) *call {
	ended := w.calls[number]
	if ended.ended {
		w.breach("call %d was answered twice", number)
	}
	ended.ended = true
	return ended
}

func (w *world) replied(one claim.Action) {
	ended := w.end(one.Call)
	w.tallies["answered"]++
	if string(one.Answer.GetBody()) != w.first[ended.action] {
		w.breach("the answer of %s is not that of its run", ended.action.key)
	}
}

// refused checks a refusal against the target's own record.
func (w *world) refused(one claim.Action) {
	ended := w.end(one.Call)
	w.tallies[one.Code.String()+" "+one.Outcome.String()]++
	done := ended.action
	_, ran := w.first[done]
	switch one.Outcome {
	case request.NotRun:
		if ran || w.handed[done] > 0 {
			w.breach("%s was called not run by %s, and it ran or may still run", done.key, one.Code)
		}
	case request.Ran:
		if !ran {
			w.breach("%s was called run and did not run", done.key)
		}
	}
	if one.Code != request.KeyReusedOtherBody && w.chance(70) {
		w.after(w.upTo(5*time.Second), func() { w.send(done, ended.sends+1) })
	}
}
