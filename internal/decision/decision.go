// Package decision logs one structured line for each decision that affects a request
// or a process's view of other processes: the inputs of the decision, their age or
// version, and the outcome.
//
// The volume is bounded. Each kind of line has a rate limit; lines over it are
// counted, and the next line of the same kind carries the count as left-out. Logging
// never blocks: lines go through a [Writer], which drops and counts lines when its
// output is slow. A [Log] and a [Writer] may be used by several goroutines.
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

// Kind is a kind of log line; docs/OPERATIONS.md lists them.
type Kind uint8

// The kinds of log lines.
const (
	CallAnswered Kind = iota
	CallRefused
	CallRetried
	TargetAnswered
	TargetRefused
	// AnswerCut gives the reason why an answer that had begun broke off.
	AnswerCut
	// NoTarget gives the state of all targets when none of them could be chosen.
	NoTarget
	// HeadroomChanged gives a new number of a target's slots that are kept free.
	HeadroomChanged
	// TargetStatusChanged gives what the target reports about itself in its answers.
	TargetStatusChanged
	// CallsUnderLimit gives the calls of one second while the target states a rate limit.
	CallsUnderLimit
	// CallerLeft gives a call whose caller had left before it was sent.
	CallerLeft
	// CallUnderWay gives a call that was under way for long before this process read it.
	CallUnderWay
	kindCount
)

const (
	// defaultLinesPerSecond is the rate limit of each kind: with a usual line of 300
	// bytes, all kinds together stay under 100 KB a second.
	defaultLinesPerSecond = 40
	// answeredLinesPerSecond is the rate limit of lines on successful calls, of which
	// an operator needs fewer.
	answeredLinesPerSecond = 10
)

// Log limits the rate of the lines of one process. The exported fields are set before
// the first use; a nil Log, or one without a Logger, logs nothing.
type Log struct {
	Logger *log.Logger
	// Now replaces the clock.
	Now func() time.Time

	lock    sync.Mutex
	windows [kindCount]rateWindow
}

// rateWindow counts the lines of one kind within one second of the clock.
type rateWindow struct {
	second  int64
	written int
	skipped uint64
}

// Line returns a line to fill in, or nil when the kind is over its rate limit.
func (decisions *Log) Line(kind Kind) *log.Entry {
	if decisions == nil || decisions.Logger == nil {
		return nil
	}
	skipped, allowed := decisions.countLine(kind)
	if !allowed {
		return nil
	}
	line := decisions.Logger.Info()
	if skipped > 0 {
		line = line.Uint64("left-out", skipped)
	}
	return line
}

func (decisions *Log) countLine(kind Kind) (skipped uint64, allowed bool) {
	now := time.Now
	if decisions.Now != nil {
		now = decisions.Now
	}
	second := now().Unix()
	decisions.lock.Lock()
	defer decisions.lock.Unlock()
	current := &decisions.windows[kind]
	if current.second != second {
		current.second, current.written = second, 0
	}
	if current.written >= kind.linesPerSecond() {
		current.skipped++
		return 0, false
	}
	current.written++
	skipped, current.skipped = current.skipped, 0
	return skipped, true
}

func (kind Kind) linesPerSecond() int {
	if kind == CallAnswered || kind == TargetAnswered {
		return answeredLinesPerSecond
	}
	return defaultLinesPerSecond
}
