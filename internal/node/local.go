package node

import (
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// LocalTarget is what is known of the target beside this node, on platforms on
// which targets announce themselves.
type LocalTarget struct {
	Instance request.InstanceID
	Service  request.ServiceName
	Slots    int
	// Serving says that it takes work.
	Serving bool
}

// SetLocal replaces what is known of the local target. Calls under way go on.
func (no *Node) SetLocal(local LocalTarget) {
	no.local.Store(&local)
}

// Local gives what is known of the local target. Where targets do not announce
// themselves, it serves from the start.
func (no *Node) Local() LocalTarget {
	if local := no.local.Load(); local != nil {
		return *local
	}
	return LocalTarget{Service: no.Service, Serving: !no.Announced}
}
