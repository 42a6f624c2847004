package replica

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// messageFaults delays and duplicates the messages between the hosts of a history.
type messageFaults struct {
	random  *rand.Rand
	delayed []delayedMessage
	// trace is a hash of all messages in the order in which they were sent.
	trace xxhash.Digest
}

type delayedMessage struct {
	address string
	message *quorumpb.Message
}

// One in so many messages, or crashes, has the fault.
const (
	delayOdds     = 25
	duplicateOdds = 25
	tornWriteOdds = 2
)

// intercept delays a message, and returns true, or a copy of it.
func (faults *messageFaults) intercept(address string, message *quorumpb.Message) bool {
	if faults == nil {
		return false
	}
	content, _ := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	_, _ = faults.trace.WriteString(address)
	_, _ = faults.trace.Write(content)
	if faults.random.IntN(duplicateOdds) == 0 {
		faults.delayed = append(faults.delayed, delayedMessage{address, proto.Clone(message).(*quorumpb.Message)})
	}
	if faults.random.IntN(delayOdds) == 0 {
		faults.delayed = append(faults.delayed, delayedMessage{address, message})
		return true
	}
	return false
}

// clusterHistory is a cluster of six or nine hosts whose acknowledged commands are
// compared with a plain list.
type clusterHistory struct {
	*seedCluster
	random *rand.Rand
	// acknowledged lists the commands in the order of their acknowledgements.
	acknowledged []string
	// acknowledgedBefore lists, for each command, those acknowledged before it was sent.
	acknowledgedBefore map[string][]string
	unacknowledged     map[string]*proposal
	lastNumber         int
	violation          error
}

// check records the first violated condition.
func (history *clusterHistory) check(holds bool, format string, values ...any) {
	if !holds && history.violation == nil {
		history.violation = fmt.Errorf(format, values...)
	}
}

// step runs one round and records the commands that were acknowledged.
func (history *clusterHistory) step() {
	history.deliverDelayed()
	history.runRound()
	for _, command := range slices.Sorted(maps.Keys(history.unacknowledged)) {
		sent := history.unacknowledged[command]
		if len(sent.done) == 0 {
			continue
		}
		if result := <-sent.done; result.err == nil {
			history.acknowledged = append(history.acknowledged, command)
		}
		delete(history.unacknowledged, command)
	}
}

func (history *clusterHistory) steps(count int) {
	for range count {
		history.step()
	}
}

func (history *clusterHistory) deliverDelayed() {
	if history.faults == nil {
		return
	}
	var remaining []delayedMessage
	for _, delayed := range history.faults.delayed {
		target := history.hosts[delayed.address]
		switch {
		case history.random.IntN(4) != 0:
			remaining = append(remaining, delayed)
		case target != nil && target.up:
			select {
			case target.messenger.received <- delayed.message:
			default:
			}
		}
	}
	history.faults.delayed = remaining
}

// send proposes a command at a random host, if that is up.
func (history *clusterHistory) send() {
	history.sendWith("")
}

// sendWith proposes a command with a suffix that [commandList] does not list.
func (history *clusterHistory) sendWith(suffix string) {
	at := history.hosts[history.order[history.random.IntN(len(history.order))]]
	if !at.up {
		return
	}
	history.lastNumber++
	command := fmt.Sprint("command-", history.lastNumber)
	history.acknowledgedBefore[command] = slices.Clone(history.acknowledged)
	history.unacknowledged[command] = history.submit(at, command+suffix)
}

// awaitWhole runs rounds until the group is whole.
func (history *clusterHistory) awaitWhole(when string) {
	for range 1500 {
		if history.isWhole() {
			return
		}
		history.step()
	}
	history.check(false, "%s: the group did not become whole again", when)
}

// crash stops a host; a write in progress may leave a torn record.
func (history *clusterHistory) crash(address string) {
	history.stop(address)
	newest := ""
	files := history.hosts[address].disk.files
	for name := range files {
		if strings.HasPrefix(name, "log-") && name > newest {
			newest = name
		}
	}
	if newest != "" && history.random.IntN(tornWriteOdds) == 0 {
		torn := make([]byte, 1+history.random.IntN(40))
		for index := range torn {
			torn[index] = byte(history.random.Uint32())
		}
		files[newest] = append(files[newest], torn...)
	}
}

// The faults of a history. None of them loses more disks than the group tolerates.
var hostFaults = []func(*clusterHistory){
	(*clusterHistory).loseDisks,
	(*clusterHistory).crashAll,
	(*clusterHistory).partitionInTwo,
	(*clusterHistory).replaceHost,
	(*clusterHistory).crashLeader,
}

// loseDisks crashes hosts soon after a command was sent; some restart without
// their disks.
func (history *clusterHistory) loseDisks() {
	affected := history.random.Perm(len(history.order))[:1+history.random.IntN(maxLostDisks)]
	history.send()
	history.steps(history.random.IntN(6))
	for _, index := range affected {
		history.crash(history.order[index])
	}
	history.steps(history.random.IntN(60))
	history.send()
	for _, index := range affected {
		if history.random.IntN(2) == 0 {
			history.loseDisk(history.order[index])
		}
		history.startWithSeeds(history.order[index], false)
	}
}

