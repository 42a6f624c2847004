package distribution

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// DefaultSilenceTimeout is the silence timeout of a [Tracker] whose SilenceTimeout
// is zero.
const DefaultSilenceTimeout = 5 * time.Second

// silentNodeRetention is how long a silent node is listed after its last report.
const silentNodeRetention = time.Hour

// Tracker records which version each node has in force. It combines the reports
// of the nodes that hold their lease at this replica with the summaries of the
// other replicas. It is not safe for concurrent use.
type Tracker struct {
	// SilenceTimeout is the time after which a node or replica that was not heard
	// from is considered silent.
	SilenceTimeout time.Duration

	nodes    map[request.NodeID]nodeReport
	replicas map[request.NodeID]replicaSummary
}

type nodeReport struct {
	domain  request.DomainName
	number  configuration.Version
	heardAt time.Time
	// restricted is the restriction of the node's target, or nil.
	restricted *RestrictedTarget
}

// RestrictedTarget is a target that states in its answers that it takes only so many calls
// per second, or that it is leaving.
type RestrictedTarget struct {
	Node    request.NodeID
	Leaving bool
	Limited bool
	Limit   request.Rate
	// Age is the time since the target last stated the limit.
	Age time.Duration
	// Refused is the number of calls refused by the limit since the node started.
	Refused uint64
}

type replicaSummary struct {
	domains []DomainStatus
	heardAt time.Time
}

// DomainStatus describes the nodes of one failure domain.
type DomainStatus struct {
	Domain request.DomainName
	// Nodes is the number of nodes that are not silent.
	Nodes int
	// Versions counts these nodes by the version in force, lowest version first.
	Versions []VersionCount
	// Silent lists the silent nodes in ascending order.
	Silent []request.NodeID
	// OutOfReach says that the status is outdated, because the replica that
	// reported it is silent.
	OutOfReach bool
	// Restricted lists the targets of these nodes that are restricted, by node.
	Restricted []RestrictedTarget
}

// VersionCount is the number of nodes that have one version in force.
type VersionCount struct {
	Number configuration.Version
	Nodes  int
}

// Report records the version that a node has in force.
func (tracker *Tracker) Report(now time.Time, node request.NodeID, domain request.DomainName, number configuration.Version) {
	if tracker.nodes == nil {
		tracker.nodes = map[request.NodeID]nodeReport{}
	}
	tracker.nodes[node] = nodeReport{domain: domain, number: number, heardAt: now}
}

// ReportTarget records the restriction of the target of a node that has just reported its
// version; nil is none.
func (tracker *Tracker) ReportTarget(node request.NodeID, restricted *RestrictedTarget) {
	report, known := tracker.nodes[node]
	if !known {
		return
	}
	if restricted != nil {
		restricted.Node = node
	}
	report.restricted = restricted
	tracker.nodes[node] = report
}

// Remove removes a node that was shut down.
func (tracker *Tracker) Remove(node request.NodeID) {
	delete(tracker.nodes, node)
}

// RemoveMoved removes the nodes that now hold their lease at another replica.
func (tracker *Tracker) RemoveMoved(elsewhere func(request.NodeID) bool) {
	maps.DeleteFunc(tracker.nodes, func(node request.NodeID, _ nodeReport) bool { return elsewhere(node) })
}

// Merge records the latest summary of another replica.
func (tracker *Tracker) Merge(now time.Time, replica request.NodeID, domains []DomainStatus) {
	if tracker.replicas == nil {
		tracker.replicas = map[request.NodeID]replicaSummary{}
	}
	tracker.replicas[replica] = replicaSummary{domains: domains, heardAt: now}
}

// IsReachable reports whether the tracker has a summary of the replica that is
// younger than the silence timeout.
func (tracker *Tracker) IsReachable(now time.Time, replica request.NodeID) bool {
	summary, known := tracker.replicas[replica]
	return known && now.Sub(summary.heardAt) < tracker.silenceTimeout()
}

