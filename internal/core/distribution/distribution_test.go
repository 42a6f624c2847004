package distribution_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// newVersion returns a version with a text so long that its patch is smaller.
func newVersion(number int) distribution.Version {
	text := fmt.Sprintf("{\n\t\"padding\": \"%0512d\",\n\t\"number\": %d\n}\n", 0, number)
	patch := fmt.Sprintf(`[{"op":"replace","path":"/number","value":%d}]`, number)
	patched, err := configuration.Patch([]byte(text), []byte(patch))
	if err != nil {
		panic(err)
	}
	return distribution.Version{Number: configuration.Version(number), Text: patched, Patch: []byte(patch)}
}

func publishUpTo(publisher *distribution.Publisher, from, to int) {
	for number := from; number <= to; number++ {
		if err := publisher.Publish(newVersion(number)); err != nil {
			panic(err)
		}
	}
}

func newFollower() *distribution.Follower {
	return &distribution.Follower{Patch: configuration.Patch}
}

func TestStepsAreSentIfBaseIsKnown(t *testing.T) {
	expect := gomega.NewWithT(t)
	publisher, follower := &distribution.Publisher{}, newFollower()
	publishUpTo(publisher, 1, 3)
	first, _ := publisher.Offer(follower.Current(), true)
	expect.Expect(first.Text).NotTo(gomega.BeNil())
	expect.Expect(follower.Apply(start, first).Changed).To(gomega.BeTrue())

	publishUpTo(publisher, 4, 6)
	second, ok := publisher.Offer(follower.Current(), true)
	expect.Expect(ok).To(gomega.BeTrue())
	expect.Expect(second.Text).To(gomega.BeNil())
	expect.Expect(second.Steps).To(gomega.HaveLen(3))
	expect.Expect(follower.Apply(start, second).Changed).To(gomega.BeTrue())
	expect.Expect(follower.Text()).To(gomega.Equal(newVersion(6).Text))
	_, ok = publisher.Offer(follower.Current(), true)
	expect.Expect(ok).To(gomega.BeFalse())
}

func TestWholeTextIsSentIfBaseIsUnknown(t *testing.T) {
	expect := gomega.NewWithT(t)
	publisher := &distribution.Publisher{KeptPatches: 2}
	publishUpTo(publisher, 1, 6)
	for _, held := range []distribution.VersionID{{}, {Number: 2, Digest: distribution.DigestOf(newVersion(2).Text)}, {Number: 5, Digest: 9}, {Number: 6, Digest: 9}} {
		update, ok := publisher.Offer(held, true)
		expect.Expect(ok).To(gomega.BeTrue())
		expect.Expect(update.Text).To(gomega.Equal(newVersion(6).Text))
	}
	known, _ := publisher.Offer(distribution.VersionID{Number: 4, Digest: distribution.DigestOf(newVersion(4).Text)}, true)
	expect.Expect(known.Steps).To(gomega.HaveLen(2))
}

func TestWrongDigestRequestsWholeText(t *testing.T) {
	expect := gomega.NewWithT(t)
	publisher, follower := &distribution.Publisher{}, newFollower()
	publishUpTo(publisher, 1, 1)
	first, _ := publisher.Offer(follower.Current(), true)
	follower.Apply(start, first)
	publishUpTo(publisher, 2, 2)
	broken, _ := publisher.Offer(follower.Current(), true)
	broken.Steps = []distribution.Step{{Number: 2, Patch: newVersion(9).Patch, Digest: broken.Digest}}
	expect.Expect(follower.Apply(start, broken)).To(gomega.Equal(distribution.ApplyResult{NeedsWholeText: true}))
	expect.Expect(follower.Current().Number).To(gomega.Equal(configuration.Version(1)))
}

