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
	maxName = 64
	// maxLostDisks keeps the replicas that are needed within the largest group.
	maxLostDisks = 4
	// leastWindow leaves each tenth of a window some calls to count.
	leastWindow   = 100 * time.Millisecond
	addressAdvice = `give an IP number with a port, as in "10.1.0.5:7403"`
	nameAdvice    = "use lower case letters, digits and hyphens"
)

var (
	kebabName = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)
	logLevels = []LogLevel{"debug", "info", "warn", "error"}
)

type checker struct {
	source   *strictjson.Source
	settings *Settings
	faults   Faults
}

// fault adds a fault, unless the field has one already, as when it could not be
// read.
func (c *checker) fault(field, advice, problem string, values ...any) {
	for _, known := range c.faults {
		if known.Field == field {
			return
		}
	}
	c.faults = append(c.faults, c.source.Fault(field, fmt.Sprintf(problem, values...), advice))
}

func (c *checker) all() {
	loaded := c.settings
	c.name("node", string(loaded.Node))
	c.name("region", string(loaded.Region))
	c.name("failure-domain", string(loaded.FailureDomain))
	c.target()
	c.address("listen.peers", loaded.Listen.Peers, true)
	c.address("listen.admin", loaded.Listen.Admin, true)
	c.address("advertise.peers", loaded.Advertise.Peers, false)
	c.listenTwice()
	c.seeds()
	c.replica()
	c.security()
	c.platform()
	if !slices.Contains(logLevels, loaded.LogLevel) {
		c.fault("log-level", "use one of: debug, info, warn, error", "the level %q is unknown", loaded.LogLevel)
	}
}

func (c *checker) name(field, name string) {
	switch {
	case name == "":
		c.fault(field, nameAdvice, "is missing")
	case len(name) > maxName || !kebabName.MatchString(name):
		c.fault(field, nameAdvice, "%q is not a valid name", name)
	}
}

func (c *checker) target() {
	loaded := c.settings
	serves := loaded.Service != ""
	if serves {
		c.name("service", string(loaded.Service))
	}
	if !serves && !loaded.HoldsReplica() {
		c.fault("service", "name the service of the local target", "is missing, and the host holds no replica")
	}
	c.address("target", loaded.Target, serves)
	c.address("listen.callers", loaded.Listen.Callers, serves)
	c.address("listen.outbound", loaded.Listen.Outbound, serves && !loaded.OnPlatform())
	if !serves && loaded.Target != "" {
		c.fault("target", "name the service that it serves", "is given without a service")
	}
}

func (c *checker) address(field string, address Address, required bool) {
	if address == "" {
		if required {
			c.fault(field, addressAdvice, "is missing")
		}
		return
	}
	parsed, err := netip.ParseAddrPort(string(address))
	switch {
	case err != nil || parsed.Port() == 0:
		c.fault(field, addressAdvice, "%q is not an address", address)
	case parsed.Addr().IsUnspecified():
		c.fault(field, "give the IP number of the host, which others learn from here", "%q is no address that others can reach", address)
	}
}

func (c *checker) listenTwice() {
	listen := c.settings.Listen
	taken := make(map[Address]string)
	for _, one := range []struct {
		field   string
		address Address
	}{
		{"target", c.settings.Target},
		{"listen.callers", listen.Callers},
		{"listen.outbound", listen.Outbound},
		{"listen.peers", listen.Peers},
		{"listen.admin", listen.Admin},
		{"platform.control", c.settings.Platform.Control},
		{"platform.ready", c.settings.Platform.Ready},
	} {
		if other, used := taken[one.address]; used && one.address != "" {
			c.fault(one.field, "give each its own port", "%s is also the address of %s", one.address, other)
		}
		taken[one.address] = one.field
	}
}

func (c *checker) seeds() {
	if len(c.settings.Seeds) == 0 && !c.settings.HoldsReplica() {
		c.fault("seeds", "list the peer addresses of the replicas", "no replica is named")
	}
	for i, seed := range c.settings.Seeds {
		field := fmt.Sprintf("seeds[%d]", i)
		c.address(field, seed, true)
		if slices.Index(c.settings.Seeds, seed) < i {
			c.fault(field, "keep one of them", "%s is listed twice", seed)
		}
	}
}

