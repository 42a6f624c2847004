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
func (r *Registry) SubscribeReplica(now time.Time, replica request.NodeID) Update {
	subscribed := &listener{replica: true, sent: r.feed.sequence, scanned: r.feed.sequence, partial: r.Warming(now)}
	r.listeners[subscriber{node: replica, replica: true}] = subscribed
	return r.replicaAnswer(replica, subscribed)
}

// UnsubscribeReplica ends the subscription of another replica.
func (r *Registry) UnsubscribeReplica(replica request.NodeID) {
	delete(r.listeners, subscriber{node: replica, replica: true})
}

// PullReplica gives what is due to another replica since the last call.
func (r *Registry) PullReplica(now time.Time, replica request.NodeID) []Update {
	return r.pull(now, subscriber{node: replica, replica: true})
}

// ApplyReplica takes in the update of another replica and says whether the
// subscription with it must begin again.
func (r *Registry) ApplyReplica(now time.Time, replica request.NodeID, update Update) bool {
	source := r.peers[replica]
	if source == nil {
		source = &peer{}
		r.peers[replica] = source
	}
	source.heardAt = now
	if update.Answer {
		r.takeAnswer(now, replica, update)
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
		r.takeRecord(now, record)
	}
	return false
}

func (r *Registry) takeAnswer(now time.Time, replica request.NodeID, answer Update) {
	for _, list := range answer.Lists {
		for _, record := range list.Records {
			r.takeRecord(now, record)
		}
	}
	r.dropMissing(now, replica, answer)
}

// Heard notes a sign of life of another replica and says whether the
// subscription with it must begin again.
func (r *Registry) Heard(now time.Time, replica request.NodeID, epoch Epoch, sent Sequence) bool {
	source := r.peers[replica]
	if source == nil {
		return true
	}
	source.heardAt = now
	return !source.synced || source.epoch != epoch || sent > source.at
}

// PositionReplica gives the epoch and where another replica should stand.
func (r *Registry) PositionReplica(replica request.NodeID) (Epoch, Sequence) {
	return r.position(subscriber{node: replica, replica: true})
}

// takeRecord merges a record of another replica. One that this replica held
// before its restart gets a lease for the time in which its node must renew.
func (r *Registry) takeRecord(now time.Time, record Record) {
	known := r.table.records[record.Node]
	if known != nil && !record.newer(known) {
		return
	}
	r.put(now, record)
	if record.Holder == r.Self && record.live() {
		if _, held := r.leases[record.Node]; !held {
			r.leases[record.Node] = now.Add(max(r.LeaseTime, r.WarmTime))
		}
		return
	}
	delete(r.leases, record.Node)
}

// dropMissing hides the records of a replica that its whole answer lacks.
func (r *Registry) dropMissing(now time.Time, replica request.NodeID, answer Update) {
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
	for node, record := range r.table.records {
		if record.Holder == replica && record.live() && !sent[node] {
			r.hide(now, record)
		}
	}
}

func (r *Registry) hide(now time.Time, record *Record) {
	service := record.Service
	r.table.hide(now, record.Node)
	r.feed.add(record.Node, service)
}

// dropOrphans hides the records of replicas that have been silent for long.
func (r *Registry) dropOrphans(now time.Time) {
	for replica, source := range r.peers {
		if now.Sub(source.heardAt) < r.OrphanTime {
			continue
		}
		delete(r.peers, replica)
		for _, record := range r.table.records {
			if record.Holder == replica && record.live() {
				r.hide(now, record)
			}
		}
	}
}

func (r *Registry) replicaAnswer(receiver request.NodeID, subscribed *listener) Update {
	list := List{Whole: true, Partial: subscribed.partial}
	for _, record := range r.table.records {
		if r.passesOn(receiver, record) {
			list.Records = append(list.Records, *record)
		}
	}
	sortRecords(list.Records)
	return Update{Epoch: r.epoch, To: r.feed.sequence, Answer: true, Lists: []List{list}}
}

// passesOn says whether another replica gets the record: this one holds its
// lease, or the other one did.
func (r *Registry) passesOn(receiver request.NodeID, record *Record) bool {
	return !record.Hidden && (record.Holder == r.Self || record.Holder == receiver)
}
