package node

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// served is a request that the local target works on.
type served struct {
	id    string
	work  request.Work
	root  *root
	begun time.Time
}

// inherit gives a call of the local target that names no root the place of the
// request that it is likely made for. The order of calls depends on it, and how long
// a target seems to wait for others; what is told to callers and what is retried do
// not.
func (no *Node) inherit(og *outgoing, until, now time.Time) {
	if og.tied || !og.kind.Routed || no.doors.entering(og.kind.Name) {
		return
	}
	parent, ok := no.served.Parent(until)
	if !ok {
		return
	}
	og.parent = parent
	no.counters.tied.Inc()
	og.takePlace(parent.work, now.Sub(parent.begun))
}

// takePlace gives the call the place of the work that it is a part of: its bucket, so
// that the calls of one tree are all taken or none, its importance where that is
// higher, and what was spent on it until now.
func (og *outgoing) takePlace(parent request.Work, worked time.Duration) {
	importance := max(parent.Priority.Importance(), og.kind.Importance)
	og.work.Priority = request.NewPriority(importance, parent.Priority.Bucket())
	og.work.Spent = parent.Spent + worked
}

// wait and resume frame the time in which the local target waits for the call.
func (og *outgoing) wait(now time.Time) {
	og.root.wait(now)
	if og.parent != nil {
		og.parent.root.wait(now)
	}
}

// resume tells the refusal to the call's own root only: what a request that was
// likely its parent ends with must not change by it.
func (og *outgoing) resume(now time.Time, refused *web.Refusal) {
	og.root.resume(now, refused)
	if og.parent != nil {
		og.parent.root.resume(now, nil)
	}
}
