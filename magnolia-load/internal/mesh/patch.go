package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Patch sets the deadline of a kind, as an operator does, and waits until the new
// version is in force on all nodes.
func (magnolia *Magnolia) Patch(ctx context.Context, kind request.KindName, deadline time.Duration) (PatchTimes, error) {
	status, err := operator.Call[operator.Status](ctx, magnolia.operatorClient(), operator.ViewStatus, nil)
	if err != nil {
		return PatchTimes{}, oops.Wrapf(err, "asking for the version in force")
	}
	begin := time.Now()
	version, err := magnolia.SendPatch(ctx, status.Version, kind, deadline)
	if err != nil {
		return PatchTimes{}, err
	}
	times := PatchTimes{Commit: time.Since(begin)}
	if err := magnolia.WaitInForce(ctx, version); err != nil {
		return times, err
	}
	times.InForce = time.Since(begin)
	return times, nil
}

// SendPatch sends a patch of a deadline against a base version and returns the new
// version.
func (magnolia *Magnolia) SendPatch(ctx context.Context, base configuration.Version, kind request.KindName, deadline time.Duration) (configuration.Version, error) {
	operations := fmt.Sprintf(`[{"op": "replace", "path": %q, "value": %q}]`, deadlinePath(kind), deadline)
	outcome, err := operator.Call[operator.PatchOutcome](ctx, magnolia.operatorClient(), operator.CreatePatch, operator.Patch{
		ID:         uuid.NewString(),
		Base:       base,
		Operator:   "magnolia-load",
		Note:       "set a deadline",
		Operations: json.RawMessage(operations),
	})
	if err != nil {
		return 0, oops.Wrapf(err, "sending the patch")
	}
	if outcome.State != operator.PatchAccepted {
		return 0, oops.Errorf("the patch was refused: %s %v", outcome.State, outcome.Faults)
	}
	return outcome.Version, nil
}

// operatorClient returns a client of the last host, which holds no replica if
// there are more than five failure domains.
func (magnolia *Magnolia) operatorClient() *operator.Client {
	last := magnolia.hostSettings[len(magnolia.hostSettings)-1]
	return &operator.Client{Base: "http://" + string(last.Listen.Admin), HTTP: http.DefaultClient}
}

// WaitInForce waits until all nodes have at least the given version in force.
func (magnolia *Magnolia) WaitInForce(ctx context.Context, version configuration.Version) error {
	for {
		oldest, changed := magnolia.oldestInForce()
		if oldest >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return oops.Wrapf(ctx.Err(), "version %d is not in force on all nodes; the oldest in force is %d", version, oldest)
		}
	}
}

// deadlinePath returns the JSON pointer to the deadline of a kind.
func deadlinePath(kind request.KindName) string {
	service, short, _ := strings.Cut(string(kind), "/")
	return fmt.Sprintf("/services/%s/kinds/%s/deadline", service, short)
}
