package configuration

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/strictjson"
)

// Limits of what a configuration may say.
const (
	maxImportances   = 255
	maxAllowance     = 100
	maxDeadline      = 10 * time.Minute
	maxBody          = 256 * MiB
	maxOnceBody      = 1 * MiB
	maxKeptAnswer    = 1 * MiB
	maxHeader        = 16 * MiB
	maxStreamedBody  = 1 << 40
	maxTimeLimit     = 24 * time.Hour
	minRetention     = 10 * time.Minute
	maxRetention     = 30 * 24 * time.Hour
	maxQuarantine    = 24 * time.Hour
	maxSlots         = 100_000
	maxConnections   = 1_000_000
	repeatableName   = "repeatable"
	onceName         = "once"
	kebabDescription = "use lower case letters, digits and hyphens"
)

var (
	kebabName = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)
	methods   = []string{
		http.MethodGet, http.MethodHead, http.MethodPost,
		http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
)

type checker struct {
	source   *strictjson.Source
	document *Document
	faults   Faults
}

func (c *checker) fault(field, advice, problem string, values ...any) {
	c.faults = append(c.faults, c.source.Fault(field, fmt.Sprintf(problem, values...), advice))
}

func (c *checker) all() {
	c.importances()
	c.rules()
	if len(c.document.Services) == 0 {
		c.fault("services", "describe at least one service", "no service is described")
	}
	for _, name := range sortedNames(c.document.Services) {
		c.service(name, c.document.Services[name])
	}
	c.routes()
	c.cycles()
	c.unusedImportances()
}

func (c *checker) importances() {
	names := c.document.Importances
	if len(names) == 0 || len(names) > maxImportances {
		c.fault("importances", "list the names of the importances, least important first",
			"has %d names, and 1 to %d are allowed", len(names), maxImportances)
	}
	for i, name := range names {
		field := fmt.Sprintf("importances[%d]", i)
		c.name(field, name)
		if slices.Index(names, name) < i {
			c.fault(field, "keep one of them", "%q is listed twice", name)
		}
	}
}

func (c *checker) unusedImportances() {
	used := make(map[string]bool)
	for _, service := range c.document.Services {
		for _, kind := range service.Kinds {
			used[kind.Importance] = true
		}
	}
	for _, route := range c.document.Routes {
		used[route.Importance] = true
	}
	for i, name := range c.document.Importances {
		if !used[name] {
			c.fault(fmt.Sprintf("importances[%d]", i), "give it to a kind or take it off the list", "no kind has the importance %q", name)
		}
	}
}

func (c *checker) rules() {
	document := c.document
	between(c, "retry.allowance-per-root", document.Retry.AllowancePerRoot, 0, maxAllowance)
	between(c, "retry.edge-share", document.Retry.EdgeShare, 0.001, 1)
	between(c, "claims.retention", time.Duration(document.Claims.Retention), minRetention, maxRetention)
	between(c, "claims.record-retention", time.Duration(document.Claims.RecordRetention), time.Duration(document.Claims.Retention), maxRetention)
	between(c, "claims.kept-answer", document.Claims.KeptAnswer, 0, maxKeptAnswer)
	between(c, "quarantine.hold", time.Duration(document.Quarantine.Hold), time.Second, maxQuarantine)
	between(c, "limits.max-header", document.Limits.MaxHeader, 1, maxHeader)
	between(c, "limits.max-body", document.Limits.MaxBody, 0, maxStreamedBody)
	between(c, "limits.header-timeout", time.Duration(document.Limits.HeaderTimeout), time.Millisecond, maxTimeLimit)
	between(c, "limits.idle-timeout", time.Duration(document.Limits.IdleTimeout), time.Millisecond, maxTimeLimit)
	between(c, "links.bytes-per-second", document.Links.BytesPerSecond, 1, 1<<40)
	between(c, "links.share-for-unimportant", document.Links.ShareForUnimportant, 0, 1)
}

