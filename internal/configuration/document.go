// Package configuration defines the document that operators patch: the services
// of a user, the kinds of request that each one serves, the importance of a kind,
// and the retry and repeat rules of its calls.
//
// The text is JSON with comments. [Parse] reads and checks the whole of it and
// reports every fault with its line and field; a document with a fault is
// rejected. [Compile] builds a [Matcher], which finds the kind or the route of a
// request. [Patch] applies an RFC 6902 patch to the text and keeps its comments.
//
// The functions are safe for concurrent use. A [Matcher] does not change after
// [Compile] and may be shared between goroutines.
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

// Version is the number of an accepted configuration, counted from one.
type Version uint64

// Label is a number that the operators give a version and increase with each
// one. Zero means no label.
type Label uint64

// Bytes is a size in bytes, whose JSON form is a number or a string such as
// "32MiB".
type Bytes int64

// Duration is a time.Duration whose JSON form is a string such as "250ms".
type Duration time.Duration

// Document is the whole configuration of one user.
type Document struct {
	// Label is the operators' number for this version.
	Label Label `json:"label"`
	// BaseLabel is the label of the version that this one was derived from.
	BaseLabel Label `json:"base-label"`
	// Importances lists the names of the importance levels, least important first.
	Importances []string                        `json:"importances"`
	Retry       Retry                           `json:"retry"`
	Claims      Claims                          `json:"claims"`
	Quarantine  Quarantine                      `json:"quarantine"`
	Links       Links                           `json:"links"`
	Services    map[request.ServiceName]Service `json:"services"`
	// Routes match calls by host and path prefix. Calls to hosts without a route
	// are matched against the kinds of the services.
	Routes map[string]Route `json:"routes"`
	Limits Limits           `json:"limits"`
	// Customers holds the customers by name. Without any, calls need no key.
	Customers map[request.CustomerName]Customer `json:"customers,omitzero"`
}

// Retry bounds the retries caused by one root request and those from a caller to
// a service.
type Retry struct {
	// AllowancePerRoot is the most retries in the whole call tree of one root
	// request.
	AllowancePerRoot int `json:"allowance-per-root"`
	// EdgeShare is the largest ratio of retries to successes on one edge of the
	// call graph, from a caller to a service.
	EdgeShare float64 `json:"edge-share"`
}

// Claims bounds the records of requests that may run at most once.
type Claims struct {
	// Retention is how long the answer of an action is kept, so that resends of
	// the request get it.
	Retention Duration `json:"retention"`
	// RecordRetention is how long the record that the action ran is kept. It is
	// at least Retention.
	RecordRetention Duration `json:"record-retention"`
	// KeptAnswer is the size of the largest answer that is kept.
	KeptAnswer Bytes `json:"kept-answer"`
}

// Quarantine configures the refusal of requests that crash targets.
type Quarantine struct {
	// Hold is how long such a request is refused.
	Hold Duration `json:"hold"`
}

// Links describes the network links between regions.
type Links struct {
	// BytesPerSecond is the bandwidth of one link in each direction.
	BytesPerSecond Bytes `json:"bytes-per-second"`
	// ShareForUnimportant is the share of the bandwidth, from 0 to 1, that calls
	// of the lower half of the importances may use.
	ShareForUnimportant float64 `json:"share-for-unimportant"`
}

// Service is one service of the call graph.
type Service struct {
	// Slots is how many requests one instance processes at a time. Zero takes the
	// number that its targets announce.
	Slots int `json:"slots"`
	// Connections is how many connections one instance accepts.
	Connections int `json:"connections"`
	// Calls lists the services that this one calls.
	Calls []request.ServiceName `json:"calls,omitempty"`
	// Kinds holds the kinds of request by their short name. A service that is
	// reached through routes only has none.
	Kinds map[string]Kind `json:"kinds,omitempty"`
	// HealthPath is the path of the health check at each target.
	HealthPath string `json:"health-path"`
	// Protocol is the protocol of the targets; empty and "h1" mean HTTP/1.1, the
	// only one supported.
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
	// Retries is the most retries of one call of this kind; they count towards
	// the allowance of its root request too.
	Retries int `json:"retries"`
	// BodyLimit is the size of the largest body. The body of a kind that may not
	// be repeated is buffered in memory and hashed before the action starts.
	BodyLimit Bytes `json:"body-limit"`
	// Public calls need no customer key.
	Public bool `json:"public,omitempty"`
}
