package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// table merges records of all nodes and keeps a list with a digest for each
// service.
type table struct {
	records  map[request.NodeID]*Record
	services map[request.ServiceName]*serviceList
	// dropped holds when a record left its list, so that it can be forgotten
	// later.
	dropped map[request.NodeID]time.Time
}

type serviceList struct {
	members map[request.NodeID]*Record
	digest  Digest
}

func newTable() table {
	return table{
		records:  map[request.NodeID]*Record{},
		services: map[request.ServiceName]*serviceList{},
		dropped:  map[request.NodeID]time.Time{},
	}
}

// merge takes in a record if it is newer and says so.
func (t *table) merge(now time.Time, record Record) bool {
	known := t.records[record.Node]
	if known != nil && !record.newer(known) {
		return false
	}
	if known != nil && known.live() {
		t.list(known.Service).remove(known)
	}
	stored := record
	t.records[record.Node] = &stored
	if !record.live() {
		t.dropped[record.Node] = now
		return true
	}
	delete(t.dropped, record.Node)
	t.list(record.Service).add(&stored)
	return true
}

// hide takes a record off its list without a claim that it is gone: the same
// record may come back.
func (t *table) hide(now time.Time, node request.NodeID) {
	known := t.records[node]
	if known == nil || !known.live() {
		return
	}
	t.list(known.Service).remove(known)
	hidden := *known
	hidden.Hidden = true
	t.records[node] = &hidden
	t.dropped[node] = now
}

// forget drops records that left their list longer ago than the age.
func (t *table) forget(now time.Time, age time.Duration) {
	for node, since := range t.dropped {
		if now.Sub(since) >= age {
			delete(t.dropped, node)
			delete(t.records, node)
		}
	}
}

func (t *table) list(service request.ServiceName) *serviceList {
	found := t.services[service]
	if found == nil {
		found = &serviceList{members: map[request.NodeID]*Record{}}
		t.services[service] = found
	}
	return found
}

func (list *serviceList) add(record *Record) {
	list.members[record.Node] = record
	list.digest += record.digest()
}

func (list *serviceList) remove(record *Record) {
	delete(list.members, record.Node)
	list.digest -= record.digest()
}

// sorted gives the records in the order of their nodes.
func (list *serviceList) sorted() []Record {
	records := make([]Record, 0, len(list.members))
	for _, record := range list.members {
		records = append(records, *record)
	}
	sortRecords(records)
	return records
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(left, right Record) int { return cmp.Compare(left.Node, right.Node) })
}
