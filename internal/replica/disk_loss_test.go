package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
)

const (
	// catchUpTicks is how long a host counts as lost after it is back: 4 s.
	catchUpTicks = 80
	// downTicks is how long a host is down that loses its disk: 1 s.
	downTicks = 20
	// recoveryTicks is how long service may take to resume after a fault that goes
	// beyond what is tolerated at one time but loses no more disks: 15 s.
	recoveryTicks = 300

	// A host handles a log of 20 MB in 8 s.
	smallProcessorBytes = 125 << 10
	smallLinkBytes      = 4 * smallProcessorBytes
	longLogCommands     = 100
	longLogCommandBytes = 200 << 10
)

// lossCluster is a seedCluster with the settings of production, whose hosts lose
// their disks as often as is tolerated.
type lossCluster struct {
	*seedCluster
	t         *testing.T
	lostDisks int
	commands  []string
}

func newLossCluster(t *testing.T, size, lostDisks int) *lossCluster {
	cluster := &lossCluster{seedCluster: newSeedCluster(t, 0), t: t, lostDisks: lostDisks}
	for number := range size {
		cluster.order = append(cluster.order, fmt.Sprintf("host-%d", number))
	}
	cluster.seeds = slices.Clone(cluster.order[:min(3, size)])
	cluster.adjust = func(started *host) {
		started.LostDisks = lostDisks
		started.SnapshotEntries, started.KeptEntries, started.TransferSnapshotBytes = 0, 0, 0
	}
	for _, address := range cluster.order {
		cluster.loseDisk(address)
		cluster.startWithSeeds(address, true)
	}
	cluster.await("a whole group", cluster.isWhole)
	return cluster
}

// record waits until a command with a text of a size is acknowledged.
func (cluster *lossCluster) record(size int) {
	name := fmt.Sprint("command-", len(cluster.commands))
	cluster.propose(cluster.leader(), name+textSeparator+strings.Repeat("x", size))
	cluster.commands = append(cluster.commands, name)
}

func (cluster *lossCluster) slowDown() {
	cluster.links = newLinkModel(cluster.testCluster, 1)
}

func (cluster *lossCluster) runRounds(count int) {
	for range count {
		cluster.runRound()
	}
}

// loseDisks stops hosts and starts them with empty disks after downTicks.
func (cluster *lossCluster) loseDisks(addresses ...string) {
	cluster.loseDisksFor(downTicks, addresses...)
}

// loseDisksFor stops hosts and starts them with empty disks after some ticks.
func (cluster *lossCluster) loseDisksFor(ticks int, addresses ...string) {
	for _, address := range addresses {
		cluster.loseDisk(address)
	}
	cluster.runRounds(ticks)
	for _, address := range addresses {
		cluster.startWithSeeds(address, false)
	}
}

// splitInTwo blocks the links between the first and the second half of the hosts.
func (cluster *seedCluster) splitInTwo() {
	for index, from := range cluster.order {
		for other, to := range cluster.order {
			if half := len(cluster.order) / 2; (index < half) != (other < half) {
				cluster.blocked[[2]string{from, to}] = true
			}
		}
	}
}

// ticksUntil runs rounds until a condition holds, at most limit, and returns their
// number.
func (cluster *lossCluster) ticksUntil(limit int, reached func() bool) int {
	for ticks := range limit {
		if reached() {
			return ticks
		}
		cluster.runRound()
	}
	return limit
}

// expectWholeWithin checks that the group is whole after at most so many ticks and
// has kept the acknowledged commands.
func (cluster *lossCluster) expectWholeWithin(ticks int) {
	taken := cluster.ticksUntil(ticks, cluster.isWhole)
	cluster.Expect(cluster.isWhole()).To(gomega.BeTrue(), "not whole after %d ticks:\n%s", taken, cluster.describe())
	cluster.Expect(cluster.read(cluster.leader())).To(gomega.ContainElements(cluster.commands))
}

