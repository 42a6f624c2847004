package intake

import "github.com/magnoliawall/magnoliawall/internal/request"

// Roles tells kinds of call that enter from outside from those that targets
// make, for platforms on which both come in at one address and carry no trace.
// Outside calls of a kind come in beside targets of every service; the calls of
// targets come in only beside the services that make them.
type Roles struct {
	callers map[request.ServiceName]bool
	kinds   map[request.KindName]map[request.ServiceName]bool
}

// leastCallers is how many services must be known before a kind can be told
// from another.
const leastCallers = 2

// Note takes the service beside which a call of a kind came in.
func (roles *Roles) Note(kind request.KindName, caller request.ServiceName) {
	if roles.callers == nil {
		roles.callers = make(map[request.ServiceName]bool)
		roles.kinds = make(map[request.KindName]map[request.ServiceName]bool)
	}
	if roles.kinds[kind] == nil {
		roles.kinds[kind] = make(map[request.ServiceName]bool)
	}
	roles.callers[caller] = true
	roles.kinds[kind][caller] = true
}

// Enters tells whether calls of the kind come from outside.
func (roles *Roles) Enters(kind request.KindName) bool {
	return len(roles.callers) >= leastCallers && len(roles.kinds[kind]) == len(roles.callers)
}
