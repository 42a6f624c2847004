package operator

import (
	"encoding/json"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Verb names one request of an operator.
type Verb string

// The verbs.
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

// Failure is the answer to a request that was not carried out.
type Failure struct {
	Error string `json:"error"`
	// InDoubt says that it may be carried out, now or later; the same request
	// is sent again to learn its outcome.
	InDoubt bool `json:"in-doubt,omitempty"`
}

// VersionQuery names a version; zero is the latest.
type VersionQuery struct {
	Version configuration.Version `json:"version"`
}

// Configuration is one version with its text.
type Configuration struct {
	VersionRow
	Text string `json:"text"`
}

// VersionRow says who made a version.
type VersionRow struct {
	Version  configuration.Version `json:"version"`
	Operator string                `json:"operator"`
	Note     string                `json:"note"`
	At       time.Time             `json:"at"`
	PatchID  string                `json:"patch-id"`
	Digest   string                `json:"digest"`
}

// VersionRange names the versions after one up to another.
type VersionRange struct {
	After configuration.Version `json:"after"`
	UpTo  configuration.Version `json:"up-to"`
	Most  int                   `json:"most"`
}

// Versions lists versions.
type Versions struct {
	Versions []VersionRow `json:"versions"`
}

// Change is one difference between two versions.
type Change struct {
	Field string `json:"field"`
	Text  string `json:"text"`
}

// VersionChange is a version with what it changed.
type VersionChange struct {
	VersionRow
	Changes []Change `json:"changes"`
}

// Difference lists what differs between two versions.
type Difference struct {
	From    configuration.Version `json:"from"`
	To      configuration.Version `json:"to"`
	Changes []Change              `json:"changes"`
}

// DifferenceQuery names two versions.
type DifferenceQuery struct {
	From configuration.Version `json:"from"`
	To   configuration.Version `json:"to"`
}

// Patch is a patch as an operator sends it. The id is made and stored before
// the first send, and is the same for each resend.
type Patch struct {
	ID         string                `json:"id"`
	Base       configuration.Version `json:"base"`
	Operator   string                `json:"operator"`
	Note       string                `json:"note"`
	Operations json.RawMessage       `json:"operations,omitempty"`
	// Text is the whole first configuration, with base zero.
	Text string `json:"text,omitempty"`
}

// PatchQuery names a patch.
type PatchQuery struct {
	ID string `json:"id"`
}

// The states of a patch.
const (
	StateAccepted     = "accepted"
	StateStale        = "stale"
	StateFaulty       = "faulty"
	StateOtherContent = "other-content"
	StateForgotten    = "forgotten"
)

// PatchOutcome tells how a patch ended.
type PatchOutcome struct {
	ID    string `json:"id"`
	State string `json:"state"`
	// Version is the accepted version, or the current one at a refusal.
	Version configuration.Version `json:"version"`
	Base    configuration.Version `json:"base"`
	Faults  []string              `json:"faults,omitempty"`
	// Since lists what was accepted after the base of a stale patch.
	Since []VersionChange `json:"since,omitempty"`
}

// PatchList lists the latest patches.
type PatchList struct {
	Patches []PatchOutcome `json:"patches"`
}

// Most bounds a list.
type Most struct {
	Most int `json:"most"`
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

// Targets lists targets.
type Targets struct {
	Targets []TargetRow `json:"targets"`
}

// NodeQuery names a node.
type NodeQuery struct {
	Node request.NodeID `json:"node"`
}

// Done answers a request that has nothing else to tell.
type Done struct {
	Done bool `json:"done"`
}

// DomainRow sums up one failure domain.
type DomainRow struct {
	Domain request.DomainName `json:"domain"`
	Nodes  int                `json:"nodes"`
	// InForce counts the nodes that have the latest version in force.
	InForce int `json:"in-force"`
	// Oldest is the oldest version in force at a node.
	Oldest configuration.Version `json:"oldest"`
	// Silent lists the nodes that were not heard of lately.
	Silent []request.NodeID `json:"silent"`
	// Reached says whether the domain's replica answers.
	Reached bool `json:"reached"`
}

// Status sums up the whole system.
type Status struct {
	Version configuration.Version `json:"version"`
	Leader  ReplicaID             `json:"leader"`
	Quorum  bool                  `json:"quorum"`
	Domains []DomainRow           `json:"domains"`
	// Replicas counts the members of the quorum, and Reached those that the
	// asked one reaches, itself included.
	Replicas int `json:"replicas"`
	Reached  int `json:"replicas-reached"`
	// Actions counts the actions whose outcome is in doubt.
	Actions int `json:"actions-in-doubt"`
}

// ActionRow is an action whose end is not known.
type ActionRow struct {
	Kind    request.KindName       `json:"kind"`
	Key     request.IdempotencyKey `json:"key"`
	Attempt string                 `json:"attempt"`
	Node    request.NodeID         `json:"node"`
	InDoubt bool                   `json:"in-doubt"`
}

// Actions lists actions.
type Actions struct {
	Actions []ActionRow `json:"actions"`
}

// Settlement is an operator's word on an action in doubt.
type Settlement struct {
	Kind     request.KindName       `json:"kind"`
	Key      request.IdempotencyKey `json:"key"`
	Attempt  string                 `json:"attempt"`
	Ran      bool                   `json:"ran"`
	Operator string                 `json:"operator"`
	Note     string                 `json:"note"`
}

// ReplicaID names a replica, in hexadecimal digits. It is never used again.
type ReplicaID string

// ReplicaRow is one replica of the control state.
type ReplicaRow struct {
	ID      ReplicaID          `json:"id"`
	Address string             `json:"address"`
	Domain  request.DomainName `json:"domain"`
	Role    string             `json:"role"`
	// Reached says that the asked replica has heard of it lately.
	Reached bool `json:"reached"`
}

// Replicas lists replicas, and names the one that answered.
type Replicas struct {
	Here       ReplicaID    `json:"here"`
	HereDomain string       `json:"here-domain"`
	Leader     ReplicaID    `json:"leader"`
	Replicas   []ReplicaRow `json:"replicas"`
}

// Replacement puts the replica at an address in the place of a lost one.
type Replacement struct {
	Lost    ReplicaID `json:"lost"`
	Address string    `json:"address"`
}