// crashAll crashes all hosts; some lose their disks, no more than are tolerated.
func (history *clusterHistory) crashAll() {
	history.send()
	history.steps(history.random.IntN(6))
	for _, address := range history.order {
		history.crash(address)
	}
	lost := history.random.Perm(len(history.order))[:history.random.IntN(maxLostDisks+1)]
	for _, index := range lost {
		history.loseDisk(history.order[index])
	}
	for _, index := range history.random.Perm(len(history.order)) {
		history.startWithSeeds(history.order[index], false)
		history.steps(history.random.IntN(3))
	}
}

// partitionInTwo blocks the links between two halves, and some links within them,
// and sends commands meanwhile.
func (history *clusterHistory) partitionInTwo() {
	for index, from := range history.order {
		for other, to := range history.order {
			blockAnyway := history.random.IntN(8) == 0
			if (index < len(history.order)/2) != (other < len(history.order)/2) || blockAnyway && index != other {
				history.blocked[[2]string{from, to}] = true
			}
		}
	}
	for range 3 {
		history.send()
		history.steps(history.random.IntN(30))
	}
	history.blocked = map[[2]string]bool{}
}

// replaceHost stops a host for good and starts an empty one in its failure domain.
func (history *clusterHistory) replaceHost() {
	index := len(history.seeds) + history.random.IntN(len(history.order)-len(history.seeds))
	oldAddress := history.order[index]
	history.crash(oldAddress)
	history.steps(history.random.IntN(10))
	history.lastNumber++
	newAddress := fmt.Sprintf("%s-%d", oldAddress[:len("host-0")], history.lastNumber)
	history.order[index] = newAddress
	history.loseDisk(newAddress)
	history.startWithSeeds(newAddress, false)
	history.send()
}

func (history *clusterHistory) crashLeader() {
	history.send()
	history.steps(history.random.IntN(4))
	leader := history.leader()
	if leader == nil {
		return
	}
	history.crash(leader.Address)
	history.send()
	history.steps(history.random.IntN(40))
	history.startWithSeeds(leader.Address, false)
}

// checkRead compares what a read sees with what was acknowledged.
func (history *clusterHistory) checkRead() {
	seen := history.read(history.leader())
	at := make(map[string]int, len(seen))
	for index, command := range seen {
		at[command] = index
	}
	for _, command := range history.acknowledged {
		place, kept := at[command]
		history.check(kept, "%s was acknowledged and is gone", command)
		for _, earlier := range history.acknowledgedBefore[command] {
			history.check(at[earlier] < place, "%s stands before %s, which was acknowledged when it was sent", command, earlier)
		}
	}
}

// runHistory returns a hash of all messages of a history, and the first violated
// condition.
func runHistory(t *testing.T, seed uint64) (uint64, error) {
	random := rand.New(rand.NewPCG(seed, 11))
	history := &clusterHistory{
		seedCluster: newSeedCluster(t, 6+3*random.IntN(2)), random: random,
		acknowledgedBefore: map[string][]string{}, unacknowledged: map[string]*proposal{},
	}
	history.faults = &messageFaults{random: random}
	history.awaitWhole("at first")
	for range 1 + random.IntN(2) {
		kind := random.IntN(len(hostFaults))
		hostFaults[kind](history)
		history.awaitWhole(fmt.Sprint("after trouble ", kind))
	}
	if history.violation == nil {
		history.checkRead()
	}
	return history.faults.trace.Sum64(), history.violation
}

// historyShards is the number of parallel subtests that share the histories.
const historyShards = 8

// Whatever tolerated faults happen to a group, with delayed, duplicated and lost
// messages and torn files, it becomes whole again and keeps the acknowledged
// commands in their order. A failure names the seed of its history.
func TestHistoriesOfAGroup(t *testing.T) {
	for part := range historyShards {
		t.Run(fmt.Sprint("part ", part), func(t *testing.T) {
			t.Parallel()
			for number := part; number < historyCount(); number += historyShards {
				seed := uint64(suite.Seed()) + uint64(number)
				if _, err := runHistory(t, seed); err != nil {
					t.Fatalf("history with seed %d: %v", seed, err)
				}
			}
		})
	}
}

// historyCount is MAGNOLIAWALL_HISTORIES, or else the default.
func historyCount() int {
	if count, err := strconv.Atoi(os.Getenv("MAGNOLIAWALL_HISTORIES")); err == nil {
		return count
	}
	return defaultHistoryCount
}

// One seed gives one history, so that a failure can be reproduced.
func TestHistoryIsDeterministic(t *testing.T) {
	for seed := range uint64(40) {
		once, _ := runHistory(t, seed)
		again, _ := runHistory(t, seed)
		gomega.NewWithT(t).Expect(again).To(gomega.Equal(once), "seed %d", seed)
	}
}

// Checks that the histories can fail: hosts that lost all of their disks and were
// started as a new cluster have lost what they acknowledged, and checkRead reports
// it.
func TestHistoryDetectsLostCommand(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	history := &clusterHistory{
		seedCluster: newSeedCluster(t, 6), random: rand.New(rand.NewPCG(1, 1)),
		acknowledgedBefore: map[string][]string{}, unacknowledged: map[string]*proposal{},
	}
	history.faults = &messageFaults{random: history.random}
	history.awaitWhole("at first")
	history.send()
	history.steps(100)
	expect(history.acknowledged).To(gomega.HaveLen(1))
	for _, address := range history.order {
		history.crash(address)
		history.loseDisk(address)
	}
	for _, address := range history.order {
		history.startWithSeeds(address, true)
	}
	history.awaitWhole("anew")
	history.checkRead()
	expect(history.violation).To(gomega.MatchError(gomega.ContainSubstring("command-1 was acknowledged and is gone")))
}
