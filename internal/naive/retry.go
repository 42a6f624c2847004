package naive

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// retriesPerHop is the number of retries of each call on any error.
const retriesPerHop = 3

// Policy retries any error at every hop.
type Policy struct{}

// Decide retries at once, up to three times, whatever the cause.
func (Policy) Decide(_ time.Time, attempt retry.Attempt, _ *retry.Account, _ *retry.Budget) retry.Decision {
	switch {
	case attempt.Code == request.OK:
		return retry.Decision{Reason: retry.Succeeded}
	case attempt.UsedRetries >= retriesPerHop:
		return retry.Decision{Reason: retry.KindLimit}
	}
	return retry.Decision{Reason: retry.Allowed}
}
