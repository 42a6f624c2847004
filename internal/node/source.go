package node

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	maxKeyLength = 255
	maxDepth     = 64
)

// origin tells on which of its listeners a node got a call.
type origin uint8

const (
	// fromCaller is a call from outside: a root request.
	fromCaller origin = iota
	// fromTarget is a call of the local target.
	fromTarget
)

// outgoing is a call on its way from this node to a target.
type outgoing struct {
	kind    *configuration.CompiledKind
	version configuration.Version
	method  string
	path    string
	host    string
	// id is the caller's own name for the call, and from where it came from.
	id      string
	from    string
	headers []*peerpb.Header
	body    *callBody
	work    request.Work
	depth   uint32
	root    *root
	tied    bool
	// parent is the request that a call which names none is likely made for.
	parent *served
	edge   *edge
	// share is the share of its kind that was let in when the call was shed.
	share float64
	// moves counts the targets whose node did not hand the call over.
	moves int
	// fingerprint names the request where it crashes targets; suspect says that
	// it was at a crash.
	fingerprint request.Fingerprint
	suspect     bool
	// keyed says that the caller names the call by an idempotency key.
	keyed bool
}

// sparing tells whether the call is refused sooner than sent over a full link.
func (og *outgoing) sparing(half request.Importance) bool {
	return og.kind.Repeat == request.Repeatable && og.work.Priority.Importance() < half
}

// prepare matches a call to its kind and ties it to its root request.
func (no *Node) prepare(incoming *http.Request, from origin, now time.Time) (*outgoing, *web.Refusal) {
	current := no.Configuration.Current()
	if current.Version == 0 {
		return nil, web.NewRefusal(request.NotReady, "")
	}
	kind, refusal := match(current.Matcher, incoming)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := checkKey(incoming, kind); refusal != nil {
		return nil, refusal
	}
	terms, refusal := no.Dialect.Terms(incoming)
	if refusal != nil {
		return nil, refusal
	}
	og := &outgoing{
		kind:    kind,
		version: current.Version,
		method:  incoming.Method,
		path:    pathOf(incoming),
		host:    incoming.Host,
		id:      terms.ID,
		from:    incoming.RemoteAddr,
		headers: web.EncodeHeaders(incoming.Header),
	}
	no.tie(og, incoming, from, now, current)
	if og.depth > maxDepth {
		return nil, web.NewRefusal(request.BadRequest, "calls are nested too deep")
	}
	if terms.Remaining > 0 {
		until := now.Add(terms.Remaining)
		no.inherit(og, until, now)
		// The caller's own deadline counts where it is sooner.
		og.work.Deadline = earlier(og.work.Deadline, until)
	}
	return og, og.readBody(incoming)
}

// match finds the route of the call, or else the kind of its service.
func match(matcher *configuration.Matcher, incoming *http.Request) (*configuration.CompiledKind, *web.Refusal) {
	host, _, _ := strings.Cut(strings.ToLower(incoming.Host), ":")
	path, _, _ := strings.Cut(pathOf(incoming), "?")
	route, known := matcher.Route(host, path)
	if route != nil {
		kind := route.Kind
		kind.Service = route.Next()
		return &kind, nil
	}
	if known {
		return nil, web.NewRefusal(request.UnknownKind, path+" is on no route of "+host)
	}
	service := serviceOf(incoming)
	if !matcher.HasService(service) {
		return nil, web.NewRefusal(request.UnknownService, "service "+string(service)+" is not in the configuration")
	}
	_, kind, ok := matcher.Match(service, incoming.Method, incoming.URL.Path)
	if !ok {
		return nil, web.NewRefusal(request.UnknownKind, incoming.Method+" "+incoming.URL.Path+" is no kind of "+string(service))
	}
	return kind, nil
}

// pathOf gives path and query as the caller sent them.
func pathOf(incoming *http.Request) string {
	if strings.HasPrefix(incoming.RequestURI, "/") {
		return incoming.RequestURI
	}
	return incoming.URL.RequestURI()
}