func TestOtherTextWithSameNumberIsConflict(t *testing.T) {
	expect := gomega.NewWithT(t)
	follower := newFollower()
	follower.Apply(start, distribution.Update{Number: 4, Text: []byte("a"), Digest: distribution.DigestOf([]byte("a")), Confirmed: true})
	result := follower.Apply(start, distribution.Update{Number: 4, Text: []byte("b"), Digest: distribution.DigestOf([]byte("b")), Confirmed: true})
	expect.Expect(result).To(gomega.Equal(distribution.ApplyResult{Conflict: true}))
	expect.Expect(follower.Text()).To(gomega.Equal([]byte("a")))
}

func TestStartedNodeWaitsForConfirmedVersion(t *testing.T) {
	expect := gomega.NewWithT(t)
	stale, newest := &distribution.Publisher{}, &distribution.Publisher{}
	publishUpTo(stale, 1, 3)
	publishUpTo(newest, 1, 5)
	old, _ := stale.Offer(distribution.VersionID{}, false)
	confirmed, _ := newest.Offer(distribution.VersionID{}, true)

	follower := newFollower()
	expect.Expect(follower.Apply(start, old).Changed).To(gomega.BeFalse())
	expect.Expect(follower.Apply(start, confirmed).Changed).To(gomega.BeTrue())
	expect.Expect(follower.Apply(start, old).Changed).To(gomega.BeFalse())

	cutOff := newFollower()
	cutOff.Apply(start, old)
	expect.Expect(cutOff.Tick(start.Add(distribution.DefaultUnconfirmedWait - 1)).Changed).To(gomega.BeFalse())
	expect.Expect(cutOff.Tick(start.Add(distribution.DefaultUnconfirmedWait)).Changed).To(gomega.BeTrue())
	expect.Expect(cutOff.Behind()).To(gomega.BeFalse())
	cutOff.NoteVersion(5)
	expect.Expect(cutOff.Behind()).To(gomega.BeTrue())
}

func TestUnusableTextIsNotInstalled(t *testing.T) {
	expect := gomega.NewWithT(t)
	fault := errors.New("unknown field")
	follower := &distribution.Follower{Check: func([]byte) error { return fault }}
	result := follower.Apply(start, distribution.Update{Number: 1, Text: []byte("a"), Digest: distribution.DigestOf([]byte("a")), Confirmed: true})
	expect.Expect(result.Unusable).To(gomega.Equal(fault))
	expect.Expect(follower.Current().Number).To(gomega.BeZero())
}

// Guards against a node that puts an old version in force after a restart, though calls have
// told it of a newer one (CONFIG): its replica is cut off from the others.
func TestUnconfirmedVersionOlderThanKnownOneStaysOut(t *testing.T) {
	g := gomega.NewWithT(t)
	follower := newFollower()
	offer := func(at time.Time, number int) {
		text := newVersion(number).Text
		follower.Apply(at, distribution.Update{Number: configuration.Version(number), Text: text, Digest: distribution.DigestOf(text)})
	}
	offer(start, 5)
	follower.NoteVersion(7)
	later := start.Add(10 * distribution.DefaultUnconfirmedWait)
	g.Expect(follower.Tick(later).Changed).To(gomega.BeFalse(), "a peer has version 7 in force")
	g.Expect(follower.Behind()).To(gomega.BeTrue(), "so that the node asks another replica")
	offer(later, 7)
	g.Expect(follower.Tick(later).Changed).To(gomega.BeTrue())
	g.Expect(follower.Current().Number).To(gomega.BeEquivalentTo(7))
}

