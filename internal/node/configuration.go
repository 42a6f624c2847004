package node

import (
	"sync/atomic"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Active is the configuration in force at a node, compiled for matching.
type Active struct {
	Version        configuration.Version
	Text           []byte
	Document       *configuration.Document
	Matcher        *configuration.Matcher
	RetryAllowance retry.Allowance
	// UpperHalf is the lowest importance of the upper half of all importances. Retries
	// of calls without a route, and repeatable calls over a full link, need at least
	// this importance.
	UpperHalf request.Importance
}

// Unconfigured gives what a node uses until its first configuration version arrives:
// no services and default limits.
func Unconfigured() *Active {
	document := &configuration.Document{}
	document.Limits.SetDefaults()
	return &Active{Document: document, Matcher: configuration.Compile(document)}
}

// NewActive parses and compiles the text of a configuration that was checked before.
func NewActive(version configuration.Version, text []byte) (*Active, error) {
	document, err := configuration.Parse(text)
	if err != nil {
		return nil, err
	}
	return &Active{
		Version:        version,
		Text:           text,
		Document:       document,
		Matcher:        configuration.Compile(document),
		RetryAllowance: retry.Allowance(document.Retry.AllowancePerRoot),
		UpperHalf:      request.Importance(len(document.Importances) / 2),
	}, nil
}

// Holder holds the configuration in force. Replace accepts only a newer version. All
// methods may be called concurrently.
type Holder struct {
	current atomic.Pointer[Active]
}

// NewHolder returns a holder of the given configuration.
func NewHolder(first *Active) *Holder {
	holder := &Holder{}
	holder.current.Store(first)
	return holder
}

// Current returns the configuration in force.
func (holder *Holder) Current() *Active {
	return holder.current.Load()
}

// Replace puts a newer version in force. It returns false when the current version is
// the same or newer.
func (holder *Holder) Replace(next *Active) bool {
	for {
		current := holder.current.Load()
		if current != nil && current.Version >= next.Version {
			return false
		}
		if holder.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
