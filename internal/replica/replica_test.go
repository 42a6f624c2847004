package replica

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// TestPartitionedLeader blocks the links of the leader for long, in each direction.
// The others continue, the old leader records nothing, and its return causes no
// election.
func TestPartitionedLeader(t *testing.T) {
	for name, direction := range map[string][2]bool{
		"it is not heard":   {true, false},
		"it hears nobody":   {false, true},
		"both ways at once": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, 5)
			old := cluster.leader()
			cluster.propose(old, "before")
			for _, other := range cluster.others(old) {
				cluster.blocked[[2]string{old.Address, other.Address}] = direction[0]
				cluster.blocked[[2]string{other.Address, old.Address}] = direction[1]
			}
			alone := cluster.submit(old, "alone")
			rest := cluster.others(old)
			cluster.proposeMany(rest[0], 0, 300)
			cluster.Expect(alone.done).To(gomega.BeEmpty())
			cluster.Expect(old.Machine.Commands).NotTo(gomega.ContainElement("alone"))

			leader, term := cluster.leader().Address, cluster.leader().core.Status().Term
			clear(cluster.blocked)
			cluster.await("the old leader catches up", func() bool { return len(old.Machine.Commands) > 300 })
			cluster.proposeMany(old, 300, 5)
			cluster.await("the command of the old leader", func() bool { return len(alone.done) == 1 })
			cluster.Expect(cluster.leader().Address).To(gomega.Equal(leader))
			cluster.Expect(cluster.leader().core.Status().Term).To(gomega.Equal(term))
			cluster.Expect(cluster.read(old)).To(gomega.HaveLen(307))
		})
	}
}

// TestRestartAfterManyCommands restarts all replicas at once, and then one by one.
func TestRestartAfterManyCommands(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.proposeMany(cluster.hosts["host-1"], 0, 500)
	for _, address := range cluster.order {
		cluster.start(address)
	}
	cluster.Expect(cluster.read(cluster.hosts["host-2"])).To(gomega.HaveLen(500))
	for number, address := range cluster.order {
		cluster.start(address)
		cluster.proposeMany(cluster.hosts[address], 500+number, 1)
	}
	for _, address := range cluster.order {
		cluster.Expect(cluster.read(cluster.hosts[address])).To(gomega.HaveLen(503))
	}
}

// TestLargeSnapshotsAreTakenByFollowers checks that a leader transfers leadership
// before a large snapshot, and that replicas take snapshots at different indexes.
func TestLargeSnapshotsAreTakenByFollowers(t *testing.T) {
	cluster := newCluster(t, 3)
	taken := map[quorum.Index]int{}
	for number := range 900 {
		before := map[string]quorum.Index{}
		for address, each := range cluster.hosts {
			before[address] = each.snapshotIndex
		}
		leader, large := cluster.leader(), false
		if leader != nil {
			large = leader.snapshotSize >= leader.TransferSnapshotBytes
		}
		cluster.propose(cluster.hosts["host-0"], fmt.Sprint("command-", number))
		for address, each := range cluster.hosts {
			if each.snapshotIndex == before[address] {
				continue
			}
			taken[each.snapshotIndex]++
			cluster.Expect(large && each == leader && each == cluster.leader()).To(gomega.BeFalse())
		}
	}
	cluster.Expect(len(taken)).To(gomega.BeNumerically(">", 6))
	for index, count := range taken {
		cluster.Expect(count).To(gomega.Equal(1), "snapshots at %d", index)
	}
	for _, each := range cluster.hosts {
		cluster.Expect(each.snapshotIndex).To(gomega.BeNumerically(">", 300))
	}
}

// TestSecondHostLostRightAfterRepair loses a disk, replaces the replica, and right
// after that loses the next disk.
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.proposeMany(cluster.hosts["host-0"], 0, 200)
	for round, address := range []string{"host-1", "host-2", "host-0", "host-1"} {
		lost := cluster.hosts[address].core.ID
		cluster.loseDisk(address)
		cluster.start(address)
		cluster.Expect(cluster.hosts[address].core.ID).NotTo(gomega.Equal(lost))
		cluster.replace(lost, address)
		cluster.Expect(cluster.read(cluster.hosts[address])).To(gomega.HaveLen(200 + round))
		cluster.propose(cluster.hosts[address], fmt.Sprint("after repair ", round))
	}
	members := cluster.leader().core.Status().Membership
	cluster.Expect(members.VoterCount()).To(gomega.Equal(3))
	cluster.Expect(members.Removed).To(gomega.HaveLen(4))
}

// TestReplicaWithLostDiskFormsNoSecondLog starts a host with an empty disk and then
// stops another host: the empty one must wait and must not help to elect a leader.
func TestReplicaWithLostDiskFormsNoSecondLog(t *testing.T) {
	cluster := newCluster(t, 3)
	cluster.proposeMany(cluster.hosts["host-0"], 0, 3)
	cluster.loseDisk("host-1")
	cluster.start("host-1")
	for range 100 {
		cluster.runRound()
	}
	cluster.Expect(cluster.hosts["host-1"].core.Status().LastIndex).To(gomega.BeZero())
	cluster.hosts["host-0"].up = false
	for range 300 {
		cluster.runRound()
	}
	cluster.Expect(cluster.leader()).To(gomega.BeNil())
	cluster.Expect(cluster.hosts["host-1"].core.Status().LastIndex).To(gomega.BeZero())
	cluster.start("host-0")
	cluster.Expect(cluster.read(cluster.hosts["host-2"])).To(gomega.HaveLen(3))
}

