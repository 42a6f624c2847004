package node

import (
	"cmp"
	"sync/atomic"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/fairshare"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// ActiveConfiguration is the configuration in force at a node, compiled for matching.
type ActiveConfiguration struct {
	Version        configuration.Version
	Text           []byte
	Document       *configuration.Document
	Matcher        *configuration.Matcher
	RetryAllowance retry.Allowance
	// UpperHalf is the lowest importance of the upper half of all importances. Retries
	// of calls without a route, and repeatable calls over a full link, need at least
	// this importance.
	UpperHalf request.Importance

	// unlimitedWeight is the weight of customers without a quota.
	unlimitedWeight fairshare.Weight
}

// customerWeight is the weight of a customer among others: its quota, or else that of the
// customer with the largest one.
func (active *ActiveConfiguration) customerWeight(name request.CustomerName) fairshare.Weight {
	if name == "" {
		return 0
	}
	return cmp.Or(fairshare.Weight(active.Document.Customers[name].Rate), active.unlimitedWeight)
}

// largestWeight is the weight of the customer with the largest quota, or zero.
func largestWeight(document *configuration.Document) fairshare.Weight {
	largest := fairshare.Weight(0)
	for _, customer := range document.Customers {
		largest = max(largest, fairshare.Weight(customer.Rate))
	}
	return largest
}

// NoConfiguration returns the configuration that a node uses until its first version
// arrives: no services and default limits.
func NoConfiguration() *ActiveConfiguration {
	document := &configuration.Document{}
	document.Limits.SetDefaults()
	return &ActiveConfiguration{Document: document, Matcher: configuration.Compile(document)}
}

// NewActiveConfiguration parses and compiles the text of a configuration that was
// checked before.
func NewActiveConfiguration(version configuration.Version, text []byte) (*ActiveConfiguration, error) {
	document, err := configuration.Parse(text)
	if err != nil {
		return nil, err
	}
	return CompileConfiguration(version, text, document), nil
}

// CompileConfiguration compiles a configuration from its text and what was parsed from it.
func CompileConfiguration(version configuration.Version, text []byte, document *configuration.Document) *ActiveConfiguration {
	matcher := configuration.Compile(document)
	return &ActiveConfiguration{
		Version:        version,
		Text:           text,
		Document:       document,
		Matcher:        matcher,
		RetryAllowance: retry.Allowance(document.Retry.AllowancePerRoot),
		UpperHalf:      request.Importance(matcher.ImportanceLevels() / 2),

		unlimitedWeight: largestWeight(document),
	}
}

// ConfigurationHolder holds the configuration in force. Replace accepts only a newer
// version. All methods may be called concurrently.
type ConfigurationHolder struct {
	current atomic.Pointer[ActiveConfiguration]
}

// NewConfigurationHolder returns a holder of the given configuration.
func NewConfigurationHolder(first *ActiveConfiguration) *ConfigurationHolder {
	holder := &ConfigurationHolder{}
	holder.current.Store(first)
	return holder
}

// Current returns the configuration in force.
func (holder *ConfigurationHolder) Current() *ActiveConfiguration {
	return holder.current.Load()
}

// Replace puts a newer version in force. It returns false when the current version is
// the same or newer.
func (holder *ConfigurationHolder) Replace(next *ActiveConfiguration) bool {
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
