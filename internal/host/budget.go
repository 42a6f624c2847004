package host

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

const (
	// budgetShare is the part of the retry budget that nodes spend by their own
	// calls; the rest covers calls that were made by a retried call.
	budgetShare = 0.5
	// slackShare is the part of the slack that nodes divide among themselves, by
	// the nodes that each knows of; the rest covers nodes that it does not know.
	slackShare = 0.8
	// firstNodes stands for the number of nodes before any is known.
	firstNodes = 100
)

// nodeBudget is one node's part of the retry budget of all nodes, at the number
// of nodes that it knows.
func nodeBudget(all settings.RetryBudget, nodes int) retry.Budget {
	return retry.Budget{
		Share:  all.Share * budgetShare,
		Burst:  nodeBurst(all.Slack, nodes),
		Window: time.Duration(all.Window),
	}
}

// nodeBurst is a node's part of the slack of the retry budget.
func nodeBurst(slack float64, nodes int) float64 {
	if nodes == 0 {
		nodes = firstNodes
	}
	return slackShare * slack / float64(nodes)
}
