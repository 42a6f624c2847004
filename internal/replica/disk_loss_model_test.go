package replica

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// electionRounds is how long two elections may take.
const electionRounds = 40

// leaderRounds is how long there may be no leader: two elections, the first without a
// winner, and delayed messages.
const leaderRounds = electionRounds + 20

// lossHistory is a history of a group whose hosts are lost again and again, never
// more at one time than is tolerated. It keeps the account of who counts as lost.
type lossHistory struct {
	*clusterHistory
	lostDisks int
	// textBytes is the greatest size of a command.
	textBytes int
	// lostUntil is the tick from which a host does not count as lost any more.
	lostUntil map[string]int
	// startTick is the tick at which a host that is down starts again.
	startTick map[string]int
	nextSend  int
	// leaderless is how many ticks there has been no leader since the last loss.
	leaderless int
	split      bool
	// slack is how many ticks after the last loss the group may need to be whole.
	slack int
	// notes are the events of the history, and the changes of members.
	notes      []string
	membership quorum.Membership
	// rejoinTicks is how long each host with an empty disk took to replace its lost id.
	rejoinTicks []int
	// joining is the tick at which a host with an empty disk was back.
	joining map[string]int
}

// note adds an event to the trace of the history.
func (history *lossHistory) note(format string, values ...any) {
	history.notes = append(history.notes, fmt.Sprintf("tick %d: ", history.links.now)+fmt.Sprintf(format, values...))
}

// historyEnd ends a history by a panic after a violated condition.
type historyEnd struct{}

// require ends the history if a condition is violated.
func (history *lossHistory) require(holds bool, format string, values ...any) {
	if holds {
		return
	}
	violated := fmt.Sprintf(format, values...)
	history.note("%s", violated)
	history.violation = fmt.Errorf("%s\n%s\n%s", violated, strings.Join(history.notes, "\n"), history.describe())
	panic(historyEnd{})
}

// run plays events until a condition is violated.
func (history *lossHistory) run(events func()) {
	defer func() {
		if reason := recover(); reason != nil && reason != (historyEnd{}) {
			panic(reason)
		}
	}()
	events()
}

// tick runs one round with the events that are due.
func (history *lossHistory) tick() {
	for _, address := range history.order {
		if at, down := history.startTick[address]; down && at <= history.links.now {
			history.startHost(address)
		}
	}
	if history.links.now >= history.nextSend {
		history.nextSend = history.links.now + 10 + history.random.IntN(7)
		history.sendText()
	}
	history.step()
	history.noteMembership()
	history.checkLeader()
}

// checkLeader checks that there is a leader again soon while no more hosts count as lost
// than are tolerated.
func (history *lossHistory) checkLeader() {
	if history.leader() != nil || history.split || history.tolerable() < 0 {
		history.leaderless = 0
		return
	}
	history.leaderless++
	history.require(history.leaderless <= leaderRounds, "no leader for %d ticks", history.leaderless)
}

func (history *lossHistory) ticks(count int) {
	for range count {
		history.tick()
	}
}

func (history *lossHistory) startHost(address string) {
	delete(history.startTick, address)
	empty := len(history.hosts[address].disk.files) == 0
	history.startWithSeeds(address, false)
	history.lostUntil[address] = history.links.now + catchUpTicks
	history.note("%s is back under id %d", address, history.hosts[address].core.ID)
	if empty {
		history.joining[address] = history.links.now
	}
}

func (history *lossHistory) sendText() {
	history.sendWith(textSeparator + strings.Repeat("x", history.random.IntN(history.textBytes+1)))
}

// noteMembership adds changes of members to the trace, and records how long empty
// hosts took to replace their lost ids.
func (history *lossHistory) noteMembership() {
	leader := history.leader()
	if leader == nil {
		return
	}
	majority := leader.core.Status().Membership.Majority()
	history.require(majority > history.lostDisks, "commands are recorded with %d disks", majority)
	now := leader.core.Status().CommittedMembership
	if !slices.Equal(now.Members, history.membership.Members) {
		history.membership = now
		var members []string
		for _, member := range now.Members {
			members = append(members, history.describeMember(member))
		}
		history.note("leader %s, members %s", leader.Address, strings.Join(members, " "))
	}
	for _, address := range history.order {
		since, joins := history.joining[address]
		if joins && history.hosts[address].up && replacesFormerIDs(now, history.hosts[address]) {
			delete(history.joining, address)
			history.rejoinTicks = append(history.rejoinTicks, history.links.now-since)
		}
	}
}

// replacesFormerIDs reports whether a host votes and is the only member at its
// address.
func replacesFormerIDs(membership quorum.Membership, joined *host) bool {
	return membership.IsVoter(joined.core.ID) && !slices.ContainsFunc(membership.Members, func(member quorum.Member) bool {
		return member.Address == joined.Address && member.ID != joined.core.ID
	})
}

