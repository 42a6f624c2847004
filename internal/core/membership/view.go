package membership

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// View is what a node knows of the services that it calls. It keeps its lists
// while no replica is in reach.
type View struct {
	Services []request.ServiceName

	table  *table
	epoch  Epoch
	at     Sequence
	synced bool
}

// Subscription gives what the node asks of a replica.
func (view *View) Subscription() Subscription {
	view.prepare()
	subscription := Subscription{Services: view.Services}
	for _, service := range view.Services {
		subscription.Held = append(subscription.Held, view.table.list(service).digest)
	}
	return subscription
}

// Connected forgets where the subscription with the last replica stood, and
// keeps the lists.
func (view *View) Connected() {
	view.synced = false
}

// Apply takes in an update. It gives the services whose list changed and
// whether the node must subscribe again.
func (view *View) Apply(now time.Time, update Update) (changed []request.ServiceName, resync bool) {
	view.prepare()
	view.table.forget(now, goneTime)
	touched := map[request.ServiceName]bool{}
	if update.Answer {
		resync = view.answer(now, update, touched)
	} else {
		resync = view.advance(now, update, touched)
	}
	for _, service := range view.Services {
		if touched[service] {
			changed = append(changed, service)
		}
	}
	return changed, resync
}

// Check compares where the subscription stands with where the replica says
// that it should, and says whether the node must subscribe again.
func (view *View) Check(lease Lease) bool {
	if lease.Granted == 0 {
		return false
	}
	return !view.synced || lease.Epoch != view.epoch || lease.Sent > view.at
}

// Records gives the list of a service.
func (view *View) Records(service request.ServiceName) []Record {
	view.prepare()
	return view.table.list(service).sorted()
}

// advance takes in a delta in its order only: a late or doubled one may hold
// records that have been hidden since.
func (view *View) advance(now time.Time, update Update, touched map[request.ServiceName]bool) bool {
	if !view.synced || update.Epoch != view.epoch || update.From > view.at {
		return true
	}
	if update.To <= view.at {
		return false
	}
	view.at = update.To
	for _, record := range update.Records {
		if record.Hidden {
			view.hide(now, record, touched)
			continue
		}
		view.merge(now, record, touched)
	}
	return view.differs(update.Lists)
}

// differs compares digests. They differ also when the replica lacks what this
// node heard from another one.
func (view *View) differs(lists []List) bool {
	for _, list := range lists {
		if !list.Whole && view.table.list(list.Service).digest != list.Digest {
			return true
		}
	}
	return false
}

// answer takes in whole lists and compares the digests of the others.
func (view *View) answer(now time.Time, update Update, touched map[request.ServiceName]bool) bool {
	if view.synced && update.Epoch == view.epoch && update.To < view.at {
		return false
	}
	view.epoch, view.at, view.synced = update.Epoch, update.To, true
	for _, list := range update.Lists {
		if list.Whole {
			view.replace(now, list, touched)
		}
	}
	return view.differs(update.Lists)
}

func (view *View) replace(now time.Time, list List, touched map[request.ServiceName]bool) {
	sent := map[request.NodeID]bool{}
	for _, record := range list.Records {
		sent[record.Node] = true
		view.merge(now, record, touched)
	}
	if list.Partial {
		return
	}
	for node := range view.table.list(list.Service).members {
		if !sent[node] {
			view.table.hide(now, node)
			touched[list.Service] = true
		}
	}
}

// hide takes a record off its list when the replica no longer has it.
func (view *View) hide(now time.Time, record Record, touched map[request.ServiceName]bool) {
	known := view.table.records[record.Node]
	if known == nil || !known.live() || known.newer(&record) && !sameKey(known, &record) {
		return
	}
	view.table.hide(now, record.Node)
	touched[known.Service] = true
}

func (view *View) merge(now time.Time, record Record, touched map[request.ServiceName]bool) {
	known := view.table.records[record.Node]
	if view.table.merge(now, record) {
		touched[record.Service] = true
		if known != nil {
			touched[known.Service] = true
		}
	}
}

func (view *View) prepare() {
	if view.table == nil {
		fresh := newTable()
		view.table = &fresh
	}
}
