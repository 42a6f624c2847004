package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// DefaultSilence is how long a zero Silence lets a node or replica be silent
// before it counts as out of reach.
const DefaultSilence = 5 * time.Second

// forgetTime is how long a silent node is listed.
const forgetTime = time.Hour

// Tracker holds which version each node has in force, from the renewals of the
// leases at one replica and the summaries of the other replicas.
type Tracker struct {
	// Silence is how long a node or replica may be silent.
	Silence time.Duration

	nodes    map[request.NodeID]report
	replicas map[request.NodeID]summary
}

type report struct {
	domain  request.DomainName
	number  configuration.Version
	heardAt time.Time
}

type summary struct {
	domains []DomainStatus
	heardAt time.Time
}

// DomainStatus tells of the nodes of one failure domain.
type DomainStatus struct {
	Domain request.DomainName
	// Nodes counts the nodes that were heard of lately.
	Nodes int
	// Versions counts them by the version in force, oldest first.
	Versions []VersionCount
	// Silent lists the nodes that were not heard of lately.
	Silent []request.NodeID
	// OutOfReach says that this status is an old one: the replica that gave it
	// is silent.
	OutOfReach bool
}

// VersionCount is the number of nodes that have a version in force.
type VersionCount struct {
	Number configuration.Version
	Nodes  int
}

// Report notes what a node has in force.
func (tracker *Tracker) Report(now time.Time, node request.NodeID, domain request.DomainName, number configuration.Version) {
	if tracker.nodes == nil {
		tracker.nodes = map[request.NodeID]report{}
	}
	tracker.nodes[node] = report{domain: domain, number: number, heardAt: now}
}

// Left forgets a node that stopped as planned.
func (tracker *Tracker) Left(node request.NodeID) {
	delete(tracker.nodes, node)
}

// Forget drops the nodes that hold their lease elsewhere by now.
func (tracker *Tracker) Forget(elsewhere func(request.NodeID) bool) {
	maps.DeleteFunc(tracker.nodes, func(node request.NodeID, _ report) bool { return elsewhere(node) })
}

// Merge notes the summary of another replica.
func (tracker *Tracker) Merge(now time.Time, replica request.NodeID, domains []DomainStatus) {
	if tracker.replicas == nil {
		tracker.replicas = map[request.NodeID]summary{}
	}
	tracker.replicas[replica] = summary{domains: domains, heardAt: now}
}

// Heard tells whether another replica was heard of lately.
func (tracker *Tracker) Heard(now time.Time, replica request.NodeID) bool {
	told, known := tracker.replicas[replica]
	return known && now.Sub(told.heardAt) < tracker.silence()
}

// Summary tells of the nodes that hold their lease here.
func (tracker *Tracker) Summary(now time.Time) []DomainStatus {
	domains := map[request.DomainName]*DomainStatus{}
	for node, told := range tracker.nodes {
		age := now.Sub(told.heardAt)
		if age >= forgetTime {
			delete(tracker.nodes, node)
			continue
		}
		status := statusOf(domains, told.domain)
		if age >= tracker.silence() {
			status.Silent = append(status.Silent, node)
			continue
		}
		status.count(VersionCount{Number: told.number, Nodes: 1})
	}
	return sorted(domains)
}

// Status joins the nodes of this replica with the summaries of the others. A
// silent replica tells only of domains that no other one hears: elsewhere its
// nodes hold their leases at other replicas, and would count twice.
func (tracker *Tracker) Status(now time.Time) []DomainStatus {
	domains := map[request.DomainName]*DomainStatus{}
	join(domains, tracker.Summary(now), false)
	var old []DomainStatus
	for _, told := range tracker.replicas {
		if now.Sub(told.heardAt) >= tracker.silence() {
			old = append(old, told.domains...)
			continue
		}
		join(domains, told.domains, false)
	}
	join(domains, slices.DeleteFunc(old, func(status DomainStatus) bool { return domains[status.Domain] != nil }), true)
	return sorted(domains)
}

// InForce counts the nodes that have at least a version and those that don't,
// silent ones included.
func InForce(domains []DomainStatus, number configuration.Version) (current, behind int) {
	for _, status := range domains {
		behind += len(status.Silent)
		for _, counted := range status.Versions {
			if counted.Number >= number && !status.OutOfReach {
				current += counted.Nodes
				continue
			}
			behind += counted.Nodes
		}
	}
	return current, behind
}

func (tracker *Tracker) silence() time.Duration {
	if tracker.Silence == 0 {
		return DefaultSilence
	}
	return tracker.Silence
}

func join(domains map[request.DomainName]*DomainStatus, told []DomainStatus, silent bool) {
	for _, other := range told {
		status := statusOf(domains, other.Domain)
		for _, counted := range other.Versions {
			status.count(counted)
		}
		status.Silent = append(status.Silent, other.Silent...)
		status.OutOfReach = status.OutOfReach || silent
	}
}

func statusOf(domains map[request.DomainName]*DomainStatus, domain request.DomainName) *DomainStatus {
	found := domains[domain]
	if found == nil {
		found = &DomainStatus{Domain: domain}
		domains[domain] = found
	}
	return found
}

func (domainStatus *DomainStatus) count(counted VersionCount) {
	domainStatus.Nodes += counted.Nodes
	for index := range domainStatus.Versions {
		if domainStatus.Versions[index].Number == counted.Number {
			domainStatus.Versions[index].Nodes += counted.Nodes
			return
		}
	}
	domainStatus.Versions = append(domainStatus.Versions, counted)
}

func sorted(domains map[request.DomainName]*DomainStatus) []DomainStatus {
	list := make([]DomainStatus, 0, len(domains))
	for _, status := range domains {
		slices.SortFunc(status.Versions, func(left, right VersionCount) int { return cmp.Compare(left.Number, right.Number) })
		slices.Sort(status.Silent)
		list = append(list, *status)
	}
	slices.SortFunc(list, func(left, right DomainStatus) int { return cmp.Compare(left.Domain, right.Domain) })
	return list
}
