package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
)

// maxLostDisks is the number of disks that the groups of these tests may lose.
const maxLostDisks = 2

// seedCluster is a cluster whose hosts know only the seeds.
type seedCluster struct {
	*testCluster
	seeds []string
	// adjust changes further settings of each host before it starts.
	adjust func(started *host)
}

func newSeedCluster(t *testing.T, size int) *seedCluster {
	cluster := &seedCluster{testCluster: &testCluster{WithT: gomega.NewWithT(t), ids: 100, hosts: map[string]*host{}, blocked: map[[2]string]bool{}}}
	for number := range size {
		cluster.order = append(cluster.order, fmt.Sprintf("host-%d", number))
	}
	cluster.seeds = slices.Clone(cluster.order[:min(3, size)])
	for _, address := range cluster.order {
		cluster.loseDisk(address)
		cluster.startWithSeeds(address, true)
	}
	return cluster
}

// startWithSeeds starts a host; first marks the first start of the cluster.
func (cluster *seedCluster) startWithSeeds(address string, first bool) {
	cluster.prepare = func(started *host) {
		started.Peers = slices.Clone(cluster.seeds)
		started.FormsFromSeeds, started.FirstStart, started.LostDisks = true, first, maxLostDisks
		started.Seeds = func() []string { return cluster.seeds }
		started.FailureDomain = "domain-of-" + address[:len("host-0")]
		started.Node = address
		if cluster.adjust != nil {
			cluster.adjust(started)
		}
	}
	cluster.start(address)
}

func (cluster *seedCluster) stop(address string) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.hosts[address].up = false
}

