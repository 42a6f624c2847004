package registry

import (
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Events are the callbacks of a [Client]; nil callbacks are skipped. The
// goroutine of [Client.Run] calls them one at a time, in the order of events.
type Events struct {
	// Targets receives the whole target list of a service when it changes.
	Targets func(now time.Time, view balancer.View)
	// Configuration receives each version when it comes into force.
	Configuration func(number configuration.Version, text []byte)
	// Reports receives the reports of other nodes on requests that crash targets.
	Reports func(now time.Time, reports []quarantine.Report)
	// Confirmed receives the time up to which the node is known to have been offered all
	// versions of a replica with a quorum.
	Confirmed func(at time.Time)
	// Problem receives conditions that an operator should look into; err may be nil.
	Problem func(problem string, err error)
}

// maxVersionLag is how long a replica may fail to deliver a version that is in
// force at a peer before the node switches to another replica. It covers a few
// round trips between regions and is well below the seconds within which a
// version must be in force everywhere.
const maxVersionLag = 300 * time.Millisecond

// renewalTimeout is how long a replica may leave a renewal unanswered before the
// node switches to the next one: several round trips between regions. A version
// must be in force everywhere within seconds, even if the node's replica
// disappears without closing its connections.
const renewalTimeout = 700 * time.Millisecond

// reportRepeatTime is how long a report is sent again to a replica that the node moves to.
// The one before may have lost its quorum and not have passed it on.
const reportRepeatTime = 10 * time.Second

// agent is the protocol state of one node. It does no I/O: its methods return
// the request to send to the replica, or nil.
type agent struct {
	self     membership.Announcement
	view     *membership.View
	follower *distribution.Follower
	events   Events
	// links meters traffic between regions; nil disables metering.
	links *balancer.Links
	// restrictedTarget returns the restriction of the node's target; it may be nil.
	restrictedTarget func(now time.Time) *distribution.RestrictedTarget
	// replicas is updated with the replica addresses that the replica sends.
	replicas *peer.Directory

	// replicasChanged says that replicas has changed since the client last looked.
	replicasChanged bool

	// leaseEnd is when the lease expires, by this node's clock.
	leaseEnd   time.Time
	renewAt    time.Time
	registerAt time.Time
	attached   bool
	// replica is the one that the node is, or was last, registered with.
	replica peer.Address
	// quorumLost says that the replica has reported that it lacks a quorum.
	quorumLost bool
	// unansweredSince is when the first renewal after the last message of the replica
	// was sent; zero if there was none.
	unansweredSince time.Time
	// renewedAt is when the last renewal that was due was sent.
	renewedAt time.Time
	// coldSince is when the target entered its current state.
	coldSince time.Time
	// behindSince is when the node was last known not to be behind a version in force
	// at a peer, or when it registered with its replica if that is later.
	behindSince time.Time
	// reports holds those that were made while no replica was connected, and those sent
	// within the last reportRepeatTime.
	reports []ownReport
}

// ownReport is a report of this node; sentAt is zero if no replica was connected.
type ownReport struct {
	report quarantine.Report
	madeAt time.Time
	sentAt time.Time
}

// attach returns the first request on a new stream to a replica.
func (agent *agent) attach(now time.Time, replica peer.Address) *pb.Request {
	agent.attached, agent.quorumLost = true, false
	// The replica before may have the same sequence without this one knowing, and the
	// end of its lease would then remove the record of this one.
	if agent.replica != "" && agent.replica != replica {
		agent.self.Sequence++
	}
	agent.replica = replica
	agent.unansweredSince, agent.renewedAt, agent.behindSince = now, now, now
	agent.registerAt = time.Time{}
	agent.leaseEnd = now.Add(membership.DefaultLeaseTime)
	agent.renewAt = now.Add(membership.DefaultRenewInterval)
	agent.view.ResetPosition()
	return &pb.Request{
		Reports:   encodeReports(agent.reportsToRepeat(now)),
		Announce:  encodeAnnouncement(agent.self),
		Renew:     agent.renewal(now),
		Subscribe: encodeSubscription(agent.view.Subscription()),
	}
}

// setState announces a new state of the target. Draining is final: later changes
// are ignored.
func (agent *agent) setState(now time.Time, state membership.State) *pb.Request {
	if agent.self.State == membership.Draining || agent.self.State == state {
		return nil
	}
	agent.self.State = state
	agent.coldSince = now
	return agent.announce()
}

// setTarget announces a new service, number of slots or state of the target.
// Draining is final: later changes are ignored.
func (agent *agent) setTarget(now time.Time, service request.ServiceName, slots membership.Slots, state membership.State) *pb.Request {
	same := agent.self.Service == service && agent.self.Slots == slots && agent.self.State == state
	if agent.self.State == membership.Draining || same {
		return nil
	}
	if agent.self.State != state {
		agent.coldSince = now
	}
	agent.self.Service, agent.self.Slots, agent.self.State = service, slots, state
	return agent.announce()
}

// setSlots announces a new number of slots.
func (agent *agent) setSlots(slots membership.Slots) *pb.Request {
	if agent.self.Slots == slots {
		return nil
	}
	agent.self.Slots = slots
	return agent.announce()
}

func (agent *agent) announce() *pb.Request {
	agent.self.Sequence++
	return &pb.Request{Announce: encodeAnnouncement(agent.self)}
}

// finishWarmUp announces a cold target as ready after [balancer.DefaultWarmupTime].
func (agent *agent) finishWarmUp(now time.Time) *pb.Request {
	if agent.self.State != membership.Cold {
		return nil
	}
	if agent.coldSince.IsZero() {
		agent.coldSince = now
	}
	if now.Sub(agent.coldSince) < balancer.DefaultWarmupTime {
		return nil
	}
	return agent.setState(now, membership.Ready)
}

// report sends reports to the replica, or stores them until one is connected.
func (agent *agent) report(now time.Time, reports []quarantine.Report) *pb.Request {
	agent.dropOldReports(now)
	sentAt := time.Time{}
	if agent.attached {
		sentAt = now
	}
	for _, report := range reports {
		agent.reports = append(agent.reports, ownReport{report: report, madeAt: now, sentAt: sentAt})
	}
	agent.reports = agent.reports[max(0, len(agent.reports)-maxStoredReports):]
	if !agent.attached {
		return nil
	}
	return &pb.Request{Reports: encodeReports(reports)}
}

// reportsToRepeat returns the reports to send on a new stream, in the order in which they
// were made.
func (agent *agent) reportsToRepeat(now time.Time) []quarantine.Report {
	agent.dropOldReports(now)
	var reports []quarantine.Report
	for index := range agent.reports {
		if agent.reports[index].sentAt.IsZero() {
			agent.reports[index].sentAt = now
		}
		report := agent.reports[index].report
		report.Age += now.Sub(agent.reports[index].madeAt)
		reports = append(reports, report)
	}
	return reports
}

func (agent *agent) dropOldReports(now time.Time) {
	agent.reports = slices.DeleteFunc(agent.reports, func(own ownReport) bool {
		return !own.sentAt.IsZero() && now.Sub(own.sentAt) > reportRepeatTime
	})
}

// tick renews the lease when it is due. It is called every [TickInterval].
func (agent *agent) tick(now time.Time) *pb.Request {
	agent.notifyVersion(agent.follower.Tick(now))
	warmed := agent.finishWarmUp(now)
	if !agent.attached {
		return nil
	}
	if warmed != nil {
		return warmed
	}
	if !agent.registerAt.IsZero() {
		return agent.reregister(now)
	}
	if now.Before(agent.renewAt) {
		return nil
	}
	agent.renewAt = now.Add(membership.DefaultRenewInterval)
	agent.renewedAt = now
	if agent.unansweredSince.IsZero() {
		agent.unansweredSince = now
	}
	return &pb.Request{Renew: agent.renewal(now)}
}

// reregister registers again after the delay that the replica asked for.
func (agent *agent) reregister(now time.Time) *pb.Request {
	if now.Before(agent.registerAt) {
		return nil
	}
	agent.registerAt = time.Time{}
	agent.renewAt = now.Add(membership.DefaultRenewInterval)
	return &pb.Request{Announce: encodeAnnouncement(agent.self)}
}

// replicaUnresponsive reports whether the lease has expired or a renewal has
// been unanswered for more than renewalTimeout.
func (agent *agent) replicaUnresponsive(now time.Time) bool {
	unanswered := !agent.unansweredSince.IsZero() && now.Sub(agent.unansweredSince) > renewalTimeout
	return agent.attached && (unanswered || now.After(agent.leaseEnd))
}

// replicaOutdated reports whether the replica has failed for maxVersionLag to
// deliver a version that a peer has in force.
func (agent *agent) replicaOutdated(now time.Time) bool {
	if !agent.attached || !agent.follower.Behind() {
		agent.behindSince = now
		return false
	}
	return now.Sub(agent.behindSince) >= maxVersionLag
}

// receive handles a message of the replica and returns the response, or nil.
func (agent *agent) receive(now time.Time, reply *pb.Reply) *pb.Request {
	agent.unansweredSince = time.Time{}
	answer := &pb.Request{}
	if reports := decodeReports(reply.GetReports()); len(reports) > 0 && agent.events.Reports != nil {
		agent.events.Reports(now, reports)
	}
	for _, flow := range decodeFlows(reply.GetOthers()) {
		agent.links.SetOthersRate(now, flow.To, flow.Rate)
	}
	if reply.GetQuorum() != nil {
		agent.quorumLost = reply.GetQuorum().GetLost()
	}
	if places := decodePlaces(reply.GetReplicas()); len(places) > 0 && agent.replicas != nil {
		agent.replicasChanged = agent.replicas.Learn(places) || agent.replicasChanged
	}
	resync := agent.applyUpdates(now, reply.GetUpdates())
	if reply.GetLease() != nil {
		resync = agent.applyLease(now, decodeLease(reply.GetLease()), answer) || resync
	}
	if reply.GetVersion() != nil {
		agent.applyVersion(now, decodeVersion(reply.GetVersion()), answer)
	}
	if resync {
		answer.Subscribe = encodeSubscription(agent.view.Subscription())
	}
	if answer.Announce == nil && answer.Renew == nil && answer.Subscribe == nil {
		return nil
	}
	return answer
}

// applyUpdates applies updates and reports whether the node must subscribe again.
func (agent *agent) applyUpdates(now time.Time, messages []*pb.Update) bool {
	resync := false
	for _, message := range messages {
		changed, again := agent.view.Apply(now, decodeUpdate(message))
		resync = resync || again
		for _, service := range changed {
			agent.notifyTargets(now, service)
		}
	}
	return resync
}

func (agent *agent) notifyTargets(now time.Time, service request.ServiceName) {
	if agent.events.Targets != nil {
		agent.events.Targets(now, balancer.View{Service: service, Targets: choiceTargets(agent.view.Records(service))})
	}
}

// applyLease applies the answer to a registration or renewal. It reports whether
// the node must subscribe again, and adds a new announcement to answer if the
// replica asked for one.
func (agent *agent) applyLease(now time.Time, lease membership.Lease, answer *pb.Request) bool {
	switch {
	case lease.Duration > 0:
		agent.leaseEnd = now.Add(lease.Duration)
		if agent.events.Confirmed != nil && !agent.quorumLost {
			agent.events.Confirmed(agent.renewedAt)
		}
		return agent.view.Check(lease)
	case lease.RegisterAgain && !agent.registerAt.IsZero():
		return false
	case lease.RegisterAgain:
		agent.raiseSequence(lease)
		answer.Announce = encodeAnnouncement(agent.self)
	default:
		agent.leaseEnd = now.Add(membership.DefaultLeaseTime + lease.RetryAfter)
		agent.registerAt = now.Add(lease.RetryAfter)
	}
	return false
}

// raiseSequence raises the sequence number of the announcement above the one that
// the replica knows, and its incarnation at least to the known one.
func (agent *agent) raiseSequence(lease membership.Lease) {
	agent.self.Incarnation = max(agent.self.Incarnation, lease.MinIncarnation)
	agent.self.Sequence = max(agent.self.Sequence, lease.AboveSequence) + 1
}

func (agent *agent) applyVersion(now time.Time, update distribution.Update, answer *pb.Request) {
	result := agent.follower.Apply(now, update)
	agent.notifyVersion(result)
	if result.NeedsWholeText {
		answer.Renew = &pb.Renewal{Incarnation: uint64(agent.self.Incarnation), Sequence: uint64(agent.self.Sequence)}
		return
	}
	answer.Renew = agent.renewal(now)
}

func (agent *agent) notifyVersion(result distribution.ApplyResult) {
	held := agent.follower.Current()
	if result.Changed && agent.events.Configuration != nil {
		agent.events.Configuration(held.Number, agent.follower.Text())
	}
	if agent.events.Problem == nil {
		return
	}
	if result.Conflict {
		agent.events.Problem("a replica has a different text for the configuration version in force", nil)
	}
	if result.Unusable != nil {
		agent.events.Problem("a newer configuration version cannot be applied; the current one stays in force", result.Unusable)
	}
}

func (agent *agent) renewal(now time.Time) *pb.Renewal {
	held := agent.follower.Current()
	return &pb.Renewal{
		Incarnation:   uint64(agent.self.Incarnation),
		Sequence:      uint64(agent.self.Sequence),
		Version:       uint64(held.Number),
		VersionDigest: uint64(held.Digest),
		Flows:         encodeFlows(agent.links.Flows(now, agent.self.Place.Region)),
		Restricted:    encodeRestricted(agent.restricted(now)),
	}
}

// restricted returns the restriction of the node's target, or nil.
func (agent *agent) restricted(now time.Time) *distribution.RestrictedTarget {
	if agent.restrictedTarget == nil {
		return nil
	}
	return agent.restrictedTarget(now)
}

func choiceTargets(records []membership.Record) []balancer.Target {
	targets := make([]balancer.Target, 0, len(records))
	for _, record := range records {
		if record.State == membership.Down {
			continue
		}
		targets = append(targets, balancer.Target{
			Node:        record.Node,
			Incarnation: balancer.Incarnation(record.Incarnation),
			Address:     record.Address,
			Place:       record.Place,
			Slots:       balancer.Slots(record.Slots),
			State:       choiceState(record.State),
		})
	}
	return targets
}

func choiceState(state membership.State) balancer.State {
	switch state {
	case membership.Cold:
		return balancer.Cold
	case membership.Draining:
		return balancer.Draining
	}
	return balancer.Ready
}
