package naive

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// maxRetriesPerHop is the most retries of a call at each hop.
const maxRetriesPerHop = 3

// RetryPolicy is the baseline of the retry policy: it retries any error at every hop.
type RetryPolicy struct{}

// Decide allows an immediate retry of any error, up to three times.
func (RetryPolicy) Decide(_ time.Time, attempt retry.Attempt, _ *retry.Account, _ *retry.Budget) retry.Decision {
	switch {
	case attempt.Code == request.OK:
		return retry.Decision{Reason: retry.Succeeded}
	case attempt.UsedRetries >= maxRetriesPerHop:
		return retry.Decision{Reason: retry.KindLimit}
	}
	return retry.Decision{Reason: retry.Allowed}
}
