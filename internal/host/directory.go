package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/magnoliawall/magnoliawall/internal/adapter/control"
	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/replica"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Targets lists the live targets of all services.
func (plane *controlPlane) Targets(ctx context.Context) ([]operator.TargetRow, error) {
	records, err := plane.targetRecords(ctx)
	if err != nil {
		return nil, err
	}
	rows := make([]operator.TargetRow, 0, len(records))
	for _, record := range records {
		rows = append(rows, operator.TargetRow{
			Service: record.Service,
			Node:    record.Node,
			Region:  record.Place.Region,
			Domain:  record.Place.Domain,
			Address: record.Address,
			State:   record.State.String(),
			Slots:   int(record.Slots),
		})
	}
	return rows, nil
}

func (plane *controlPlane) targetRecords(ctx context.Context) ([]membership.Record, error) {
	var services []request.ServiceName
	err := plane.Peek(ctx, func(machine *ledger.Machine) {
		_, text := machine.CurrentVersion()
		if document, err := configuration.Parse(text); err == nil {
			for name := range document.Services {
				services = append(services, name)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return plane.registry.Targets(ctx, services)
}

// Domains summarizes the nodes of each failure domain. InForce counts the nodes
// at which the latest version is active.
func (plane *controlPlane) Domains(ctx context.Context, latest configuration.Version) ([]operator.DomainRow, error) {
	domains, err := plane.registry.Status(ctx)
	if err != nil {
		return nil, err
	}
	rows := make([]operator.DomainRow, 0, len(domains))
	for _, domain := range domains {
		rows = append(rows, domainRow(domain, latest))
	}
	return rows, nil
}

func domainRow(domain distribution.DomainStatus, latest configuration.Version) operator.DomainRow {
	row := operator.DomainRow{Domain: domain.Domain, Nodes: domain.Nodes, Silent: domain.Silent, Reached: !domain.OutOfReach}
	for _, target := range domain.Restricted {
		row.Restricted = append(row.Restricted, operator.RestrictedRow{
			Node: target.Node, Leaving: target.Leaving, Limited: target.Limited, Limit: target.Limit,
			AgeSeconds: target.Age.Seconds(), Refused: target.Refused,
		})
	}
	for _, count := range domain.Versions {
		if row.Oldest == 0 {
			row.Oldest = count.Number
		}
		if count.Number == latest && latest > 0 {
			row.InForce += count.Nodes
		}
	}
	return row
}

// Drain asks a target's node to drain and stop.
func (plane *controlPlane) Drain(ctx context.Context, query operator.NodeQuery) error {
	records, err := plane.targetRecords(ctx)
	if err != nil {
		return err
	}
	for _, record := range records {
		if record.Node == query.Node {
			return plane.drainNode(ctx, peer.Address(record.Address))
		}
	}
	return fmt.Errorf("no target of node %s is known; check the list of targets", query.Node)
}

func (plane *controlPlane) drainNode(ctx context.Context, address peer.Address) error {
	client := &control.Client{Transport: plane.host.transport, Replicas: peer.NewDirectory(address)}
	status, answer, err := client.Operate(ctx, drainHereVerb, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("the node refused to drain: %s", answer)
	}
	return nil
}

// Replicas lists the members of the group, and says which one is this replica.
func (plane *controlPlane) Replicas(ctx context.Context) (operator.Replicas, error) {
	status, err := plane.replica.Status(ctx)
	if err != nil {
		return operator.Replicas{}, err
	}
	silent, err := plane.registry.SilentReplicas(ctx)
	if err != nil {
		return operator.Replicas{}, err
	}
	list := operator.Replicas{
		SelfDomain: string(plane.host.place.Domain),
		Self:       operator.ReplicaID(formatID(status.ID)),
	}
	if status.Leader != quorum.None {
		list.Leader = operator.ReplicaID(formatID(status.Leader))
	}
	for _, member := range status.Membership.Members {
		list.Replicas = append(list.Replicas, operator.ReplicaRow{
			ID:      operator.ReplicaID(formatID(member.ID)),
			Address: member.Address,
			Domain:  request.DomainName(member.FailureDomain),
			Role:    roleName(member, status.Leader),
			Reached: member.ID == status.ID || plane.isReached(peer.Address(member.Address), silent),
		})
	}
	return list, nil
}

// isReached tells whether another replica answers. A connection alone does not
// show it: that of a replica that hangs stays open for a while.
func (plane *controlPlane) isReached(address peer.Address, silent []peer.Address) bool {
	return plane.host.transport.Connected(address) && !slices.Contains(silent, address)
}

func roleName(member quorum.Member, leader quorum.ReplicaID) string {
	switch {
	case member.ID == leader:
		return "leader"
	case member.Learner:
		return "learner"
	}
	return "voter"
}

func formatID(id quorum.ReplicaID) string {
	return strconv.FormatUint(uint64(id), 16)
}

// ReplaceReplica replaces a lost replica by the one that listens at an address.
// A replica that does not lead forwards the request to the leader.
func (plane *controlPlane) ReplaceReplica(ctx context.Context, request operator.Replacement) error {
	lost, err := strconv.ParseUint(string(request.Lost), 16, 64)
	if err != nil {
		return fmt.Errorf("%q is no replica's id; check the list of replicas", request.Lost)
	}
	status, err := plane.replica.Status(ctx)
	if err != nil {
		return err
	}
	if leader, known := status.Membership.Find(status.Leader); known && status.Role != quorum.Leader {
		_, err := operateAt[operator.Done](ctx, plane, peer.Address(leader.Address), operator.ReplaceReplica, request)
		return err
	}
	added, err := plane.memberAt(ctx, peer.Address(request.Address))
	if err != nil {
		return err
	}
	err = plane.replica.Replace(ctx, quorum.ReplicaID(lost), added)
	notLeader := &replica.NotLeaderError{}
	if errors.As(err, &notLeader) {
		return fmt.Errorf("the leader changed during the request, try again: %w", err)
	}
	return err
}

// memberAt asks the host at an address for the id of its replica.
func (plane *controlPlane) memberAt(ctx context.Context, address peer.Address) (quorum.Member, error) {
	replicas, err := operateAt[operator.Replicas](ctx, plane, address, replicaHereVerb, nil)
	if err != nil {
		return quorum.Member{}, fmt.Errorf("ask the host at %s for its replica: %w", address, err)
	}
	id, err := strconv.ParseUint(string(replicas.Self), 16, 64)
	if err != nil || id == 0 {
		return quorum.Member{}, fmt.Errorf("the host at %s holds no replica", address)
	}
	return quorum.Member{ID: quorum.ReplicaID(id), Address: string(address), FailureDomain: replicas.SelfDomain}, nil
}

// operateAt sends an operator request to the replica at an address.
func operateAt[Answer any](ctx context.Context, plane *controlPlane, address peer.Address, verb operator.Verb, message any) (Answer, error) {
	var answer Answer
	body, err := json.Marshal(message)
	if err != nil {
		return answer, err
	}
	client := &control.Client{Transport: plane.host.transport, Replicas: peer.NewDirectory(address)}
	status, content, err := client.Operate(ctx, string(verb), body)
	if err != nil {
		return answer, err
	}
	if status != http.StatusOK {
		failure := operator.Failure{}
		if json.Unmarshal(content, &failure) != nil || failure.Error == "" {
			failure.Error = string(content)
		}
		return answer, errors.New(failure.Error)
	}
	return answer, json.Unmarshal(content, &answer)
}
