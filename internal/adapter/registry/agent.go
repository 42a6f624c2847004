package registry

import (
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

// Events are what a node is told; a nil function is not called. They are
// called by the one goroutine of Run, in order.
type Events struct {
	// Targets gets the whole list of a service that changed.
	Targets func(now time.Time, view balancer.View)
	// Configuration gets each version that is in force from now on.
	Configuration func(number configuration.Version, text []byte)
	// Reports gets what other nodes report of crashing requests.
	Reports func(now time.Time, report quarantine.Report)
	// Problem gets what an operator should know of.
	Problem func(problem string, err error)
}

// behindTime is how long a replica may lack a version that is in force at a
// peer: a few rounds between regions, and well within the seconds in which a
// version must be in force everywhere.
const behindTime = 300 * time.Millisecond

// answerTime is how long a replica may leave a renewal unanswered before the
// node goes to the next one: several rounds between regions. A version must be
// in force everywhere within seconds, also while the node's replica is gone
// without a word.
const answerTime = 700 * time.Millisecond

// agent answers the messages of a replica for one node.
type agent struct {
	self     membership.Announcement
	view     *membership.View
	follower *distribution.Follower
	events   Events
	// links is nil where nothing is metered.
	links *balancer.Links
	// replicas learns which replicas there are.
	replicas *peer.Directory

	// granted is the end of the lease by this node's clock.
	granted  time.Time
	renewAt  time.Time
	retryAt  time.Time
	attached bool
	// askedAt is when the first renewal that is unanswered was sent.
	askedAt time.Time
	// coldSince is when the target became what it is.
	coldSince time.Time
	// behindSince is since when a peer is known to have a newer version.
	behindSince time.Time
	// pending holds reports that were made while no replica was in reach.
	pending []quarantine.Report
}

// connected gives what the node sends first on a new stream.
func (a *agent) connected(now time.Time) *pb.Request {
	a.attached = true
	a.askedAt = now
	a.retryAt = time.Time{}
	a.granted = now.Add(membership.DefaultLeaseTime)
	a.renewAt = now.Add(membership.DefaultRenewInterval)
	a.view.ResetPosition()
	reports := a.pending
	a.pending = nil
	return &pb.Request{
		Reports:   encodeReports(reports),
		Announce:  encodeAnnouncement(a.self),
		Renew:     a.renewal(now),
		Subscribe: encodeSubscription(a.view.Subscription()),
	}
}

// change announces another state. A target that leaves is never announced as
// anything else again.
func (a *agent) change(now time.Time, state membership.State) *pb.Request {
	if a.self.State == membership.Draining || a.self.State == state {
		return nil
	}
	a.self.State = state
	a.coldSince = now
	return a.announce()
}

// present announces another service, number of slots or state of the target.
func (a *agent) present(now time.Time, service request.ServiceName, slots membership.Slots, state membership.State) *pb.Request {
	same := a.self.Service == service && a.self.Slots == slots && a.self.State == state
	if a.self.State == membership.Draining || same {
		return nil
	}
	if a.self.State != state {
		a.coldSince = now
	}
	a.self.Service, a.self.Slots, a.self.State = service, slots, state
	return a.announce()
}

// resize announces another number of slots.
func (a *agent) resize(slots membership.Slots) *pb.Request {
	if a.self.Slots == slots {
		return nil
	}
	a.self.Slots = slots
	return a.announce()
}

func (a *agent) announce() *pb.Request {
	a.self.Sequence++
	return &pb.Request{Announce: encodeAnnouncement(a.self)}
}

// warm announces a cold target as ready once it had time to warm up.
func (a *agent) warm(now time.Time) *pb.Request {
	if a.self.State != membership.Cold {
		return nil
	}
	if a.coldSince.IsZero() {
		a.coldSince = now
	}
	if now.Sub(a.coldSince) < balancer.DefaultWarmupTime {
		return nil
	}
	return a.change(now, membership.Ready)
}

// report gives reports to the replica, or holds them until one is in reach.
func (a *agent) report(reports []quarantine.Report) *pb.Request {
	if a.attached {
		return &pb.Request{Reports: encodeReports(reports)}
	}
	a.pending = append(a.pending, reports...)
	a.pending = a.pending[max(0, len(a.pending)-reportsKept):]
	return nil
}

// tick renews the lease. It is called several times a second.
func (a *agent) tick(now time.Time) *pb.Request {
	a.enforced(a.follower.Tick(now))
	warmed := a.warm(now)
	if !a.attached {
		return nil
	}
	if warmed != nil {
		return warmed
	}
	if !a.retryAt.IsZero() {
		return a.retry(now)
	}
	if now.Before(a.renewAt) {
		return nil
	}
	a.renewAt = now.Add(membership.DefaultRenewInterval)
	if a.askedAt.IsZero() {
		a.askedAt = now
	}
	return &pb.Request{Renew: a.renewal(now)}
}

// retry registers again once the replica is ready for it.
func (a *agent) retry(now time.Time) *pb.Request {
	if now.Before(a.retryAt) {
		return nil
	}
	a.retryAt = time.Time{}
	a.renewAt = now.Add(membership.DefaultRenewInterval)
	return &pb.Request{Announce: encodeAnnouncement(a.self)}
}

// silent says whether the replica has let the lease run out, or a renewal
// unanswered for too long.
func (a *agent) silent(now time.Time) bool {
	unanswered := !a.askedAt.IsZero() && now.Sub(a.askedAt) > answerTime
	return a.attached && (unanswered || now.After(a.granted))
}

// outdated says whether the replica has long not given a version that a peer
// has in force.
func (a *agent) outdated(now time.Time) bool {
	if !a.attached || !a.follower.Behind() {
		a.behindSince = now
		return false
	}
	return now.Sub(a.behindSince) >= behindTime
}

// receive takes in a message of the replica and gives the answer, if any.
func (a *agent) receive(now time.Time, reply *pb.Reply) *pb.Request {
	a.askedAt = time.Time{}
	answer := &pb.Request{}
	for _, report := range decodeReports(reply.GetReports()) {
		if a.events.Reports != nil {
			a.events.Reports(now, report)
		}
	}
	for _, flow := range decodeFlows(reply.GetOthers()) {
		a.links.SetOthersRate(now, flow.To, flow.Rate)
	}
	if places := decodePlaces(reply.GetReplicas()); len(places) > 0 && a.replicas != nil {
		a.replicas.Learn(places)
	}
	resync := a.updates(now, reply.GetUpdates())
	if reply.GetLease() != nil {
		resync = a.lease(now, decodeLease(reply.GetLease()), answer) || resync
	}
	if reply.GetVersion() != nil {
		a.version(now, decodeVersion(reply.GetVersion()), answer)
	}
	if resync {
		answer.Subscribe = encodeSubscription(a.view.Subscription())
	}
	if answer.Announce == nil && answer.Renew == nil && answer.Subscribe == nil {
		return nil
	}
	return answer
}

func (a *agent) updates(now time.Time, messages []*pb.Update) bool {
	resync := false
	for _, message := range messages {
		changed, again := a.view.Apply(now, decodeUpdate(message))
		resync = resync || again
		for _, service := range changed {
			a.tell(now, service)
		}
	}
	return resync
}

func (a *agent) tell(now time.Time, service request.ServiceName) {
	if a.events.Targets != nil {
		a.events.Targets(now, balancer.View{Service: service, Targets: targetsOf(a.view.Records(service))})
	}
}

func (a *agent) lease(now time.Time, lease membership.Lease, answer *pb.Request) bool {
	switch {
	case lease.Duration > 0:
		a.granted = now.Add(lease.Duration)
		return a.view.Check(lease)
	case lease.RegisterAgain && !a.retryAt.IsZero():
		return false
	case lease.RegisterAgain:
		a.rise(lease)
		answer.Announce = encodeAnnouncement(a.self)
	default:
		a.granted = now.Add(membership.DefaultLeaseTime + lease.RetryAfter)
		a.retryAt = now.Add(lease.RetryAfter)
	}
	return false
}

// rise puts the announcement above what the replica knows.
func (a *agent) rise(lease membership.Lease) {
	a.self.Incarnation = max(a.self.Incarnation, lease.MinIncarnation)
	a.self.Sequence = max(a.self.Sequence, lease.AboveSequence) + 1
}

func (a *agent) version(now time.Time, update distribution.Update, answer *pb.Request) {
	result := a.follower.Apply(now, update)
	a.enforced(result)
	if result.NeedsWholeText {
		answer.Renew = &pb.Renewal{Incarnation: uint64(a.self.Incarnation), Sequence: uint64(a.self.Sequence)}
		return
	}
	answer.Renew = a.renewal(now)
}

func (a *agent) enforced(result distribution.ApplyResult) {
	held := a.follower.Current()
	if result.Changed && a.events.Configuration != nil {
		a.events.Configuration(held.Number, a.follower.Text())
	}
	if a.events.Problem == nil {
		return
	}
	if result.Conflict {
		a.events.Problem("a replica has another text under the version in force", nil)
	}
	if result.Unusable != nil {
		a.events.Problem("a newer version cannot be used", result.Unusable)
	}
}

func (a *agent) renewal(now time.Time) *pb.Renewal {
	held := a.follower.Current()
	return &pb.Renewal{
		Incarnation:   uint64(a.self.Incarnation),
		Sequence:      uint64(a.self.Sequence),
		Version:       uint64(held.Number),
		VersionDigest: uint64(held.Digest),
		Flows:         encodeFlows(a.links.Flows(now, a.self.Place.Region)),
	}
}

func targetsOf(records []membership.Record) []balancer.Target {
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
			State:       stateOf(record.State),
		})
	}
	return targets
}

func stateOf(state membership.State) balancer.State {
	switch state {
	case membership.Cold:
		return balancer.Cold
	case membership.Draining:
		return balancer.Draining
	}
	return balancer.Ready
}
