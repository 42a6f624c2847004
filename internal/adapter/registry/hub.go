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
	maxStoredReports  = 1024
	reportRetention   = 10 * time.Minute
	heartbeatInterval = time.Second
	// reofferInterval is how long after an offer the same version is offered again
	// to a node that does not report it in force.
	reofferInterval = 2 * time.Second
)

// session is a stream that a node or another replica has opened to this replica.
type session struct {
	node      request.NodeID
	place     request.Place
	isReplica bool
	// joinRequested is set if the other side asked to join before it was known as
	// a member of the log.
	joinRequested bool
	// flowsSent is set while the flows last sent to the node are not empty.
	flowsSent bool
	// quorumLost is what the node was last told about the quorum of this replica.
	quorumLost bool
	// leaseIncarnation is the incarnation that registered on this session; zero
	// before the first registration.
	leaseIncarnation membership.Incarnation
	// held is the configuration version that the node last reported in force,
	// offered the one last offered to it.
	held        distribution.VersionID
	offered     distribution.VersionID
	offeredAt   time.Time
	heartbeatAt time.Time
	// write queues a reply; it does not block.
	write func(*pb.Reply)
}

func (session *session) send(reply *pb.Reply) {
	session.write(reply)
}

type storedReport struct {
	report     quarantine.Report
	receivedAt time.Time
}

// hub is the protocol state of one replica: the sessions of nodes and of other
// replicas. It does no I/O itself and is used by one goroutine at a time.
type hub struct {
	registry  *membership.Registry
	publisher *distribution.Publisher
	tracker   *distribution.Tracker
	usage     balancer.LinkUsage
	// confirmed reports whether a recent quorum read has shown that the newest
	// version here is the newest accepted one; nil means no.
	confirmed func() bool

	// quorumLost reports whether no quorum read has succeeded for some time; nil means no.
	quorumLost func() bool
	// wasLost is what quorumLost returned in the last tick.
	wasLost bool

	// members holds the other replicas of the log.
	members map[request.NodeID]bool

	// replicaPlaces holds the addresses of all replicas, as sent to nodes.
	replicaPlaces []*pb.ReplicaPlace

	sessions map[*session]bool
	reports  []storedReport
}

// open adds a session of a node or a replica.
func (hub *hub) open(node request.NodeID, place request.Place, write func(*pb.Reply)) *session {
	if hub.sessions == nil {
		hub.sessions = map[*session]bool{}
	}
	opened := &session{node: node, place: place, write: write}
	hub.sessions[opened] = true
	return opened
}

// close removes a session. The lease of its node is shortened unless the node
// has already reconnected on another stream, or has probably moved to a replica with a
// quorum, of which this one may not hear.
func (hub *hub) close(now time.Time, ended *session) {
	delete(hub.sessions, ended)
	for other := range hub.sessions {
		if other.node == ended.node && other.isReplica == ended.isReplica {
			return
		}
	}
	if ended.isReplica {
		hub.registry.UnsubscribeReplica(ended.node)
		return
	}
	if hub.lacksQuorum() {
		hub.registry.Unsubscribe(ended.node)
		return
	}
	hub.registry.Disconnected(now, ended.node)
}

// receive handles a message. Crash reports are forwarded before the rest of the
// message is handled, so that every node knows the suspect requests before it
// sees a target list without the crashed target.
func (hub *hub) receive(now time.Time, from *session, message *pb.Request) {
	hub.forwardReports(now, from, decodeReports(message.GetReports()))
	if message.GetJoin() {
		hub.subscribeReplica(now, from)
	}
	if message.GetAnnounce() != nil {
		hub.register(now, from, decodeAnnouncement(message.GetAnnounce()))
	}
	if message.GetSubscribe() != nil {
		update := hub.registry.Subscribe(now, from.node, decodeSubscription(message.GetSubscribe()))
		from.send(&pb.Reply{Updates: []*pb.Update{encodeUpdate(update)}})
	}
	if message.GetRenew() != nil {
		hub.recordStatus(now, from, message.GetRenew())
	}
	if message.GetRenew() != nil && message.GetAnnounce() == nil {
		hub.renew(now, from, message.GetRenew())
	}
	if message.GetInquire() {
		from.send(&pb.Reply{Quorum: &pb.Quorum{Lost: hub.lacksQuorum()}})
	}
	if message.GetLeave() {
		hub.registry.Release(now, from.node, from.leaseIncarnation)
		hub.tracker.Remove(from.node)
	}
}