// Summary returns the status of the nodes that hold their lease at this replica,
// sorted by failure domain. Nodes that have been silent for an hour are removed.
func (tracker *Tracker) Summary(now time.Time) []DomainStatus {
	domains := map[request.DomainName]*DomainStatus{}
	for node, report := range tracker.nodes {
		age := now.Sub(report.heardAt)
		if age >= silentNodeRetention {
			delete(tracker.nodes, node)
			continue
		}
		status := domainStatusOf(domains, report.domain)
		if age >= tracker.silenceTimeout() {
			status.Silent = append(status.Silent, node)
			continue
		}
		status.addCount(VersionCount{Number: report.number, Nodes: 1})
		if report.restricted != nil {
			status.Restricted = append(status.Restricted, *report.restricted)
		}
	}
	return sortedStatuses(domains)
}

// Status returns the combined status of this replica and the others, sorted by
// failure domain. The summary of a silent replica is used only for failure
// domains that no other replica reports: in all other domains its nodes hold
// their leases at other replicas by now and would be counted twice.
func (tracker *Tracker) Status(now time.Time) []DomainStatus {
	domains := map[request.DomainName]*DomainStatus{}
	mergeStatuses(domains, tracker.Summary(now), false)
	var outdated []DomainStatus
	for _, summary := range tracker.replicas {
		if now.Sub(summary.heardAt) >= tracker.silenceTimeout() {
			outdated = append(outdated, summary.domains...)
			continue
		}
		mergeStatuses(domains, summary.domains, false)
	}
	mergeStatuses(domains, slices.DeleteFunc(outdated, func(status DomainStatus) bool { return domains[status.Domain] != nil }), true)
	return sortedStatuses(domains)
}

// CountInForce returns the number of nodes that have at least the given version
// in force, and the number of all others. Silent nodes, and nodes whose status is
// out of reach, count as behind.
func CountInForce(domains []DomainStatus, number configuration.Version) (current, behind int) {
	for _, status := range domains {
		behind += len(status.Silent)
		for _, count := range status.Versions {
			if count.Number >= number && !status.OutOfReach {
				current += count.Nodes
				continue
			}
			behind += count.Nodes
		}
	}
	return current, behind
}

func (tracker *Tracker) silenceTimeout() time.Duration {
	if tracker.SilenceTimeout == 0 {
		return DefaultSilenceTimeout
	}
	return tracker.SilenceTimeout
}

func mergeStatuses(domains map[request.DomainName]*DomainStatus, statuses []DomainStatus, outOfReach bool) {
	for _, other := range statuses {
		status := domainStatusOf(domains, other.Domain)
		for _, count := range other.Versions {
			status.addCount(count)
		}
		status.Silent = append(status.Silent, other.Silent...)
		status.Restricted = append(status.Restricted, other.Restricted...)
		status.OutOfReach = status.OutOfReach || outOfReach
	}
}

func domainStatusOf(domains map[request.DomainName]*DomainStatus, domain request.DomainName) *DomainStatus {
	status := domains[domain]
	if status == nil {
		status = &DomainStatus{Domain: domain}
		domains[domain] = status
	}
	return status
}

func (status *DomainStatus) addCount(added VersionCount) {
	status.Nodes += added.Nodes
	for index := range status.Versions {
		if status.Versions[index].Number == added.Number {
			status.Versions[index].Nodes += added.Nodes
			return
		}
	}
	status.Versions = append(status.Versions, added)
}

func sortedStatuses(domains map[request.DomainName]*DomainStatus) []DomainStatus {
	statuses := make([]DomainStatus, 0, len(domains))
	for _, status := range domains {
		slices.SortFunc(status.Versions, func(left, right VersionCount) int { return cmp.Compare(left.Number, right.Number) })
		slices.Sort(status.Silent)
		slices.SortFunc(status.Restricted, func(left, right RestrictedTarget) int { return cmp.Compare(left.Node, right.Node) })
		statuses = append(statuses, *status)
	}
	slices.SortFunc(statuses, func(left, right DomainStatus) int { return cmp.Compare(left.Domain, right.Domain) })
	return statuses
}
