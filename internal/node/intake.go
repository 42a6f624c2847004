package node

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/intake"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// shareUnit is a whole share, as peers report it.
	shareUnit = 1000
	// retryShare is the part of its remaining time within which a caller comes
	// back, and longestRetry keeps it from outlasting a short overload.
	retryShare   = 3
	leastRetry   = 200 * time.Millisecond
	longestRetry = 1500 * time.Millisecond
)

// doors guards what decides which calls enter at this node, and what this node
// tells others of it.
type doors struct {
	lock  sync.Mutex
	meter intake.Meter
	roles intake.Roles
	valve intake.Valve
	// enters holds the kinds that are known to come from outside.
	enters map[request.KindName]bool
	// shortage is of the services that the local target calls.
	shortage intake.Shortage
}

// sheds tells whether a call is refused before anything is done for it, with the
// share that decided.
func (do *doors) sheds(now time.Time, og *outgoing) (float64, bool) {
	do.lock.Lock()
	defer do.lock.Unlock()
	if !do.enters[og.kind.Name] {
		return 1, false
	}
	share := do.valve.Share(now, og.kind.Name, og.kind.Importance)
	return share, rand.Float64() >= share
}

// follow takes what an answer's node says of the kind.
func (do *doors) follow(now time.Time, og *outgoing, report *peerpb.Report) {
	do.lock.Lock()
	defer do.lock.Unlock()
	if do.enters == nil {
		do.enters = make(map[request.KindName]bool)
	}
	do.enters[og.kind.Name] = report.GetEnters()
	if !report.GetEnters() {
		do.shortage.Heard(og.kind.Service, float64(report.GetLoad())/loadUnit)
	}
	if report.GetShare() > 0 {
		do.valve.Hear(now, og.kind.Name, og.kind.Importance, float64(report.GetShare())/shareUnit)
	}
}

// entering tells whether calls of the kind come from outside.
func (do *doors) entering(kind request.KindName) bool {
	do.lock.Lock()
	defer do.lock.Unlock()
	return do.enters[kind]
}

// starve notes that a call of the local target found no room.
func (do *doors) starve(now time.Time) {
	do.lock.Lock()
	defer do.lock.Unlock()
	do.shortage.Found(now)
}

// arrive notes beside which service a call came in.
func (do *doors) arrive(kind request.KindName, caller request.ServiceName) {
	do.lock.Lock()
	defer do.lock.Unlock()
	do.roles.Note(kind, caller)
}

// ended judges a call at the local target.
func (do *doors) ended(now time.Time, kind request.KindName, status int, late bool) {
	do.lock.Lock()
	defer do.lock.Unlock()
	end := intake.Fine
	if (status >= http.StatusInternalServerError || late) && do.shortage.Lasts(now) {
		end = intake.Starved
	}
	do.meter.Ended(now, kind, end)
}

// tell adds what others should know of the kind to a report.
func (do *doors) tell(now time.Time, kind request.KindName, report *peerpb.Report) {
	do.lock.Lock()
	defer do.lock.Unlock()
	report.Enters = do.roles.Enters(kind)
	report.Share = uint32(do.meter.Share(now, kind) * shareUnit)
}

// shed refuses a call that may not enter now.
func (no *Node) shed(now time.Time, og *outgoing) *web.Refusal {
	if !og.kind.Routed {
		return nil
	}
	share, refused := no.doors.sheds(now, og)
	if !refused {
		return nil
	}
	og.share = share
	refusal := web.NewRefusal(request.OverloadedBelow, "")
	refusal.RetryAfter = og.comeBack(now)
	return refusal
}

// comeBack spreads the callers that are refused over the time within which they
// come back at all.
func (og *outgoing) comeBack(now time.Time) time.Duration {
	latest := min(max(og.work.Deadline.Sub(now)/retryShare, leastRetry), longestRetry)
	return leastRetry + time.Duration(rand.Int64N(int64(latest-leastRetry)+1))
}
