package registry

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

func encodeReports(reports []quarantine.Report) []*pb.Report {
	var encoded []*pb.Report
	for _, report := range reports {
		message := &pb.Report{
			Event:       uint32(report.Event),
			Node:        string(report.Crash.Node),
			Domain:      string(report.Crash.Domain),
			Incarnation: uint64(report.Crash.Incarnation),
			AgeMs:       uint64(report.Age / time.Millisecond),
		}
		for _, fingerprint := range report.Fingerprints {
			message.Fingerprints = append(message.Fingerprints, uint64(fingerprint))
		}
		encoded = append(encoded, message)
	}
	return encoded
}

func decodeReports(messages []*pb.Report) []quarantine.Report {
	var reports []quarantine.Report
	for _, message := range messages {
		report := quarantine.Report{
			Event: quarantine.Event(message.GetEvent()),
			Crash: quarantine.Crash{
				Node:        request.NodeID(message.GetNode()),
				Domain:      request.DomainName(message.GetDomain()),
				Incarnation: quarantine.Incarnation(message.GetIncarnation()),
			},
			Age: milliseconds(message.GetAgeMs()),
		}
		for _, fingerprint := range message.GetFingerprints() {
			report.Fingerprints = append(report.Fingerprints, request.Fingerprint(fingerprint))
		}
		reports = append(reports, report)
	}
	return reports
}

func encodeVersion(update distribution.Update) *pb.Version {
	encoded := &pb.Version{
		Base:       uint64(update.Base.Number),
		BaseDigest: uint64(update.Base.Digest),
		Number:     uint64(update.Number),
		Text:       update.Text,
		Digest:     uint64(update.Digest),
		Confirmed:  update.Confirmed,
	}
	for _, step := range update.Steps {
		encoded.Steps = append(encoded.Steps, &pb.Step{Number: uint64(step.Number), Patch: step.Patch, Digest: uint64(step.Digest)})
	}
	return encoded
}

func decodeVersion(message *pb.Version) distribution.Update {
	update := distribution.Update{
		Base:      distribution.VersionID{Number: configuration.Version(message.GetBase()), Digest: distribution.Digest(message.GetBaseDigest())},
		Number:    configuration.Version(message.GetNumber()),
		Text:      message.GetText(),
		Digest:    distribution.Digest(message.GetDigest()),
		Confirmed: message.GetConfirmed(),
	}
	for _, step := range message.GetSteps() {
		update.Steps = append(update.Steps, distribution.Step{
			Number: configuration.Version(step.GetNumber()),
			Patch:  step.GetPatch(),
			Digest: distribution.Digest(step.GetDigest()),
		})
	}
	return update
}

func encodeDomains(domains []distribution.DomainStatus) []*pb.Domain {
	var encoded []*pb.Domain
	for _, domain := range domains {
		message := &pb.Domain{Name: string(domain.Domain), OutOfReach: domain.OutOfReach}
		for _, counted := range domain.Versions {
			message.Versions = append(message.Versions, &pb.VersionCount{Number: uint64(counted.Number), Nodes: uint32(counted.Nodes)})
		}
		for _, node := range domain.Silent {
			message.Silent = append(message.Silent, string(node))
		}
		for _, restricted := range domain.Restricted {
			message.Restricted = append(message.Restricted, encodeRestricted(&restricted))
		}
		encoded = append(encoded, message)
	}
	return encoded
}

func encodeRestricted(target *distribution.RestrictedTarget) *pb.RestrictedTarget {
	if target == nil {
		return nil
	}
	return &pb.RestrictedTarget{
		Node:    string(target.Node),
		Leaving: target.Leaving,
		Limited: target.Limited,
		Limit:   float64(target.Limit),
		AgeMs:   uint64(target.Age.Milliseconds()),
		Refused: target.Refused,
	}
}

func decodeRestricted(message *pb.RestrictedTarget) *distribution.RestrictedTarget {
	if message == nil {
		return nil
	}
	return &distribution.RestrictedTarget{
		Node:    request.NodeID(message.GetNode()),
		Leaving: message.GetLeaving(),
		Limited: message.GetLimited(),
		Limit:   request.Rate(message.GetLimit()),
		Age:     milliseconds(message.GetAgeMs()),
		Refused: message.GetRefused(),
	}
}

func decodeDomains(messages []*pb.Domain) []distribution.DomainStatus {
	var domains []distribution.DomainStatus
	for _, message := range messages {
		domain := distribution.DomainStatus{Domain: request.DomainName(message.GetName()), OutOfReach: message.GetOutOfReach()}
		for _, counted := range message.GetVersions() {
			domain.Nodes += int(counted.GetNodes())
			domain.Versions = append(domain.Versions, distribution.VersionCount{
				Number: configuration.Version(counted.GetNumber()),
				Nodes:  int(counted.GetNodes()),
			})
		}
		for _, node := range message.GetSilent() {
			domain.Silent = append(domain.Silent, request.NodeID(node))
		}
		for _, restricted := range message.GetRestricted() {
			domain.Restricted = append(domain.Restricted, *decodeRestricted(restricted))
		}
		domains = append(domains, domain)
	}
	return domains
}

func encodeFlows(list []balancer.Flow) []*pb.Flow {
	var encoded []*pb.Flow
	for _, flow := range list {
		encoded = append(encoded, &pb.Flow{From: string(flow.From), To: string(flow.To), Rate: uint64(flow.Rate)})
	}
	return encoded
}

func decodeFlows(messages []*pb.Flow) []balancer.Flow {
	var list []balancer.Flow
	for _, message := range messages {
		list = append(list, balancer.Flow{
			From: request.RegionName(message.GetFrom()),
			To:   request.RegionName(message.GetTo()),
			Rate: balancer.Rate(message.GetRate()),
		})
	}
	return list
}