// tie sets root, priority and allowance. A call of the local target that names
// no root in flight has no allowance.
func (no *Node) tie(og *outgoing, incoming *http.Request, from origin, now time.Time, current *Active) {
	id, traced := web.ParseTraceparent(incoming.Header.Get(web.HeaderTraceparent))
	if from == fromTarget && traced {
		if parent, ok := no.roots.find(id); ok {
			og.tieTo(parent, now)
			og.work.Call = no.nextCall()
			return
		}
	}
	if !traced {
		id = no.newRoot()
	}
	og.work = request.Work{
		Call:     no.nextCall(),
		Root:     id,
		RootKind: og.kind.Name,
		Kind:     og.kind.Name,
		Priority: request.NewPriority(og.kind.Importance, request.BucketOf(id)),
		Deadline: now.Add(og.kind.Deadline),
	}
	og.root = &root{work: og.work, started: now}
	if from == fromCaller {
		og.root.account.Left = current.Allowance
	}
}

func (og *outgoing) tieTo(parent *root, now time.Time) {
	og.root = parent
	og.tied = true
	og.depth = parent.depth + 1
	og.work = parent.work
	og.work.Kind = og.kind.Name
	og.takePlace(parent.work, now.Sub(parent.started))
	og.work.Deadline = earlier(parent.work.Deadline, now.Add(og.kind.Deadline))
}

func earlier(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

func (og *outgoing) readBody(incoming *http.Request) *web.Refusal {
	body, err := newCallBody(incoming.Body, incoming.ContentLength, int64(og.kind.BodyLimit))
	if errors.Is(err, errBodyTooLarge) {
		return web.NewRefusal(request.BodyTooLarge, "")
	}
	if err != nil {
		return web.NewRefusal(request.BadRequest, "the body ended early")
	}
	if og.kind.Repeat == request.Once && !og.kind.Unkeyed && body.large() {
		return web.NewRefusal(request.BodyTooLarge, "a call that may not be repeated takes a small body only")
	}
	og.body = body
	key := incoming.Header.Get(web.HeaderIdempotencyKey)
	og.keyed = key != ""
	og.fingerprint = fingerprint(og.kind.Name, og.path, key, body)
	return nil
}

func checkKey(incoming *http.Request, kind *configuration.CompiledKind) *web.Refusal {
	key := incoming.Header.Get(web.HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		return web.NewRefusal(request.KeyTooLong, "")
	}
	if key == "" && kind.Repeat == request.Once && !kind.Unkeyed {
		return web.NewRefusal(request.KeyMissing, "send an "+web.HeaderIdempotencyKey+" that is new for each action and the same for its resends")
	}
	return nil
}

// serviceOf takes the service from its header, or from the first label of the
// host name.
func serviceOf(incoming *http.Request) request.ServiceName {
	if name := incoming.Header.Get(web.HeaderService); name != "" {
		return request.ServiceName(name)
	}
	host, _, _ := strings.Cut(incoming.Host, ":")
	label, _, _ := strings.Cut(host, ".")
	return request.ServiceName(label)
}

// serveSource serves the calls that this node sends on: of callers and of the
// local target.
func (no *Node) serveSource(from origin) http.HandlerFunc {
	return func(writer http.ResponseWriter, incoming *http.Request) {
		now := time.Now()
		no.counters.calls.Inc()
		og, refusal := no.prepare(incoming, from, now)
		if refusal != nil {
			no.refuse(writer, refusal)
			return
		}
		ctx, cancel := context.WithDeadline(incoming.Context(), og.work.Deadline)
		defer cancel()
		no.send(ctx, writer, og)
		no.counters.duration.UpdateDuration(now)
	}
}

func (no *Node) refuse(writer http.ResponseWriter, refusal *web.Refusal) {
	count(no.counters.refusals, refusal.Code)
	no.Dialect.Refuse(writer, refusal)
}