func (c *checker) replica() {
	held := c.settings.Replica
	if !c.settings.HoldsReplica() {
		if c.source.Has("replica") {
			c.fault("replica.members", "list all hosts that hold replicas, this one included", "are missing")
		}
		return
	}
	if c.settings.DataFolder == "" {
		c.fault("data-folder", "name the folder on the disk of this host", "is missing, and the host holds a replica")
	}
	if held.FormsFromSeeds {
		c.formsFromSeeds()
		return
	}
	if held.InitialConfiguration == "" {
		c.fault("replica.initial-configuration", "name the file of the first version", "is missing")
	}
	self := false
	for i, member := range held.Members {
		c.member(fmt.Sprintf("replica.members[%d]", i), held.Members[:i], member)
		self = self || member.Node == c.settings.Node
	}
	if !self {
		c.fault("replica.members", "list this host too", "have no entry for %q", c.settings.Node)
	}
}

func (c *checker) formsFromSeeds() {
	held := c.settings.Replica
	if len(held.Members) > 0 {
		c.fault("replica.members", "take them out, or take out forms-from-seeds", "are given together with forms-from-seeds")
	}
	if len(c.settings.Seeds) == 0 {
		c.fault("seeds", "list the hosts that form the log", "are missing")
	}
	if held.LostDisks < 0 || held.LostDisks > maxLostDisks {
		c.fault("replica.lost-disks", fmt.Sprintf("give a number from 0 to %d", maxLostDisks), "%d is out of range", held.LostDisks)
	}
}

// platform checks the addresses of a platform and the bounds that it gives.
func (c *checker) platform() {
	loaded := c.settings
	c.address("platform.control", loaded.Platform.Control, loaded.Platform.Ready != "")
	c.address("platform.ready", loaded.Platform.Ready, loaded.OnPlatform() && loaded.Service != "")
	if loaded.Stop.Linger < 0 || loaded.Stop.Grace < 0 || loaded.Stop.Grace > 0 && loaded.Stop.Linger >= loaded.Stop.Grace {
		c.fault("stop.linger", "give a time below stop.grace", "%s is no time within %s", time.Duration(loaded.Stop.Linger), time.Duration(loaded.Stop.Grace))
	}
	if loaded.RetryBudget.Share < 0 || loaded.RetryBudget.Share > 1 {
		c.fault("retry-budget.share", "give a ratio from 0 to 1", "%v is out of range", loaded.RetryBudget.Share)
	}
	if loaded.RetryBudget.Window != 0 && time.Duration(loaded.RetryBudget.Window) < leastWindow {
		c.fault("retry-budget.window", "give a time of at least "+leastWindow.String(), "%s is too short", time.Duration(loaded.RetryBudget.Window))
	}
	if loaded.RetryBudget.Slack < 0 {
		c.fault("retry-budget.slack", "give a number of zero or more", "%v is out of range", loaded.RetryBudget.Slack)
	}
}

func (c *checker) member(field string, before []Member, member Member) {
	c.name(field+".node", string(member.Node))
	c.address(field+".address", member.Address, true)
	c.name(field+".failure-domain", string(member.FailureDomain))
	for _, other := range before {
		if other.Node == member.Node {
			c.fault(field+".node", "list each host once", "%q is listed twice", member.Node)
		}
		if other.Address == member.Address {
			c.fault(field+".address", "give each host its own address", "%s is listed twice", member.Address)
		}
	}
	if member.Node == c.settings.Node && member.Address != c.settings.PeerAddress() {
		c.fault(field+".address", "give the address of listen.peers, or of advertise.peers where that is given", "%s is not where this host listens", member.Address)
	}
}

func (c *checker) security() {
	security := c.settings.Security
	files := []struct{ field, path string }{
		{"security.authority", security.Authority},
		{"security.certificate", security.Certificate},
		{"security.key", security.Key},
	}
	for _, file := range files {
		switch {
		case security.Plaintext() && file.path != "":
			c.fault(file.field, "take it out, or take out the setting that allows plaintext", "is given together with plaintext")
		case !security.Plaintext() && file.path == "":
			c.fault(file.field, "name the file; `magnolia certificate create` makes it", "is missing")
		}
	}
	if security.PlaintextOnLoopback && !security.PlaintextOnClosedNetwork {
		c.loopbackOnly("listen.peers", c.settings.Listen.Peers)
		c.loopbackOnly("listen.admin", c.settings.Listen.Admin)
		c.loopbackOnly("advertise.peers", c.settings.Advertise.Peers)
		for i, seed := range c.settings.Seeds {
			c.loopbackOnly(fmt.Sprintf("seeds[%d]", i), seed)
		}
		for i, member := range c.settings.Replica.Members {
			c.loopbackOnly(fmt.Sprintf("replica.members[%d].address", i), member.Address)
		}
	}
}

func (c *checker) loopbackOnly(field string, address Address) {
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil || parsed.Addr().IsLoopback() {
		return
	}
	c.fault(field, "name certificate files under security, or use an address of the loopback range",
		"%s is not on loopback, and plaintext is only allowed there", address)
}
