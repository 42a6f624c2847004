package registry

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	reportsKept  = 1024
	reportsTime  = 10 * time.Minute
	beatInterval = time.Second
	// offerAgain is when a version is offered again to a node that does not
	// have it yet.
	offerAgain = 2 * time.Second
)

// session is one stream that a node or another replica has opened.
type session struct {
	node    request.NodeID
	place   request.Place
	replica bool
	// asked says that it asked to join before it was known as a replica.
	asked bool
	// flowing says that the node was told of others on its links.
	flowing bool
	// lease is the incarnation whose lease this session holds.
	lease   membership.Incarnation
	held    distribution.VersionID
	offered distribution.VersionID
	offerAt time.Time
	beatAt  time.Time
	// write queues a reply.
	write func(*pb.Reply)
}

func (s *session) send(reply *pb.Reply) {
	s.write(reply)
}

type keptReport struct {
	report quarantine.Report
	at     time.Time
}

// desk answers the messages of nodes and other replicas for one replica.
type desk struct {
	registry  *membership.Registry
	publisher *distribution.Publisher
	tracker   *distribution.Tracker
	usage     balancer.LinkUsage
	// confirmed says whether a quorum read has shown the newest version; nil
	// says that none has.
	confirmed func() bool

	// members are the other replicas.
	members map[request.NodeID]bool

	// places are where all replicas listen, as nodes are told.
	places []*pb.ReplicaPlace

	sessions map[*session]bool
	reports  []keptReport
}

// open begins the session of a node or a replica.
func (d *desk) open(node request.NodeID, place request.Place, write func(*pb.Reply)) *session {
	if d.sessions == nil {
		d.sessions = map[*session]bool{}
	}
	opened := &session{node: node, place: place, write: write}
	d.sessions[opened] = true
	return opened
}

// close ends a session. The lease is shortened unless the node has already
// come back on another stream.
func (d *desk) close(now time.Time, ended *session) {
	delete(d.sessions, ended)
	for other := range d.sessions {
		if other.node == ended.node && other.replica == ended.replica {
			return
		}
	}
	if ended.replica {
		d.registry.UnsubscribeReplica(ended.node)
		return
	}
	d.registry.Disconnected(now, ended.node)
}

// receive takes in a message. The reports go on before anything else, so that
// no node gets a list without a dead target before it knows the suspects.
func (d *desk) receive(now time.Time, from *session, message *pb.Request) {
	d.passOn(now, from, decodeReports(message.GetReports()))
	if message.GetJoin() {
		d.join(now, from)
	}
	if message.GetAnnounce() != nil {
		d.announce(now, from, decodeAnnouncement(message.GetAnnounce()))
	}
	if message.GetSubscribe() != nil {
		update := d.registry.Subscribe(now, from.node, decodeSubscription(message.GetSubscribe()))
		from.send(&pb.Reply{Updates: []*pb.Update{encodeUpdate(update)}})
	}
	if message.GetRenew() != nil {
		d.note(now, from, message.GetRenew())
	}
	if message.GetRenew() != nil && message.GetAnnounce() == nil {
		d.renew(now, from, message.GetRenew())
	}
	if message.GetLeave() {
		d.registry.Release(now, from.node, from.lease)
		d.tracker.Remove(from.node)
	}
}

// join lets another replica read what this one holds. Others have no use for it.
func (d *desk) join(now time.Time, from *session) {
	if !d.members[from.node] {
		from.asked = true
		return
	}
	from.replica, from.asked = true, false
	update := d.registry.SubscribeReplica(now, from.node)
	from.send(&pb.Reply{Reports: d.recent(now), Updates: []*pb.Update{encodeUpdate(update)}})
}

func (d *desk) announce(now time.Time, from *session, announcement membership.Announcement) {
	announcement.Node = from.node
	if from.lease == 0 {
		from.send(&pb.Reply{Reports: d.recent(now), Replicas: d.places})
	}
	from.lease = announcement.Incarnation
	from.send(&pb.Reply{Lease: encodeLease(d.registry.Register(now, announcement))})
}

func (d *desk) renew(now time.Time, from *session, renewal *pb.Renewal) {
	incarnation, sequence := membership.Incarnation(renewal.GetIncarnation()), membership.Sequence(renewal.GetSequence())
	from.send(&pb.Reply{Lease: encodeLease(d.registry.Renew(now, from.node, incarnation, sequence))})
}

// note takes in what a node has in force.
func (d *desk) note(now time.Time, from *session, renewal *pb.Renewal) {
	from.held = distribution.VersionID{
		Number: configuration.Version(renewal.GetVersion()),
		Digest: distribution.Digest(renewal.GetVersionDigest()),
	}
	d.tracker.Report(now, from.node, from.place.Domain, from.held.Number)
	d.usage.Report(now, from.node, decodeFlows(renewal.GetFlows()))
	d.tellFlows(now, from)
	if from.held != from.offered {
		from.offerAt = time.Time{}
	}
	d.offer(now, from)
}

