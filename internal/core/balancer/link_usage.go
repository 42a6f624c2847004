package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// flowReportMaxAge is how long a report of the traffic on a link counts.
const flowReportMaxAge = 5 * time.Second

// Flow is the traffic on the link between two regions.
type Flow struct {
	From request.RegionName
	To   request.RegionName
	Rate Rate
}

// LinkUsage sums at a replica the traffic of nodes on the links between regions,
// so that each node learns the traffic of the others in its region. It is not safe
// for concurrent use.
type LinkUsage struct {
	nodes    map[request.NodeID]flowReport
	replicas map[request.NodeID]flowReport
}

type flowReport struct {
	flows      []Flow
	reportedAt time.Time
}

// Report replaces the traffic reported by a node. An empty list removes the node.
func (usage *LinkUsage) Report(now time.Time, node request.NodeID, reported []Flow) {
	if len(reported) == 0 {
		delete(usage.nodes, node)
		return
	}
	if usage.nodes == nil {
		usage.nodes = map[request.NodeID]flowReport{}
	}
	usage.nodes[node] = flowReport{flows: reported, reportedAt: now}
}

// Merge replaces the sums reported by another replica.
func (usage *LinkUsage) Merge(now time.Time, replica request.NodeID, reported []Flow) {
	if usage.replicas == nil {
		usage.replicas = map[request.NodeID]flowReport{}
	}
	usage.replicas[replica] = flowReport{flows: reported, reportedAt: now}
}

// Sums returns the traffic on each link by the nodes that report to this replica.
// It drops reports that are too old.
func (usage *LinkUsage) Sums(now time.Time) []Flow {
	var sums []Flow
	for node, report := range usage.nodes {
		if now.Sub(report.reportedAt) >= flowReportMaxAge {
			delete(usage.nodes, node)
			continue
		}
		sums = addFlows(sums, report.flows)
	}
	return sums
}

// OtherNodes returns the traffic on each link of a region by all its nodes except
// the given one, sorted by the other region.
func (usage *LinkUsage) OtherNodes(now time.Time, node request.NodeID, from request.RegionName) []Flow {
	all := usage.Sums(now)
	for _, report := range usage.replicas {
		if now.Sub(report.reportedAt) < flowReportMaxAge {
			all = addFlows(all, report.flows)
		}
	}
	all = slices.DeleteFunc(all, func(flow Flow) bool { return flow.From != from })
	for _, ownFlow := range usage.nodes[node].flows {
		index := slices.IndexFunc(all, ownFlow.sameLink)
		if index >= 0 {
			all[index].Rate = max(0, all[index].Rate-ownFlow.Rate)
		}
	}
	slices.SortFunc(all, func(left, right Flow) int { return cmp.Compare(left.To, right.To) })
	return all
}

func (flow Flow) sameLink(other Flow) bool {
	return flow.From == other.From && flow.To == other.To
}

func addFlows(sums, added []Flow) []Flow {
	for _, flow := range added {
		index := slices.IndexFunc(sums, flow.sameLink)
		if index < 0 {
			sums = append(sums, flow)
			continue
		}
		sums[index].Rate += flow.Rate
	}
	return sums
}
