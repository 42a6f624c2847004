package choice

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// usageTime is how long a report of the use of a link counts.
const usageTime = 5 * time.Second

// Flow is what goes over the link between two regions.
type Flow struct {
	From request.RegionName
	To   request.RegionName
	Rate Rate
}

// Usage sums at a replica what nodes put on the links between regions, so that
// each node knows what the others of its region do. It belongs to one
// goroutine.
type Usage struct {
	nodes    map[request.NodeID]flows
	replicas map[request.NodeID]flows
}

type flows struct {
	list []Flow
	at   time.Time
}

// Report notes what a node puts on its links.
func (usage *Usage) Report(now time.Time, node request.NodeID, list []Flow) {
	if len(list) == 0 {
		delete(usage.nodes, node)
		return
	}
	if usage.nodes == nil {
		usage.nodes = map[request.NodeID]flows{}
	}
	usage.nodes[node] = flows{list: list, at: now}
}

// Merge notes the sums of another replica.
func (usage *Usage) Merge(now time.Time, replica request.NodeID, list []Flow) {
	if usage.replicas == nil {
		usage.replicas = map[request.NodeID]flows{}
	}
	usage.replicas[replica] = flows{list: list, at: now}
}

// Sums gives what the nodes that report here put on each link.
func (usage *Usage) Sums(now time.Time) []Flow {
	var sums []Flow
	for node, told := range usage.nodes {
		if now.Sub(told.at) >= usageTime {
			delete(usage.nodes, node)
			continue
		}
		sums = addFlows(sums, told.list)
	}
	return sums
}

// Others gives what all nodes of a region but one put on each of its links.
func (usage *Usage) Others(now time.Time, node request.NodeID, from request.RegionName) []Flow {
	all := usage.Sums(now)
	for _, told := range usage.replicas {
		if now.Sub(told.at) < usageTime {
			all = addFlows(all, told.list)
		}
	}
	all = slices.DeleteFunc(all, func(flow Flow) bool { return flow.From != from })
	for _, own := range usage.nodes[node].list {
		index := slices.IndexFunc(all, own.sameLink)
		if index >= 0 {
			all[index].Rate = max(0, all[index].Rate-own.Rate)
		}
	}
	slices.SortFunc(all, func(left, right Flow) int { return cmp.Compare(left.To, right.To) })
	return all
}

func (flow Flow) sameLink(other Flow) bool {
	return flow.From == other.From && flow.To == other.To
}

func addFlows(sums, list []Flow) []Flow {
	for _, flow := range list {
		index := slices.IndexFunc(sums, flow.sameLink)
		if index < 0 {
			sums = append(sums, flow)
			continue
		}
		sums[index].Rate += flow.Rate
	}
	return sums
}
