package node

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// serveOnce serves a call that may not be repeated. Without a place to record
// its claim, nothing is run.
func (ar *arrival) serveOnce(_ context.Context) {
	ar.refuse(web.NewRefusal(request.ClaimUnavailable, ""))
}
