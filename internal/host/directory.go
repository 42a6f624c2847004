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
func (se *seat) Targets(ctx context.Context) ([]operator.TargetRow, error) {
	records, err := se.records(ctx)
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

func (se *seat) records(ctx context.Context) ([]membership.Record, error) {
	var services []request.ServiceName
	err := se.Peek(ctx, func(machine *ledger.Machine) {
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
	return se.registry.Targets(ctx, services)
}

// Domains sums up the failure domains, by the latest version known here.
func (se *seat) Domains(ctx context.Context, latest configuration.Version) ([]operator.DomainRow, error) {
	domains, err := se.registry.Status(ctx)
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

// Drain asks a target's node to stop as planned.
func (se *seat) Drain(ctx context.Context, query operator.NodeQuery) error {
	records, err := se.records(ctx)
	if err != nil {
		return err
	}
	for _, record := range records {
		if record.Node == query.Node {
			return se.drainAt(ctx, peer.Address(record.Address))
		}
	}
	return fmt.Errorf("no target of node %s is known; look at the list of targets", query.Node)
}

func (se *seat) drainAt(ctx context.Context, address peer.Address) error {
	client := &control.Client{Transport: se.host.transport, Replicas: peer.At(address)}
	status, answer, err := client.Operate(ctx, drainHere, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("the node did not take it: %s", answer)
	}
	return nil
}

// Replicas lists the members of the quorum and this replica.
func (se *seat) Replicas(ctx context.Context) (operator.Replicas, error) {
	status, err := se.replica.Status(ctx)
	if err != nil {
		return operator.Replicas{}, err
	}
	silent, err := se.registry.Silent(ctx)
	if err != nil {
		return operator.Replicas{}, err
	}
	list := operator.Replicas{
		HereDomain: string(se.host.place.Domain),
		Here:       operator.ReplicaID(formatID(status.ID)),
	}
	if status.Leader != quorum.None {
		list.Leader = operator.ReplicaID(formatID(status.Leader))
	}
	for _, member := range status.Membership.Members {
		list.Replicas = append(list.Replicas, operator.ReplicaRow{
			ID:      operator.ReplicaID(formatID(member.ID)),
			Address: member.Address,
			Domain:  request.DomainName(member.FailureDomain),
			Role:    roleOf(member, status.Leader),
			Reached: member.ID == status.ID || se.reaches(peer.Address(member.Address), silent),
		})
	}
	return list, nil
}

// reaches tells whether another replica answers: one that hangs keeps its
// connection for a while.
func (se *seat) reaches(address peer.Address, silent []peer.Address) bool {
	return se.host.transport.Connected(address) && !slices.Contains(silent, address)
}

func roleOf(member quorum.Member, leader quorum.ReplicaID) string {
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

// ReplaceReplica puts the replica that listens at an address in the place of a
// lost one. It is passed on to the leader.
func (se *seat) ReplaceReplica(ctx context.Context, asked operator.Replacement) error {
	lost, err := strconv.ParseUint(string(asked.Lost), 16, 64)
	if err != nil {
		return fmt.Errorf("%q is no replica's id; look at the list of replicas", asked.Lost)
	}
	status, err := se.replica.Status(ctx)
	if err != nil {
		return err
	}
	if leader, known := status.Membership.Find(status.Leader); known && status.Role != quorum.Leader {
		_, err := operateAt[operator.Done](ctx, se, peer.Address(leader.Address), operator.ReplaceReplica, asked)
		return err
	}
	added, err := se.newMember(ctx, peer.Address(asked.Address))
	if err != nil {
		return err
	}
	err = se.replica.Replace(ctx, quorum.ReplicaID(lost), added)
	notLeader := &replica.NotLeaderError{}
	if errors.As(err, &notLeader) {
		return fmt.Errorf("the leader changed, try again: %w", err)
	}
	return err
}

// newMember asks the host at an address for its replica's id.
func (se *seat) newMember(ctx context.Context, address peer.Address) (quorum.Member, error) {
	there, err := operateAt[operator.Replicas](ctx, se, address, replicaHere, nil)
	if err != nil {
		return quorum.Member{}, fmt.Errorf("ask the new host at %s: %w", address, err)
	}
	id, err := strconv.ParseUint(string(there.Here), 16, 64)
	if err != nil || id == 0 {
		return quorum.Member{}, fmt.Errorf("the host at %s holds no replica", address)
	}
	return quorum.Member{ID: quorum.ReplicaID(id), Address: string(address), FailureDomain: there.HereDomain}, nil
}

// operateAt carries out a request at the replica of one address.
func operateAt[Answer any](ctx context.Context, se *seat, address peer.Address, verb operator.Verb, message any) (Answer, error) {
	var answer Answer
	body, err := json.Marshal(message)
	if err != nil {
		return answer, err
	}
	client := &control.Client{Transport: se.host.transport, Replicas: peer.At(address)}
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
