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

// Bounds of the values in a configuration.
const (
	maxImportances       = 255
	maxRetryAllowance    = 100
	maxDeadline          = 10 * time.Minute
	maxBodySize          = 256 * MiB
	maxOnceBodySize      = 1 * MiB
	maxKeptAnswerSize    = 1 * MiB
	maxHeaderSize        = 16 * MiB
	maxStreamedBodyBytes = 1 << 40
	maxTimeout           = 24 * time.Hour
	minClaimRetention    = 10 * time.Minute
	maxClaimRetention    = 30 * 24 * time.Hour
	maxQuarantineHold    = 24 * time.Hour
	maxSlots             = 100_000
	maxConnections       = 1_000_000
	repeatableRule       = "repeatable"
	onceRule             = "once"
	nameAdvice           = "use lower case letters, digits and hyphens"
)

var (
	namePattern    = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)
	allowedMethods = []string{
		http.MethodGet, http.MethodHead, http.MethodPost,
		http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
)

// documentChecker collects the faults of one document.
type documentChecker struct {
	source   *strictjson.Source
	document *Document
	faults   Faults
}

func (checker *documentChecker) addFault(field, advice, problem string, values ...any) {
	checker.faults = append(checker.faults, checker.source.Fault(field, fmt.Sprintf(problem, values...), advice))
}

func (checker *documentChecker) checkDocument() {
	checker.checkImportances()
	checker.checkGlobalLimits()
	if len(checker.document.Services) == 0 {
		checker.addFault("services", "describe at least one service", "no service is described")
	}
	for _, name := range sortedKeys(checker.document.Services) {
		checker.checkService(name, checker.document.Services[name])
	}
	checker.checkRoutes()
	checker.checkCustomers()
	checker.checkCycles()
	checker.checkUnusedImportances()
}

func (checker *documentChecker) checkImportances() {
	names := checker.document.Importances
	if len(names) == 0 || len(names) > maxImportances {
		checker.addFault("importances", "list the names of the importances, least important first",
			"has %d names; 1 to %d are allowed", len(names), maxImportances)
	}
	for i, name := range names {
		field := fmt.Sprintf("importances[%d]", i)
		checker.checkName(field, name)
		if slices.Index(names, name) < i {
			checker.addFault(field, "remove the duplicate", "%q is listed twice", name)
		}
	}
}

func (checker *documentChecker) checkUnusedImportances() {
	used := make(map[string]bool)
	for _, service := range checker.document.Services {
		for _, kind := range service.Kinds {
			used[kind.Importance] = true
		}
	}
	for _, route := range checker.document.Routes {
		used[route.Importance] = true
	}
	for _, customer := range checker.document.Customers {
		used[customer.Importance] = true
	}
	for i, name := range checker.document.Importances {
		if !used[name] {
			checker.addFault(fmt.Sprintf("importances[%d]", i), "use it in a kind or a route, or remove it from the list", "no kind or route has the importance %q", name)
		}
	}
}

func (checker *documentChecker) checkGlobalLimits() {
	document := checker.document
	checkRange(checker, "retry.allowance-per-root", document.Retry.AllowancePerRoot, 0, maxRetryAllowance)
	checkRange(checker, "retry.edge-share", document.Retry.EdgeShare, 0.001, 1)
	checkRange(checker, "claims.retention", time.Duration(document.Claims.Retention), minClaimRetention, maxClaimRetention)
	checkRange(checker, "claims.record-retention", time.Duration(document.Claims.RecordRetention), time.Duration(document.Claims.Retention), maxClaimRetention)
	checkRange(checker, "claims.kept-answer", document.Claims.KeptAnswer, 0, maxKeptAnswerSize)
	checkRange(checker, "quarantine.hold", time.Duration(document.Quarantine.Hold), time.Second, maxQuarantineHold)
	checkRange(checker, "limits.max-header", document.Limits.MaxHeader, 1, maxHeaderSize)
	checkRange(checker, "limits.max-body", document.Limits.MaxBody, 0, maxStreamedBodyBytes)
	checkRange(checker, "limits.header-timeout", time.Duration(document.Limits.HeaderTimeout), time.Millisecond, maxTimeout)
	checkRange(checker, "limits.idle-timeout", time.Duration(document.Limits.IdleTimeout), time.Millisecond, maxTimeout)
	checkRange(checker, "links.bytes-per-second", document.Links.BytesPerSecond, 1, 1<<40)
	checkRange(checker, "links.share-for-unimportant", document.Links.ShareForUnimportant, 0, 1)
}

