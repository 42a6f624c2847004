package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// LocalTarget is what is known of the run of the target beside this node: what it
// announced, on platforms where targets announce themselves.
type LocalTarget struct {
	Instance request.InstanceID
	// StartMillis tells runs of one instance apart; it may be zero.
	StartMillis presence.StartMillis
	Service     request.ServiceName
	Slots       int
	// Serving says that the target takes work.
	Serving bool
}

// sameRun reports whether both are the same run of the target.
func (local LocalTarget) sameRun(other LocalTarget) bool {
	return local.Instance == other.Instance && local.StartMillis == other.StartMillis
}

// SetLocalTarget replaces what is known of the local target. Calls in flight are not
// affected. What an earlier
// run said of itself does not hold for another one.
func (node *Node) SetLocalTarget(local LocalTarget) {
	node.localTargetLock.Lock()
	defer node.localTargetLock.Unlock()
	previous := node.LocalTarget()
	if node.admissionControl == nil {
		node.localTarget.Store(&local)
		return
	}
	if !previous.sameRun(local) {
		node.admissionControl.resetRate()
	}
	node.localTarget.Store(&local)
}

// LocalTarget returns what is known of the local target. Where targets do not announce
// themselves, the target serves from the start.
func (node *Node) LocalTarget() LocalTarget {
	if local := node.localTarget.Load(); local != nil {
		return *local
	}
	return LocalTarget{Service: node.Service, Serving: !node.TargetAnnouncesItself}
}

// CheckTarget asks the local target, by its health check, whether it is the instance and
// takes work. The error says why it is not, or why that is unknown.
func (node *Node) CheckTarget(instance request.InstanceID, healthPath string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	local := node.LocalTarget()
	node.admissionControl.spendRate(time.Now())
	response, err := node.sendToTarget(ctx, local, web.TargetCall{Method: http.MethodGet, Path: healthPath, Host: string(local.Service), Headers: http.Header{}})
	if err != nil {
		return fmt.Errorf("health check of the target: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answered, healthy := node.Dialect.HealthyInstance(response)
	switch {
	case !healthy:
		return fmt.Errorf("the target answered its health check with %d", response.StatusCode)
	case answered != "" && answered != instance:
		return fmt.Errorf("instance %s answered the health check", answered)
	}
	return nil
}
