package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
)

// lostDisks is how many disks the growing groups of these tests may lose.
const lostDisks = 2

// growing is a cluster whose hosts know three seeds and nothing else.
type growing struct {
	*cluster
	seeds []string
}

func newGrowing(t *testing.T, size int) *growing {
	gr := &growing{cluster: &cluster{WithT: gomega.NewWithT(t), ids: 100, hosts: map[string]*host{}, cut: map[[2]string]bool{}}}
	for number := range size {
		gr.order = append(gr.order, fmt.Sprintf("host-%d", number))
	}
	gr.seeds = slices.Clone(gr.order[:min(3, size)])
	for _, address := range gr.order {
		gr.loseDisk(address)
		gr.begin(address, true)
	}
	return gr
}

// begin starts a host; the first start of a site is told from every later one.
func (gr *growing) begin(address string, first bool) {
	gr.prepare = func(started *host) {
		started.Peers = slices.Clone(gr.seeds)
		started.FormsFromSeeds, started.FirstStart, started.LostDisks = true, first, lostDisks
		started.Seeds = func() []string { return gr.seeds }
		started.FailureDomain = "domain-of-" + address[:len("host-0")]
		started.Node = address
	}
	gr.start(address)
}

func (gr *growing) stop(address string) {
	gr.lock.Lock()
	defer gr.lock.Unlock()
	gr.hosts[address].up = false
}

// voters gives the addresses that vote, as the leader has them committed.
func (gr *growing) voters() []string {
	leader := gr.leader()
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

// whole tells whether each host votes with the disk that it has now, and nobody
// else does.
func (gr *growing) whole() bool {
	leader := gr.leader()
	if leader == nil || leader.core.Status().CommittedMembership.VoterCount() != len(gr.order) {
		return false
	}
	for _, address := range gr.order {
		if !leader.core.Status().CommittedMembership.IsVoter(gr.hosts[address].core.ID) {
			return false
		}
	}
	return true
}

func (gr *growing) untilVoters(want ...string) {
	gr.until(fmt.Sprint("voters ", want), func() bool { return slices.Equal(gr.voters(), want) })
}

func TestAGroupFormsFromItsSeeds(t *testing.T) {
	gr := newGrowing(t, 6)
	gr.untilVoters(gr.order...)
}

// A site whose disks were lost does not begin anew by itself.
func TestALaterStartFormsNothing(t *testing.T) {
	gr := newGrowing(t, 0)
	gr.order = []string{"host-0", "host-1", "host-2"}
	gr.seeds = gr.order
	for _, address := range gr.order {
		gr.loseDisk(address)
		gr.begin(address, false)
	}
	for range 300 {
		gr.round()
	}
	gr.Expect(gr.leader()).To(gomega.BeNil())
}

// The loss of as many disks as are tolerated, right after a command was
// recorded, loses nothing; the hosts come back under new ids, and the old ids go.
func TestLostDisksAreReplaced(t *testing.T) {
	gr := newGrowing(t, 6)
	gr.untilVoters(gr.order...)
	before := gr.leader().core.Status().CommittedMembership
	gr.propose(gr.leader(), "precious")
	for _, address := range []string{"host-0", "host-4"} {
		gr.loseDisk(address)
		gr.begin(address, false)
	}
	gr.until("new ids in the place of the lost ones", func() bool {
		leader := gr.leader()
		if leader == nil || !slices.Equal(gr.voters(), gr.order) {
			return false
		}
		now := leader.core.Status().CommittedMembership
		changed := 0
		for _, member := range before.Members {
			if _, stays := now.Find(member.ID); !stays {
				changed++
			}
		}
		return changed == lostDisks && now.VoterCount() == len(gr.order)
	})
	gr.Expect(gr.read(gr.leader())).To(gomega.ContainElement("precious"))
}

// A host that is gone for good is replaced by another of its failure domain,
// which knows only the seeds.
func TestAHostIsReplacedInItsFailureDomain(t *testing.T) {
	gr := newGrowing(t, 6)
	gr.untilVoters(gr.order...)
	gr.stop("host-5")
	gr.order = append(gr.order, "host-5-again")
	gr.loseDisk("host-5-again")
	gr.begin("host-5-again", false)
	gr.untilVoters("host-0", "host-1", "host-2", "host-3", "host-4", "host-5-again")
}

// While all seeds are down, a host that lost its disk finds the group by what it
// learned from nobody: it waits, and joins when one seed is back.
func TestAJoinerWaitsForASeed(t *testing.T) {
	gr := newGrowing(t, 9)
	gr.untilVoters(gr.order...)
	for _, address := range gr.seeds {
		gr.stop(address)
	}
	gr.loseDisk("host-8")
	gr.begin("host-8", false)
	for range 100 {
		gr.round()
	}
	gr.Expect(gr.hosts["host-8"].formed()).To(gomega.BeFalse())
	gr.begin("host-1", false)
	gr.until("the joiner has the log", func() bool { return gr.hosts["host-8"].formed() })
}

// A member behind a short cut keeps its place.
func TestAShortCutRemovesNobody(t *testing.T) {
	gr := newGrowing(t, 6)
	gr.untilVoters(gr.order...)
	before := gr.leader().core.Status().CommittedMembership
	for _, other := range gr.order[1:] {
		gr.cut[[2]string{"host-0", other}], gr.cut[[2]string{other, "host-0"}] = true, true
	}
	for range 2 * silentTicks {
		gr.round()
	}
	gr.cut = map[[2]string]bool{}
	gr.until("one leader again", func() bool { return len(gr.voters()) == len(gr.order) })
	gr.Expect(gr.leader().core.Status().CommittedMembership.Members).To(gomega.Equal(before.Members))
}

// Whatever is killed, cut off or loses its disk, within what is tolerated at
// once, each recorded command stays, and the group is whole again at the end.
func TestAGroupOutlastsSeededTrouble(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			gr := newGrowing(t, 6+3*int(seed%2))
			gr.untilVoters(gr.order...)
			var recorded []string
			for number := range 6 {
				command := fmt.Sprint("command-", number)
				gr.propose(gr.leader(), command)
				recorded = append(recorded, command)
				gr.trouble(random)
				gr.until("a whole group", gr.whole)
			}
			gr.Expect(gr.read(gr.leader())).To(gomega.ContainElements(recorded))
		})
	}
}

