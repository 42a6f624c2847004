package configuration

import (
	"strings"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// CompiledKind is a kind with its words resolved.
type CompiledKind struct {
	Name       request.KindName
	Service    request.ServiceName
	Importance request.Importance
	Repeat     request.RepeatRule
	Deadline   time.Duration
	Retries    int
	BodyLimit  Bytes
	// Objective is the time within which an answer is worth most, or zero.
	Objective time.Duration
	// Routed says that a route matched the call, and no kind of a service.
	Routed bool
	// Unkeyed says that calls that may not be repeated carry no key.
	Unkeyed bool
}

// Matcher finds the kind of a request. It is read only after [Compile], and a
// match allocates nothing.
type Matcher struct {
	services map[request.ServiceName]map[shape][]matchEntry
	kinds    map[request.KindName]*CompiledKind
	routes   routeTable
}

// shape is what a request and the patterns that can match it have in common.
type shape struct {
	method   string
	segments int
}

type matchEntry struct {
	pattern pattern
	kind    *CompiledKind
}

// Compile builds the matcher of a checked document.
func Compile(document *Document) *Matcher {
	matcher := &Matcher{
		services: make(map[request.ServiceName]map[shape][]matchEntry, len(document.Services)),
		kinds:    make(map[request.KindName]*CompiledKind),
	}
	ranks := make(map[string]request.Importance, len(document.Importances))
	for i, name := range document.Importances {
		ranks[name] = request.Importance(i)
	}
	matcher.routes = compileRoutes(document, ranks)
	for serviceName, service := range document.Services {
		entries := make(map[shape][]matchEntry)
		for _, kindName := range sortedNames(service.Kinds) {
			kind := service.Kinds[kindName]
			compiled := compileKind(serviceName, kindName, kind, ranks)
			matcher.kinds[compiled.Name] = compiled
			parts, err := parsePattern(kind.Path)
			if err != nil {
				continue
			}
			key := shape{kind.Method, len(parts)}
			entries[key] = append(entries[key], matchEntry{parts, compiled})
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
	}
	if kind.Repeat == onceName {
		compiled.Repeat = request.Once
	}
	return compiled
}

// Match gives the kind of a request by its service, method and path without
// the query, or false if there is none.
func (matcher *Matcher) Match(service request.ServiceName, method, path string) (request.KindName, *CompiledKind, bool) {
	entries := matcher.services[service][shape{method, strings.Count(path, "/")}]
	for i := range entries {
		if entries[i].pattern.matches(path) {
			return entries[i].kind.Name, entries[i].kind, true
		}
	}
	return "", nil, false
}

// HasService tells whether the configuration describes the service.
func (matcher *Matcher) HasService(service request.ServiceName) bool {
	_, ok := matcher.services[service]
	return ok
}

// Kind gives a kind by its full name, as in "subsidios/file".
func (matcher *Matcher) Kind(name request.KindName) (*CompiledKind, bool) {
	kind, ok := matcher.kinds[name]
	return kind, ok
}