// tolerable is how many more hosts may be lost now.
func (history *lossHistory) tolerable() int {
	return history.lostDisks - len(history.countedAsLost())
}

func (history *lossHistory) countedAsLost() []string {
	var lost []string
	for _, address := range history.order {
		if history.lostUntil[address] > history.links.now {
			lost = append(lost, address)
		}
	}
	return lost
}

// awaitTolerable runs until so many more hosts may be lost.
func (history *lossHistory) awaitTolerable(count int) {
	for history.tolerable() < count {
		history.tick()
	}
}

// pick gives so many random hosts that do not count as lost; the preferred ones
// first.
func (history *lossHistory) pick(count int, preferred ...string) []string {
	lost := history.countedAsLost()
	for _, index := range history.random.Perm(len(history.order)) {
		preferred = append(preferred, history.order[index])
	}
	var picked []string
	for _, address := range preferred {
		if len(picked) < count && !slices.Contains(lost, address) && !slices.Contains(picked, address) {
			picked = append(picked, address)
		}
	}
	return picked
}

// anyCount is a random number of hosts that may be lost together, mostly all that
// are tolerated.
func (history *lossHistory) anyCount() int {
	if history.random.IntN(3) != 0 {
		return history.lostDisks
	}
	return 1 + history.random.IntN(history.lostDisks)
}

// strike crashes hosts now, which lose their disks.
func (history *lossHistory) strike(addresses []string, down int) {
	history.note("disks lost: %s", strings.Join(addresses, " "))
	history.requireMajorityWithout(addresses)
	for _, address := range addresses {
		history.recordLoss(address, down)
		history.loseDisk(address)
		delete(history.joining, address)
	}
}

func (history *lossHistory) recordLoss(address string, down int) {
	if leader := history.leader(); leader == nil || leader.Address == address {
		history.slack = max(history.slack, electionRounds)
	}
	history.leaderless = 0
	history.lostUntil[address] = math.MaxInt
	history.startTick[address] = history.links.now + down
}

// requireMajorityWithout checks that the voters whose disks are kept when hosts lose
// theirs are a majority.
func (history *lossHistory) requireMajorityWithout(struck []string) {
	for _, membership := range history.memberships() {
		kept := 0
		for _, member := range membership.Members {
			holder := history.hosts[member.Address]
			if !member.Learner && holder.Replica != nil && holder.core.ID == member.ID && !slices.Contains(struck, member.Address) {
				kept++
			}
		}
		history.require(kept >= membership.Majority(), "%d of %d voters are left", kept, membership.VoterCount())
	}
}

// memberships gives the membership that is in effect and the committed one, of the
// leader or else of the host that knows the most.
func (history *lossHistory) memberships() []quorum.Membership {
	var newest quorum.Status
	for _, address := range history.order {
		each := history.hosts[address]
		if each.Replica == nil {
			continue
		}
		status := each.core.Status()
		leads := each.up && status.Role == quorum.Leader && status.Term >= newest.Term
		if leads || newest.Role != quorum.Leader && status.CommitIndex > newest.CommitIndex {
			newest = status
		}
	}
	return []quorum.Membership{newest.Membership, newest.CommittedMembership}
}

// awaitWhole runs until no host counts as lost, and checks that the group is whole
// then, or after the slack, and has kept what it acknowledged.
func (history *lossHistory) awaitWhole() {
	history.awaitTolerable(history.lostDisks)
	for waited := 0; waited < history.slack && !history.isWhole(); waited++ {
		history.tick()
	}
	history.require(history.isWhole(), "the group is not whole %d ticks after the last loss", history.slack)
	history.slack = 0
	history.checkRead()
	history.require(history.violation == nil, "%v", history.violation)
}

// sendAndAwait sends a command and waits for its acknowledgement for a while.
func (history *lossHistory) sendAndAwait() {
	before := len(history.acknowledged)
	history.sendText()
	for range 2 * electionRounds {
		if len(history.acknowledged) > before {
			return
		}
		history.tick()
	}
}

