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

// A host that lost its disk while all seeds are down cannot find the group; it
// waits and joins when one seed is back.
func TestJoinerWaitsForSeed(t *testing.T) {
	cluster := newSeedCluster(t, 9)
	cluster.awaitVoters(cluster.order...)
	for _, address := range cluster.seeds {
		cluster.stop(address)
	}
	cluster.loseDisk("host-8")
	cluster.startWithSeeds("host-8", false)
	for range 100 {
		cluster.runRound()
	}
	cluster.Expect(cluster.hosts["host-8"].hasLog()).To(gomega.BeFalse())
	cluster.startWithSeeds("host-1", false)
	cluster.await("the joiner has the log", func() bool { return cluster.hosts["host-8"].hasLog() })
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

// A message of a lost disk may arrive late, just after a new leader began to count.
// It must not make the new id at the same address look lost.
func TestLateMessageOfLostDiskRemovesNoMember(t *testing.T) {
	cluster := newSeedCluster(t, 6)
	cluster.awaitVoters(cluster.order...)
	leader := cluster.leader()
	lost := cluster.order[(slices.Index(cluster.order, leader.Address)+1)%len(cluster.order)]
	old := cluster.hosts[lost].core.ID
	cluster.loseDisk(lost)
	cluster.startWithSeeds(lost, false)
	cluster.await("both ids vote", func() bool { return leader.core.Status().Membership.VoterCount() == len(cluster.order)+1 })
	fresh := cluster.hosts[lost].core.ID
	leader.membership.leaderSince = leader.membership.ticks - 1
	leader.membership.lastHeard[fresh], leader.membership.lastHeard[old] = leader.membership.ticks-1, leader.membership.ticks
	membership := leader.core.Status().Membership
	for _, id := range []quorum.ReplicaID{old, fresh} {
		member, _ := membership.Find(id)
		cluster.Expect(leader.isReplaced(membership, member)).To(gomega.BeFalse(), "id %d, old %d", id, old)
	}
	cluster.await("the lost id has left", func() bool { return !leader.core.Status().CommittedMembership.IsVoter(old) })
	cluster.Expect(leader.core.Status().CommittedMembership.IsVoter(fresh)).To(gomega.BeTrue())
}
