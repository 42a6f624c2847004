package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/strictjson"
)

const (
	maxNameLength = 64
	// maxLostDisks keeps the number of replicas needed, twice as many and one,
	// within the size of the largest group.
	maxLostDisks = 4
	// minRetryWindow leaves some calls to count in each tenth of a window.
	minRetryWindow = 100 * time.Millisecond
	// minKeyLifetime is the time within which a replica publishes a version and a node that
	// reaches it renews its lease.
	minKeyLifetime = 4 * time.Second
	addressAdvice  = `use an IP address with a port, as in "10.1.0.5:7403"`
	nameAdvice     = "use lower case letters, digits and hyphens"
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)
	logLevels   = []LogLevel{"debug", "info", "warn", "error"}
)

// settingsChecker collects the faults of one settings file.
type settingsChecker struct {
	source   *strictjson.Source
	settings *Settings
	faults   Faults
}

// addFault adds a fault unless the field has one already, such as one of its
// decoding.
func (checker *settingsChecker) addFault(field, advice, problem string, values ...any) {
	for _, known := range checker.faults {
		if known.Field == field {
			return
		}
	}
	checker.faults = append(checker.faults, checker.source.Fault(field, fmt.Sprintf(problem, values...), advice))
}

func (checker *settingsChecker) checkSettings() {
	loaded := checker.settings
	checker.checkName("node", string(loaded.Node))
	checker.checkName("region", string(loaded.Region))
	checker.checkName("failure-domain", string(loaded.FailureDomain))
	checker.checkTarget()
	checker.checkAddress("listen.peers", loaded.Listen.Peers, true)
	checker.checkAddress("listen.admin", loaded.Listen.Admin, true)
	checker.checkAddress("advertise.peers", loaded.Advertise.Peers, false)
	checker.checkDuplicateAddresses()
	checker.checkSeeds()
	checker.checkReplica()
	checker.checkSecurity()
	checker.checkPlatform()
	if overshoot := checker.settings.Quota.Overshoot; !(overshoot >= 0 && overshoot <= 1) {
		checker.addFault("quota.overshoot", "use a ratio from 0 to 1", "%v is out of range", overshoot)
	}
	if slack := checker.settings.Quota.Slack; !(slack >= 0) {
		checker.addFault("quota.slack", "use a number of zero or more", "%v is out of range", slack)
	}
	if lifetime := time.Duration(checker.settings.Keys.Lifetime); lifetime != 0 && lifetime < minKeyLifetime {
		checker.addFault("keys.lifetime", fmt.Sprintf("use %s or more, or leave it out", minKeyLifetime), "%s is shorter than nodes need to learn of a version", lifetime)
	}
	if !slices.Contains(logLevels, loaded.LogLevel) {
		checker.addFault("log-level", "use one of: debug, info, warn, error", "the level %q is unknown", loaded.LogLevel)
	}
}

func (checker *settingsChecker) checkName(field, name string) {
	switch {
	case name == "":
		checker.addFault(field, nameAdvice, "is missing")
	case len(name) > maxNameLength || !namePattern.MatchString(name):
		checker.addFault(field, nameAdvice, "%q is not a valid name", name)
	}
}

func (checker *settingsChecker) checkTarget() {
	loaded := checker.settings
	hasService := loaded.Service != ""
	if hasService {
		checker.checkName("service", string(loaded.Service))
	}
	if !hasService && !loaded.HoldsReplica() {
		checker.addFault("service", "name the service of the local target", "is missing, and the host holds no replica")
	}
	checker.checkAddress("target", loaded.Target, hasService)
	checker.checkAddress("listen.callers", loaded.Listen.Callers, hasService)
	checker.checkAddress("listen.outbound", loaded.Listen.Outbound, hasService && !loaded.OnPlatform())
	if !hasService && loaded.Target != "" {
		checker.addFault("target", "name its service, or remove it", "is given without a service")
	}
}

func (checker *settingsChecker) checkAddress(field string, address Address, required bool) {
	if address == "" {
		if required {
			checker.addFault(field, addressAdvice, "is missing")
		}
		return
	}
	parsed, err := netip.ParseAddrPort(string(address))
	switch {
	case err != nil || parsed.Port() == 0:
		checker.addFault(field, addressAdvice, "%q is not an address", address)
	case parsed.Addr().IsUnspecified():
		checker.addFault(field, "use an IP address of the host; it is sent to other hosts", "%q is not an address that other hosts can reach", address)
	}
}

func (checker *settingsChecker) checkDuplicateAddresses() {
	listen := checker.settings.Listen
	taken := make(map[Address]string)
	for _, listener := range []struct {
		field   string
		address Address
	}{
		{"target", checker.settings.Target},
		{"listen.callers", listen.Callers},
		{"listen.outbound", listen.Outbound},
		{"listen.peers", listen.Peers},
		{"listen.admin", listen.Admin},
		{"platform.control", checker.settings.Platform.Control},
		{"platform.ready", checker.settings.Platform.Ready},
	} {
		if other, used := taken[listener.address]; used && listener.address != "" {
			checker.addFault(listener.field, "give each its own port", "%s is also the address of %s", listener.address, other)
		}
		taken[listener.address] = listener.field
	}
}

func (checker *settingsChecker) checkSeeds() {
	if len(checker.settings.Seeds) == 0 && !checker.settings.HoldsReplica() {
		checker.addFault("seeds", "list the peer addresses of the replicas", "is missing or empty")
	}
	for i, seed := range checker.settings.Seeds {
		field := fmt.Sprintf("seeds[%d]", i)
		checker.checkAddress(field, seed, true)
		if slices.Index(checker.settings.Seeds, seed) < i {
			checker.addFault(field, "remove the duplicate", "%s is listed twice", seed)
		}
	}
}

