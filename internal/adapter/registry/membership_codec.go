package registry

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

func encodeAnnouncement(announcement membership.Announcement) *pb.Announcement {
	return &pb.Announcement{
		Node:        string(announcement.Node),
		Incarnation: uint64(announcement.Incarnation),
		Sequence:    uint64(announcement.Sequence),
		Address:     announcement.Address,
		Region:      string(announcement.Place.Region),
		Domain:      string(announcement.Place.Domain),
		Service:     string(announcement.Service),
		Slots:       uint32(announcement.Slots),
		State:       uint32(announcement.State),
	}
}

func decodeAnnouncement(message *pb.Announcement) membership.Announcement {
	return membership.Announcement{
		Node:        request.NodeID(message.GetNode()),
		Incarnation: membership.Incarnation(message.GetIncarnation()),
		Sequence:    membership.Sequence(message.GetSequence()),
		Address:     message.GetAddress(),
		Place:       request.Place{Region: request.RegionName(message.GetRegion()), Domain: request.DomainName(message.GetDomain())},
		Service:     request.ServiceName(message.GetService()),
		Slots:       membership.Slots(message.GetSlots()),
		State:       membership.State(message.GetState()),
	}
}

func encodeRecords(records []membership.Record) []*pb.Record {
	encoded := make([]*pb.Record, 0, len(records))
	for _, record := range records {
		encoded = append(encoded, &pb.Record{
			Announcement: encodeAnnouncement(record.Announcement),
			Holder:       string(record.Holder),
			Gone:         record.Gone,
			Hidden:       record.Hidden,
		})
	}
	return encoded
}

func decodeRecords(messages []*pb.Record) []membership.Record {
	records := make([]membership.Record, 0, len(messages))
	for _, message := range messages {
		records = append(records, membership.Record{
			Announcement: decodeAnnouncement(message.GetAnnouncement()),
			Holder:       request.NodeID(message.GetHolder()),
			Gone:         message.GetGone(),
			Hidden:       message.GetHidden(),
		})
	}
	return records
}

func encodeUpdate(update membership.Update) *pb.Update {
	encoded := &pb.Update{
		Epoch:   uint64(update.Epoch),
		From:    uint64(update.From),
		To:      uint64(update.To),
		Answer:  update.Answer,
		Records: encodeRecords(update.Records),
	}
	for _, list := range update.Lists {
		encoded.Lists = append(encoded.Lists, &pb.List{
			Service: string(list.Service),
			Digest:  uint64(list.Digest),
			Whole:   list.HasRecords,
			Partial: list.MayLackRecords,
			Records: encodeRecords(list.Records),
		})
	}
	return encoded
}

func decodeUpdate(message *pb.Update) membership.Update {
	update := membership.Update{
		Epoch:   membership.Epoch(message.GetEpoch()),
		From:    membership.Sequence(message.GetFrom()),
		To:      membership.Sequence(message.GetTo()),
		Answer:  message.GetAnswer(),
		Records: decodeRecords(message.GetRecords()),
	}
	for _, list := range message.GetLists() {
		update.Lists = append(update.Lists, membership.List{
			Service:        request.ServiceName(list.GetService()),
			Digest:         membership.Digest(list.GetDigest()),
			HasRecords:     list.GetWhole(),
			MayLackRecords: list.GetPartial(),
			Records:        decodeRecords(list.GetRecords()),
		})
	}
	return update
}

func encodeSubscription(subscription membership.Subscription) *pb.Subscription {
	encoded := &pb.Subscription{}
	for _, service := range subscription.Services {
		encoded.Services = append(encoded.Services, string(service))
	}
	for _, digest := range subscription.HeldDigests {
		encoded.Held = append(encoded.Held, uint64(digest))
	}
	return encoded
}

func decodeSubscription(message *pb.Subscription) membership.Subscription {
	subscription := membership.Subscription{}
	for _, service := range message.GetServices() {
		subscription.Services = append(subscription.Services, request.ServiceName(service))
	}
	for _, digest := range message.GetHeld() {
		subscription.HeldDigests = append(subscription.HeldDigests, membership.Digest(digest))
	}
	return subscription
}

func encodeLease(lease membership.Lease) *pb.Lease {
	return &pb.Lease{
		GrantedMs:    uint64(lease.Duration.Milliseconds()),
		Again:        lease.RegisterAgain,
		Incarnation:  uint64(lease.MinIncarnation),
		Above:        uint64(lease.AboveSequence),
		RetryAfterMs: uint64(lease.RetryAfter.Milliseconds()),
		Epoch:        uint64(lease.Epoch),
		Sent:         uint64(lease.SentSequence),
	}
}

func decodeLease(message *pb.Lease) membership.Lease {
	return membership.Lease{
		Duration:       milliseconds(message.GetGrantedMs()),
		RegisterAgain:  message.GetAgain(),
		MinIncarnation: membership.Incarnation(message.GetIncarnation()),
		AboveSequence:  membership.Sequence(message.GetAbove()),
		RetryAfter:     milliseconds(message.GetRetryAfterMs()),
		Epoch:          membership.Epoch(message.GetEpoch()),
		SentSequence:   membership.Sequence(message.GetSent()),
	}
}

// milliseconds converts a count from a peer, limited to one hour.
func milliseconds(count uint64) time.Duration {
	return time.Duration(min(count, uint64(time.Hour/time.Millisecond))) * time.Millisecond
}

func encodePlaces(replicas []Replica) []*pb.ReplicaPlace {
	encoded := make([]*pb.ReplicaPlace, 0, len(replicas))
	for _, replica := range replicas {
		encoded = append(encoded, &pb.ReplicaPlace{Address: string(replica.Address), Domain: string(replica.Domain)})
	}
	return encoded
}

func decodePlaces(messages []*pb.ReplicaPlace) []peer.ReplicaPlace {
	places := make([]peer.ReplicaPlace, 0, len(messages))
	for _, message := range messages {
		places = append(places, peer.ReplicaPlace{Address: peer.Address(message.GetAddress()), Domain: request.DomainName(message.GetDomain())})
	}
	return places
}
