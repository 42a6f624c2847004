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
	maxKeyBytes  = 255
	maxCallDepth = 64
)

// origin is the listener on which a node got a call.
type origin uint8

const (
	// originCaller marks a call from outside: a root request.
	originCaller origin = iota
	// originTarget marks a call of the local target.
	originTarget
)

// outboundCall is a call that this node sends to a target.
type outboundCall struct {
	kind *configuration.CompiledKind
	// customer is the customer whose key the call has; nil means that it has none.
	customer *configuration.CompiledCustomer
	version  configuration.Version
	method   string
	path     string
	host     string
	// requestID is the caller's own id of the call, remoteAddress the address it came
	// from.
	requestID     string
	remoteAddress string
	headers       []*peerpb.Header
	body          *callBody
	work          request.Work
	// readAt is when the head of the call was read.
	readAt   time.Time
	depth    uint32
	root     *root
	attached bool
	// likelyParent is the request for which a call that names no root was probably
	// made.
	likelyParent   *activeRequest
	serviceRetries *serviceRetries
	// entryShare is the share of the call's kind that could enter when the call was
	// shed.
	entryShare float64
	// moves counts the targets whose node refused the call before handing it over.
	moves int
	// retried says that the present attempt is a retry, and inherited that the call is
	// made for a request that is one, as far as is known.
	retried, inherited bool
	// mayHaveRun says that a target may have begun to work on the call in an earlier attempt.
	mayHaveRun bool
	// fingerprint identifies the request if it crashes targets. suspect says that the
	// request was in flight at a crash.
	fingerprint request.Fingerprint
	suspect     bool
	// hasKey says that the call carries an idempotency key.
	hasKey bool
	// takesNoChunks says that an answer without a length ends with the caller's connection.
	takesNoChunks bool
}

// avoidsFullLink reports whether the call is refused rather than sent over a full
// link.
func (outbound *outboundCall) avoidsFullLink(upperHalf request.Importance) bool {
	return outbound.kind.Repeat == request.Repeatable && outbound.work.Priority.Importance() < upperHalf
}

// prepare matches a call to its kind and finds its root request.
func (node *Node) prepare(incoming *http.Request, origin origin, now time.Time) (*outboundCall, *web.Refusal) {
	current := node.Configuration.Current()
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
	terms, refusal := node.Dialect.ReadMetadata(incoming)
	if refusal != nil {
		return nil, refusal
	}
	customer, refusal := identifyCustomer(current.Matcher, kind, terms.CustomerKeys, origin)
	if refusal != nil {
		return nil, refusal
	}
	if customer != nil && !kind.Public && node.keysExpired(now) {
		return nil, web.NewRefusal(request.KeysUnconfirmed, "")
	}
	outbound := &outboundCall{
		kind:          kind,
		customer:      customer,
		version:       current.Version,
		method:        incoming.Method,
		path:          pathOf(incoming),
		host:          incoming.Host,
		requestID:     terms.ID,
		remoteAddress: incoming.RemoteAddr,
		readAt:        now,
		headers:       web.EncodeHeaders(incoming.Header),
		takesNoChunks: !incoming.ProtoAtLeast(1, 1),
	}
	node.assignRoot(outbound, incoming, origin, now, current)
	if outbound.depth > maxCallDepth {
		return nil, web.NewRefusal(request.BadRequest, "calls are nested too deep")
	}
	if terms.Remaining > 0 {
		callerDeadline := now.Add(terms.Remaining)
		node.inheritFromParent(current.Matcher, outbound, callerDeadline, now)
		// The caller's own deadline applies where it is earlier.
		outbound.work.Deadline = earlier(outbound.work.Deadline, callerDeadline)
	}
	return outbound, outbound.readBody(incoming)
}

// identifyCustomer returns the customer whose key a call has, or nil. Calls that the local
// target makes through its own listener need no key, nor do public ones.
func identifyCustomer(matcher *configuration.Matcher, kind *configuration.CompiledKind, keys []string, origin origin) (*configuration.CompiledCustomer, *web.Refusal) {
	if !matcher.RequiresKeys() {
		return nil, nil
	}
	var customer *configuration.CompiledCustomer
	if len(keys) == 1 {
		customer = matcher.Customer(keys[0])
	}
	switch {
	case customer != nil || kind.Public:
		return customer, nil
	case len(keys) > 0:
		return nil, web.NewRefusal(request.CustomerKeyUnknown, "")
	case origin == originTarget:
		return nil, nil
	}
	return nil, web.NewRefusal(request.CustomerKeyMissing, "")
}

