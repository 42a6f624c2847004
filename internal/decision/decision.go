// Package decision writes one structured line for each decision that touches a
// request or changes what a process believes: the inputs that decided it, their
// age or version, and the outcome.
//
// The volume is bounded: each kind of line has a rate, and what is over it is
// counted and told with the next line of its kind. Writing never waits: lines
// go through [Writer], which drops and counts what a slow reader leaves.
//
// # Usage
//
//	decisions := &decision.Log{Logger: logger}
//	if line := decisions.Line(decision.CallRefused); line != nil {
//		line.Str("request", id).Stringer("code", code).Msg("call: refused")
//	}
package decision

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Kind is a kind of line; docs/OPERATIONS.md lists them.
type Kind uint8

// The kinds of line.
const (
	CallAnswered Kind = iota
	CallRefused
	CallRetried
	TargetAnswered
	TargetRefused
	// AnswerCut tells why an answer that had begun broke off.
	AnswerCut
	// NoTarget tells what is thought of the targets when none could be chosen.
	NoTarget
	// HeadroomChanged tells that another number of a target's slots stays free.
	HeadroomChanged
	kindCount
)

const (
	// linesPerSecond bounds the lines of one kind: with the usual line of 300
	// bytes, all kinds together stay under 100 KB a second.
	linesPerSecond = 40
	// answeredPerSecond bounds the lines on calls that went well, which an
	// operator needs fewer of.
	answeredPerSecond = 10
)

// Log bounds the lines of one process. The exported fields are set before the
// first use; a Log without a Logger writes nothing.
type Log struct {
	Logger *log.Logger
	// Now replaces the clock.
	Now func() time.Time

	lock  sync.Mutex
	kinds [kindCount]window
}

// window counts the lines of one kind in one second.
type window struct {
	second  int64
	written int
	skipped uint64
}

// Line gives a line to fill in, or nil when the kind is over its rate.
func (decisions *Log) Line(kind Kind) *log.Entry {
	if decisions == nil || decisions.Logger == nil {
		return nil
	}
	skipped, allowed := decisions.take(kind)
	if !allowed {
		return nil
	}
	line := decisions.Logger.Info()
	if skipped > 0 {
		line = line.Uint64("left-out", skipped)
	}
	return line
}

func (decisions *Log) take(kind Kind) (skipped uint64, allowed bool) {
	now := time.Now
	if decisions.Now != nil {
		now = decisions.Now
	}
	second := now().Unix()
	decisions.lock.Lock()
	defer decisions.lock.Unlock()
	current := &decisions.kinds[kind]
	if current.second != second {
		current.second, current.written = second, 0
	}
	if current.written >= kind.rate() {
		current.skipped++
		return 0, false
	}
	current.written++
	skipped, current.skipped = current.skipped, 0
	return skipped, true
}

func (kind Kind) rate() int {
	if kind == CallAnswered || kind == TargetAnswered {
		return answeredPerSecond
	}
	return linesPerSecond
}
