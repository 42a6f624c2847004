package naive

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// View takes each update as it comes: the last write wins.
type View struct {
	records map[request.NodeID]membership.Record
}

// Subscription asks for all lists.
func (v *View) Subscription() membership.Subscription {
	return membership.Subscription{Services: []request.ServiceName{"consumo"}}
}

// Apply stores whatever arrives.
func (v *View) Apply(_ time.Time, update membership.Update) ([]request.ServiceName, bool) {
	if v.records == nil {
		v.records = map[request.NodeID]membership.Record{}
	}
	for _, list := range update.Lists {
		for _, record := range list.Records {
			v.store(record)
		}
	}
	for _, record := range update.Records {
		v.store(record)
	}
	return nil, false
}

// Check never asks for anything.
func (v *View) Check(membership.Lease) bool {
	return false
}

// Records gives the list of a service.
func (v *View) Records(service request.ServiceName) []membership.Record {
	var found []membership.Record
	for _, record := range v.records {
		if record.Service == service {
			found = append(found, record)
		}
	}
	return found
}

func (v *View) store(record membership.Record) {
	if record.Gone || record.Hidden {
		delete(v.records, record.Node)
		return
	}
	v.records[record.Node] = record
}