// describe lists the state of each host and the members that it knows.
func (cluster *seedCluster) describe() string {
	var lines []string
	for _, address := range cluster.order {
		each := cluster.hosts[address]
		if each.Replica == nil {
			lines = append(lines, fmt.Sprintf("%s down", address))
			continue
		}
		status := each.core.Status()
		line := fmt.Sprintf("%s id %d up %t %s in term %d, log to %d, committed %d:", address, status.ID, each.up, status.Role, status.Term, status.LastIndex, status.CommitIndex)
		for _, member := range status.Membership.Members {
			line += " " + cluster.describeMember(member)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

func (cluster *seedCluster) describeMember(member quorum.Member) string {
	line := fmt.Sprint(member.Address, "/", member.ID)
	if member.Learner {
		line += " (learner)"
	}
	if holder := cluster.hosts[member.Address]; holder == nil || holder.Replica == nil || holder.core.ID != member.ID {
		line += " (disk lost)"
	}
	return line
}

// hostsExcept gives so many hosts other than the given ones, in their order.
func (cluster *lossCluster) hostsExcept(count int, except ...string) []string {
	var addresses []string
	for _, address := range cluster.order {
		if !slices.Contains(except, address) && len(addresses) < count {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// leaderAddress waits until there is a leader.
func (cluster *lossCluster) leaderAddress() string {
	cluster.await("a leader", func() bool { return cluster.leader() != nil })
	return cluster.leader().Address
}

// A group must replace lost disks before others are lost. With a long log it was left
// without a majority for good, since an empty host took longer to catch up than the
// time after which other hosts may lose their disks.
func TestNextLostDisksFindFormerOnesReplaced(t *testing.T) {
	for _, length := range []int{0, longLogCommands} {
		for _, leaderLost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d commands, leader lost %t", length, leaderLost), func(t *testing.T) {
				t.Parallel()
				cluster := newLossCluster(t, 6, 2)
				for range length {
					cluster.record(longLogCommandBytes)
				}
				cluster.slowDown()
				cluster.splitInTwo()
				cluster.runRounds(80)
				clear(cluster.blocked)
				cluster.leaderAddress()
				cluster.record(longLogCommandBytes)

				first := cluster.hostsExcept(2, cluster.leaderAddress())
				if leaderLost {
					first[1] = cluster.leaderAddress()
				}
				cluster.loseDisks(first...)
				cluster.runRounds(catchUpTicks)
				second := cluster.hostsExcept(2, first...)
				if leaderLost {
					second = append(cluster.hostsExcept(1, append(first, cluster.leaderAddress())...), cluster.leaderAddress())
				}
				cluster.loseDisks(second...)
				cluster.expectWholeWithin(recoveryTicks)
			})
		}
	}
}

// Hosts may lose their disks again before their first ids are removed: with the new
// ids voting too, the group was left without a majority for good.
func TestHostsLoseDisksTwiceInRow(t *testing.T) {
	for _, size := range groupSizes {
		for _, down := range []int{2, downTicks} {
			t.Run(fmt.Sprintf("%d hosts, down for %d ticks", size, down), func(t *testing.T) {
				t.Parallel()
				var failed []string
				for ticks := 2; ticks < catchUpTicks; ticks += 3 {
					cluster := newLossCluster(t, size, (size-1)/2)
					cluster.record(0)
					cluster.slowDown()
					lost := cluster.hostsExcept(cluster.lostDisks, cluster.leaderAddress())
					for range 2 {
						cluster.loseDisksFor(down, lost...)
						cluster.runRounds(ticks)
					}
					if cluster.ticksUntil(recoveryTicks, cluster.isWhole); !cluster.isWhole() {
						failed = append(failed, fmt.Sprintf("again after %d ticks:\n%s", ticks, cluster.describe()))
					}
				}
				gomega.NewWithT(t).Expect(failed).To(gomega.BeEmpty())
			})
		}
	}
}

// vote reports whether hosts vote with their present disks.
func (cluster *lossCluster) vote(addresses []string) bool {
	leader := cluster.leader()
	return leader != nil && !slices.ContainsFunc(addresses, func(address string) bool {
		return !leader.core.Status().CommittedMembership.IsVoter(cluster.hosts[address].core.ID)
	})
}

// A host with an empty disk must be taken in whatever its seeds are: it waited for
// good when these were lost, empty or wrong.
func TestEmptyHostsRejoinWithoutSeeds(t *testing.T) {
	for _, test := range []struct {
		name      string
		size      int
		lostDisks int
		// lost are the hosts that lose their disks, down those that stay down.
		lost, down int
		seeds      []string
	}{
		{name: "the seeds are lost themselves", size: 7, lostDisks: 3, lost: 3},
		{name: "the seeds are lost themselves, among others", size: 9, lostDisks: 4, lost: 4},
		{name: "the seeds are down", size: 9, lostDisks: 4, lost: 1, down: 3},
		{name: "the seeds are wrong", size: 6, lostDisks: 2, lost: 2, seeds: []string{"host-96", "host-97"}},
		{name: "there are no seeds", size: 5, lostDisks: 2, lost: 2, seeds: []string{}},
		{name: "it is its own seed", size: 3, lostDisks: 1, lost: 1, seeds: []string{"host-0"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newLossCluster(t, test.size, test.lostDisks)
			cluster.record(0)
			cluster.slowDown()
			if test.seeds != nil {
				cluster.seeds = test.seeds
			}
			for _, address := range cluster.order[:test.down] {
				cluster.stop(address)
			}
			lost := cluster.order[test.down : test.down+test.lost]
			cluster.loseDisks(lost...)
			taken := cluster.ticksUntil(recoveryTicks, func() bool { return cluster.vote(lost) })
			cluster.Expect(cluster.vote(lost)).To(gomega.BeTrue(), "not taken in after %d ticks:\n%s", taken, cluster.describe())
			cluster.Expect(cluster.read(cluster.leader())).To(gomega.ContainElements(cluster.commands))
		})
	}
}

// A host with an empty disk must vote in the place of its lost id by the time at which
// it does not count as lost any more, whatever the size of the log: other hosts may
// lose their disks then.
func TestEmptyHostsReplaceLostIDsInTime(t *testing.T) {
	for _, size := range groupSizes {
		for _, commandBytes := range []int{0, longLogCommandBytes / 10, longLogCommandBytes} {
			t.Run(fmt.Sprintf("%d hosts, %d commands of %d bytes", size, longLogCommands, commandBytes), func(t *testing.T) {
				t.Parallel()
				cluster := newLossCluster(t, size, (size-1)/2)
				for range longLogCommands {
					cluster.record(commandBytes)
				}
				cluster.slowDown()
				leader := cluster.leaderAddress()
				cluster.expectReplacedWithin(catchUpTicks, cluster.hostsExcept(cluster.lostDisks, leader))
				lost := append(cluster.hostsExcept(cluster.lostDisks-1, leader), cluster.leaderAddress())
				cluster.expectReplacedWithin(catchUpTicks+electionRounds, lost)
			})
		}
	}
}

// expectReplacedWithin lets hosts lose their disks and checks that they replace their
// lost ids within some ticks after they are back.
func (cluster *lossCluster) expectReplacedWithin(limit int, lost []string) {
	cluster.loseDisks(lost...)
	var taken []int
	remaining := slices.Clone(lost)
	for ticks := range 10 * recoveryTicks {
		leader := cluster.leader()
		remaining = slices.DeleteFunc(remaining, func(address string) bool {
			replaced := leader != nil && replacesFormerIDs(leader.core.Status().CommittedMembership, cluster.hosts[address])
			if replaced {
				taken = append(taken, ticks)
			}
			return replaced
		})
		if len(remaining) == 0 {
			break
		}
		cluster.runRound()
	}
	cluster.t.Logf("%d hosts were replaced after %v ticks, the leader among them: %t", len(lost), taken, limit > catchUpTicks)
	cluster.Expect(remaining).To(gomega.BeEmpty(), cluster.describe())
	if taken[len(taken)-1] > limit {
		cluster.t.Errorf("%d hosts were replaced after %v ticks, not within %d", len(lost), taken, limit)
	}
}

// Guards against an empty host that gets an old snapshot and then as many entries as a large
// snapshot has bytes, since the next snapshot is due only after these.
func TestEmptyHostGetsFreshSnapshot(t *testing.T) {
	for number := range 8 {
		cluster := newLossCluster(t, 6, 2)
		for kept := range 15 {
			cluster.propose(cluster.leader(), fmt.Sprint("kept-", kept, strings.Repeat("x", longLogCommandBytes)))
		}
		for range 20 + number {
			cluster.record(longLogCommandBytes)
		}
		leader := cluster.leader()
		lost := cluster.hostsExcept(1, leader.Address)[0]
		cluster.loseDisks(lost)
		cluster.await("a whole group", cluster.isWhole)
		status := cluster.hosts[lost].core.Status()
		entries := int(status.LastIndex - status.SnapshotIndex)
		cluster.Expect(entries*longLogCommandBytes).To(gomega.BeNumerically("<=", 2*defaultSnapshotBytes), "%d entries after the snapshot", entries)
	}
}