func (checker *documentChecker) checkService(name request.ServiceName, service Service) {
	field := "services." + string(name)
	checker.checkProtocol(field, service)
	if len(service.Kinds) == 0 && len(checker.document.Routes) > 0 {
		checkRange(checker, field+".slots", service.Slots, 0, maxSlots)
		checkRange(checker, field+".connections", service.Connections, 1, maxConnections)
		return
	}
	checker.checkName(field, string(name))
	checkRange(checker, field+".slots", service.Slots, 1, maxSlots)
	checkRange(checker, field+".connections", service.Connections, max(1, service.Slots), maxConnections)
	for i, callee := range service.Calls {
		checker.checkCallee(fmt.Sprintf("%s.calls[%d]", field, i), service.Calls[:i], callee)
	}
	if len(service.Kinds) == 0 {
		checker.addFault(field+".kinds", "describe at least one kind of request", "the service has no kind")
	}
	for _, kindName := range sortedKeys(service.Kinds) {
		checker.checkKind(field+".kinds."+kindName, kindName, service.Kinds[kindName])
	}
	checker.checkOverlaps(field, service.Kinds)
}

// checkProtocol rejects protocols that nodes do not support towards targets.
func (checker *documentChecker) checkProtocol(field string, service Service) {
	if service.Protocol != "" && service.Protocol != "h1" {
		checker.addFault(field+".protocol", `use "h1"`, "the protocol %q is not supported", service.Protocol)
	}
	if service.TLS {
		checker.addFault(field+".tls", "let the targets accept plaintext connections from their own host", "TLS between a node and its target is not supported")
	}
}

func (checker *documentChecker) checkCallee(field string, preceding []request.ServiceName, callee request.ServiceName) {
	if _, known := checker.document.Services[callee]; !known {
		checker.addFault(field, "describe it under services or remove it from the list", "the service %q is unknown", callee)
	}
	if slices.Contains(preceding, callee) {
		checker.addFault(field, "remove the duplicate", "%q is listed twice", callee)
	}
}

func (checker *documentChecker) checkKind(field, name string, kind Kind) {
	checker.checkName(field, name)
	if !slices.Contains(allowedMethods, kind.Method) {
		checker.addFault(field+".method", "use one of: "+strings.Join(allowedMethods, ", "), "the method %q is not allowed", kind.Method)
	}
	if _, err := parsePathPattern(kind.Path); err != nil {
		checker.addFault(field+".path", `write a path such as "/visits/{id}/checklist"`, "%v", err)
	}
	if !slices.Contains(checker.document.Importances, kind.Importance) {
		checker.addFault(field+".importance", "use one of: "+strings.Join(checker.document.Importances, ", "), "the importance %q is not in the list of importances", kind.Importance)
	}
	checkRange(checker, field+".deadline", time.Duration(kind.Deadline), time.Millisecond, maxDeadline)
	checkRange(checker, field+".retries", kind.Retries, 0, checker.document.Retry.AllowancePerRoot)
	bodyLimit := maxBodySize
	switch kind.Repeat {
	case repeatableRule:
	case onceRule:
		bodyLimit = maxOnceBodySize
		if kind.Method == http.MethodGet || kind.Method == http.MethodHead {
			checker.addFault(field+".repeat", "make it repeatable or use POST", "a %s request is read-only and needs no claim", kind.Method)
		}
	default:
		checker.addFault(field+".repeat", `use "repeatable" or "once"`, "the repeat rule %q is unknown", kind.Repeat)
	}
	checkRange(checker, field+".body-limit", kind.BodyLimit, 0, bodyLimit)
}

func (checker *documentChecker) checkOverlaps(field string, kinds map[string]Kind) {
	index := make(kindIndex)
	for _, name := range sortedKeys(kinds) {
		for _, other := range index.overlapping(kinds[name]) {
			checker.addFault(field+".kinds."+name+".path", "use paths that do not overlap", "a request can match both this kind and %q", other)
		}
		index.add(name, kinds[name])
	}
}

func (checker *documentChecker) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		checker.addFault(field, nameAdvice, "%q is not a valid name", name)
	}
}

type rangeValue interface {
	~int | ~int64 | ~float64
}

// checkRange adds a fault unless the value is within both bounds, inclusive.
func checkRange[T rangeValue](checker *documentChecker, field string, value, lowest, highest T) {
	if value >= lowest && value <= highest {
		return
	}
	if !checker.source.Has(field) {
		checker.addFault(field, fmt.Sprintf("use a value from %v to %v", lowest, highest), "is missing")
		return
	}
	checker.addFault(field, fmt.Sprintf("use a value from %v to %v", lowest, highest), "%v is out of range", value)
}

func sortedKeys[K ~string, V any](entries map[K]V) []K {
	keys := make([]K, 0, len(entries))
	for key := range entries {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
