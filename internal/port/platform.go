package port

import (
	"context"
	"net/http"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Platform adapts the protocol of a platform that runs hosts. It translates, and
// makes no decisions.
type Platform interface {
	// Dialect is the protocol of callers and targets on the platform.
	Dialect() web.Dialect
	// Control serves announcements of the local target, and configuration requests
	// of operators on a host with a replica. Either argument may be nil.
	Control(targets TargetAnnouncements, documents ConfigurationStore) http.Handler
	// Ready serves the check whether callers may send requests to this host.
	Ready(ready func() bool) http.Handler
}

// TargetAnnouncements receives the announcements of the local target.
type TargetAnnouncements interface {
	// Announce returns when the announcement is in effect at this node.
	Announce(ctx context.Context, announcement presence.Announcement) presence.Verdict
	// Withdraw records that a target instance has ended.
	Withdraw(ctx context.Context, instance request.InstanceID)
}

// ConfigurationStore reads and replaces the whole configuration.
type ConfigurationStore interface {
	// Replace replaces the configuration, if the replacement builds on the newest
	// one. A repetition of an accepted replacement is accepted again. Its errors wrap
	// [ErrUnavailable], if nothing was recorded and nothing will be, or [ErrInDoubt].
	Replace(ctx context.Context, replacement Replacement) (ReplaceOutcome, error)
	// Newest gives the newest accepted configuration, by a quorum read, or nil if
	// there is none yet. Its error wraps [ErrUnavailable].
	Newest(ctx context.Context) (*configuration.Document, error)
}

// Replacement is a whole new configuration.
type Replacement struct {
	// ID identifies the replacement; repetitions have the same ID.
	ID string
	// Base is the label of the version that the replacement builds on.
	Base     configuration.Label
	Operator string
	Document *configuration.Document
}

// ReplaceState is the result of a replacement.
type ReplaceState uint8

// The results of a replacement.
const (
	// Replaced means that the document is, or was, the newest version.
	Replaced ReplaceState = iota
	// Stale means that the replacement builds on a version that is not the newest.
	Stale
	// Faulty means that the document is invalid.
	Faulty
)

// ReplaceOutcome is the result of a replacement, with its reasons.
type ReplaceOutcome struct {
	State ReplaceState
	// Newest is the label of the newest version when the result was decided.
	Newest configuration.Label
	Faults []string
}
