package node

import (
	"context"
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

// ConfirmTarget asks the local target, by its health check, whether it is the instance
// and takes work. Any failure counts as no.
func (node *Node) ConfirmTarget(instance request.InstanceID, healthPath string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := node.Target.Send(ctx, web.TargetCall{Method: http.MethodGet, Path: healthPath, Host: string(node.LocalTarget().Service), Headers: http.Header{}})
	if err != nil {
		node.logProblem("the target's health check failed, so its announcement is not confirmed", err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	answered, healthy := node.Dialect.HealthyInstance(response)
	return healthy && (answered == "" || answered == instance)
}
