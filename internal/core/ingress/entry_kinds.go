package ingress

import "github.com/magnoliawall/magnoliawall/internal/request"

// EntryKinds finds out which kinds are called from outside, and which by targets.
// It is for platforms where calls from outside and calls of targets arrive at one
// address and carry no trace. Calls from outside arrive at the nodes of all
// services; calls of targets arrive only at the nodes of the services that make
// them.
type EntryKinds struct {
	services map[request.ServiceName]bool
	// byKind holds the services at whose nodes calls of a kind arrived.
	byKind map[request.KindName]map[request.ServiceName]bool
}

// minKnownServices is how many services must be known before a kind can count as
// called from outside.
const minKnownServices = 2

// RecordArrival records that a call of a kind arrived at a node of a service.
func (kinds *EntryKinds) RecordArrival(kind request.KindName, service request.ServiceName) {
	if kinds.services == nil {
		kinds.services = make(map[request.ServiceName]bool)
		kinds.byKind = make(map[request.KindName]map[request.ServiceName]bool)
	}
	if kinds.byKind[kind] == nil {
		kinds.byKind[kind] = make(map[request.ServiceName]bool)
	}
	kinds.services[service] = true
	kinds.byKind[kind][service] = true
}

// IsEntry tells whether calls of the kind enter from outside.
func (kinds *EntryKinds) IsEntry(kind request.KindName) bool {
	return len(kinds.services) >= minKnownServices && len(kinds.byKind[kind]) == len(kinds.services)
}
