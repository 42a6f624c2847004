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
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	keepInterval    = time.Second
	advanceInterval = 5 * time.Second
	readTimeout     = 900 * time.Millisecond
	confirmedFor    = 2 * time.Second
	firstPatch      = "initial-configuration"
	// mostSteps bounds the versions that are published one by one.
	mostSteps = 16
)

// keeper keeps what a replica gives to nodes up with the log: it publishes each
// version, moves the ledger's age on, and records the first configuration.
type keeper struct {
	seat        *seat
	published   configuration.Version
	text        []byte
	confirmedAt atomic.Int64
	advancedAt  time.Time
	members     []registry.Replica
}

// confirmed tells whether a quorum read has lately shown that the version
// published here is the newest accepted one.
func (ke *keeper) confirmed() bool {
	at := ke.confirmedAt.Load()
	return at != 0 && time.Since(time.Unix(0, at)) < confirmedFor
}

func (ke *keeper) run(ctx context.Context) error {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		ke.keep(ctx)
		select {
		case <-ticker.C:
		case <-ke.seat.machine.changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (ke *keeper) keep(ctx context.Context) {
	reading, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ke.followMembers(reading)
	began := time.Now()
	here := &fresh{after: ke.published, text: ke.text}
	if err := ke.seat.Peek(reading, here.collect); err != nil {
		return
	}
	ke.publish(ctx, here)
	agreed := &fresh{after: ke.published, text: ke.text}
	if err := ke.seat.Read(reading, agreed.collect); err != nil {
		return
	}
	ke.publish(ctx, agreed)
	ke.confirmedAt.Store(began.UnixNano())
	ke.lead(ctx)
}

// followMembers brings the registry and the directory of this process to the
// members of the log, where those change by themselves.
func (ke *keeper) followMembers(ctx context.Context) {
	if !ke.seat.host.Settings.Replica.FormsFromSeeds {
		return
	}
	status, err := ke.seat.replica.Status(ctx)
	if err != nil {
		return
	}
	var members []registry.Replica
	var places []peer.ReplicaPlace
	for _, member := range status.Membership.Members {
		address, domain := peer.Address(member.Address), request.DomainName(member.FailureDomain)
		members = append(members, registry.Replica{ID: request.NodeID(member.Node), Address: address, Domain: domain})
		places = append(places, peer.ReplicaPlace{Address: address, Domain: domain})
	}
	if slices.Equal(members, ke.members) {
		return
	}
	if err := ke.seat.registry.Follow(ctx, members); err != nil {
		return
	}
	ke.members = members
	ke.seat.host.replicas.Learn(places)
}

// fresh collects the versions after one, while the replica's goroutine runs.
type fresh struct {
	after    configuration.Version
	text     []byte
	versions []distribution.Version
}

// collect runs on the replica's goroutine, so it is quick: after a start, or a
// long time behind, nodes get the latest text whole in place of every step.
func (fr *fresh) collect(machine *ledger.Machine) {
	current, text := machine.CurrentVersion()
	if current <= fr.after {
		return
	}
	if fr.text == nil || current-fr.after > mostSteps {
		fr.versions = []distribution.Version{newVersion(current, nil, text)}
		return
	}
	before := fr.text
	for number := fr.after + 1; number < current; number++ {
		between, ok := machine.VersionText(number)
		if !ok {
			fr.versions = nil
			break
		}
		fr.versions = append(fr.versions, newVersion(number, before, between))
		before = between
	}
	fr.versions = append(fr.versions, newVersion(current, before, text))
}

func newVersion(number configuration.Version, before, text []byte) distribution.Version {
	version := distribution.Version{Number: number, Text: text}
	if before != nil {
		version.Patch = ledger.Delta(before, text)
	}
	return version
}

func (ke *keeper) publish(ctx context.Context, found *fresh) {
	for _, version := range found.versions {
		if err := ke.seat.registry.Publish(ctx, version); err != nil && !isPublished(err, version) {
			if ctx.Err() == nil {
				ke.seat.host.Logger.Error().Err(err).Msg("configuration: version was not published")
			}
			return
		}
		ke.published, ke.text = version.Number, version.Text
	}
}

// isPublished tells whether a version was refused since it, or a newer one, is
// published already.
func isPublished(err error, version distribution.Version) bool {
	order := &distribution.OrderError{}
	return errors.As(err, &order) && order.Newest >= version.Number
}

// lead does what one replica does for all: the leader.
func (ke *keeper) lead(ctx context.Context) {
	status, err := ke.seat.replica.Status(ctx)
	if err != nil || status.Role != quorum.Leader {
		ke.advancedAt = time.Time{}
		return
	}
	if ke.published == 0 {
		ke.begin(ctx)
	}
	ke.advance(ctx)
}

// advance moves the ledger's age on by this leader's monotonic clock. Time
// before its first look does not count.
func (ke *keeper) advance(ctx context.Context) {
	now := time.Now()
	if ke.advancedAt.IsZero() {
		ke.advancedAt = now
		return
	}
	elapsed := now.Sub(ke.advancedAt)
	if elapsed < advanceInterval {
		return
	}
	ke.advancedAt = now
	var age ledger.Age
	if err := ke.seat.Peek(ctx, func(machine *ledger.Machine) { age = machine.Age() }); err != nil {
		return
	}
	proposing, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, _ = ke.seat.Propose(proposing, ledger.AdvanceCommand{From: age, Elapsed: elapsed}.Encode())
}

// begin records the first version from its file. A faulty text is not proposed:
// its outcome would stand for good.
func (ke *keeper) begin(ctx context.Context) {
	if ke.seat.host.Settings.Replica.InitialConfiguration == "" {
		return
	}
	text, err := os.ReadFile(ke.seat.host.Settings.Replica.InitialConfiguration)
	if err == nil {
		_, err = configuration.Parse(text)
	}
	if err == nil {
		err = ke.propose(ctx, text)
	}
	if err != nil {
		ke.seat.host.Logger.Error().Err(err).Msg("configuration: the first version was not recorded, correct its file here, it is read again")
	}
}

func (ke *keeper) propose(ctx context.Context, text []byte) error {
	var command []byte
	var prepareErr error
	err := ke.seat.Peek(ctx, func(machine *ledger.Machine) {
		command, prepareErr = machine.Prepare(ledger.Submission{
			ID:       firstPatch,
			Operator: string(ke.seat.host.Settings.Node),
			Note:     "first configuration",
			Text:     text,
			At:       time.Now(),
		})
	})
	if err := errors.Join(err, prepareErr); err != nil {
		return err
	}
	proposing, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err = ke.seat.Propose(proposing, command)
	return err
}
