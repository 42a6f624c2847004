package node

import (
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
