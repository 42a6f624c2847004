package replica

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// TestLeaderSilentlyCutOff cuts the leader's links in each direction for long.
// The rest carry on, it records nothing, and its return moves nobody.
func TestLeaderSilentlyCutOff(t *testing.T) {
	for name, direction := range map[string][2]bool{
		"it is not heard":   {true, false},
		"it hears nobody":   {false, true},
		"both ways at once": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			made := newCluster(t, 5)
			old := made.leader()
			made.propose(old, "before")
			for _, other := range made.others(old) {
				made.cut[[2]string{old.Address, other.Address}] = direction[0]
				made.cut[[2]string{other.Address, old.Address}] = direction[1]
			}
			alone := made.submit(old, "alone")
			rest := made.others(old)
			made.proposeMany(rest[0], 0, 300)
			made.Expect(alone.done).To(gomega.BeEmpty())
			made.Expect(old.Machine.Commands).NotTo(gomega.ContainElement("alone"))

			leader, term := made.leader().Address, made.leader().core.Status().Term
			clear(made.cut)
			made.until("the old leader catches up", func() bool { return len(old.Machine.Commands) > 300 })
			made.proposeMany(old, 300, 5)
			made.until("the command of the old leader", func() bool { return len(alone.done) == 1 })
			made.Expect(made.leader().Address).To(gomega.Equal(leader))
			made.Expect(made.leader().core.Status().Term).To(gomega.Equal(term))
			made.Expect(made.read(old)).To(gomega.HaveLen(307))
		})
	}
}

// TestRestartAfterManyCommands restarts all replicas at once and one by one.
func TestRestartAfterManyCommands(t *testing.T) {
	made := newCluster(t, 3)
	made.proposeMany(made.hosts["host-1"], 0, 500)
	for _, address := range made.order {
		made.start(address)
	}
	made.Expect(made.read(made.hosts["host-2"])).To(gomega.HaveLen(500))
	for number, address := range made.order {
		made.start(address)
		made.proposeMany(made.hosts[address], 500+number, 1)
	}
	for _, address := range made.order {
		made.Expect(made.read(made.hosts[address])).To(gomega.HaveLen(503))
	}
}

// TestLargeSnapshotsAreTakenByFollowers checks that a leader hands over the lead
// first, and that not all take their snapshots at one index.
func TestLargeSnapshotsAreTakenByFollowers(t *testing.T) {
	made := newCluster(t, 3)
	taken := map[quorum.Index]int{}
	for number := range 900 {
		before := map[string]quorum.Index{}
		for address, each := range made.hosts {
			before[address] = each.snapshot
		}
		leader, large := made.leader(), false
		if leader != nil {
			large = leader.snapshotSize >= leader.HandOverBytes
		}
		made.propose(made.hosts["host-0"], fmt.Sprint("command-", number))
		for address, each := range made.hosts {
			if each.snapshot == before[address] {
				continue
			}
			taken[each.snapshot]++
			made.Expect(large && each == leader && each == made.leader()).To(gomega.BeFalse())
		}
	}
	made.Expect(len(taken)).To(gomega.BeNumerically(">", 6))
	for index, count := range taken {
		made.Expect(count).To(gomega.Equal(1), "snapshots at %d", index)
	}
	for _, each := range made.hosts {
		made.Expect(each.snapshot).To(gomega.BeNumerically(">", 300))
	}
}

// TestSecondHostLostRightAfterRepair loses a disk, replaces it, and loses the
// next one at once.
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	made := newCluster(t, 3)
	made.proposeMany(made.hosts["host-0"], 0, 200)
	for round, address := range []string{"host-1", "host-2", "host-0", "host-1"} {
		lost := made.hosts[address].core.ID
		made.loseDisk(address)
		made.start(address)
		made.Expect(made.hosts[address].core.ID).NotTo(gomega.Equal(lost))
		made.replace(lost, address)
		made.Expect(made.read(made.hosts[address])).To(gomega.HaveLen(200 + round))
		made.propose(made.hosts[address], fmt.Sprint("after repair ", round))
	}
	members := made.leader().core.Status().Membership
	made.Expect(members.VoterCount()).To(gomega.Equal(3))
	made.Expect(members.Removed).To(gomega.HaveLen(4))
}

// TestLostDiskFormsNoSecondLog starts a host with an empty disk, and then one of
// the others is away: it must wait, and cannot help to elect a leader.
func TestLostDiskFormsNoSecondLog(t *testing.T) {
	made := newCluster(t, 3)
	made.proposeMany(made.hosts["host-0"], 0, 3)
	made.loseDisk("host-1")
	made.start("host-1")
	for range 100 {
		made.round()
	}
	made.Expect(made.hosts["host-1"].core.Status().LastIndex).To(gomega.BeZero())
	made.hosts["host-0"].up = false
	for range 300 {
		made.round()
	}
	made.Expect(made.leader()).To(gomega.BeNil())
	made.Expect(made.hosts["host-1"].core.Status().LastIndex).To(gomega.BeZero())
	made.start("host-0")
	made.Expect(made.read(made.hosts["host-2"])).To(gomega.HaveLen(3))
}

