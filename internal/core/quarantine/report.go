package quarantine

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Incarnation numbers the starts of a target; a restarted one has a higher
// number.
type Incarnation uint64

// Crash names one death of a target.
type Crash struct {
	Node        request.NodeID
	Domain      request.DomainName
	Incarnation Incarnation
}

// Event says what a report tells.
type Event uint8

// The events of a report.
const (
	// Crashed lists the requests that were in flight when a target died.
	Crashed Event = iota + 1
	// Finished lists suspects that a target ran to their end.
	Finished
	// Resent lists refused requests that came again, so that the hold goes on.
	Resent
)

// Report travels to all nodes of the failure domain, and from there to the
// other domains. Applying it twice or late does no harm.
type Report struct {
	Event        Event
	Crash        Crash
	Fingerprints []request.Fingerprint
}

// Verdict says what may be done with a request.
type Verdict uint8

// The verdicts.
const (
	// Free requests go to any target.
	Free Verdict = iota
	// Alone requests go to the first target of their failure domain, one at a
	// time at each target, and are not retried.
	Alone
	// Elsewhere requests go only to other failure domains, as Alone ones do.
	Elsewhere
	// Refused requests get the code Quarantined.
	Refused
)

// Ruling is the verdict with the places that the request must not go to.
type Ruling struct {
	Verdict Verdict
	// Nodes are those where a target died with the request in flight.
	Nodes []request.NodeID
	// Domains are those where two targets died so.
	Domains []request.DomainName
}

// record is what is known of one fingerprint.
type record struct {
	crashes []Crash
	verdict Verdict
	until   time.Time
	renewed time.Time
}

func (r *record) has(crash Crash) bool {
	for _, known := range r.crashes {
		if known == crash {
			return true
		}
	}
	return false
}

func (r *record) nodes() []request.NodeID {
	nodes := make([]request.NodeID, 0, len(r.crashes))
	for _, crash := range r.crashes {
		nodes = append(nodes, crash.Node)
	}
	return nodes
}

// domains gives the failure domains in which the request was at two crashes.
func (r *record) domains() []request.DomainName {
	counts := map[request.DomainName]int{}
	var full []request.DomainName
	for _, crash := range r.crashes {
		counts[crash.Domain]++
		if counts[crash.Domain] == crashesPerDomain {
			full = append(full, crash.Domain)
		}
	}
	return full
}