func (c *checker) service(name request.ServiceName, service Service) {
	field := "services." + string(name)
	c.protocol(field, service)
	if len(service.Kinds) == 0 && len(c.document.Routes) > 0 {
		between(c, field+".slots", service.Slots, 0, maxSlots)
		between(c, field+".connections", service.Connections, 1, maxConnections)
		return
	}
	c.name(field, string(name))
	between(c, field+".slots", service.Slots, 1, maxSlots)
	between(c, field+".connections", service.Connections, max(1, service.Slots), maxConnections)
	for i, callee := range service.Calls {
		c.call(fmt.Sprintf("%s.calls[%d]", field, i), service.Calls[:i], callee)
	}
	if len(service.Kinds) == 0 {
		c.fault(field+".kinds", "describe at least one kind of request", "the service has no kind")
	}
	for _, kindName := range sortedNames(service.Kinds) {
		c.kind(field+".kinds."+kindName, kindName, service.Kinds[kindName])
	}
	c.overlaps(field, service.Kinds)
}

// protocol refuses what no node can speak to a target.
func (c *checker) protocol(field string, service Service) {
	if service.Protocol != "" && service.Protocol != "h1" {
		c.fault(field+".protocol", `use "h1"`, "the protocol %q is not supported", service.Protocol)
	}
	if service.TLS {
		c.fault(field+".tls", "let the targets listen in plaintext on their own host", "is not supported between a node and its target")
	}
}

func (c *checker) call(field string, before []request.ServiceName, callee request.ServiceName) {
	if _, known := c.document.Services[callee]; !known {
		c.fault(field, "describe it under services or take it off the list", "the service %q is unknown", callee)
	}
	if slices.Contains(before, callee) {
		c.fault(field, "keep one of them", "%q is listed twice", callee)
	}
}

func (c *checker) kind(field, name string, kind Kind) {
	c.name(field, name)
	if !slices.Contains(methods, kind.Method) {
		c.fault(field+".method", "use one of: "+strings.Join(methods, ", "), "the method %q is not allowed", kind.Method)
	}
	if _, err := parsePattern(kind.Path); err != nil {
		c.fault(field+".path", `write a path such as "/visits/{id}/checklist"`, "%v", err)
	}
	if !slices.Contains(c.document.Importances, kind.Importance) {
		c.fault(field+".importance", "use one of: "+strings.Join(c.document.Importances, ", "), "no importance %q is listed", kind.Importance)
	}
	between(c, field+".deadline", time.Duration(kind.Deadline), time.Millisecond, maxDeadline)
	between(c, field+".retries", kind.Retries, 0, c.document.Retry.AllowancePerRoot)
	bodyLimit := maxBody
	switch kind.Repeat {
	case repeatableName:
	case onceName:
		bodyLimit = maxOnceBody
		if kind.Method == http.MethodGet || kind.Method == http.MethodHead {
			c.fault(field+".repeat", "make it repeatable or use POST", "a %s changes nothing and needs no claim", kind.Method)
		}
	default:
		c.fault(field+".repeat", `use "repeatable" or "once"`, "the repeat rule %q is unknown", kind.Repeat)
	}
	between(c, field+".body-limit", kind.BodyLimit, 0, bodyLimit)
}

func (c *checker) overlaps(field string, kinds map[string]Kind) {
	names := sortedNames(kinds)
	for i, name := range names {
		for _, other := range names[:i] {
			if kinds[name].Method != kinds[other].Method || !patternsOverlap(kinds[name].Path, kinds[other].Path) {
				continue
			}
			c.fault(field+".kinds."+name+".path", "give them paths that differ", "a request can match this kind and %q", other)
		}
	}
}

func (c *checker) name(field, name string) {
	if !kebabName.MatchString(name) {
		c.fault(field, kebabDescription, "%q is not a valid name", name)
	}
}

type limited interface {
	~int | ~int64 | ~float64
}

func between[T limited](c *checker, field string, value, least, most T) {
	if value >= least && value <= most {
		return
	}
	if !c.source.Has(field) {
		c.fault(field, fmt.Sprintf("give a value from %v to %v", least, most), "is missing")
		return
	}
	c.fault(field, fmt.Sprintf("give a value from %v to %v", least, most), "%v is out of range", value)
}

func sortedNames[N ~string, V any](named map[N]V) []N {
	names := make([]N, 0, len(named))
	for name := range named {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
