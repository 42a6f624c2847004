package node

import (
	"sync/atomic"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Active is the configuration in force at a node.
type Active struct {
	Version   configuration.Version
	Text      []byte
	Document  *configuration.Document
	Matcher   *configuration.Matcher
	Allowance retry.Allowance
	// Half is the lowest importance of the upper half.
	Half request.Importance
}

// Unconfigured is what is in force before the first version came.
func Unconfigured() *Active {
	document := &configuration.Document{}
	document.Limits.SetDefaults()
	return &Active{Document: document, Matcher: configuration.Compile(document)}
}

// NewActive compiles a checked configuration.
func NewActive(version configuration.Version, text []byte) (*Active, error) {
	document, err := configuration.Parse(text)
	if err != nil {
		return nil, err
	}
	return &Active{
		Version:   version,
		Text:      text,
		Document:  document,
		Matcher:   configuration.Compile(document),
		Allowance: retry.Allowance(document.Retry.AllowancePerRoot),
		Half:      request.Importance(len(document.Importances) / 2),
	}, nil
}

// Holder holds the configuration in force. A newer version replaces an older
// one, never the other way round.
type Holder struct {
	current atomic.Pointer[Active]
}

// NewHolder starts with a configuration.
func NewHolder(first *Active) *Holder {
	ho := &Holder{}
	ho.current.Store(first)
	return ho
}

// Current gives the configuration in force.
func (holder *Holder) Current() *Active {
	return holder.current.Load()
}

// Replace puts a newer version in force and tells whether it did.
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