// tellFlows tells a node what the others put on the links of its region, and
// once that they stopped.
func (d *desk) tellFlows(now time.Time, to *session) {
	others := d.usage.OtherNodes(now, to.node, to.place.Region)
	if len(others) == 0 && !to.flowing {
		return
	}
	to.flowing = len(others) > 0
	to.send(&pb.Reply{Others: encodeFlows(others)})
}

// offer brings a node to the newest version, and again when it doesn't follow.
func (d *desk) offer(now time.Time, to *session) {
	newest := d.publisher.Newest()
	if to.replica || to.lease == 0 || to.held == newest {
		return
	}
	if to.offered == newest && now.Sub(to.offerAt) < offerAgain {
		return
	}
	update, ok := d.publisher.Offer(to.held, d.confirmed != nil && d.confirmed())
	if !ok {
		return
	}
	to.offered, to.offerAt = newest, now
	to.send(&pb.Reply{Version: encodeVersion(update)})
}

// passOn brings reports of a node to all nodes and replicas, and those of a
// replica to the nodes.
func (d *desk) passOn(now time.Time, from *session, reports []quarantine.Report) {
	if len(reports) == 0 {
		return
	}
	d.keep(now, reports)
	for to := range d.sessions {
		if to == from {
			continue
		}
		to.send(&pb.Reply{Reports: encodeReports(reports)})
	}
}

// fromReplica takes in what another replica, to which this one has joined,
// sends, and says whether to join again.
func (d *desk) fromReplica(now time.Time, replica request.NodeID, reply *pb.Reply) bool {
	reports := decodeReports(reply.GetReports())
	d.keep(now, reports)
	for to := range d.sessions {
		if len(reports) > 0 && !to.replica {
			to.send(&pb.Reply{Reports: encodeReports(reports)})
		}
	}
	again := false
	for _, message := range reply.GetUpdates() {
		again = d.registry.ApplyReplica(now, replica, decodeUpdate(message)) || again
	}
	if len(reply.GetUpdates()) > 0 {
		d.tracker.RemoveMoved(d.registry.LeasedElsewhere)
	}
	if beat := reply.GetBeat(); beat != nil {
		d.tracker.Merge(now, replica, decodeDomains(beat.GetDomains()))
		d.usage.Merge(now, replica, decodeFlows(beat.GetFlows()))
		again = d.registry.RecordHeartbeat(now, replica, membership.Epoch(beat.GetEpoch()), membership.Sequence(beat.GetSent())) || again
	}
	return again
}

// admit takes other replicas as the members of the log, and joins those that
// asked before they were known here.
func (d *desk) admit(now time.Time, others []Replica) {
	d.members = map[request.NodeID]bool{}
	for _, other := range others {
		d.members[other.ID] = true
	}
	for waiting := range d.sessions {
		if waiting.asked && d.members[waiting.node] {
			d.join(now, waiting)
		}
	}
}

// relocate tells all nodes where the replicas listen.
func (d *desk) relocate(places []*pb.ReplicaPlace) {
	d.places = places
	for to := range d.sessions {
		if !to.replica && to.lease != 0 {
			to.send(&pb.Reply{Replicas: places})
		}
	}
}

// tick ends leases and sends what has changed since the last tick.
func (d *desk) tick(now time.Time) {
	d.registry.Tick(now)
	for to := range d.sessions {
		for _, update := range d.due(now, to) {
			to.send(&pb.Reply{Updates: []*pb.Update{encodeUpdate(update)}})
		}
		d.offer(now, to)
		if to.replica && now.Sub(to.beatAt) >= beatInterval {
			to.beatAt = now
			d.beat(now, to)
		}
	}
}

func (d *desk) due(now time.Time, to *session) []membership.Update {
	if to.replica {
		return d.registry.PullReplica(now, to.node)
	}
	return d.registry.Pull(now, to.node)
}

func (d *desk) beat(now time.Time, to *session) {
	epoch, sent := d.registry.PositionReplica(to.node)
	to.send(&pb.Reply{Beat: &pb.Beat{
		Epoch:   uint64(epoch),
		Sent:    uint64(sent),
		Domains: encodeDomains(d.tracker.Summary(now)),
		Flows:   encodeFlows(d.usage.Sums(now)),
	}})
}

// keep remembers reports for nodes and replicas that connect later.
func (d *desk) keep(now time.Time, reports []quarantine.Report) {
	for _, report := range reports {
		d.reports = append(d.reports, keptReport{report: report, at: now})
	}
	if excess := len(d.reports) - reportsKept; excess > 0 {
		d.reports = append([]keptReport(nil), d.reports[excess:]...)
	}
}

func (d *desk) recent(now time.Time) []*pb.Report {
	var reports []quarantine.Report
	for _, kept := range d.reports {
		if now.Sub(kept.at) < reportsTime {
			reports = append(reports, kept.report)
		}
	}
	return encodeReports(reports)
}