// subscribeReplica subscribes another replica to the records of this one. A
// process that is not a member is subscribed only once it becomes one.
func (hub *hub) subscribeReplica(now time.Time, from *session) {
	if !hub.members[from.node] {
		from.joinRequested = true
		return
	}
	from.isReplica, from.joinRequested = true, false
	update := hub.registry.SubscribeReplica(now, from.node)
	from.send(&pb.Reply{Reports: hub.recentReports(now), Updates: []*pb.Update{encodeUpdate(update)}})
}

func (hub *hub) register(now time.Time, from *session, announcement membership.Announcement) {
	announcement.Node = from.node
	if from.leaseIncarnation == 0 {
		from.send(&pb.Reply{Reports: hub.recentReports(now), Replicas: hub.replicaPlaces})
	}
	from.leaseIncarnation = announcement.Incarnation
	from.send(&pb.Reply{Lease: encodeLease(hub.registry.Register(now, announcement))})
}

func (hub *hub) renew(now time.Time, from *session, renewal *pb.Renewal) {
	incarnation, sequence := membership.Incarnation(renewal.GetIncarnation()), membership.Sequence(renewal.GetSequence())
	from.send(&pb.Reply{Lease: encodeLease(hub.registry.Renew(now, from.node, incarnation, sequence))})
}

// recordStatus records the configuration version and the flows that a node
// reports with a renewal.
func (hub *hub) recordStatus(now time.Time, from *session, renewal *pb.Renewal) {
	from.held = distribution.VersionID{
		Number: configuration.Version(renewal.GetVersion()),
		Digest: distribution.Digest(renewal.GetVersionDigest()),
	}
	hub.tracker.Report(now, from.node, from.place.Domain, from.held.Number)
	hub.tracker.ReportTarget(from.node, decodeRestricted(renewal.GetRestricted()))
	hub.usage.Report(now, from.node, decodeFlows(renewal.GetFlows()))
	hub.sendFlows(now, from)
	if from.held != from.offered {
		from.offeredAt = time.Time{}
	}
	hub.offerVersion(now, from)
}

// sendFlows tells a node how much the other nodes send over the links of its
// region. When they stop, it sends one empty list.
func (hub *hub) sendFlows(now time.Time, to *session) {
	others := hub.usage.OtherNodes(now, to.node, to.place.Region)
	if len(others) == 0 && !to.flowsSent {
		return
	}
	to.flowsSent = len(others) > 0
	to.send(&pb.Reply{Others: encodeFlows(others)})
}

// offerVersion sends the newest version to a node that does not have it in
// force, and repeats it every reofferInterval.
func (hub *hub) offerVersion(now time.Time, to *session) {
	newest := hub.publisher.Newest()
	if to.isReplica || to.leaseIncarnation == 0 || to.held == newest {
		return
	}
	if to.offered == newest && now.Sub(to.offeredAt) < reofferInterval {
		return
	}
	update, ok := hub.publisher.Offer(to.held, hub.confirmed != nil && hub.confirmed())
	if !ok {
		return
	}
	to.offered, to.offeredAt = newest, now
	to.send(&pb.Reply{Version: encodeVersion(update)})
}

// forwardReports stores reports and sends them to all sessions but the one that
// they came from.
func (hub *hub) forwardReports(now time.Time, from *session, reports []quarantine.Report) {
	if len(reports) == 0 {
		return
	}
	hub.storeReports(now, reports)
	for to := range hub.sessions {
		if to == from {
			continue
		}
		to.send(&pb.Reply{Reports: encodeReports(reports)})
	}
}