// The newer version may be one that this node cannot use, as while builds are replaced. Then
// it serves by an older one rather than not at all.
func TestUnusableKnownVersionKeepsNoOlderOneOut(t *testing.T) {
	g := gomega.NewWithT(t)
	follower := &distribution.Follower{Check: func(text []byte) error {
		if string(text) == "unusable" {
			return errors.New("unknown field")
		}
		return nil
	}}
	offer := func(number configuration.Version, text string) {
		follower.Apply(start, distribution.Update{Number: number, Text: []byte(text), Digest: distribution.DigestOf([]byte(text))})
	}
	follower.NoteVersion(9)
	offer(9, "unusable")
	at := start.Add(distribution.DefaultUnconfirmedWait)
	g.Expect(follower.Tick(at).Unusable).To(gomega.HaveOccurred())
	offer(8, "usable")
	g.Expect(follower.Tick(at).Changed).To(gomega.BeTrue())
}

// A node that starts without a quorum must take the version of another replica if the
// first one offers it a version that it cannot use.
func TestUnusableUnconfirmedVersionKeepsNoOtherOut(t *testing.T) {
	g := gomega.NewWithT(t)
	follower := &distribution.Follower{Check: func(text []byte) error {
		if string(text) == "unusable" {
			return errors.New("unknown field")
		}
		return nil
	}}
	offer := func(at time.Time, number configuration.Version, text string) {
		follower.Apply(at, distribution.Update{Number: number, Text: []byte(text), Digest: distribution.DigestOf([]byte(text))})
	}
	offer(start, 9, "unusable")
	at := start.Add(distribution.DefaultUnconfirmedWait)
	g.Expect(follower.Tick(at).Unusable).To(gomega.HaveOccurred())
	g.Expect(follower.Tick(at.Add(time.Second)).Unusable).NotTo(gomega.HaveOccurred(), "reported once for each offer")

	offer(at.Add(time.Second), 8, "usable")
	g.Expect(follower.Tick(at.Add(time.Second + distribution.DefaultUnconfirmedWait)).Changed).To(gomega.BeTrue())
}

// Nodes switch between replicas that lag by different amounts, and updates may be
// lost, duplicated or reordered. A node must never return to an earlier version,
// and in the end all nodes must have the newest one.
func TestFollowersNeverRegressAndConverge(t *testing.T) {
	suite.Check(t, 300, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 2))
		accepted := 1
		replicas := []*distribution.Publisher{{KeptPatches: 3}, {KeptPatches: 8}, {}}
		published := []int{0, 0, 0}
		followers := []*distribution.Follower{newFollower(), newFollower(), newFollower(), newFollower()}
		highest := make([]configuration.Version, len(followers))
		queues := make([][]distribution.Update, len(followers))
		now := start

		receive := func(node int, update distribution.Update) {
			result := followers[node].Apply(now, update)
			held := followers[node].Current()
			expect.Expect(result.Conflict).To(gomega.BeFalse())
			expect.Expect(held.Number).To(gomega.BeNumerically(">=", highest[node]))
			highest[node] = held.Number
			if held.Number > 0 {
				expect.Expect(held.Digest).To(gomega.Equal(distribution.DigestOf(newVersion(int(held.Number)).Text)))
			}
			if result.NeedsWholeText {
				if whole, ok := replicas[random.IntN(len(replicas))].Offer(distribution.VersionID{}, false); ok {
					queues[node] = append(queues[node], whole)
				}
			}
		}
		offer := func(node, replica int) {
			update, ok := replicas[replica].Offer(followers[node].Current(), published[replica] == accepted)
			if ok {
				queues[node] = append(queues[node], update)
			}
		}
		catchUp := func(replica, to int) {
			publishUpTo(replicas[replica], published[replica]+1, to)
			published[replica] = to
		}

		for range rapid.IntRange(10, 120).Draw(r, "steps") {
			now = now.Add(50 * time.Millisecond)
			node, replica := random.IntN(len(followers)), random.IntN(len(replicas))
			switch random.IntN(6) {
			case 0:
				accepted++
			case 1:
				catchUp(replica, published[replica]+random.IntN(accepted-published[replica]+1))
			case 2, 3:
				offer(node, replica)
			case 4, 5:
				if len(queues[node]) == 0 {
					continue
				}
				index := random.IntN(len(queues[node]))
				taken := queues[node][index]
				if random.IntN(3) > 0 {
					queues[node] = append(queues[node][:index:index], queues[node][index+1:]...)
				}
				if random.IntN(4) > 0 {
					receive(node, taken)
				}
			}
		}
		for replica := range replicas {
			catchUp(replica, accepted)
		}
		for node := range followers {
			for range 3 {
				offer(node, random.IntN(len(replicas)))
				for _, update := range queues[node] {
					receive(node, update)
				}
			}
			expect.Expect(followers[node].Current().Number).To(gomega.Equal(configuration.Version(accepted)))
		}
	})
}

