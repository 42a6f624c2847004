package host

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/registry"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quota"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	reconcileInterval    = time.Second
	ageInterval          = 5 * time.Second
	quorumTimeout        = 900 * time.Millisecond
	confirmationLifetime = 2 * time.Second
	// quorumLossTimeout is how long no quorum read may have succeeded before nodes are sent
	// to other replicas. It is more than a read that is due each reconcileInterval takes,
	// and leaves time for the move within the seconds in which a version must be in force.
	quorumLossTimeout = 1500 * time.Millisecond
	initialPatchID    = "initial-configuration"
	// maxVersionSteps bounds the versions that are published one by one; further
	// behind, only the latest is published.
	maxVersionSteps = 16
)

// reconciler brings the registry up to date with the log. It publishes each
// version and follows changes of the members; on the leader it also advances the
// ledger's age and records the initial configuration.
type reconciler struct {
	plane            *controlPlane
	publishedVersion configuration.Version
	publishedText    []byte
	// confirmedAt is when the last successful quorum read began. It keeps its monotonic
	// reading, so that a step of the clock does not prolong a confirmation.
	confirmedAt atomic.Pointer[time.Time]
	advancedAt  time.Time
	members     []registry.Replica
	// memberCount and silentCount are the numbers of members and of those without a recent
	// heartbeat.
	memberCount, silentCount atomic.Int64
}

// confirmed reports whether a recent quorum read showed that the version
// published here is the newest accepted one.
func (reconciler *reconciler) confirmed() bool {
	at := reconciler.confirmedAt.Load()
	return at != nil && time.Since(*at) < confirmationLifetime
}

// standing returns what this replica knows of its place in the group.
func (reconciler *reconciler) standing() quota.Standing {
	since := reconciler.plane.host.startedAt
	if at := reconciler.confirmedAt.Load(); at != nil {
		since = *at
	}
	return quota.Standing{
		SinceConfirmed: time.Since(since),
		Members:        int(reconciler.memberCount.Load()),
		Silent:         int(reconciler.silentCount.Load()),
	}
}

// quorumLost reports whether no quorum read has succeeded for quorumLossTimeout, counted
// from the start of the process at the earliest.
func (reconciler *reconciler) quorumLost() bool {
	since := reconciler.plane.host.startedAt
	if at := reconciler.confirmedAt.Load(); at != nil {
		since = *at
	}
	return time.Since(since) > quorumLossTimeout
}

