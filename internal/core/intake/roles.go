package intake

import "github.com/magnoliawall/magnoliawall/internal/request"

// Roles tells kinds whose calls enter from outside from kinds that targets call.
// It is for platforms where both arrive at one address and carry no trace. Calls
// from outside arrive at the nodes of all services; calls of targets arrive only
// at the nodes of the services that make them.
type Roles struct {
	services map[request.ServiceName]bool
	// byKind holds the services at whose nodes calls of a kind arrived.
	byKind map[request.KindName]map[request.ServiceName]bool
}

// minKnownServices is how many services must be known before kinds can be told
// apart.
const minKnownServices = 2

// Note records that a call of a kind arrived at a node of a service.
func (roles *Roles) Note(kind request.KindName, service request.ServiceName) {
	if roles.services == nil {
		roles.services = make(map[request.ServiceName]bool)
		roles.byKind = make(map[request.KindName]map[request.ServiceName]bool)
	}
	if roles.byKind[kind] == nil {
		roles.byKind[kind] = make(map[request.ServiceName]bool)
	}
	roles.services[service] = true
	roles.byKind[kind][service] = true
}

// Enters tells whether calls of the kind enter from outside.
func (roles *Roles) Enters(kind request.KindName) bool {
	return len(roles.services) >= minKnownServices && len(roles.byKind[kind]) == len(roles.services)
}
