package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// LocalTarget is what the target beside this node announced about itself, on
// platforms where targets announce themselves.
type LocalTarget struct {
	Instance request.InstanceID
	Service  request.ServiceName
	Slots    int
	// Serving says that the target takes work.
	Serving bool
}

// SetLocalTarget replaces what is known of the local target. Calls in flight are not
// affected.
func (node *Node) SetLocalTarget(local LocalTarget) {
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
	call := web.TargetCall{Method: http.MethodGet, Path: healthPath, Host: string(local.Service), Headers: http.Header{}}
	response, err := node.sendToTarget(ctx, local, call)
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
