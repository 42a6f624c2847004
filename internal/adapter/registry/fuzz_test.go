package registry

import (
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/magnoliawall/magnoliawall/internal/core/membership/membershippb"
)

// FuzzMessages passes arbitrary bytes to both ends as a message of the other.
func FuzzMessages(f *testing.F) {
	seeds := []proto.Message{
		&pb.Request{Join: true, Leave: true, Announce: &pb.Announcement{Node: "a", Incarnation: 1, Sequence: 1}, Renew: &pb.Renewal{Version: 9}},
		&pb.Request{Subscribe: &pb.Subscription{Services: []string{"a", "b"}, Held: []uint64{1}}, Reports: []*pb.Report{{Event: 9, Fingerprints: []uint64{0, 1}}}},
		&pb.Reply{Lease: &pb.Lease{Again: true, Incarnation: 1<<64 - 1, Above: 1<<64 - 1, RetryAfterMs: 1<<64 - 1}, Beat: &pb.Beat{Domains: []*pb.Domain{nil, {}}}},
		&pb.Reply{Updates: []*pb.Update{{Answer: true, Lists: []*pb.List{{Whole: true, Records: []*pb.Record{{}, {Hidden: true, Gone: true}}}}}, {From: 9}}},
		&pb.Reply{Version: &pb.Version{Number: 3, Steps: []*pb.Step{{Number: 1, Patch: []byte("[")}, {Number: 2}}}},
	}
	for _, seed := range seeds {
		payload, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
	}
	f.Fuzz(func(_ *testing.T, payload []byte) {
		fleet, targets, _ := newSmallFleet()
		toReplica, toNode := &pb.Request{}, &pb.Reply{}
		if proto.Unmarshal(payload, toReplica) == nil {
			fleet.send(targets[0], toReplica)
		}
		if proto.Unmarshal(payload, toNode) == nil {
			targets[1].agent.receive(fleet.now, toNode)
			fleet.replicas[0].hub.receiveFromReplica(fleet.now, "replica-1", toNode)
		}
		fleet.advance(TickInterval, nil)
	})
}
