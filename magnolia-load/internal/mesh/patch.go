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

// Patch sets the deadline of a kind, as an operator does, and waits until the
// new version is in force on all nodes.
func (m *Magnolia) Patch(ctx context.Context, kind request.KindName, deadline time.Duration) (PatchTimes, error) {
	client := m.operator()
	status, err := operator.Ask[operator.Status](ctx, client, operator.ViewStatus, nil)
	if err != nil {
		return PatchTimes{}, oops.Wrapf(err, "the version in force is not known")
	}
	operations := fmt.Sprintf(`[{"op": "replace", "path": %q, "value": %q}]`, deadlinePath(kind), deadline)
	patch := operator.Patch{
		ID:         uuid.NewString(),
		Base:       status.Version,
		Operator:   "magnolia-load",
		Note:       "set a deadline",
		Operations: json.RawMessage(operations),
	}
	begin := time.Now()
	outcome, err := operator.Ask[operator.PatchOutcome](ctx, client, operator.CreatePatch, patch)
	if err != nil {
		return PatchTimes{}, oops.Wrapf(err, "the patch was not answered")
	}
	if outcome.State != operator.StateAccepted {
		return PatchTimes{}, oops.Errorf("the patch was refused: %s %v", outcome.State, outcome.Faults)
	}
	times := PatchTimes{Commit: time.Since(begin)}
	if err := m.waitInForce(ctx, outcome.Version); err != nil {
		return times, err
	}
	times.InForce = time.Since(begin)
	return times, nil
}

// operator gives a client of the last host's port, which holds no replica in a
// large mesh.
func (m *Magnolia) operator() *operator.Client {
	asked := m.hosts[len(m.hosts)-1].Settings
	return &operator.Client{Base: "http://" + string(asked.Listen.Admin), HTTP: http.DefaultClient}
}

func (m *Magnolia) waitInForce(ctx context.Context, version configuration.Version) error {
	for {
		oldest, changed := m.oldest()
		if oldest >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return oops.Wrapf(ctx.Err(), "version %d is not in force everywhere; the oldest is %d", version, oldest)
		}
	}
}

// deadlinePath gives the JSON pointer to the deadline of a kind.
func deadlinePath(kind request.KindName) string {
	service, short, _ := strings.Cut(string(kind), "/")
	return fmt.Sprintf("/services/%s/kinds/%s/deadline", service, short)
}
