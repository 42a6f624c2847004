// Package configuration is the one document that operators patch: the services
// of a user, the kinds of request that each serves, their importance, and the
// retry and repeat rules that every call follows.
//
// The text is JSON with comments. [Parse] reads it strictly and names every
// fault with its line and field; nothing is accepted in part.
//
// # Usage
//
//	document, err := configuration.Parse(text)
//	if err != nil {
//		return err
//	}
//	matcher := configuration.Compile(document)
//	name, kind, ok := matcher.Match("subsidios", "POST", "/requests")
package configuration

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Version numbers the accepted configurations, from one.
type Version uint64

// Label is the operators' own number of a version, which grows with each one.
// Zero is none.
type Label uint64

// Bytes is a size in bytes.
type Bytes int64

// Duration is a time.Duration that the document writes as text, as in "250ms".
type Duration time.Duration

// Document is the whole configuration of one user.
type Document struct {
	// Label is the operators' own number of this version.
	Label Label `json:"label"`
	// BaseLabel is the label of the version that this one was made from.
	BaseLabel Label `json:"base-label"`
	// Importances lists the names of the importances, least important first.
	Importances []string                        `json:"importances"`
	Retry       Retry                           `json:"retry"`
	Claims      Claims                          `json:"claims"`
	Quarantine  Quarantine                      `json:"quarantine"`
	Links       Links                           `json:"links"`
	Services    map[request.ServiceName]Service `json:"services"`
	// Routes match calls by host and path prefix; calls for other hosts are
	// matched by the kinds of the services.
	Routes map[string]Route `json:"routes"`
	Limits Limits           `json:"limits"`
}

// Retry bounds the retries behind one root request.
type Retry struct {
	// AllowancePerRoot is the number of retries in the whole tree of calls
	// below one root request.
	AllowancePerRoot int `json:"allowance-per-root"`
	// EdgeShare is the largest ratio of retries to successes between a caller
	// and a service.
	EdgeShare float64 `json:"edge-share"`
}

// Claims rules the records of requests that may not be repeated.
type Claims struct {
	// Retention is how long the answer of an action is kept for resends.
	Retention Duration `json:"retention"`
	// RecordRetention is how long it is kept that the action ran, at least as
	// long as its answer.
	RecordRetention Duration `json:"record-retention"`
	// KeptAnswer is the largest answer that is kept.
	KeptAnswer Bytes `json:"kept-answer"`
}

// Quarantine rules the refusal of requests that crash targets.
type Quarantine struct {
	// Hold is how long it is refused.
	Hold Duration `json:"hold"`
}

// Links describes the links between regions.
type Links struct {
	// BytesPerSecond is what one link carries each way.
	BytesPerSecond Bytes `json:"bytes-per-second"`
	// ShareForUnimportant is the share of the link that work of the lower half
	// of the importances may fill.
	ShareForUnimportant float64 `json:"share-for-unimportant"`
}

// Service is one service of the call graph.
type Service struct {
	// Slots is how many requests one instance works on at a time. Zero leaves
	// that to what its targets announce.
	Slots int `json:"slots"`
	// Connections is how many connections one instance takes.
	Connections int `json:"connections"`
	// Calls lists the services that this one calls.
	Calls []request.ServiceName `json:"calls,omitempty"`
	// Kinds lists the kinds of request by their short name. A service that
	// only routes lead to has none.
	Kinds map[string]Kind `json:"kinds,omitempty"`
	// HealthPath answers health checks at each target.
	HealthPath string `json:"health-path"`
	// Protocol is what the targets speak; empty and "h1" are HTTP/1.1.
	Protocol string `json:"protocol"`
	TLS      bool   `json:"tls"`
}

// Kind is one kind of request of a service.
type Kind struct {
	Method     string   `json:"method"`
	Path       string   `json:"path"`
	Importance string   `json:"importance"`
	Repeat     string   `json:"repeat"`
	Deadline   Duration `json:"deadline"`
	// Retries is how many retries one call of this kind may use, within the
	// allowance of its root request.
	Retries int `json:"retries"`
	// BodyLimit is the largest body; for a kind that may not be repeated the
	// body is held in memory and digested before the action starts.
	BodyLimit Bytes `json:"body-limit"`
}