// receiveFromReplica handles a reply of a replica that this one has joined. It
// returns true if updates were missed and this replica must join again.
func (hub *hub) receiveFromReplica(now time.Time, replica request.NodeID, reply *pb.Reply) bool {
	reports := decodeReports(reply.GetReports())
	hub.storeReports(now, reports)
	for to := range hub.sessions {
		if len(reports) > 0 && !to.isReplica {
			to.send(&pb.Reply{Reports: encodeReports(reports)})
		}
	}
	rejoin := false
	for _, message := range reply.GetUpdates() {
		rejoin = hub.registry.ApplyReplica(now, replica, decodeUpdate(message)) || rejoin
	}
	if len(reply.GetUpdates()) > 0 {
		hub.tracker.RemoveMoved(hub.registry.LeasedElsewhere)
	}
	if heartbeat := reply.GetBeat(); heartbeat != nil {
		hub.tracker.Merge(now, replica, decodeDomains(heartbeat.GetDomains()))
		hub.usage.Merge(now, replica, decodeFlows(heartbeat.GetFlows()))
		rejoin = hub.registry.RecordHeartbeat(now, replica, membership.Epoch(heartbeat.GetEpoch()), membership.Sequence(heartbeat.GetSent())) || rejoin
	}
	return rejoin
}

// setMembers replaces the other members of the log, and subscribes those that
// asked to join before they were known here.
func (hub *hub) setMembers(now time.Time, others []Replica) {
	hub.members = map[request.NodeID]bool{}
	for _, other := range others {
		hub.members[other.ID] = true
	}
	for session := range hub.sessions {
		if session.joinRequested && hub.members[session.node] {
			hub.subscribeReplica(now, session)
		}
	}
}

// setReplicaPlaces stores the addresses of all replicas and sends them to all
// registered nodes.
func (hub *hub) setReplicaPlaces(places []*pb.ReplicaPlace) {
	hub.replicaPlaces = places
	for to := range hub.sessions {
		if !to.isReplica && to.leaseIncarnation != 0 {
			to.send(&pb.Reply{Replicas: places})
		}
	}
}

func (hub *hub) lacksQuorum() bool {
	return hub.quorumLost != nil && hub.quorumLost()
}

// sendQuorum tells a registered node when the quorum is lost or reached again.
func (hub *hub) sendQuorum(to *session, lost bool) {
	if to.isReplica || to.leaseIncarnation == 0 || to.quorumLost == lost {
		return
	}
	to.quorumLost = lost
	to.send(&pb.Reply{Quorum: &pb.Quorum{Lost: lost}})
}

// tick expires leases, sends the changes since the last tick, repeats version
// offers and sends heartbeats to replicas.
func (hub *hub) tick(now time.Time) {
	hub.registry.Tick(now)
	hub.wasLost = hub.lacksQuorum()
	for to := range hub.sessions {
		hub.sendQuorum(to, hub.wasLost)
		for _, update := range hub.pendingUpdates(now, to) {
			to.send(&pb.Reply{Updates: []*pb.Update{encodeUpdate(update)}})
		}
		hub.offerVersion(now, to)
		if to.isReplica && now.Sub(to.heartbeatAt) >= heartbeatInterval {
			to.heartbeatAt = now
			hub.sendHeartbeat(now, to)
		}
	}
}

func (hub *hub) pendingUpdates(now time.Time, to *session) []membership.Update {
	if to.isReplica {
		return hub.registry.PullReplica(now, to.node)
	}
	return hub.registry.Pull(now, to.node)
}

func (hub *hub) sendHeartbeat(now time.Time, to *session) {
	epoch, sent := hub.registry.PositionReplica(to.node)
	to.send(&pb.Reply{Beat: &pb.Beat{
		Epoch:   uint64(epoch),
		Sent:    uint64(sent),
		Domains: encodeDomains(hub.tracker.Summary(now)),
		Flows:   encodeFlows(hub.usage.Sums(now)),
	}})
}

// storeReports keeps reports for nodes and replicas that connect later.
func (hub *hub) storeReports(now time.Time, reports []quarantine.Report) {
	for _, report := range reports {
		hub.reports = append(hub.reports, storedReport{report: report, receivedAt: now})
	}
	if excess := len(hub.reports) - maxStoredReports; excess > 0 {
		hub.reports = append([]storedReport(nil), hub.reports[excess:]...)
	}
}

func (hub *hub) recentReports(now time.Time) []*pb.Report {
	var reports []quarantine.Report
	for _, stored := range hub.reports {
		if now.Sub(stored.receivedAt) < reportRetention {
			report := stored.report
			report.Age += now.Sub(stored.receivedAt)
			reports = append(reports, report)
		}
	}
	return encodeReports(reports)
}
