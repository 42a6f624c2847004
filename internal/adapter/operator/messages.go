package operator

import (
	"encoding/json"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Verb is the name of an operator request; it is the last part of its URL path.
type Verb string

// The requests that operators can send.
const (
	ViewConfiguration  Verb = "view-configuration"
	CheckConfiguration Verb = "check-configuration"
	CreatePatch        Verb = "create-patch"
	ViewPatch          Verb = "view-patch"
	ListPatches        Verb = "list-patches"
	ListVersions       Verb = "list-versions"
	DiffVersions       Verb = "diff-versions"
	ListTargets        Verb = "list-targets"
	DrainTarget        Verb = "drain-target"
	ViewStatus         Verb = "view-status"
	ListActions        Verb = "list-actions"
	SettleAction       Verb = "settle-action"
	ListReplicas       Verb = "list-replicas"
	ReplaceReplica     Verb = "replace-replica"
)

// Failure is the response to a request that failed.
type Failure struct {
	Error string `json:"error"`
	// InDoubt reports that the request may still take effect, now or later.
	// Sending the same request again tells its outcome.
	InDoubt bool `json:"in-doubt,omitempty"`
}

// VersionQuery selects a version; zero selects the latest.
type VersionQuery struct {
	Version configuration.Version `json:"version"`
}

// Configuration is one version of the configuration with its text.
type Configuration struct {
	VersionRow
	Text string `json:"text"`
}

// VersionRow describes a version of the configuration: who created it, when and
// why.
type VersionRow struct {
	Version  configuration.Version `json:"version"`
	Operator string                `json:"operator"`
	Note     string                `json:"note"`
	At       time.Time             `json:"at"`
	PatchID  string                `json:"patch-id"`
	Digest   string                `json:"digest"`
}

// VersionRange selects the versions greater than After up to and including UpTo.
// Zero for UpTo means the latest version. Limit keeps only the latest of them;
// zero means the default.
type VersionRange struct {
	After configuration.Version `json:"after"`
	UpTo  configuration.Version `json:"up-to"`
	Limit int                   `json:"most"`
}

// Versions is a list of versions, oldest first.
type Versions struct {
	Versions []VersionRow `json:"versions"`
}

// Change is one field that differs between two versions.
type Change struct {
	Field string `json:"field"`
	Text  string `json:"text"`
}

// VersionChange is a version with the fields it changed.
type VersionChange struct {
	VersionRow
	Changes []Change `json:"changes"`
	// Unknown says that the texts of this version and the one before are not both stored,
	// so that Changes is empty.
	Unknown bool `json:"unknown,omitempty"`
}

// Difference lists the fields that differ between two versions.
type Difference struct {
	From    configuration.Version `json:"from"`
	To      configuration.Version `json:"to"`
	Changes []Change              `json:"changes"`
}

// DifferenceQuery selects two versions to compare; zero for To means the latest.
type DifferenceQuery struct {
	From configuration.Version `json:"from"`
	To   configuration.Version `json:"to"`
}

// Patch is a change to the configuration as an operator sends it. The client
// generates and stores the id before it first sends the patch, and resends the
// patch with the same id.
type Patch struct {
	ID         string                `json:"id"`
	Base       configuration.Version `json:"base"`
	Operator   string                `json:"operator"`
	Note       string                `json:"note"`
	Operations json.RawMessage       `json:"operations,omitempty"`
	// Text is the complete initial configuration; Base is zero with it.
	Text string `json:"text,omitempty"`
}

// PatchQuery selects a patch.
type PatchQuery struct {
	ID string `json:"id"`
}

// The values of PatchOutcome.State.
const (
	PatchAccepted     = "accepted"
	PatchStale        = "stale"
	PatchFaulty       = "faulty"
	PatchOtherContent = "other-content"
	PatchForgotten    = "forgotten"
)

// PatchOutcome is the outcome of a patch.
type PatchOutcome struct {
	ID    string `json:"id"`
	State string `json:"state"`
	// Version is the version that the patch created, or for a refused patch the
	// version that was current when it was refused.
	Version configuration.Version `json:"version"`
	Base    configuration.Version `json:"base"`
	Faults  []string              `json:"faults,omitempty"`
	// Since lists the versions accepted after the base of a stale patch.
	Since []VersionChange `json:"since,omitempty"`
}

// PatchList is a list of the most recently decided patches, oldest first.
type PatchList struct {
	Patches []PatchOutcome `json:"patches"`
}

// ListQuery limits the number of entries in a list; zero means the default.
type ListQuery struct {
	Limit int `json:"most"`
}

// TargetRow is one instance of a service.
type TargetRow struct {
	Service request.ServiceName `json:"service"`
	Node    request.NodeID      `json:"node"`
	Region  request.RegionName  `json:"region"`
	Domain  request.DomainName  `json:"domain"`
	Address string              `json:"address"`
	State   string              `json:"state"`
	Slots   int                 `json:"slots"`
}

// Targets is a list of targets.
type Targets struct {
	Targets []TargetRow `json:"targets"`
}

// NodeQuery selects a node.
type NodeQuery struct {
	Node request.NodeID `json:"node"`
}

// Done is the response to a request that returns no data. It is also sent as the
// body of a request that has no parameters.
type Done struct {
	Done bool `json:"done"`
}

// DomainRow summarizes one failure domain.
type DomainRow struct {
	Domain request.DomainName `json:"domain"`
	Nodes  int                `json:"nodes"`
	// InForce is the number of nodes that run the latest version.
	InForce int `json:"in-force"`
	// Oldest is the oldest version that any node runs.
	Oldest configuration.Version `json:"oldest"`
	// Silent lists the nodes that have not reported recently.
	Silent []request.NodeID `json:"silent"`
	// Reached reports whether the replica of the domain answers.
	Reached bool `json:"reached"`
	// Restricted lists the targets that state a rate limit, or that they are leaving.
	Restricted []RestrictedRow `json:"restricted,omitempty"`
}

// RestrictedRow describes a target that states in its answers that it takes only so many
// calls per second, or that it is leaving.
type RestrictedRow struct {
	Node    request.NodeID `json:"node"`
	Leaving bool           `json:"leaving"`
	Limited bool           `json:"limited"`
	Limit   request.Rate   `json:"limit"`
	// AgeSeconds is the time since the target last stated the limit.
	AgeSeconds float64 `json:"age-seconds"`
	// Refused is the number of calls refused by the limit since the node started.
	Refused uint64 `json:"refused"`
}

// Status summarizes the whole system.
type Status struct {
	Version configuration.Version `json:"version"`
	Leader  ReplicaID             `json:"leader"`
	Quorum  bool                  `json:"quorum"`
	Domains []DomainRow           `json:"domains"`
	// Replicas is the number of members of the quorum. Reached is the number of
	// them that the answering replica can reach, itself included.
	Replicas int `json:"replicas"`
	Reached  int `json:"replicas-reached"`
	// Actions is the number of actions whose outcome is in doubt.
	Actions int `json:"actions-in-doubt"`
}

// ActionRow is a non-repeatable action without a recorded outcome.
type ActionRow struct {
	Kind request.KindName `json:"kind"`
	// Customer is the customer whose action it is; empty means none.
	Customer request.CustomerName   `json:"customer,omitempty"`
	Key      request.IdempotencyKey `json:"key"`
	Attempt  string                 `json:"attempt"`
	Node     request.NodeID         `json:"node"`
	InDoubt  bool                   `json:"in-doubt"`
}

// Actions is a list of actions.
type Actions struct {
	Actions []ActionRow `json:"actions"`
}

// Settlement records what an operator found out about an action in doubt: Ran
// reports whether it was executed.
type Settlement struct {
	Kind request.KindName `json:"kind"`
	// Customer is the customer whose action it is; empty means none.
	Customer request.CustomerName   `json:"customer,omitempty"`
	Key      request.IdempotencyKey `json:"key"`
	Attempt  string                 `json:"attempt"`
	Ran      bool                   `json:"ran"`
	Operator string                 `json:"operator"`
	Note     string                 `json:"note"`
}

// ReplicaID identifies a replica, in hexadecimal digits. An id is never reused.
type ReplicaID string

// ReplicaRow is one member of the quorum that stores the control state.
type ReplicaRow struct {
	ID      ReplicaID          `json:"id"`
	Address string             `json:"address"`
	Domain  request.DomainName `json:"domain"`
	Role    string             `json:"role"`
	// Reached reports whether the answering replica has heard from this one
	// recently.
	Reached bool `json:"reached"`
}

// Replicas is a list of replicas. Self and SelfDomain are the id and the failure
// domain of the replica that answered.
type Replicas struct {
	Self       ReplicaID    `json:"here"`
	SelfDomain string       `json:"here-domain"`
	Leader     ReplicaID    `json:"leader"`
	Replicas   []ReplicaRow `json:"replicas"`
}

// Replacement replaces a lost replica by the one at an address.
type Replacement struct {
	Lost    ReplicaID `json:"lost"`
	Address string    `json:"address"`
}