// TestErrorsOfProposalsWithoutResult checks the errors of proposals that were sent
// and that were not sent.
func TestErrorsOfProposalsWithoutResult(t *testing.T) {
	cluster := newCluster(t, 3)
	leader := cluster.leader()
	for _, other := range cluster.others(leader) {
		other.up = false
	}
	sent := cluster.submit(leader, "sent")
	cluster.Expect(leader.process()).To(gomega.Succeed())
	_, err := leader.abandon(sent)
	cluster.Expect(err).To(gomega.MatchError(port.ErrInDoubt))
	cluster.await("it steps down", func() bool { return leader.core.Status().Role != quorum.Leader })
	unsent := cluster.submit(leader, "unsent")
	_, err = leader.abandon(unsent)
	cluster.Expect(err).To(gomega.MatchError(port.ErrUnavailable))
	for _, other := range cluster.others(leader) {
		cluster.start(other.Address)
	}
	cluster.propose(leader, "later")
	cluster.Expect(cluster.read(leader)).NotTo(gomega.ContainElement("unsent"))
}

// TestFailedSyncStopsReplica checks that a replica stops after a failed sync.
func TestFailedSyncStopsReplica(t *testing.T) {
	cluster := newCluster(t, 3)
	leader := cluster.leader()
	leader.disk.syncFails = true
	lost := cluster.submit(leader, "lost")
	cluster.Expect(leader.process()).To(gomega.MatchError(errDisk))
	cluster.Expect(leader.process()).To(gomega.MatchError(errDisk))
	cluster.Expect(lost.done).To(gomega.BeEmpty())
	leader.up = false
	cluster.propose(cluster.others(leader)[0], "goes on")
}

// TestChangeAtFollowerNamesLeader checks the error that names the leader.
func TestChangeAtFollowerNamesLeader(t *testing.T) {
	cluster := newCluster(t, 3)
	follower := cluster.others(cluster.leader())[0]
	cluster.await("it hears the leader", func() bool { return follower.core.Status().Leader != quorum.None })
	pending := &change{done: make(chan error, 1)}
	follower.submitChange(quorum.MembershipChange{Kind: quorum.Remove, Member: quorum.Member{ID: 1}}, pending)
	cluster.Expect(<-pending.done).To(gomega.MatchError(gomega.ContainSubstring(cluster.leader().Address)))
}

// startRunning starts a host that runs in its own goroutine.
func (cluster *testCluster) startRunning(address string, ended chan<- error) context.CancelFunc {
	cluster.start(address)
	ctx, stop := context.WithCancel(context.Background())
	running := cluster.hosts[address].Replica
	go func() { ended <- running.Run(ctx) }()
	return stop
}

// TestRunWithGoroutines runs replicas in their own goroutines, replaces one that
// lost its disk, and stops the leader.
func TestRunWithGoroutines(t *testing.T) {
	cluster := newCluster(t, 3)
	stops := map[string]context.CancelFunc{}
	ended := make(chan error, len(cluster.order))
	for _, address := range cluster.order {
		stops[address] = cluster.startRunning(address, ended)
	}
	ctx := context.Background()
	for number := range 20 {
		at := cluster.hosts[cluster.order[number%3]]
		_, err := at.Propose(ctx, fmt.Append(nil, number))
		cluster.Expect(err).NotTo(gomega.HaveOccurred())
	}
	status, err := cluster.hosts["host-0"].Status(ctx)
	cluster.Expect(err).NotTo(gomega.HaveOccurred())
	leader, _ := status.Membership.Find(status.Leader)

	lost := cluster.others(cluster.hosts[leader.Address])[0].Address
	lostID := cluster.hosts[lost].core.ID
	stops[lost]()
	cluster.Expect(<-ended).To(gomega.Succeed())
	cluster.loseDisk(lost)
	stops[lost] = cluster.startRunning(lost, ended)
	added := quorum.Member{ID: cluster.ids, Address: lost}
	cluster.Expect(cluster.hosts[leader.Address].Replace(ctx, lostID, added)).To(gomega.Succeed())
	status, err = cluster.hosts[leader.Address].Status(ctx)
	cluster.Expect(err).NotTo(gomega.HaveOccurred())
	cluster.Expect(status.Membership.IsVoter(added.ID)).To(gomega.BeTrue())
	cluster.Expect(status.Membership.IsRemoved(lostID)).To(gomega.BeTrue())

	stops[leader.Address]()
	cluster.Expect(<-ended).To(gomega.Succeed())
	delete(stops, leader.Address)
	for address, stop := range stops {
		cluster.Expect(cluster.hosts[address].Read(ctx, func(state *commandList) {
			cluster.Expect(state.Commands).To(gomega.HaveLen(20))
		})).To(gomega.Succeed())
		defer stop()
	}
	_, err = cluster.hosts[leader.Address].Propose(ctx, []byte("stopped"))
	cluster.Expect(err).To(gomega.MatchError(port.ErrUnavailable))
}

// Guards against a log that grows without a snapshot as long as its entries are few,
// however large they are.
func TestSnapshotIsDueAfterLargeEntries(t *testing.T) {
	cluster := newCluster(t, 3)
	leader := cluster.leader()
	leader.SnapshotEntries, leader.SnapshotBytes = defaultSnapshotEntries, defaultSnapshotBytes
	before := leader.core.Status().SnapshotIndex
	for number := range 3 {
		cluster.propose(leader, fmt.Sprint(number, strings.Repeat("x", defaultSnapshotBytes/2)))
	}
	cluster.Expect(leader.core.Status().SnapshotIndex).To(gomega.BeNumerically(">", before))
}
