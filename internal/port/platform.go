package port

import (
	"context"
	"net/http"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Platform speaks the protocol of a platform that runs hosts. It translates and
// decides nothing.
type Platform interface {
	// Dialect is what callers and targets speak there.
	Dialect() web.Dialect
	// Control serves the announcements of the local target and, where this host
	// holds a replica, the operators. Either may be nil.
	Control(targets Targets, documents Documents) http.Handler
	// Ready answers whether callers may send work here.
	Ready(ready func() bool) http.Handler
}

// Targets takes what the local target says of itself.
type Targets interface {
	// Announce returns once the announcement is in force at this node.
	Announce(ctx context.Context, told presence.Announcement) presence.Verdict
	// Withdraw ends the life of a target.
	Withdraw(ctx context.Context, instance request.InstanceID)
}

// Documents reads and replaces the configuration as a whole.
type Documents interface {
	// Replace gives the configuration a new text. A resend of a replacement that
	// was accepted is accepted again. Its errors wrap [ErrUnavailable], when
	// nothing was recorded and nothing will be, or [ErrInDoubt].
	Replace(ctx context.Context, replacement Replacement) (ReplaceOutcome, error)
	// Newest gives the newest accepted configuration, by a read of a quorum; nil
	// is none yet. Its error wraps [ErrUnavailable].
	Newest(ctx context.Context) (*configuration.Document, error)
}

// Replacement is a whole new configuration.
type Replacement struct {
	// ID names the replacement and is the same for its resends.
	ID string
	// Base is the label of the version that it builds on.
	Base     configuration.Label
	Operator string
	Document *configuration.Document
}

// ReplaceState tells how a replacement ended.
type ReplaceState uint8

// The ends of a replacement.
const (
	// Replaced says that it is the newest version, or was.
	Replaced ReplaceState = iota
	// Stale says that it builds on another version than the newest.
	Stale
	// Faulty says that the new configuration has faults.
	Faulty
)

// ReplaceOutcome is how a replacement ended.
type ReplaceOutcome struct {
	State ReplaceState
	// Newest is the label of the newest version when it was decided.
	Newest configuration.Label
	Faults []string
}
