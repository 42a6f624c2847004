package quarantine

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Incarnation counts the starts of a target, so that two crashes of the same
// target can be told apart.
type Incarnation uint64

// Crash identifies one crash of a target.
type Crash struct {
	Node        request.NodeID
	Domain      request.DomainName
	Incarnation Incarnation
}

// Event is the type of a report.
type Event uint8

// The types of reports.
const (
	// TargetCrashed lists the requests that were in flight when a target crashed.
	TargetCrashed Event = iota + 1
	// SuspectCompleted lists suspects that a target completed.
	SuspectCompleted
	// RefusedResent lists refused requests that were sent again, which extends
	// their hold.
	RefusedResent
)

// Report is sent to all nodes of the failure domain, and from there to the other
// failure domains. Applying a report is idempotent, and reports may arrive late.
type Report struct {
	Event        Event
	Crash        Crash
	Fingerprints []request.Fingerprint
	// Age is the time from the event until the report was sent or, on its way, sent on.
	Age time.Duration
}

// Restriction says which targets may run a request.
type Restriction uint8

// The restrictions, from the weakest to the strongest.
const (
	// Unrestricted means that any target may run the request.
	Unrestricted Restriction = iota
	// SingleTarget means that the request is a suspect: it goes to the first
	// target of its failure domain that is not excluded, is the only suspect that
	// runs there, and is not retried.
	SingleTarget
	// OtherDomains is like SingleTarget, but only in failure domains that are not
	// excluded.
	OtherDomains
	// Refused means that the request is refused with [request.Quarantined].
	Refused
)

// Decision is the restriction of a request and the targets that are excluded for
// it.
type Decision struct {
	Restriction Restriction
	// ExcludedNodes are excluded because their target crashed with the request in
	// flight.
	ExcludedNodes []request.NodeID
	// ExcludedDomains are excluded because two targets in each of them crashed with the
	// request in flight.
	ExcludedDomains []request.DomainName
}

// suspectRecord is what is known about one fingerprint.
type suspectRecord struct {
	crashes          []Crash
	restriction      Restriction
	lastCrashAt      time.Time
	expiresAt        time.Time
	lastResendReport time.Time
}

func (suspect *suspectRecord) hasCrash(crash Crash) bool {
	for _, recorded := range suspect.crashes {
		if recorded == crash {
			return true
		}
	}
	return false
}

func (suspect *suspectRecord) nodes() []request.NodeID {
	nodes := make([]request.NodeID, 0, len(suspect.crashes))
	for _, crash := range suspect.crashes {
		nodes = append(nodes, crash.Node)
	}
	return nodes
}

// domains returns the failure domains with two crashes of the suspect.
func (suspect *suspectRecord) domains() []request.DomainName {
	counts := map[request.DomainName]int{}
	var excluded []request.DomainName
	for _, crash := range suspect.crashes {
		counts[crash.Domain]++
		if counts[crash.Domain] == crashThreshold {
			excluded = append(excluded, crash.Domain)
		}
	}
	return excluded
}
