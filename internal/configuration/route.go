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
	Repeatable = repeatableRule
	// Unkeyed is for calls that may not be repeated and carry no idempotency key.
	Unkeyed = "unkeyed"
)

const (
	maxAttempts = 1_000
	// maxObjectiveExcess is how far a latency objective may exceed the timeout of
	// its route.
	maxObjectiveExcess = time.Minute
	// goldenRatio is the step of an additive recurrence, whose terms modulo 1 are
	// spread evenly, so that any run of calls is split close to the weights (Kuipers
	// and Niederreiter, "Uniform Distribution of Sequences", 1974).
	goldenRatio = 0.6180339887498949
)

// Route sends the calls for one host and path prefix to one or more services.
type Route struct {
	// Host is the Host header without its port. PathPrefix begins and ends with a
	// slash; of the routes of a host, the one with the longest prefix of the path
	// applies.
	Host       string `json:"host"`
	PathPrefix string `json:"path-prefix"`
	Importance string `json:"importance"`
	// Repeat is "repeatable", or "unkeyed" for calls that may not be repeated
	// and carry no idempotency key.
	Repeat string `json:"repeat"`
	// Upload marks calls with large bodies.
	Upload bool `json:"upload"`
	// Timeout bounds the duration of a call.
	Timeout Duration `json:"timeout"`
	// Objective is the latency objective: the time within which an answer has its
	// full value.
	Objective Duration `json:"objective"`
	// Attempts is how many targets a call may be sent to, the first included.
	Attempts int               `json:"attempts"`
	Services []WeightedService `json:"services"`
	// Split tells whether the services were given with weights, even if there is
	// only one.
	Split bool `json:"split"`
	// Public calls need no customer key.
	Public bool `json:"public,omitempty"`
}

// WeightedService is a service of a route and its weight: the calls of the route are split
// in proportion to the weights.
type WeightedService struct {
	Service request.ServiceName `json:"service"`
	Weight  float64             `json:"weight"`
}

// Limits bounds the headers and bodies that callers send and the time they take.
type Limits struct {
	MaxHeader     Bytes    `json:"max-header"`
	MaxBody       Bytes    `json:"max-body"`
	HeaderTimeout Duration `json:"header-timeout"`
	IdleTimeout   Duration `json:"idle-timeout"`
}

// SetDefaults sets the values of the optional fields of the limits.
func (limits *Limits) SetDefaults() {
	limits.MaxHeader = 64 * KiB
	limits.MaxBody = maxBodySize
	limits.HeaderTimeout = Duration(5 * time.Second)
	limits.IdleTimeout = Duration(2 * time.Minute)
}

func (checker *documentChecker) checkRoutes() {
	routeNames := make(map[string]string, len(checker.document.Routes))
	for _, name := range sortedKeys(checker.document.Routes) {
		route := checker.document.Routes[name]
		checker.checkRoute("routes."+name, route)
		hostAndPrefix := route.Host + route.PathPrefix
		if other, taken := routeNames[hostAndPrefix]; taken {
			checker.addFault("routes."+name+".path-prefix", "use a different host or prefix", "%s is also the host and prefix of the route %q", hostAndPrefix, other)
		}
		routeNames[hostAndPrefix] = name
	}
}

func (checker *documentChecker) checkRoute(field string, route Route) {
	if route.Host == "" {
		checker.addFault(field+".host", "give the host name that callers use", "is missing")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		checker.addFault(field+".path-prefix", `write a prefix such as "/visits/"`, "%q does not begin and end with a slash", route.PathPrefix)
	}
	if !slices.Contains(checker.document.Importances, route.Importance) {
		checker.addFault(field+".importance", "use one of: "+strings.Join(checker.document.Importances, ", "), "the importance %q is not in the list of importances", route.Importance)
	}
	if route.Repeat != repeatableRule && route.Repeat != Unkeyed {
		checker.addFault(field+".repeat", `use "repeatable" or "unkeyed"`, "the repeat rule %q is unknown", route.Repeat)
	}
	checkRange(checker, field+".timeout", time.Duration(route.Timeout), time.Millisecond, maxDeadline)
	checkRange(checker, field+".objective", time.Duration(route.Objective), 0, time.Duration(route.Timeout)+maxObjectiveExcess-1)
	checkRange(checker, field+".attempts", route.Attempts, 1, maxAttempts)
	checker.checkWeights(field+".services", route.Services)
}

func (checker *documentChecker) checkWeights(field string, shares []WeightedService) {
	totalWeight := 0.0
	for i, share := range shares {
		element := fmt.Sprintf("%s[%d]", field, i)
		if _, known := checker.document.Services[share.Service]; !known {
			checker.addFault(element+".service", "describe it under services", "the service %q is unknown", share.Service)
		}
		if !(share.Weight >= 0) {
			checker.addFault(element+".weight", "use a weight of zero or more", "%v is not a valid weight", share.Weight)
		}
		totalWeight += share.Weight
	}
	if !(totalWeight > 0) {
		checker.addFault(field, "give at least one service a weight above zero", "no service has a weight above zero")
	}
}

// CompiledRoute is a route with the names of the document resolved. It is safe for
// concurrent use.
type CompiledRoute struct {
	// Kind holds the terms of the calls of the route. Its Service is empty:
	// [CompiledRoute.NextService] chooses the service of each call.
	Kind CompiledKind
	// Services holds the services with a weight above zero.
	Services []WeightedService

	totalWeight float64
	callCount   atomic.Uint64
}

// NextService returns the service of the next call. Any run of consecutive calls is split
// close to the weights.
func (route *CompiledRoute) NextService() request.ServiceName {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	point := float64(route.callCount.Add(1)) * goldenRatio
	point = (point - float64(uint64(point))) * route.totalWeight
	for _, share := range route.Services {
		point -= share.Weight
		if point < 0 {
			return share.Service
		}
	}
	return route.Services[len(route.Services)-1].Service
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
			Public:     route.Public,
		},
	}
	if route.Repeat == Unkeyed {
		compiled.Kind.Repeat = request.Once
		compiled.Kind.Unkeyed = true
	}
	for _, share := range route.Services {
		if share.Weight > 0 {
			compiled.Services = append(compiled.Services, share)
			compiled.totalWeight += share.Weight
		}
	}
	return compiled
}

// routeTable holds the routes by host and path prefix.
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

// Route returns the route with the longest prefix of the path among those of the
// host, or nil. Known tells whether the host has any route.
func (matcher *Matcher) Route(host, path string) (route *CompiledRoute, known bool) {
	prefixes, known := matcher.routes[host]
	for end := strings.LastIndexByte(path, '/'); known && end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if found, ok := prefixes[path[:end+1]]; ok {
			return found, true
		}
	}
	return nil, known
}
