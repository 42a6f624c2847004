package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// recordTable merges the records of all nodes and keeps a list and its digest for
// each service.
type recordTable struct {
	records  map[request.NodeID]*Record
	services map[request.ServiceName]*serviceList
	// delistedAt is when each unlisted record left its list.
	delistedAt map[request.NodeID]time.Time
}

type serviceList struct {
	records map[request.NodeID]*Record
	digest  Digest
}

func newRecordTable() recordTable {
	return recordTable{
		records:    map[request.NodeID]*Record{},
		services:   map[request.ServiceName]*serviceList{},
		delistedAt: map[request.NodeID]time.Time{},
	}
}

// merge stores a record if it supersedes the known one of its node, and reports
// whether it did.
func (table *recordTable) merge(now time.Time, record Record) bool {
	known := table.records[record.Node]
	if known != nil && !record.supersedes(known) {
		return false
	}
	if known != nil && known.isListed() {
		table.list(known.Service).remove(known)
	}
	stored := record
	table.records[record.Node] = &stored
	if !record.isListed() {
		table.delistedAt[record.Node] = now
		return true
	}
	delete(table.delistedAt, record.Node)
	table.list(record.Service).add(&stored)
	return true
}

// hide removes a record from its list without a tombstone, so that the same record
// can be listed again.
func (table *recordTable) hide(now time.Time, node request.NodeID) {
	known := table.records[node]
	if known == nil || !known.isListed() {
		return
	}
	table.list(known.Service).remove(known)
	hidden := *known
	hidden.Hidden = true
	table.records[node] = &hidden
	table.delistedAt[node] = now
}

// deleteDelisted deletes the records that left their list at least a given time
// ago.
func (table *recordTable) deleteDelisted(now time.Time, retention time.Duration) {
	for node, delistedAt := range table.delistedAt {
		if now.Sub(delistedAt) >= retention {
			delete(table.delistedAt, node)
			delete(table.records, node)
		}
	}
}

// list returns the list of a service, which it creates if needed.
func (table *recordTable) list(service request.ServiceName) *serviceList {
	list := table.services[service]
	if list == nil {
		list = &serviceList{records: map[request.NodeID]*Record{}}
		table.services[service] = list
	}
	return list
}

func (list *serviceList) add(record *Record) {
	list.records[record.Node] = record
	list.digest += record.digest()
}

func (list *serviceList) remove(record *Record) {
	delete(list.records, record.Node)
	list.digest -= record.digest()
}

// sorted returns the records ordered by node.
func (list *serviceList) sorted() []Record {
	records := make([]Record, 0, len(list.records))
	for _, record := range list.records {
		records = append(records, *record)
	}
	sortRecords(records)
	return records
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(left, right Record) int { return cmp.Compare(left.Node, right.Node) })
}
