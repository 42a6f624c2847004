package membership

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// peer is what this replica knows of its subscription with another one.
type peer struct {
	epoch   Epoch
	at      Sequence
	synced  bool
	heardAt time.Time
}

// SubscribeReplica begins the subscription of another replica to the records
// that this one holds. A replica that has restarted also gets back what it
// held before.
func (registry *Registry) SubscribeReplica(now time.Time, replica request.NodeID) Update {
	subscribed := &listener{replica: true, sent: registry.feed.sequence, scanned: registry.feed.sequence, partial: registry.Warming(now)}
	registry.listeners[subscriber{node: replica, replica: true}] = subscribed
	return registry.replicaAnswer(replica, subscribed)
}

// UnsubscribeReplica ends the subscription of another replica.
func (registry *Registry) UnsubscribeReplica(replica request.NodeID) {
	delete(registry.listeners, subscriber{node: replica, replica: true})
}

// PullReplica gives what is due to another replica since the last call.
func (registry *Registry) PullReplica(now time.Time, replica request.NodeID) []Update {
	return registry.pull(now, subscriber{node: replica, replica: true})
}

// ApplyReplica takes in the update of another replica and says whether the
// subscription with it must begin again.
func (registry *Registry) ApplyReplica(now time.Time, replica request.NodeID, update Update) bool {
	source := registry.peers[replica]
	if source == nil {
		source = &peer{}
		registry.peers[replica] = source
	}
	source.heardAt = now
	if update.Answer {
		registry.takeAnswer(now, replica, update)
		source.epoch, source.at, source.synced = update.Epoch, update.To, true
		return false
	}
	if !source.synced || update.Epoch != source.epoch || update.From > source.at {
		return true
	}
	if update.To <= source.at {
		return false
	}
	source.at = update.To
	for _, record := range update.Records {
		registry.takeRecord(now, record)
	}
	return false
}

func (registry *Registry) takeAnswer(now time.Time, replica request.NodeID, answer Update) {
	for _, list := range answer.Lists {
		for _, record := range list.Records {
			registry.takeRecord(now, record)
		}
	}
	registry.dropMissing(now, replica, answer)
}

// Heard notes a sign of life of another replica and says whether the
// subscription with it must begin again.
func (registry *Registry) Heard(now time.Time, replica request.NodeID, epoch Epoch, sent Sequence) bool {
	source := registry.peers[replica]
	if source == nil {
		return true
	}
	source.heardAt = now
	return !source.synced || source.epoch != epoch || sent > source.at
}

// PositionReplica gives the epoch and where another replica should stand.
func (registry *Registry) PositionReplica(replica request.NodeID) (Epoch, Sequence) {
	return registry.position(subscriber{node: replica, replica: true})
}

// takeRecord merges a record of another replica. One that this replica held
// before its restart gets a lease for the time in which its node must renew.
func (registry *Registry) takeRecord(now time.Time, record Record) {
	known := registry.table.records[record.Node]
	if known != nil && !record.newer(known) {
		return
	}
	registry.put(now, record)
	if record.Holder == registry.Self && record.live() {
		if _, held := registry.leases[record.Node]; !held {
			registry.leases[record.Node] = now.Add(max(registry.LeaseTime, registry.WarmTime))
		}
		return
	}
	delete(registry.leases, record.Node)
}

// dropMissing hides the records of a replica that its whole answer lacks.
func (registry *Registry) dropMissing(now time.Time, replica request.NodeID, answer Update) {
	for _, list := range answer.Lists {
		if !list.Whole || list.Partial {
			return
		}
	}
	sent := map[request.NodeID]bool{}
	for _, list := range answer.Lists {
		for _, record := range list.Records {
			sent[record.Node] = true
		}
	}
	for node, record := range registry.table.records {
		if record.Holder == replica && record.live() && !sent[node] {
			registry.hide(now, record)
		}
	}
}

func (registry *Registry) hide(now time.Time, record *Record) {
	service := record.Service
	registry.table.hide(now, record.Node)
	registry.feed.add(record.Node, service)
}

// dropOrphans hides the records of replicas that have been silent for long.
func (registry *Registry) dropOrphans(now time.Time) {
	for replica, source := range registry.peers {
		if now.Sub(source.heardAt) < registry.OrphanTime {
			continue
		}
		delete(registry.peers, replica)
		for _, record := range registry.table.records {
			if record.Holder == replica && record.live() {
				registry.hide(now, record)
			}
		}
	}
}

func (registry *Registry) replicaAnswer(receiver request.NodeID, subscribed *listener) Update {
	list := List{Whole: true, Partial: subscribed.partial}
	for _, record := range registry.table.records {
		if registry.passesOn(receiver, record) {
			list.Records = append(list.Records, *record)
		}
	}
	sortRecords(list.Records)
	return Update{Epoch: registry.epoch, To: registry.feed.sequence, Answer: true, Lists: []List{list}}
}

// passesOn says whether another replica gets the record: this one holds its
// lease, or the other one did.
func (registry *Registry) passesOn(receiver request.NodeID, record *Record) bool {
	return !record.Hidden && (record.Holder == registry.Self || record.Holder == receiver)
}
