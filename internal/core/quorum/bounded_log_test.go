package quorum_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

const boundedLogEntryBytes = 100 << 10

// newBoundedLogGroup gives a leader of a group of one with so many committed entries.
func newBoundedLogGroup(t *testing.T, entries int) *quorum.Replica {
	expect := gomega.NewWithT(t).Expect
	initial, err := quorum.InitialState([]quorum.Member{{ID: 1}})
	expect(err).NotTo(gomega.HaveOccurred())
	leader := &quorum.Replica{ID: 1, Seed: 1}
	expect(leader.Start(initial)).To(gomega.Succeed())
	for leader.Status().Role != quorum.Leader {
		leader.Tick()
		finishOutputs(leader)
	}
	for range entries {
		_, _, err := leader.Propose(make([]byte, boundedLogEntryBytes))
		expect(err).NotTo(gomega.HaveOccurred())
		finishOutputs(leader)
	}
	return leader
}

// finishOutputs carries out the outputs of a replica and returns its messages.
func finishOutputs(replica *quorum.Replica) []*quorumpb.Message {
	var sent []*quorumpb.Message
	for {
		output := replica.TakeOutput()
		if output.Empty() {
			return sent
		}
		sent = append(append(sent, output.Messages...), output.MessagesAfterSync...)
		replica.OutputDone(output)
	}
}

func compact(t *testing.T, leader *quorum.Replica) {
	snapshot, err := leader.MakeSnapshot(leader.Status().CommitIndex, []byte("state"))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	leader.Compact(snapshot)
}

// appendResult answers what a leader sent to a member: refused, with nothing in its log,
// or acknowledged up to an index.
func appendResult(leader *quorum.Replica, from quorum.ReplicaID, index, previous quorum.Index) {
	result := &quorumpb.AppendResult{Index: uint64(index)}
	if index == 0 {
		result = &quorumpb.AppendResult{Index: uint64(previous), Refused: true}
	}
	leader.Step(&quorumpb.Message{
		From: uint64(from), To: 1, Term: uint64(leader.Status().Term),
		Body: &quorumpb.Message_AppendResult{AppendResult: result},
	})
}

// sentTo returns the entries and the bytes of snapshots that messages bring to a member.
func sentTo(messages []*quorumpb.Message, to quorum.ReplicaID) (entries, chunks int) {
	for _, message := range messages {
		if message.GetTo() == uint64(to) {
			entries += len(message.GetAppend().GetEntries())
			if message.GetChunk() != nil {
				chunks++
			}
		}
	}
	return entries, chunks
}

// Guards against a new member that gets every entry since the start of the group, however
// large they are, though a snapshot stands for them.
func TestNewMemberGetsSnapshotInsteadOfLongLog(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	leader := newBoundedLogGroup(t, 100)
	compact(t, leader)
	_, _, err := leader.ProposeChange(quorum.MembershipChange{Kind: quorum.AddLearner, Member: quorum.Member{ID: 2}})
	expect(err).NotTo(gomega.HaveOccurred())
	finishOutputs(leader)
	appendResult(leader, 2, 0, leader.Status().LastIndex)
	entries, chunks := sentTo(finishOutputs(leader), 2)
	expect(entries).To(gomega.BeZero())
	expect(chunks).To(gomega.Equal(1))
}

// Guards against a member that needs one snapshot after the other, since the entries
// after each are gone when it is installed.
func TestEntriesAfterSentSnapshotAreKept(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	leader := newBoundedLogGroup(t, 100)
	compact(t, leader)
	_, _, err := leader.ProposeChange(quorum.MembershipChange{Kind: quorum.AddLearner, Member: quorum.Member{ID: 2}})
	expect(err).NotTo(gomega.HaveOccurred())
	finishOutputs(leader)
	appendResult(leader, 2, 0, leader.Status().LastIndex)
	finishOutputs(leader)
	sent := leader.Status().SnapshotIndex
	for range 40 {
		_, _, err := leader.Propose(make([]byte, boundedLogEntryBytes))
		expect(err).NotTo(gomega.HaveOccurred())
		finishOutputs(leader)
	}
	compact(t, leader)
	appendResult(leader, 2, sent, 0)
	entries, chunks := sentTo(finishOutputs(leader), 2)
	expect(chunks).To(gomega.BeZero())
	expect(entries).To(gomega.BeNumerically(">", 0))
}
