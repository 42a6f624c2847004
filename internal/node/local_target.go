package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// LocalTarget is what is known of the run of the target beside this node: what it
// announced, on platforms where targets announce themselves, and whether it is leaving.
type LocalTarget struct {
	Instance request.InstanceID
	// StartMillis tells runs of one instance apart; it may be zero.
	StartMillis presence.StartMillis
	Service     request.ServiceName
	Slots       int
	// Serving says that the target takes work.
	Serving bool
	// Leaving says that the target has said in an answer that it is leaving. It holds for
	// the whole run.
	Leaving bool
}

// sameRun reports whether both are the same run of the target.
func (local LocalTarget) sameRun(other LocalTarget) bool {
	return local.Instance == other.Instance && local.StartMillis == other.StartMillis
}

// SetLocalTarget replaces what is known of the local target. Calls in flight are not
// affected. Queued calls are refused if the target takes no more work. What an earlier
// run said of itself does not hold for another one.
func (node *Node) SetLocalTarget(local LocalTarget) {
	node.localTargetLock.Lock()
	defer node.localTargetLock.Unlock()
	previous := node.LocalTarget()
	if node.admissionControl == nil {
		node.localTarget.Store(&local)
		return
	}
	switch {
	case !previous.sameRun(local):
		node.admissionControl.resetRate()
	case previous.Leaving:
		local.Leaving, local.Serving = true, false
	}
	node.localTarget.Store(&local)
	if !local.Serving {
		node.admissionControl.refuseQueued(request.Draining)
	}
}

// ForgetLocalTarget drops what the last run of the target said of itself, where targets
// do not announce themselves and a new run has started.
func (node *Node) ForgetLocalTarget() {
	node.localTargetLock.Lock()
	defer node.localTargetLock.Unlock()
	node.localTarget.Store(nil)
	node.admissionControl.resetRate()
}

// LocalTarget returns what is known of the local target. Where targets do not announce
// themselves, the target serves from the start.
func (node *Node) LocalTarget() LocalTarget {
	if local := node.localTarget.Load(); local != nil {
		return *local
	}
	return LocalTarget{Service: node.Service, Serving: !node.TargetAnnouncesItself}
}

// markLeaving records that a run of the local target is leaving, and reports whether that
// is new. A run that is not the current one is ignored.
func (node *Node) markLeaving(leaving LocalTarget) bool {
	node.localTargetLock.Lock()
	defer node.localTargetLock.Unlock()
	local := node.LocalTarget()
	if local.Leaving || !local.sameRun(leaving) {
		return false
	}
	local.Leaving, local.Serving = true, false
	node.localTarget.Store(&local)
	node.admissionControl.refuseQueued(request.Draining)
	return true
}

// CheckTarget asks the local target, by its health check, whether it is the instance and
// takes work. The error says why it is not, or why that is unknown.
func (node *Node) CheckTarget(instance request.InstanceID, healthPath string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	local := node.LocalTarget()
	response, err := node.sendHealthCheck(ctx, local, healthPath)
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
	case node.Dialect.TargetStatus(response).Leaving:
		return errors.New("the target says that it is leaving")
	}
	return nil
}