func TestStatusCountsVersionsAndSilentNodes(t *testing.T) {
	expect := gomega.NewWithT(t)
	here, there := &distribution.Tracker{}, &distribution.Tracker{}
	here.Report(start, "a", "norte-1", 7)
	here.Report(start, "b", "norte-1", 6)
	there.Report(start, "c", "sur-1", 7)
	here.Merge(start, "replica-sur", there.Summary(start))
	now := start.Add(distribution.DefaultSilenceTimeout)
	here.Report(now, "a", "norte-1", 7)
	status := here.Status(now)
	expect.Expect(status).To(gomega.Equal([]distribution.DomainStatus{
		{Domain: "norte-1", Nodes: 1, Versions: []distribution.VersionCount{{Number: 7, Nodes: 1}}, Silent: status[0].Silent},
		{Domain: "sur-1", Nodes: 1, Versions: []distribution.VersionCount{{Number: 7, Nodes: 1}}, OutOfReach: true},
	}))
	expect.Expect(status[0].Silent).To(gomega.HaveLen(1))
	current, behind := distribution.CountInForce(status, 7)
	expect.Expect([]int{current, behind}).To(gomega.Equal([]int{1, 2}))
}

// The nodes of a silent replica hold their leases at other replicas by then, so
// counting its summary too would count them twice.
func TestSilentReplicaNodesAreNotCountedTwice(t *testing.T) {
	expect := gomega.NewWithT(t)
	here, lost := &distribution.Tracker{}, &distribution.Tracker{}
	lost.Report(start, "a", "norte-1", 7)
	here.Merge(start, "replica-lost", lost.Summary(start))
	now := start.Add(distribution.DefaultSilenceTimeout)
	here.Report(now, "a", "norte-1", 7)
	expect.Expect(here.Status(now)).To(gomega.Equal([]distribution.DomainStatus{
		{Domain: "norte-1", Nodes: 1, Versions: []distribution.VersionCount{{Number: 7, Nodes: 1}}},
	}))
}

// The restriction of a target reaches the status of another replica, and ends with the
// report that no longer has it.
func TestStatusListsRestrictedTargets(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	here, there := &distribution.Tracker{}, &distribution.Tracker{}
	limited := distribution.RestrictedTarget{Limited: true, Limit: 7.4, Refused: 3}
	there.Report(start, "c", "sur-1", 7)
	there.ReportTarget("c", &limited)
	here.Report(start, "a", "norte-1", 7)
	here.ReportTarget("a", &distribution.RestrictedTarget{Leaving: true})
	here.ReportTarget("unknown", &distribution.RestrictedTarget{Leaving: true})
	here.Merge(start, "replica-2", there.Summary(start))
	status := here.Status(start)
	expect(status).To(gomega.HaveLen(2))
	expect(status[0].Restricted).To(gomega.Equal([]distribution.RestrictedTarget{{Node: "a", Leaving: true}}))
	expect(status[1].Restricted).To(gomega.Equal([]distribution.RestrictedTarget{{Node: "c", Limited: true, Limit: 7.4, Refused: 3}}))
	here.Report(start, "a", "norte-1", 7)
	here.ReportTarget("a", nil)
	expect(here.Status(start)[0].Restricted).To(gomega.BeEmpty())
}
