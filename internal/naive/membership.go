package naive

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// View applies updates in the order of their arrival: the last write wins.
type View struct {
	records map[request.NodeID]membership.Record
}

// Subscription subscribes to the one service of the tests.
func (view *View) Subscription() membership.Subscription {
	return membership.Subscription{Services: []request.ServiceName{"consumo"}}
}

// Apply stores every record of the update.
func (view *View) Apply(_ time.Time, update membership.Update) ([]request.ServiceName, bool) {
	if view.records == nil {
		view.records = map[request.NodeID]membership.Record{}
	}
	for _, list := range update.Lists {
		for _, record := range list.Records {
			view.store(record)
		}
	}
	for _, record := range update.Records {
		view.store(record)
	}
	return nil, false
}

// Check never requests an update.
func (view *View) Check(membership.Lease) bool {
	return false
}

// Records returns the records of a service, in no order.
func (view *View) Records(service request.ServiceName) []membership.Record {
	var found []membership.Record
	for _, record := range view.records {
		if record.Service == service {
			found = append(found, record)
		}
	}
	return found
}

func (view *View) store(record membership.Record) {
	if record.Gone || record.Hidden {
		delete(view.records, record.Node)
		return
	}
	view.records[record.Node] = record
}
