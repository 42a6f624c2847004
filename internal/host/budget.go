package host

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

const (
	// nodesRetryShare is the part of the retry budget that nodes share out. The rest
	// covers what the sum over nodes exceeds the sum of their windows by, since each
	// counts the calls of its own best window.
	nodesRetryShare = 0.9
	// directRetryShare is the part of it that nodes spend on retries of their own calls.
	// The rest is for the calls that a retried call makes, while retries of their
	// callers are still adapting to what is spent.
	directRetryShare = 0.9
	// knownNodesSlackShare is the part of the slack that is divided by the number of
	// nodes that a node knows of; the rest covers the nodes that it does not know.
	knownNodesSlackShare = 0.8
	// initialNodeCount is the assumed number of nodes before any is known.
	initialNodeCount = 100
)

// nodeBudget is one node's part of the retry budget of all nodes, for a number of
// known nodes.
func nodeBudget(total settings.RetryBudget, nodes int) retry.Budget {
	return retry.Budget{
		Share:       total.Share * nodesRetryShare,
		Burst:       nodeBurst(total.Slack, nodes),
		Window:      time.Duration(total.Window),
		DirectShare: directRetryShare,
	}
}

// nodeBurst is one node's part of the slack of the retry budget.
func nodeBurst(slack float64, nodes int) float64 {
	if nodes == 0 {
		nodes = initialNodeCount
	}
	return knownNodesSlackShare * slack / float64(nodes)
}
