package configuration

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// The repeat rules of routes.
const (
	Repeatable = repeatableName
	// Unkeyed is for calls that run at most once and carry no idempotency key.
	Unkeyed = "unkeyed"
)

const (
	maxAttempts = 1_000
	// objectiveExcess is how much a latency objective may exceed its route's
	// timeout.
	objectiveExcess = time.Minute
	// goldenRatio spaces the draws of a split evenly, whatever its weights
	// (Kuipers and Niederreiter, "Uniform Distribution of Sequences", 1974).
	goldenRatio = 0.6180339887498949
)

// Route sends the calls for one host and path prefix to one or more services.
type Route struct {
	// Host is the Host header without its port; PathPrefix begins and ends with
	// a slash. Among the routes of a host the longest prefix counts.
	Host       string `json:"host"`
	PathPrefix string `json:"path-prefix"`
	Importance string `json:"importance"`
	// Repeat is "repeatable", or "unkeyed" for calls that may not be repeated
	// and carry no key.
	Repeat string `json:"repeat"`
	// Upload marks calls with large bodies.
	Upload bool `json:"upload"`
	// Timeout is the longest time that a call may take.
	Timeout Duration `json:"timeout"`
	// Objective is the time within which an answer is worth most.
	Objective Duration `json:"objective"`
	// Attempts is how many targets may be given one call.
	Attempts int     `json:"attempts"`
	Services []Share `json:"services"`
	// Split says that the services were given with weights, be it only one.
	Split bool `json:"split"`
}

// Share is a service's part of the calls of a route.
type Share struct {
	Service request.ServiceName `json:"service"`
	Weight  float64             `json:"weight"`
}

// Limits bounds what callers send.
type Limits struct {
	MaxHeader     Bytes    `json:"max-header"`
	MaxBody       Bytes    `json:"max-body"`
	HeaderTimeout Duration `json:"header-timeout"`
	IdleTimeout   Duration `json:"idle-timeout"`
}

// SetDefaults sets what a document need not give.
func (limits *Limits) SetDefaults() {
	limits.MaxHeader = 64 * KiB
	limits.MaxBody = maxBody
	limits.HeaderTimeout = Duration(5 * time.Second)
	limits.IdleTimeout = Duration(2 * time.Minute)
}

func (c *checker) routes() {
	places := make(map[string]string, len(c.document.Routes))
	for _, name := range sortedNames(c.document.Routes) {
		route := c.document.Routes[name]
		c.route("routes."+name, route)
		place := route.Host + route.PathPrefix
		if other, taken := places[place]; taken {
			c.fault("routes."+name+".path-prefix", "give them hosts or prefixes that differ", "%s is also the place of the route %q", place, other)
		}
		places[place] = name
	}
}

func (c *checker) route(field string, route Route) {
	if route.Host == "" {
		c.fault(field+".host", "name the host that callers ask for", "is missing")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		c.fault(field+".path-prefix", `write a prefix such as "/visits/"`, "%q does not begin and end with a slash", route.PathPrefix)
	}
	if !slices.Contains(c.document.Importances, route.Importance) {
		c.fault(field+".importance", "use one of: "+strings.Join(c.document.Importances, ", "), "no importance %q is listed", route.Importance)
	}
	if route.Repeat != repeatableName && route.Repeat != Unkeyed {
		c.fault(field+".repeat", `use "repeatable" or "unkeyed"`, "the repeat rule %q is unknown", route.Repeat)
	}
	between(c, field+".timeout", time.Duration(route.Timeout), time.Millisecond, maxDeadline)
	between(c, field+".objective", time.Duration(route.Objective), 0, time.Duration(route.Timeout)+objectiveExcess-1)
	between(c, field+".attempts", route.Attempts, 1, maxAttempts)
	c.shares(field+".services", route.Services)
}

func (c *checker) shares(field string, shares []Share) {
	total := 0.0
	for i, share := range shares {
		one := fmt.Sprintf("%s[%d]", field, i)
		if _, known := c.document.Services[share.Service]; !known {
			c.fault(one+".service", "describe it under services", "the service %q is unknown", share.Service)
		}
		if !(share.Weight >= 0) {
			c.fault(one+".weight", "give a weight of zero or more", "%v is no weight", share.Weight)
		}
		total += share.Weight
	}
	if !(total > 0) {
		c.fault(field, "give at least one service a weight above zero", "no service gets calls")
	}
}

// CompiledRoute is a route with its words resolved.
type CompiledRoute struct {
	// Kind holds the terms of the route's calls; its Service is set for each
	// call by [CompiledRoute.Next].
	Kind   CompiledKind
	Shares []Share

	total float64
	calls atomic.Uint64
}

// Next gives the service of the next call. Any run of calls is split close to
// the weights.
func (route *CompiledRoute) Next() request.ServiceName {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	place := float64(route.calls.Add(1)) * goldenRatio
	place = (place - float64(uint64(place))) * route.total
	for _, share := range route.Shares {
		place -= share.Weight
		if place < 0 {
			return share.Service
		}
	}
	return route.Shares[len(route.Shares)-1].Service
}

func compileRoute(name string, route Route, ranks map[string]request.Importance, limits Limits) *CompiledRoute {
	compiled := &CompiledRoute{
		Kind: CompiledKind{
			Name:       request.KindName("route/" + name),
			Importance: ranks[route.Importance],
			Deadline:   time.Duration(route.Timeout),
			Objective:  time.Duration(route.Objective),
			Retries:    route.Attempts - 1,
			BodyLimit:  limits.MaxBody,
			Routed:     true,
		},
	}
	if route.Repeat == Unkeyed {
		compiled.Kind.Repeat = request.Once
		compiled.Kind.Unkeyed = true
	}
	for _, share := range route.Services {
		if share.Weight > 0 {
			compiled.Shares = append(compiled.Shares, share)
			compiled.total += share.Weight
		}
	}
	return compiled
}

// routeTable finds routes by host and prefix.
type routeTable map[string]map[string]*CompiledRoute

func compileRoutes(document *Document, ranks map[string]request.Importance) routeTable {
	table := make(routeTable)
	for name, route := range document.Routes {
		if table[route.Host] == nil {
			table[route.Host] = make(map[string]*CompiledRoute)
		}
		table[route.Host][route.PathPrefix] = compileRoute(name, route, ranks, document.Limits)
	}
	return table
}

// Route gives the route of a host and path. Known tells whether the host has
// routes at all.
func (matcher *Matcher) Route(host, path string) (route *CompiledRoute, known bool) {
	prefixes, known := matcher.routes[host]
	for end := strings.LastIndexByte(path, '/'); known && end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if found, ok := prefixes[path[:end+1]]; ok {
			return found, true
		}
	}
	return nil, known
}
