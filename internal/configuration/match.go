package configuration

import (
	"strings"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// CompiledKind holds the terms of a call, with the names of the document resolved
// to their values.
type CompiledKind struct {
	Name       request.KindName
	Service    request.ServiceName
	Importance request.Importance
	Repeat     request.RepeatRule
	Deadline   time.Duration
	Retries    int
	BodyLimit  Bytes
	// Objective is the latency objective: the time within which an answer has its
	// full value. Zero means none.
	Objective time.Duration
	// Routed tells whether the call matched a route rather than a kind of a
	// service.
	Routed bool
	// Unkeyed tells whether calls that may not be repeated carry no idempotency
	// key.
	Unkeyed bool
	// Public tells whether calls need no customer key.
	Public bool
}

// Matcher finds the kind or the route of a request. It does not change after
// [Compile], so goroutines may share it, and a match does not allocate.
type Matcher struct {
	services map[request.ServiceName]map[matchKey][]matchEntry
	kinds    map[request.KindName]*CompiledKind
	routes   routeTable

	customers customerTable
}

// matchKey groups path patterns by what a request must share with all of them:
// the method and the number of path segments.
type matchKey struct {
	method   string
	segments int
}

type matchEntry struct {
	pattern pathPattern
	kind    *CompiledKind
}

// Compile builds the matcher of a document that [Parse] accepted.
func Compile(document *Document) *Matcher {
	matcher := &Matcher{
		services: make(map[request.ServiceName]map[matchKey][]matchEntry, len(document.Services)),
		kinds:    make(map[request.KindName]*CompiledKind),
	}
	ranks := make(map[string]request.Importance, len(document.Importances))
	for i, name := range document.Importances {
		ranks[name] = request.Importance(i)
	}
	matcher.routes = compileRoutes(document, ranks)
	matcher.customers = compileCustomers(document)
	for serviceName, service := range document.Services {
		entries := make(map[matchKey][]matchEntry)
		for _, kindName := range sortedKeys(service.Kinds) {
			kind := service.Kinds[kindName]
			compiled := compileKind(serviceName, kindName, kind, ranks)
			matcher.kinds[compiled.Name] = compiled
			pattern, err := parsePathPattern(kind.Path)
			if err != nil {
				continue
			}
			key := matchKey{kind.Method, len(pattern)}
			entries[key] = append(entries[key], matchEntry{pattern, compiled})
		}
		matcher.services[serviceName] = entries
	}
	return matcher
}

func compileKind(service request.ServiceName, name string, kind Kind, ranks map[string]request.Importance) *CompiledKind {
	compiled := &CompiledKind{
		Name:       request.KindName(string(service) + "/" + name),
		Service:    service,
		Importance: ranks[kind.Importance],
		Deadline:   time.Duration(kind.Deadline),
		Retries:    kind.Retries,
		BodyLimit:  kind.BodyLimit,
		Public:     kind.Public,
	}
	if kind.Repeat == onceRule {
		compiled.Repeat = request.Once
	}
	return compiled
}

// Match returns the full name and the kind of a request, given its service, its
// method and its path without the query, or false if no kind matches.
func (matcher *Matcher) Match(service request.ServiceName, method, path string) (request.KindName, *CompiledKind, bool) {
	entries := matcher.services[service][matchKey{method, strings.Count(path, "/")}]
	for i := range entries {
		if entries[i].pattern.matches(path) {
			return entries[i].kind.Name, entries[i].kind, true
		}
	}
	return "", nil, false
}

// HasService reports whether the configuration describes the service.
func (matcher *Matcher) HasService(service request.ServiceName) bool {
	_, ok := matcher.services[service]
	return ok
}

// Kind returns a kind by its full name, such as "subsidios/file".
func (matcher *Matcher) Kind(name request.KindName) (*CompiledKind, bool) {
	kind, ok := matcher.kinds[name]
	return kind, ok
}
