package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

const (
	// linkSliceBytes is what a host sends to one host before it goes on with the next.
	linkSliceBytes = 16 << 10
	// messageOverheadBytes is counted for each message in addition to its size.
	messageOverheadBytes = 200
)

// linkModel gives messages a delay by their size. Messages from one host to another
// keep their order, except for those that random faults delay or duplicate.
type linkModel struct {
	cluster *testCluster
	// linkBytes is what a host can send in a tick, processorBytes what it can handle.
	linkBytes, processorBytes int
	random                    *rand.Rand
	// disorders enables delayed and duplicated messages.
	disorders bool

	now  int
	ends map[string]*linkEnd
	late []lateMessage
	// trace is a hash of the kinds and sizes of all messages in the order in which they
	// were sent.
	trace xxhash.Digest
}

// linkEnd is the state of the link and the processor of one host.
type linkEnd struct {
	sendCredit, processorCredit int
	// slowness divides what the host can handle.
	slowness int
	// outgoing are the messages that are not sent completely, by destination.
	outgoing map[string][]*sentMessage
	nextSlot int
	// inbox are the messages that have arrived or will arrive at their tick.
	inbox []arrivedMessage
	// lastArrival is the tick of the last arrival from each host.
	lastArrival map[string]int
}

type sentMessage struct {
	message   *quorumpb.Message
	size      int
	remaining int
}

type arrivedMessage struct {
	message *quorumpb.Message
	size    int
	tick    int
}

type lateMessage struct {
	address string
	arrivedMessage
}

func newLinkModel(cluster *testCluster, seed uint64) *linkModel {
	return &linkModel{
		cluster: cluster, linkBytes: smallLinkBytes, processorBytes: smallProcessorBytes,
		random: rand.New(rand.NewPCG(seed, 13)),
	}
}

func (links *linkModel) end(address string) *linkEnd {
	if links.ends == nil {
		links.ends = make(map[string]*linkEnd)
	}
	if links.ends[address] == nil {
		links.ends[address] = &linkEnd{
			slowness: 1, sendCredit: links.linkBytes, processorCredit: links.processorBytes,
			outgoing: make(map[string][]*sentMessage), lastArrival: make(map[string]int),
		}
	}
	return links.ends[address]
}

// reset drops what a host had not sent or handled when it stopped.
func (links *linkModel) reset(address string) {
	if links == nil {
		return
	}
	delete(links.ends, address)
	for _, end := range links.ends {
		delete(end.outgoing, address)
	}
}

func (links *linkModel) send(from, to string, message *quorumpb.Message) {
	size := proto.Size(message) + messageOverheadBytes
	_, _ = fmt.Fprintf(&links.trace, "%s to %s: %T of %d bytes in term %d\n", from, to, message.GetBody(), size, message.GetTerm())
	if links.disorders && links.random.IntN(duplicateOdds) == 0 {
		links.delay(to, proto.Clone(message).(*quorumpb.Message), size)
	}
	if links.disorders && links.random.IntN(delayOdds) == 0 {
		links.delay(to, message, size)
		return
	}
	end := links.end(from)
	end.outgoing[to] = append(end.outgoing[to], &sentMessage{message, size, size})
	links.transmit(from)
}

// delay delivers a message in a few ticks, in any order.
func (links *linkModel) delay(to string, message *quorumpb.Message, size int) {
	tick := links.now + 1
	for links.random.IntN(4) != 0 {
		tick++
	}
	links.late = append(links.late, lateMessage{to, arrivedMessage{message, size, tick}})
}

// transmit sends what a host may still send in this tick, to all destinations in
// turn.
func (links *linkModel) transmit(from string) {
	end := links.end(from)
	for idle := 0; end.sendCredit > 0 && idle < len(links.cluster.order); end.nextSlot++ {
		to := links.cluster.order[end.nextSlot%len(links.cluster.order)]
		if len(end.outgoing[to]) == 0 {
			idle++
			continue
		}
		idle = 0
		first := end.outgoing[to][0]
		sent := min(first.remaining, linkSliceBytes, end.sendCredit)
		first.remaining -= sent
		end.sendCredit -= sent
		if first.remaining == 0 {
			end.outgoing[to] = end.outgoing[to][1:]
			links.arrive(from, to, first)
		}
	}
}

// arrive lets a message arrive in this tick or the next, but not before an earlier
// message of the same host.
func (links *linkModel) arrive(from, to string, sent *sentMessage) {
	target := links.cluster.hosts[to]
	if target == nil || !target.up || links.cluster.blocked[[2]string{from, to}] {
		return
	}
	end := links.end(to)
	tick := max(links.now+links.random.IntN(2), end.lastArrival[from])
	end.lastArrival[from] = tick
	end.inbox = append(end.inbox, arrivedMessage{sent.message, sent.size, tick})
}

// advance begins a tick.
func (links *linkModel) advance() {
	if links == nil {
		return
	}
	links.now++
	for _, address := range links.cluster.order {
		end := links.end(address)
		end.sendCredit = links.linkBytes
		end.processorCredit = min(end.processorCredit, 0) + links.processorBytes/end.slowness
		if from := links.cluster.hosts[address]; from.up && !from.frozen {
			links.transmit(address)
		}
	}
	links.late = slices.DeleteFunc(links.late, func(late lateMessage) bool {
		if late.tick > links.now {
			return false
		}
		if target := links.cluster.hosts[late.address]; target != nil && target.up {
			end := links.end(late.address)
			end.inbox = append(end.inbox, late.arrivedMessage)
		}
		return true
	})
}

// deliver gives a host the messages that it can handle in this tick.
func (links *linkModel) deliver(to *host) {
	if links == nil {
		return
	}
	end := links.end(to.Address)
	end.inbox = slices.DeleteFunc(end.inbox, func(arrived arrivedMessage) bool {
		if arrived.tick > links.now || end.processorCredit <= 0 {
			return false
		}
		end.processorCredit -= arrived.size
		to.messenger.received <- arrived.message
		return true
	})
}