// TestDoubtIsSaid checks the two errors of a command without a result.
func TestDoubtIsSaid(t *testing.T) {
	made := newCluster(t, 3)
	leader := made.leader()
	for _, other := range made.others(leader) {
		other.up = false
	}
	sent := made.submit(leader, "sent")
	made.Expect(leader.carryOut()).To(gomega.Succeed())
	_, err := leader.giveUp(sent)
	made.Expect(err).To(gomega.MatchError(port.ErrInDoubt))
	made.until("it steps down", func() bool { return leader.core.Status().Role != quorum.Leader })
	unsent := made.submit(leader, "unsent")
	_, err = leader.giveUp(unsent)
	made.Expect(err).To(gomega.MatchError(port.ErrUnavailable))
	for _, other := range made.others(leader) {
		made.start(other.Address)
	}
	made.propose(leader, "later")
	made.Expect(made.read(leader)).NotTo(gomega.ContainElement("unsent"))
}

// TestFailedSyncStopsReplica checks that a replica ends with its disk.
func TestFailedSyncStopsReplica(t *testing.T) {
	made := newCluster(t, 3)
	leader := made.leader()
	leader.disk.fails = true
	lost := made.submit(leader, "lost")
	made.Expect(leader.carryOut()).To(gomega.MatchError(errDisk))
	made.Expect(leader.carryOut()).To(gomega.MatchError(errDisk))
	made.Expect(lost.done).To(gomega.BeEmpty())
	leader.up = false
	made.propose(made.others(leader)[0], "goes on")
}

// TestChangeIsAskedOfTheLeader checks the error that names the leader.
func TestChangeIsAskedOfTheLeader(t *testing.T) {
	made := newCluster(t, 3)
	follower := made.others(made.leader())[0]
	made.until("it hears the leader", func() bool { return follower.core.Status().Leader != quorum.None })
	waiting := &change{done: make(chan error, 1)}
	follower.submitChange(quorum.MembershipChange{Kind: quorum.Remove, Member: quorum.Member{ID: 1}}, waiting)
	made.Expect(<-waiting.done).To(gomega.MatchError(gomega.ContainSubstring(made.leader().Address)))
}

// run starts a host with its own goroutine.
func (made *cluster) run(address string, ended chan<- error) context.CancelFunc {
	made.start(address)
	ctx, stop := context.WithCancel(context.Background())
	running := made.hosts[address].Replica
	go func() { ended <- running.Run(ctx) }()
	return stop
}

// TestRunServes runs replicas with their own goroutines, replaces one that lost
// its disk, and stops the leader.
func TestRunServes(t *testing.T) {
	made := newCluster(t, 3)
	stops := map[string]context.CancelFunc{}
	ended := make(chan error, len(made.order))
	for _, address := range made.order {
		stops[address] = made.run(address, ended)
	}
	ctx := context.Background()
	for number := range 20 {
		at := made.hosts[made.order[number%3]]
		_, err := at.Propose(ctx, fmt.Append(nil, number))
		made.Expect(err).NotTo(gomega.HaveOccurred())
	}
	status, err := made.hosts["host-0"].Status(ctx)
	made.Expect(err).NotTo(gomega.HaveOccurred())
	leader, _ := status.Membership.Find(status.Leader)

	lost := made.others(made.hosts[leader.Address])[0].Address
	lostID := made.hosts[lost].core.ID
	stops[lost]()
	made.Expect(<-ended).To(gomega.Succeed())
	made.loseDisk(lost)
	stops[lost] = made.run(lost, ended)
	added := quorum.Member{ID: made.ids, Address: lost}
	made.Expect(made.hosts[leader.Address].Replace(ctx, lostID, added)).To(gomega.Succeed())
	status, err = made.hosts[leader.Address].Status(ctx)
	made.Expect(err).NotTo(gomega.HaveOccurred())
	made.Expect(status.Membership.IsVoter(added.ID)).To(gomega.BeTrue())
	made.Expect(status.Membership.IsRemoved(lostID)).To(gomega.BeTrue())

	stops[leader.Address]()
	made.Expect(<-ended).To(gomega.Succeed())
	delete(stops, leader.Address)
	for address, stop := range stops {
		made.Expect(made.hosts[address].Read(ctx, func(state *journal) {
			made.Expect(state.Commands).To(gomega.HaveLen(20))
		})).To(gomega.Succeed())
		defer stop()
	}
	_, err = made.hosts[leader.Address].Propose(ctx, []byte("stopped"))
	made.Expect(err).To(gomega.MatchError(port.ErrUnavailable))
}