func (reconciler *reconciler) run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		reconciler.reconcile(ctx)
		select {
		case <-ticker.C:
		case <-reconciler.plane.machine.changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (reconciler *reconciler) reconcile(ctx context.Context) {
	reading, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	reconciler.syncMembers(reading)
	began := time.Now()
	if err := reconciler.publishLocal(ctx, reading); err != nil {
		return
	}
	committed := &pendingVersions{base: reconciler.publishedVersion, baseText: reconciler.publishedText}
	if err := reconciler.plane.Read(reading, committed.collect); err != nil {
		return
	}
	reconciler.publish(ctx, committed)
	reconciler.confirmedAt.Store(&began)
	reconciler.runLeaderTasks(ctx)
}

// publishLocal publishes what this replica has applied without asking the others, but not
// before a quorum has confirmed its state once since the start: until then it may be that of
// an old snapshot, or of a log that is still arriving, and a node without a version would
// put it in force.
func (reconciler *reconciler) publishLocal(ctx, reading context.Context) error {
	if reconciler.confirmedAt.Load() == nil {
		return nil
	}
	local := &pendingVersions{base: reconciler.publishedVersion, baseText: reconciler.publishedText}
	if err := reconciler.plane.Peek(reading, local.collect); err != nil {
		return err
	}
	reconciler.publish(ctx, local)
	return nil
}

// syncMembers copies the members of the group to the registry and the replica
// directory, if the group forms from its seeds.
func (reconciler *reconciler) syncMembers(ctx context.Context) {
	status, err := reconciler.plane.replica.Status(ctx)
	if err != nil {
		return
	}
	reconciler.plane.quotas.setShare(quotaShare(status))
	reconciler.countSilent(ctx, status)
	if !reconciler.plane.host.Settings.Replica.FormsFromSeeds {
		return
	}
	var members []registry.Replica
	var places []peer.ReplicaPlace
	for _, member := range status.Membership.Members {
		address, domain := peer.Address(member.Address), request.DomainName(member.FailureDomain)
		members = append(members, registry.Replica{ID: request.NodeID(member.Node), Address: address, Domain: domain})
		places = append(places, peer.ReplicaPlace{Address: address, Domain: domain})
	}
	if slices.Equal(members, reconciler.members) {
		return
	}
	if err := reconciler.plane.registry.SetMembers(ctx, members); err != nil {
		return
	}
	reconciler.members = members
	reconciler.plane.host.replicaDirectory.Learn(places)
}

// countSilent counts the members of the group, and those that this replica does not hear.
func (reconciler *reconciler) countSilent(ctx context.Context, status quorum.Status) {
	silent, err := reconciler.plane.registry.SilentReplicas(ctx)
	if err != nil {
		return
	}
	reconciler.memberCount.Store(int64(len(status.Membership.Members)))
	reconciler.silentCount.Store(int64(len(silent)))
}

// quotaShare is the part of each quota that a member grants: an equal one, and none before
// it is a member or after it was removed.
func quotaShare(status quorum.Status) float64 {
	if _, member := status.Membership.Find(status.ID); !member || status.Removed {
		return 0
	}
	return 1 / float64(len(status.Membership.Members))
}

// pendingVersions collects the versions after a base version.
type pendingVersions struct {
	base     configuration.Version
	baseText []byte
	versions []distribution.Version
}

// collect is called by the replica's goroutine and must be quick. It collects only the
// latest version, with its whole text, if there is no base text, or where nodes would get
// the whole text anyway: many versions behind, or after changes as large as the text.
func (pending *pendingVersions) collect(machine *ledger.Machine) {
	current, text := machine.CurrentVersion()
	if current <= pending.base {
		return
	}
	var texts [][]byte
	if pending.baseText != nil && current-pending.base <= maxVersionSteps {
		texts = machine.TextsAfter(pending.base, len(text))
	}
	if len(texts) == 0 {
		pending.versions = []distribution.Version{newVersion(current, nil, text)}
		return
	}
	number, before := pending.base, pending.baseText
	for _, text := range texts {
		number++
		pending.versions = append(pending.versions, newVersion(number, before, text))
		before = text
	}
}

func newVersion(number configuration.Version, before, text []byte) distribution.Version {
	version := distribution.Version{Number: number, Text: text}
	if before != nil {
		version.Patch = ledger.Delta(before, text)
	}
	return version
}

func (reconciler *reconciler) publish(ctx context.Context, found *pendingVersions) {
	if count := len(found.versions); count > 0 {
		reconciler.applyQuotas(found.versions[count-1])
	}
	for _, version := range found.versions {
		if err := reconciler.plane.registry.Publish(ctx, version); err != nil && !alreadyPublished(err, version) {
			if ctx.Err() == nil {
				reconciler.plane.host.Logger.Error().Err(err).Msg("configuration: version was not published to nodes")
			}
			return
		}
		reconciler.publishedVersion, reconciler.publishedText = version.Number, version.Text
	}
}

// applyQuotas takes over the quotas of a version before nodes are told of it: they ask for
// tokens of a new customer as soon as they know its key.
func (reconciler *reconciler) applyQuotas(newest distribution.Version) {
	document, err := configuration.Parse(newest.Text)
	if err != nil {
		reconciler.plane.host.Logger.Error().Err(err).Msg("quota: the newest version cannot be read; the quotas of the one before stay in force")
		return
	}
	reconciler.plane.quotas.setLimits(document)
}

// alreadyPublished reports whether a version was refused because it, or a newer
// one, is published.
func alreadyPublished(err error, version distribution.Version) bool {
	order := &distribution.OrderError{}
	return errors.As(err, &order) && order.Newest >= version.Number
}

// runLeaderTasks does the work that only the leader does.
func (reconciler *reconciler) runLeaderTasks(ctx context.Context) {
	status, err := reconciler.plane.replica.Status(ctx)
	if err != nil || status.Role != quorum.Leader {
		reconciler.advancedAt = time.Time{}
		return
	}
	if reconciler.publishedVersion == 0 {
		reconciler.recordInitialVersion(ctx)
	}
	reconciler.advanceAge(ctx)
}

// advanceAge proposes to advance the ledger's age by the time that passed on this
// leader's monotonic clock. Time before the leader's first call does not count.
func (reconciler *reconciler) advanceAge(ctx context.Context) {
	now := time.Now()
	if reconciler.advancedAt.IsZero() {
		reconciler.advancedAt = now
		return
	}
	elapsed := now.Sub(reconciler.advancedAt)
	if elapsed < ageInterval {
		return
	}
	reconciler.advancedAt = now
	var age ledger.Age
	if err := reconciler.plane.Peek(ctx, func(machine *ledger.Machine) { age = machine.Age() }); err != nil {
		return
	}
	proposing, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	_, _ = reconciler.plane.Propose(proposing, ledger.AdvanceCommand{From: age, Elapsed: elapsed}.Encode())
}

// recordInitialVersion proposes the configuration in the settings' file as the
// first version. An invalid text is not proposed, since the outcome of a patch id
// is final.
func (reconciler *reconciler) recordInitialVersion(ctx context.Context) {
	if reconciler.plane.host.Settings.Replica.InitialConfiguration == "" {
		return
	}
	text, err := os.ReadFile(reconciler.plane.host.Settings.Replica.InitialConfiguration)
	if err == nil {
		_, err = configuration.Parse(text)
	}
	if err == nil {
		err = reconciler.proposeInitialVersion(ctx, text)
	}
	if err != nil {
		reconciler.plane.host.Logger.Error().Err(err).Msg("configuration: the first version was not recorded; correct the initial-configuration file on this host, it is read again")
	}
}

func (reconciler *reconciler) proposeInitialVersion(ctx context.Context, text []byte) error {
	var command []byte
	var prepareErr error
	err := reconciler.plane.Peek(ctx, func(machine *ledger.Machine) {
		command, prepareErr = machine.Prepare(ledger.Submission{
			ID:       initialPatchID,
			Operator: string(reconciler.plane.host.Settings.Node),
			Note:     "first configuration",
			Text:     text,
			At:       time.Now(),
		})
	})
	if err := errors.Join(err, prepareErr); err != nil {
		return err
	}
	proposing, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	_, err = reconciler.plane.Propose(proposing, command)
	return err
}