// trouble strikes up to as many hosts as are tolerated, lets some rounds pass,
// and brings them back.
func (gr *growing) trouble(random *rand.Rand) {
	struck := random.Perm(len(gr.order))[:1+random.IntN(lostDisks)]
	for _, index := range struck {
		gr.stop(gr.order[index])
	}
	for range random.IntN(80) {
		gr.round()
	}
	for _, index := range struck {
		if random.IntN(2) == 0 {
			gr.loseDisk(gr.order[index])
		}
		gr.begin(gr.order[index], false)
	}
}

// A message of a lost disk that comes late, just after a new leader began to
// count, does not make the new id at its address look like the lost one.
func TestALateMessageOfALostDiskRemovesNobody(t *testing.T) {
	gr := newGrowing(t, 6)
	gr.untilVoters(gr.order...)
	leader := gr.leader()
	lost := gr.order[(slices.Index(gr.order, leader.Address)+1)%len(gr.order)]
	old := gr.hosts[lost].core.ID
	gr.loseDisk(lost)
	gr.begin(lost, false)
	gr.until("both ids vote", func() bool { return leader.core.Status().Membership.VoterCount() == len(gr.order)+1 })
	fresh := gr.hosts[lost].core.ID
	leader.growth.ledSince = leader.growth.ticks - 1
	leader.growth.heard[fresh], leader.growth.heard[old] = leader.growth.ticks-1, leader.growth.ticks
	membership := leader.core.Status().Membership
	for _, id := range []quorum.ReplicaID{old, fresh} {
		member, _ := membership.Find(id)
		gr.Expect(leader.replaced(membership, member)).To(gomega.BeFalse(), "id %d, old %d", id, old)
	}
	gr.until("the lost id has left", func() bool { return !leader.core.Status().CommittedMembership.IsVoter(old) })
	gr.Expect(leader.core.Status().CommittedMembership.IsVoter(fresh)).To(gomega.BeTrue())
}
