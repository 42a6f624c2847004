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
func (v *View) Subscription() Subscription {
	v.prepare()
	subscription := Subscription{Services: v.Services}
	for _, service := range v.Services {
		subscription.Held = append(subscription.Held, v.table.list(service).digest)
	}
	return subscription
}

// Connected forgets where the subscription with the last replica stood, and
// keeps the lists.
func (v *View) Connected() {
	v.synced = false
}

// Apply takes in an update. It gives the services whose list changed and
// whether the node must subscribe again.
func (v *View) Apply(now time.Time, update Update) (changed []request.ServiceName, resync bool) {
	v.prepare()
	v.table.forget(now, goneTime)
	touched := map[request.ServiceName]bool{}
	if update.Answer {
		resync = v.answer(now, update, touched)
	} else {
		resync = v.advance(now, update, touched)
	}
	for _, service := range v.Services {
		if touched[service] {
			changed = append(changed, service)
		}
	}
	return changed, resync
}

// Check compares where the subscription stands with where the replica says
// that it should, and says whether the node must subscribe again.
func (v *View) Check(lease Lease) bool {
	if lease.Granted == 0 {
		return false
	}
	return !v.synced || lease.Epoch != v.epoch || lease.Sent > v.at
}

// Records gives the list of a service.
func (v *View) Records(service request.ServiceName) []Record {
	v.prepare()
	return v.table.list(service).sorted()
}

// advance takes in a delta in its order only: a late or doubled one may hold
// records that have been hidden since.
func (v *View) advance(now time.Time, update Update, touched map[request.ServiceName]bool) bool {
	if !v.synced || update.Epoch != v.epoch || update.From > v.at {
		return true
	}
	if update.To <= v.at {
		return false
	}
	v.at = update.To
	for _, record := range update.Records {
		if record.Hidden {
			v.hide(now, record, touched)
			continue
		}
		v.merge(now, record, touched)
	}
	return v.differs(update.Lists)
}

// differs compares digests. They differ also when the replica lacks what this
// node heard from another one.
func (v *View) differs(lists []List) bool {
	for _, list := range lists {
		if !list.Whole && v.table.list(list.Service).digest != list.Digest {
			return true
		}
	}
	return false
}

// answer takes in whole lists and compares the digests of the others.
func (v *View) answer(now time.Time, update Update, touched map[request.ServiceName]bool) bool {
	if v.synced && update.Epoch == v.epoch && update.To < v.at {
		return false
	}
	v.epoch, v.at, v.synced = update.Epoch, update.To, true
	for _, list := range update.Lists {
		if list.Whole {
			v.replace(now, list, touched)
		}
	}
	return v.differs(update.Lists)
}

func (v *View) replace(now time.Time, list List, touched map[request.ServiceName]bool) {
	sent := map[request.NodeID]bool{}
	for _, record := range list.Records {
		sent[record.Node] = true
		v.merge(now, record, touched)
	}
	if list.Partial {
		return
	}
	for node := range v.table.list(list.Service).members {
		if !sent[node] {
			v.table.hide(now, node)
			touched[list.Service] = true
		}
	}
}

// hide takes a record off its list when the replica no longer has it.
func (v *View) hide(now time.Time, record Record, touched map[request.ServiceName]bool) {
	known := v.table.records[record.Node]
	if known == nil || !known.live() || known.newer(&record) && !sameKey(known, &record) {
		return
	}
	v.table.hide(now, record.Node)
	touched[known.Service] = true
}

func (v *View) merge(now time.Time, record Record, touched map[request.ServiceName]bool) {
	known := v.table.records[record.Node]
	if v.table.merge(now, record) {
		touched[record.Service] = true
		if known != nil {
			touched[known.Service] = true
		}
	}
}

func (v *View) prepare() {
	if v.table == nil {
		fresh := newTable()
		v.table = &fresh
	}
}
