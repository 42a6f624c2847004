package host

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

const (
	// directRetryShare is the part of the retry budget that nodes spend on retries
	// of their own calls; the rest covers the calls that a retried call makes.
	directRetryShare = 0.5
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
		Share:  total.Share * directRetryShare,
		Burst:  nodeBurst(total.Slack, nodes),
		Window: time.Duration(total.Window),
	}
}

// nodeBurst is one node's part of the slack of the retry budget.
func nodeBurst(slack float64, nodes int) float64 {
	if nodes == 0 {
		nodes = initialNodeCount
	}
	return knownNodesSlackShare * slack / float64(nodes)
}