// voters gives the addresses of the voters in the membership that the leader has
// committed.
func (cluster *seedCluster) voters() []string {
	leader := cluster.leader()
	if leader == nil {
		return nil
	}
	var addresses []string
	for _, member := range leader.core.Status().CommittedMembership.Members {
		if !member.Learner {
			addresses = append(addresses, member.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// isWhole reports whether every host votes with its current disk, and nobody else
// votes.
func (cluster *seedCluster) isWhole() bool {
	leader := cluster.leader()
	if leader == nil || leader.core.Status().CommittedMembership.VoterCount() != len(cluster.order) {
		return false
	}
	for _, address := range cluster.order {
		if !leader.core.Status().CommittedMembership.IsVoter(cluster.hosts[address].core.ID) {
			return false
		}
	}
	return true
}

func (cluster *seedCluster) awaitVoters(want ...string) {
	cluster.await(fmt.Sprint("voters ", want), func() bool { return slices.Equal(cluster.voters(), want) })
}

func TestGroupFormsFromSeeds(t *testing.T) {
	cluster := newSeedCluster(t, 6)
	cluster.awaitVoters(cluster.order...)
}

// A cluster whose disks were lost does not form a new group by itself.
func TestLaterStartFormsNoGroup(t *testing.T) {
	cluster := newSeedCluster(t, 0)
	cluster.order = []string{"host-0", "host-1", "host-2"}
	cluster.seeds = cluster.order
	for _, address := range cluster.order {
		cluster.loseDisk(address)
		cluster.startWithSeeds(address, false)
	}
	for range 300 {
		cluster.runRound()
	}
	cluster.Expect(cluster.leader()).To(gomega.BeNil())
}

// The loss of as many disks as are tolerated, right after a command was recorded,
// loses no command. The hosts come back under new ids, and the old ids are removed.
func TestLostDisksAreReplaced(t *testing.T) {
	cluster := newSeedCluster(t, 6)
	cluster.awaitVoters(cluster.order...)
	before := cluster.leader().core.Status().CommittedMembership
	cluster.propose(cluster.leader(), "precious")
	for _, address := range []string{"host-0", "host-4"} {
		cluster.loseDisk(address)
		cluster.startWithSeeds(address, false)
	}
	cluster.await("new ids in the place of the lost ones", func() bool {
		leader := cluster.leader()
		if leader == nil || !slices.Equal(cluster.voters(), cluster.order) {
			return false
		}
		now := leader.core.Status().CommittedMembership
		changed := 0
		for _, member := range before.Members {
			if _, stays := now.Find(member.ID); !stays {
				changed++
			}
		}
		return changed == maxLostDisks && now.VoterCount() == len(cluster.order)
	})
	cluster.Expect(cluster.read(cluster.leader())).To(gomega.ContainElement("precious"))
}

// A host that is gone for good is replaced by another one of its failure domain,
// which knows only the seeds.
func TestHostIsReplacedInItsFailureDomain(t *testing.T) {
	cluster := newSeedCluster(t, 6)
	cluster.awaitVoters(cluster.order...)
	cluster.stop("host-5")
	cluster.order = append(cluster.order, "host-5-again")
	cluster.loseDisk("host-5-again")
	cluster.startWithSeeds("host-5-again", false)
	cluster.awaitVoters("host-0", "host-1", "host-2", "host-3", "host-4", "host-5-again")
}

// Guards against a host that lost its disk and waits for its seeds while the rest of the
// group, which knows its address, has a majority.
func TestHostWithLostDiskJoinsWithoutSeeds(t *testing.T) {
	cluster := newSeedCluster(t, 9)
	cluster.awaitVoters(cluster.order...)
	for _, address := range cluster.seeds {
		cluster.stop(address)
	}
	cluster.loseDisk("host-8")
	cluster.startWithSeeds("host-8", false)
	cluster.await("host-8 votes with its new disk", func() bool {
		leader := cluster.leader()
		return leader != nil && leader.core.Status().CommittedMembership.IsVoter(cluster.hosts["host-8"].core.ID)
	})
}

// Guards against a host with an empty disk that fails when it hears of another such host
// before it asks for logs itself.
func TestEmptyHostHearsOfAnotherBeforeItAsks(t *testing.T) {
	cluster := newSeedCluster(t, 6)
	cluster.awaitVoters(cluster.order...)
	leader := cluster.leader()
	var lost []*host
	for _, other := range cluster.others(leader)[:2] {
		cluster.loseDisk(other.Address)
		cluster.startWithSeeds(other.Address, false)
		lost = append(lost, cluster.hosts[other.Address])
	}
	for range 2 * leader.ElectionTicks {
		leader.tick()
		for _, each := range []*host{leader, lost[0], lost[1], leader, lost[0]} {
			each.drainInputs()
			cluster.Expect(each.process()).To(gomega.Succeed())
		}
	}
	cluster.awaitVoters(cluster.order...)
}

// A new host at an address that the group does not know cannot find it while all seeds are
// down; it waits and joins when one seed is back.
func TestJoinerWaitsForSeed(t *testing.T) {
	cluster := newSeedCluster(t, 9)
	cluster.awaitVoters(cluster.order...)
	for _, address := range cluster.seeds {
		cluster.stop(address)
	}
	cluster.order = append(cluster.order, "host-8-again")
	cluster.loseDisk("host-8-again")
	cluster.startWithSeeds("host-8-again", false)
	for range 100 {
		cluster.runRound()
	}
	cluster.Expect(cluster.hosts["host-8-again"].hasLog()).To(gomega.BeFalse())
	cluster.stop("host-8")
	cluster.startWithSeeds("host-1", false)
	cluster.await("the joiner has the log", func() bool { return cluster.hosts["host-8-again"].hasLog() })
}

// A member that is partitioned for a short time stays in the group.
func TestShortPartitionRemovesNoMember(t *testing.T) {
	cluster := newSeedCluster(t, 6)
	cluster.awaitVoters(cluster.order...)
	before := cluster.leader().core.Status().CommittedMembership
	for _, other := range cluster.order[1:] {
		cluster.blocked[[2]string{"host-0", other}], cluster.blocked[[2]string{other, "host-0"}] = true, true
	}
	for range 2 * lostMemberTicks {
		cluster.runRound()
	}
	cluster.blocked = map[[2]string]bool{}
	cluster.await("one leader again", func() bool { return len(cluster.voters()) == len(cluster.order) })
	cluster.Expect(cluster.leader().core.Status().CommittedMembership.Members).To(gomega.Equal(before.Members))
}

// Hosts are stopped and lose their disks, within what is tolerated at one time: each
// recorded command survives, and the group becomes whole again.
func TestGroupSurvivesRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			cluster := newSeedCluster(t, 6+3*int(seed%2))
			cluster.awaitVoters(cluster.order...)
			var recorded []string
			for number := range 6 {
				command := fmt.Sprint("command-", number)
				cluster.propose(cluster.leader(), command)
				recorded = append(recorded, command)
				cluster.injectHostFaults(random)
				cluster.await("a whole group", cluster.isWhole)
			}
			cluster.Expect(cluster.read(cluster.leader())).To(gomega.ContainElements(recorded))
		})
	}
}