// newLossHistory forms a group and gives it a log.
func newLossHistory(t *testing.T, seed uint64) *lossHistory {
	random := rand.New(rand.NewPCG(seed, 17))
	size := []int{3, 5, 6, 7, 9}[random.IntN(5)]
	cluster := newLossCluster(t, size, (size-1)/2)
	history := &lossHistory{
		clusterHistory: &clusterHistory{
			seedCluster: cluster.seedCluster, random: random,
			acknowledgedBefore: map[string][]string{}, unacknowledged: map[string]*proposal{},
		},
		lostDisks: cluster.lostDisks,
		lostUntil: map[string]int{}, startTick: map[string]int{}, joining: map[string]int{},
	}
	history.textBytes = []int{0, 2 << 10, 20 << 10, 20 << 10, longLogCommandBytes}[random.IntN(5)]
	for range random.IntN(longLogCommands / 2) {
		cluster.record(history.textBytes)
	}
	history.acknowledged = slices.Clone(cluster.commands)
	history.lastNumber = len(cluster.commands)
	history.links = newLinkModel(cluster.testCluster, seed)
	history.links.disorders = random.IntN(2) == 0
	history.note("%d hosts, log of %d commands of %d bytes, disorders %t", size, len(cluster.commands), history.textBytes, history.links.disorders)
	return history
}

// runLossHistory runs some losses, and in half of the histories at last the greatest
// one that is tolerated.
func runLossHistory(t *testing.T, seed uint64) *lossHistory {
	history := newLossHistory(t, seed)
	history.run(history.loseRepeatedly)
	return history
}

func (history *lossHistory) loseRepeatedly() {
	for range 2 + history.random.IntN(3) {
		kind := lossKinds[history.random.IntN(len(lossKinds))]
		history.note("next: %s", kind.name)
		kind.run(history)
		switch history.random.IntN(3) {
		case 0:
			history.awaitWhole()
		case 1:
			history.ticks(history.random.IntN(catchUpTicks))
		}
	}
	history.awaitWhole()
	if history.random.IntN(2) == 0 {
		history.note("next: disks, and a crash of all others")
		history.sendAndAwait()
		history.strike(history.pick(history.lostDisks), downTicks)
		history.crashOthers()
		history.awaitWhole()
	}
}

// lossHistoryCount is lower than that of the histories with little data.
func lossHistoryCount() int {
	return max(historyCount()/200, historyShards)
}

// Whatever disks are lost within what is tolerated at one time, the voters that keep
// theirs are a majority, the group is whole again in time, and it keeps the
// acknowledged commands. A failure names the seed of its history.
func TestHistoriesOfLostDisks(t *testing.T) {
	for part := range historyShards {
		t.Run(fmt.Sprint("part ", part), func(t *testing.T) {
			t.Parallel()
			for number := part; number < lossHistoryCount(); number += historyShards {
				seed := uint64(suite.Seed()) + uint64(number)
				if err := runLossHistory(t, seed).violation; err != nil {
					t.Errorf("history with seed %d: %v", seed, err)
				}
			}
		})
	}
}

// Checks that the histories can fail.
func TestLossHistoryDetectsViolations(t *testing.T) {
	for want, violate := range map[string]func(*lossHistory){
		"voters are left": func(history *lossHistory) {
			history.strike(history.pick(history.lostDisks+1), downTicks)
		},
		"the group is not whole": func(history *lossHistory) {
			address := history.pick(1)[0]
			history.strike([]string{address}, downTicks)
			for _, other := range history.order {
				history.blocked[[2]string{other, address}] = true
			}
			history.awaitWhole()
		},
		"no leader for": func(history *lossHistory) {
			for _, address := range history.order[history.lostDisks:] {
				history.hosts[address].frozen = true
			}
			history.ticks(3 * electionRounds)
		},
		"commands are recorded with": func(history *lossHistory) {
			for _, address := range history.pick(history.lostDisks + 2) {
				leader := history.leader()
				if address != leader.Address {
					removal := quorum.MembershipChange{Kind: quorum.Remove, Member: quorum.Member{ID: history.hosts[address].core.ID}}
					leader.submitChange(removal, &change{done: make(chan error, 1)})
					history.ticks(electionRounds)
				}
			}
		},
		"was acknowledged and is gone": func(history *lossHistory) {
			history.acknowledged = append(history.acknowledged, "command that no host has")
			history.awaitWhole()
		},
	} {
		for seed := range uint64(5) {
			history := newLossHistory(t, seed)
			history.awaitWhole()
			expect := gomega.NewWithT(t).Expect
			expect(history.violation).NotTo(gomega.HaveOccurred())
			history.run(func() { violate(history) })
			expect(history.violation).To(gomega.MatchError(gomega.ContainSubstring(want)), "seed %d", seed)
		}
	}
}

// One seed gives one history, so that a failure can be reproduced.
func TestLossHistoryIsDeterministic(t *testing.T) {
	for seed := range uint64(8) {
		once, again := runLossHistory(t, seed), runLossHistory(t, seed)
		expect := gomega.NewWithT(t).Expect
		expect(again.links.trace.Sum64()).To(gomega.Equal(once.links.trace.Sum64()), "seed %d", seed)
		expect(again.notes).To(gomega.Equal(once.notes), "seed %d", seed)
	}
}
