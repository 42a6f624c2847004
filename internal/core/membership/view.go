package membership

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// View holds a node's lists of the targets of the services that it calls. It keeps
// them while no replica is reachable.
type View struct {
	Services []request.ServiceName

	table *recordTable
	// epoch and sequence are those of the last update that was applied.
	epoch    Epoch
	sequence Sequence
	// synced is set once the current replica answered the subscription.
	synced bool
}

// Subscription returns the subscription to send to a replica.
func (view *View) Subscription() Subscription {
	view.initialize()
	subscription := Subscription{Services: view.Services}
	for _, service := range view.Services {
		subscription.HeldDigests = append(subscription.HeldDigests, view.table.list(service).digest)
	}
	return subscription
}

// ResetPosition discards the position in the updates of the previous replica, and
// keeps the lists. It is called after the node connected to a replica.
func (view *View) ResetPosition() {
	view.synced = false
}

// Apply applies an update. It returns the services whose lists changed, and
// whether the node must subscribe again.
func (view *View) Apply(now time.Time, update Update) (changed []request.ServiceName, resync bool) {
	view.initialize()
	view.table.deleteDelisted(now, delistedRetention)
	changedServices := map[request.ServiceName]bool{}
	if update.Answer {
		resync = view.applyAnswer(now, update, changedServices)
	} else {
		resync = view.applyDelta(now, update, changedServices)
	}
	for _, service := range view.Services {
		if changedServices[service] {
			changed = append(changed, service)
		}
	}
	return changed, resync
}

// Check compares the position of the subscription with the one in a lease. It
// reports whether the node has missed updates and must subscribe again.
func (view *View) Check(lease Lease) bool {
	if lease.Duration == 0 {
		return false
	}
	return !view.synced || lease.Epoch != view.epoch || lease.SentSequence > view.sequence
}

// Records returns the listed records of a service, ordered by node.
func (view *View) Records(service request.ServiceName) []Record {
	view.initialize()
	return view.table.list(service).sorted()
}

// applyDelta applies a delta only if it is the next one: a delayed or repeated one
// may list records that have been hidden since.
func (view *View) applyDelta(now time.Time, update Update, changedServices map[request.ServiceName]bool) bool {
	if !view.synced || update.Epoch != view.epoch || update.From > view.sequence {
		return true
	}
	if update.To <= view.sequence {
		return false
	}
	view.sequence = update.To
	for _, record := range update.Records {
		if record.Hidden {
			view.hide(now, record, changedServices)
			continue
		}
		view.merge(now, record, changedServices)
	}
	return view.digestsDiffer(update.Lists)
}

// digestsDiffer compares digests of lists without records. A digest also differs
// if the replica lacks a record that this node got from another replica.
func (view *View) digestsDiffer(lists []List) bool {
	for _, list := range lists {
		if !list.HasRecords && view.table.list(list.Service).digest != list.Digest {
			return true
		}
	}
	return false
}

// applyAnswer replaces the lists that come with records and compares the digests
// of the others.
func (view *View) applyAnswer(now time.Time, update Update, changedServices map[request.ServiceName]bool) bool {
	if view.synced && update.Epoch == view.epoch && update.To < view.sequence {
		return false
	}
	view.epoch, view.sequence, view.synced = update.Epoch, update.To, true
	for _, list := range update.Lists {
		if list.HasRecords {
			view.replaceList(now, list, changedServices)
		}
	}
	return view.digestsDiffer(update.Lists)
}

func (view *View) replaceList(now time.Time, list List, changedServices map[request.ServiceName]bool) {
	sent := map[request.NodeID]bool{}
	for _, record := range list.Records {
		sent[record.Node] = true
		view.merge(now, record, changedServices)
	}
	if list.MayLackRecords {
		return
	}
	for node := range view.table.list(list.Service).records {
		if !sent[node] {
			view.table.hide(now, node)
			changedServices[list.Service] = true
		}
	}
}

// hide removes a record from its list if the replica no longer has it.
func (view *View) hide(now time.Time, record Record, changedServices map[request.ServiceName]bool) {
	known := view.table.records[record.Node]
	if known == nil || !known.isListed() || known.supersedes(&record) && !sameVersion(known, &record) {
		return
	}
	view.table.hide(now, record.Node)
	changedServices[known.Service] = true
}

func (view *View) merge(now time.Time, record Record, changedServices map[request.ServiceName]bool) {
	known := view.table.records[record.Node]
	if view.table.merge(now, record) {
		changedServices[record.Service] = true
		if known != nil {
			changedServices[known.Service] = true
		}
	}
}

func (view *View) initialize() {
	if view.table == nil {
		empty := newRecordTable()
		view.table = &empty
	}
}
