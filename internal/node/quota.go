package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/quota"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// QuotaSource grants tokens of the quotas of customers. Its methods may be called
// concurrently.
type QuotaSource interface {
	// Take takes a token for one request of the customer. Otherwise it returns the time until
	// there may be one, and whether the quota is used up or nobody knows.
	Take(ctx context.Context, customer request.CustomerName, limit quota.Limit) quota.Grant
}

// overQuotaSpread is the time over which the callers of a customer over its quota are told
// to come back, so that they do not come back all at once.
const overQuotaSpread = time.Second

// takeQuota takes a token of the customer's quota. Calls below a root request take none:
// requests count, not their calls or attempts.
func (node *Node) takeQuota(ctx context.Context, outbound *outboundCall) *web.Refusal {
	customer := outbound.customer
	if node.Quotas == nil || customer == nil || customer.Rate <= 0 || outbound.attached {
		return nil
	}
	began := time.Now()
	grant := node.Quotas.Take(ctx, customer.Name, quota.Limit{Rate: customer.Rate, Burst: customer.Burst})
	node.counters.quotaWait.UpdateDuration(began)
	if grant.Result == quota.Granted {
		return nil
	}
	if ctx.Err() != nil {
		return abandonedRefusal(ctx)
	}
	refusal := web.NewRefusal(request.OverQuota, "")
	if grant.Result == quota.Unavailable {
		refusal = web.NewRefusal(request.QuotaUnknown, "")
	}
	remaining := max(time.Until(outbound.work.Deadline), 0)
	spread := min(overQuotaSpread, remaining/retryAfterDivisor)
	refusal.RetryAfter = grant.Wait + time.Duration(rand.Int64N(int64(spread)+1))
	return refusal
}