// match returns the kind of the route of a call, or else the kind of its service.
func match(matcher *configuration.Matcher, incoming *http.Request) (*configuration.CompiledKind, *web.Refusal) {
	host, _, _ := strings.Cut(strings.ToLower(incoming.Host), ":")
	path, _, _ := strings.Cut(pathOf(incoming), "?")
	route, known := matcher.Route(host, path)
	if route != nil {
		kind := route.Kind
		kind.Service = route.NextService()
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

// pathOf returns path and query as the caller sent them.
func pathOf(incoming *http.Request) string {
	if strings.HasPrefix(incoming.RequestURI, "/") {
		return incoming.RequestURI
	}
	return incoming.URL.RequestURI()
}

// assignRoot sets root, priority and retry allowance. A call of the local target that
// names no root in flight gets no allowance.
func (node *Node) assignRoot(outbound *outboundCall, incoming *http.Request, origin origin, now time.Time, current *ActiveConfiguration) {
	id, traced := web.ParseTraceparent(incoming.Header.Get(web.HeaderTraceparent))
	if origin == originTarget && traced {
		if parent, ok := node.roots.find(id); ok {
			outbound.attachTo(current.Matcher, parent, now)
			outbound.work.Call = node.nextCallID()
			return
		}
	}
	if !traced {
		id = node.newRootID()
	}
	outbound.work = request.Work{
		Call:     node.nextCallID(),
		Root:     id,
		RootKind: outbound.kind.Name,
		Kind:     outbound.kind.Name,
		Priority: request.NewPriority(current.Matcher.Importance(outbound.kind, outbound.customer), request.BucketOf(id)),
		Deadline: now.Add(outbound.kind.Deadline),
	}
	if outbound.customer != nil {
		outbound.work.Customer = outbound.customer.Name
	}
	outbound.root = &root{work: outbound.work, started: now}
	if origin == originCaller {
		outbound.root.allowance.Remaining = current.RetryAllowance
	}
}

func (outbound *outboundCall) attachTo(matcher *configuration.Matcher, parent *root, now time.Time) {
	outbound.root = parent
	outbound.attached = true
	outbound.depth = parent.depth + 1
	outbound.work = parent.work
	outbound.work.Kind = outbound.kind.Name
	outbound.inheritWork(matcher, parent.work, now.Sub(parent.started))
	outbound.work.Deadline = earlier(parent.work.Deadline, now.Add(outbound.kind.Deadline))
}

func earlier(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

func (outbound *outboundCall) readBody(incoming *http.Request) *web.Refusal {
	body, err := newCallBody(incoming.Body, incoming.ContentLength, int64(outbound.kind.BodyLimit))
	if errors.Is(err, errBodyTooLarge) {
		return web.NewRefusal(request.BodyTooLarge, "")
	}
	if err != nil {
		return web.NewRefusal(request.BadRequest, "the body ended early")
	}
	if outbound.kind.Repeat == request.Once && !outbound.kind.Unkeyed && body.large() {
		return web.NewRefusal(request.BodyTooLarge, "a call that may not be repeated takes a small body only")
	}
	outbound.body = body
	key := incoming.Header.Get(web.HeaderIdempotencyKey)
	outbound.hasKey = key != ""
	outbound.fingerprint = fingerprint(outbound.kind.Name, outbound.path, key, body)
	return nil
}

func checkKey(incoming *http.Request, kind *configuration.CompiledKind) *web.Refusal {
	key := incoming.Header.Get(web.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return web.NewRefusal(request.KeyTooLong, "")
	}
	if key == "" && kind.Repeat == request.Once && !kind.Unkeyed {
		return web.NewRefusal(request.KeyMissing, "send an "+web.HeaderIdempotencyKey+" that is new for each action and the same for its resends")
	}
	return nil
}

// serviceOf returns the service from its header, or from the first label of the host
// name.
func serviceOf(incoming *http.Request) request.ServiceName {
	if name := incoming.Header.Get(web.HeaderService); name != "" {
		return request.ServiceName(name)
	}
	host, _, _ := strings.Cut(incoming.Host, ":")
	label, _, _ := strings.Cut(host, ".")
	return request.ServiceName(label)
}

// serveOutbound serves the calls that this node sends on, from callers or the local
// target.
func (node *Node) serveOutbound(origin origin) http.HandlerFunc {
	return func(writer http.ResponseWriter, incoming *http.Request) {
		now := time.Now()
		node.counters.outboundCalls.Inc()
		outbound, refusal := node.prepare(incoming, origin, now)
		if refusal != nil {
			node.refuse(writer, refusal)
			return
		}
		ctx, cancel := context.WithDeadline(incoming.Context(), outbound.work.Deadline)
		defer cancel()
		node.send(ctx, writer, outbound)
		node.counters.callDuration.UpdateDuration(now)
	}
}

func (node *Node) refuse(writer http.ResponseWriter, refusal *web.Refusal) {
	increment(node.counters.refusals, refusal.Code)
	node.Dialect.Refuse(writer, refusal)
}