// injectHostFaults stops up to as many hosts as are tolerated, runs some rounds, and
// restarts them, some without their disks.
func (cluster *seedCluster) injectHostFaults(random *rand.Rand) {
	affected := random.Perm(len(cluster.order))[:1+random.IntN(maxLostDisks)]
	for _, index := range affected {
		cluster.stop(cluster.order[index])
	}
	for range random.IntN(80) {
		cluster.runRound()
	}
	for _, index := range affected {
		if random.IntN(2) == 0 {
			cluster.loseDisk(cluster.order[index])
		}
		cluster.startWithSeeds(cluster.order[index], false)
	}
}

// A message of a lost disk may arrive late, just after a new leader began to count. It
// must not make the new id at the same address look lost, whether that is still a learner
// or votes beside the old one, as builds before this one had it.
func TestLateMessageOfLostDiskRemovesNoMember(t *testing.T) {
	cluster := newSeedCluster(t, 6)
	cluster.awaitVoters(cluster.order...)
	leader := cluster.leader()
	lost := cluster.order[(slices.Index(cluster.order, leader.Address)+1)%len(cluster.order)]
	old := cluster.hosts[lost].core.ID
	cluster.loseDisk(lost)
	cluster.startWithSeeds(lost, false)
	fresh := cluster.hosts[lost].core.ID
	cluster.await("the new id is a member", func() bool {
		_, known := leader.core.Status().CommittedMembership.Find(fresh)
		return known && leader.core.IsCaughtUp(fresh)
	})
	leader.membership.leaderSince = leader.membership.ticks - 1
	leader.membership.lastHeard[fresh], leader.membership.lastHeard[old] = leader.membership.ticks-1, leader.membership.ticks
	asLearner := leader.core.Status().Membership
	cluster.Expect(leader.nextChanges(asLearner)).To(gomega.BeEmpty(), "a change while both ids at one address were heard")
	asVoter := quorum.Membership{Members: slices.Clone(asLearner.Members)}
	for index := range asVoter.Members {
		asVoter.Members[index].Learner = false
	}
	cluster.Expect(asVoter.VoterCount()).To(gomega.Equal(len(cluster.order) + 1))
	for _, membership := range []quorum.Membership{asLearner, asVoter} {
		for _, id := range []quorum.ReplicaID{old, fresh} {
			member, _ := membership.Find(id)
			cluster.Expect(leader.isReplaced(membership, member)).To(gomega.BeFalse(), "id %d, old %d", id, old)
		}
	}
	cluster.await("the lost id has left, and the new one votes", func() bool {
		committed := leader.core.Status().CommittedMembership
		return !committed.IsVoter(old) && committed.IsVoter(fresh)
	})
}

// Guards against more voters than the group may have when many hosts ask to join at once:
// each voter makes every commit wait for one more disk.
func TestManyJoinersBecomeNoMoreVotersThanAllowed(t *testing.T) {
	cluster := newSeedCluster(t, 14)
	most := 0
	for range 400 {
		cluster.runRound()
		if leader := cluster.leader(); leader != nil {
			most = max(most, leader.core.Status().Membership.VoterCount())
		}
	}
	cluster.Expect(most).To(gomega.Equal(maxVoters))
}

// In a full group one of two new hosts replaces a lost one of their failure domain.
func TestFullGroupTakesOneHostForEachLostOne(t *testing.T) {
	cluster := newSeedCluster(t, 9)
	cluster.awaitVoters(cluster.order...)
	cluster.stop("host-5")
	for range lostMemberTicks + 2*unresponsiveTicks {
		cluster.runRound()
	}
	for _, address := range []string{"host-5-again", "host-5-third"} {
		cluster.order = append(cluster.order, address)
		cluster.loseDisk(address)
		cluster.startWithSeeds(address, false)
	}
	most := 0
	for range 300 {
		cluster.runRound()
		if leader := cluster.leader(); leader != nil {
			most = max(most, leader.core.Status().Membership.VoterCount())
		}
	}
	cluster.Expect(most).To(gomega.BeNumerically("<=", maxVoters+1))
	cluster.Expect(cluster.voters()).To(gomega.HaveLen(maxVoters))
	cluster.Expect(cluster.voters()).NotTo(gomega.ContainElement("host-5"))
}