func (checker *settingsChecker) checkReplica() {
	replica := checker.settings.Replica
	if !checker.settings.HoldsReplica() {
		if checker.source.Has("replica") {
			checker.addFault("replica.members", "list all hosts that hold replicas, this one included", "is missing")
		}
		return
	}
	if checker.settings.DataFolder == "" {
		checker.addFault("data-folder", "name the data folder on the disk of this host", "is missing, and the host holds a replica")
	}
	if replica.FormsFromSeeds {
		checker.checkFormsFromSeeds()
		return
	}
	if replica.InitialConfiguration == "" {
		checker.addFault("replica.initial-configuration", "name the file with the first version", "is missing")
	}
	listsSelf := false
	for i, member := range replica.Members {
		checker.checkMember(fmt.Sprintf("replica.members[%d]", i), replica.Members[:i], member)
		listsSelf = listsSelf || member.Node == checker.settings.Node
	}
	if !listsSelf {
		checker.addFault("replica.members", "list this host too", "has no entry for %q", checker.settings.Node)
	}
}

func (checker *settingsChecker) checkFormsFromSeeds() {
	replica := checker.settings.Replica
	if len(replica.Members) > 0 {
		checker.addFault("replica.members", "remove it or forms-from-seeds", "is given together with forms-from-seeds")
	}
	if len(checker.settings.Seeds) == 0 {
		checker.addFault("seeds", "list the hosts that form the log", "is missing")
	}
	if replica.LostDisks < 0 || replica.LostDisks > maxLostDisks {
		checker.addFault("replica.lost-disks", fmt.Sprintf("use a number from 0 to %d", maxLostDisks), "%d is out of range", replica.LostDisks)
	}
}

// checkPlatform checks the addresses of a platform, the bounds of a stop and the
// retry budget.
func (checker *settingsChecker) checkPlatform() {
	loaded := checker.settings
	checker.checkAddress("platform.control", loaded.Platform.Control, loaded.Platform.Ready != "")
	checker.checkAddress("platform.ready", loaded.Platform.Ready, loaded.OnPlatform() && loaded.Service != "")
	if loaded.Stop.Linger < 0 || loaded.Stop.Grace < 0 || loaded.Stop.Grace > 0 && loaded.Stop.Linger >= loaded.Stop.Grace {
		checker.addFault("stop.linger", "use a time below stop.grace", "%s is not below the grace of %s", time.Duration(loaded.Stop.Linger), time.Duration(loaded.Stop.Grace))
	}
	if loaded.Stop.ForecastTime < 0 {
		checker.addFault("stop.forecast-time", "use a time of zero or more", "%s is negative", time.Duration(loaded.Stop.ForecastTime))
	}
	if loaded.RetryBudget.Share < 0 || loaded.RetryBudget.Share > 1 {
		checker.addFault("retry-budget.share", "use a ratio from 0 to 1", "%v is out of range", loaded.RetryBudget.Share)
	}
	if loaded.RetryBudget.Window != 0 && time.Duration(loaded.RetryBudget.Window) < minRetryWindow {
		checker.addFault("retry-budget.window", "use a time of at least "+minRetryWindow.String(), "%s is too short", time.Duration(loaded.RetryBudget.Window))
	}
	if loaded.RetryBudget.Slack < 0 {
		checker.addFault("retry-budget.slack", "use a number of zero or more", "%v is out of range", loaded.RetryBudget.Slack)
	}
}

func (checker *settingsChecker) checkMember(field string, preceding []Member, member Member) {
	checker.checkName(field+".node", string(member.Node))
	checker.checkAddress(field+".address", member.Address, true)
	checker.checkName(field+".failure-domain", string(member.FailureDomain))
	for _, other := range preceding {
		if other.Node == member.Node {
			checker.addFault(field+".node", "list each host once", "%q is listed twice", member.Node)
		}
		if other.Address == member.Address {
			checker.addFault(field+".address", "give each host its own address", "%s is listed twice", member.Address)
		}
	}
	if member.Node == checker.settings.Node && member.Address != checker.settings.PeerAddress() {
		checker.addFault(field+".address", "use the address of listen.peers, or of advertise.peers if that is given", "%s is not the peer address of this host", member.Address)
	}
}

func (checker *settingsChecker) checkSecurity() {
	security := checker.settings.Security
	files := []struct{ field, path string }{
		{"security.authority", security.Authority},
		{"security.certificate", security.Certificate},
		{"security.key", security.Key},
	}
	for _, file := range files {
		switch {
		case security.Plaintext() && file.path != "":
			checker.addFault(file.field, "remove it or the setting that allows plaintext", "is given together with plaintext")
		case !security.Plaintext() && file.path == "":
			checker.addFault(file.field, "name the file; `magnolia certificate create` creates it", "is missing")
		}
	}
	if security.PlaintextOnLoopback && !security.PlaintextOnClosedNetwork {
		checker.checkLoopback("listen.peers", checker.settings.Listen.Peers)
		checker.checkLoopback("listen.admin", checker.settings.Listen.Admin)
		checker.checkLoopback("advertise.peers", checker.settings.Advertise.Peers)
		for i, seed := range checker.settings.Seeds {
			checker.checkLoopback(fmt.Sprintf("seeds[%d]", i), seed)
		}
		for i, member := range checker.settings.Replica.Members {
			checker.checkLoopback(fmt.Sprintf("replica.members[%d].address", i), member.Address)
		}
	}
}

func (checker *settingsChecker) checkLoopback(field string, address Address) {
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil || parsed.Addr().IsLoopback() {
		return
	}
	checker.addFault(field, "name certificate files under security, or use a loopback address",
		"%s is not a loopback address, and plaintext is allowed on loopback only", address)
}
