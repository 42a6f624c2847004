package spread_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/spread"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// version makes versions whose text grows, so that steps are worth sending.
func version(number int) spread.Version {
	text := fmt.Sprintf("{\n\t\"padding\": \"%0512d\",\n\t\"number\": %d\n}\n", 0, number)
	patch := fmt.Sprintf(`[{"op":"replace","path":"/number","value":%d}]`, number)
	patched, err := configuration.Patch([]byte(text), []byte(patch))
	if err != nil {
		panic(err)
	}
	return spread.Version{Number: configuration.Version(number), Text: patched, Patch: []byte(patch)}
}

func publishUpTo(publisher *spread.Publisher, from, to int) {
	for number := from; number <= to; number++ {
		if err := publisher.Publish(version(number)); err != nil {
			panic(err)
		}
	}
}

func newFollower() *spread.Follower {
	return &spread.Follower{Patch: configuration.Patch}
}

func TestStepsAreSentWhereTheBaseIsKnown(t *testing.T) {
	expect := gomega.NewWithT(t)
	publisher, follower := &spread.Publisher{}, newFollower()
	publishUpTo(publisher, 1, 3)
	first, _ := publisher.Offer(follower.Held(), true)
	expect.Expect(first.Text).NotTo(gomega.BeNil())
	expect.Expect(follower.Apply(start, first).Changed).To(gomega.BeTrue())

	publishUpTo(publisher, 4, 6)
	second, ok := publisher.Offer(follower.Held(), true)
	expect.Expect(ok).To(gomega.BeTrue())
	expect.Expect(second.Text).To(gomega.BeNil())
	expect.Expect(second.Steps).To(gomega.HaveLen(3))
	expect.Expect(follower.Apply(start, second).Changed).To(gomega.BeTrue())
	expect.Expect(follower.Text()).To(gomega.Equal(version(6).Text))
	_, ok = publisher.Offer(follower.Held(), true)
	expect.Expect(ok).To(gomega.BeFalse())
}

func TestWholeTextIsSentWhereTheBaseIsNotKnown(t *testing.T) {
	expect := gomega.NewWithT(t)
	publisher := &spread.Publisher{Kept: 2}
	publishUpTo(publisher, 1, 6)
	for _, held := range []spread.Held{{}, {Number: 2, Digest: spread.DigestOf(version(2).Text)}, {Number: 5, Digest: 9}, {Number: 6, Digest: 9}} {
		update, ok := publisher.Offer(held, true)
		expect.Expect(ok).To(gomega.BeTrue())
		expect.Expect(update.Text).To(gomega.Equal(version(6).Text))
	}
	known, _ := publisher.Offer(spread.Held{Number: 4, Digest: spread.DigestOf(version(4).Text)}, true)
	expect.Expect(known.Steps).To(gomega.HaveLen(2))
}

func TestWrongDigestAsksForTheWholeText(t *testing.T) {
	expect := gomega.NewWithT(t)
	publisher, follower := &spread.Publisher{}, newFollower()
	publishUpTo(publisher, 1, 1)
	first, _ := publisher.Offer(follower.Held(), true)
	follower.Apply(start, first)
	publishUpTo(publisher, 2, 2)
	broken, _ := publisher.Offer(follower.Held(), true)
	broken.Steps = []spread.Step{{Number: 2, Patch: version(9).Patch, Digest: broken.Digest}}
	expect.Expect(follower.Apply(start, broken)).To(gomega.Equal(spread.Result{Whole: true}))
	expect.Expect(follower.Held().Number).To(gomega.Equal(configuration.Version(1)))
}

func TestSecondTextUnderOneNumberIsAConflict(t *testing.T) {
	expect := gomega.NewWithT(t)
	follower := newFollower()
	follower.Apply(start, spread.Update{Number: 4, Text: []byte("a"), Digest: spread.DigestOf([]byte("a")), Confirmed: true})
	result := follower.Apply(start, spread.Update{Number: 4, Text: []byte("b"), Digest: spread.DigestOf([]byte("b")), Confirmed: true})
	expect.Expect(result).To(gomega.Equal(spread.Result{Conflict: true}))
	expect.Expect(follower.Text()).To(gomega.Equal([]byte("a")))
}

func TestStartedNodeWaitsForAConfirmedVersion(t *testing.T) {
	expect := gomega.NewWithT(t)
	stale, newest := &spread.Publisher{}, &spread.Publisher{}
	publishUpTo(stale, 1, 3)
	publishUpTo(newest, 1, 5)
	old, _ := stale.Offer(spread.Held{}, false)
	confirmed, _ := newest.Offer(spread.Held{}, true)

	follower := newFollower()
	expect.Expect(follower.Apply(start, old).Changed).To(gomega.BeFalse())
	expect.Expect(follower.Apply(start, confirmed).Changed).To(gomega.BeTrue())
	expect.Expect(follower.Apply(start, old).Changed).To(gomega.BeFalse())

	cutOff := newFollower()
	cutOff.Apply(start, old)
	expect.Expect(cutOff.Tick(start.Add(spread.DefaultStartWait - 1)).Changed).To(gomega.BeFalse())
	expect.Expect(cutOff.Tick(start.Add(spread.DefaultStartWait)).Changed).To(gomega.BeTrue())
	expect.Expect(cutOff.Behind()).To(gomega.BeFalse())
	cutOff.Heard(5)
	expect.Expect(cutOff.Behind()).To(gomega.BeTrue())
}

func TestUnusableTextStaysOut(t *testing.T) {
	expect := gomega.NewWithT(t)
	fault := errors.New("unknown field")
	follower := &spread.Follower{Check: func([]byte) error { return fault }}
	result := follower.Apply(start, spread.Update{Number: 1, Text: []byte("a"), Digest: spread.DigestOf([]byte("a")), Confirmed: true})
	expect.Expect(result.Unusable).To(gomega.Equal(fault))
	expect.Expect(follower.Held().Number).To(gomega.BeZero())
}

// TestFollowersNeverGoBackAndConverge lets nodes move between replicas that are
// behind by different amounts, over a queue that loses, doubles and reorders.
func TestFollowersNeverGoBackAndConverge(t *testing.T) {
	suite.Check(t, 300, func(r *rapid.T) {
		expect := gomega.NewWithT(r)
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 2))
		accepted := 1
		replicas := []*spread.Publisher{{Kept: 3}, {Kept: 8}, {}}
		known := []int{0, 0, 0}
		followers := []*spread.Follower{newFollower(), newFollower(), newFollower(), newFollower()}
		highest := make([]configuration.Version, len(followers))
		queues := make([][]spread.Update, len(followers))
		now := start

		receive := func(node int, update spread.Update) {
			result := followers[node].Apply(now, update)
			held := followers[node].Held()
			expect.Expect(result.Conflict).To(gomega.BeFalse())
			expect.Expect(held.Number).To(gomega.BeNumerically(">=", highest[node]))
			highest[node] = held.Number
			if held.Number > 0 {
				expect.Expect(held.Digest).To(gomega.Equal(spread.DigestOf(version(int(held.Number)).Text)))
			}
			if result.Whole {
				if whole, ok := replicas[source.IntN(len(replicas))].Offer(spread.Held{}, false); ok {
					queues[node] = append(queues[node], whole)
				}
			}
		}
		offer := func(node, replica int) {
			update, ok := replicas[replica].Offer(followers[node].Held(), known[replica] == accepted)
			if ok {
				queues[node] = append(queues[node], update)
			}
		}
		catchUp := func(replica, to int) {
			publishUpTo(replicas[replica], known[replica]+1, to)
			known[replica] = to
		}

		for range rapid.IntRange(10, 120).Draw(r, "steps") {
			now = now.Add(50 * time.Millisecond)
			node, replica := source.IntN(len(followers)), source.IntN(len(replicas))
			switch source.IntN(6) {
			case 0:
				accepted++
			case 1:
				catchUp(replica, known[replica]+source.IntN(accepted-known[replica]+1))
			case 2, 3:
				offer(node, replica)
			case 4, 5:
				if len(queues[node]) == 0 {
					continue
				}
				index := source.IntN(len(queues[node]))
				taken := queues[node][index]
				if source.IntN(3) > 0 {
					queues[node] = append(queues[node][:index:index], queues[node][index+1:]...)
				}
				if source.IntN(4) > 0 {
					receive(node, taken)
				}
			}
		}
		for replica := range replicas {
			catchUp(replica, accepted)
		}
		for node := range followers {
			for range 3 {
				offer(node, source.IntN(len(replicas)))
				for _, update := range queues[node] {
					receive(node, update)
				}
			}
			expect.Expect(followers[node].Held().Number).To(gomega.Equal(configuration.Version(accepted)))
		}
	})
}

func TestStatusCountsVersionsAndSilence(t *testing.T) {
	expect := gomega.NewWithT(t)
	here, there := &spread.Tracker{}, &spread.Tracker{}
	here.Report(start, "a", "norte-1", 7)
	here.Report(start, "b", "norte-1", 6)
	there.Report(start, "c", "sur-1", 7)
	here.Merge(start, "replica-sur", there.Summary(start))
	now := start.Add(spread.DefaultSilence)
	here.Report(now, "a", "norte-1", 7)
	status := here.Status(now)
	expect.Expect(status).To(gomega.Equal([]spread.DomainStatus{
		{Domain: "norte-1", Nodes: 1, Versions: []spread.VersionCount{{Number: 7, Nodes: 1}}, Silent: status[0].Silent},
		{Domain: "sur-1", Nodes: 1, Versions: []spread.VersionCount{{Number: 7, Nodes: 1}}, OutOfReach: true},
	}))
	expect.Expect(status[0].Silent).To(gomega.HaveLen(1))
	current, behind := spread.InForce(status, 7)
	expect.Expect([]int{current, behind}).To(gomega.Equal([]int{1, 2}))
}

// Its nodes hold their leases at other replicas by then.
func TestSilentReplicaCountsNoNodeTwice(t *testing.T) {
	expect := gomega.NewWithT(t)
	here, lost := &spread.Tracker{}, &spread.Tracker{}
	lost.Report(start, "a", "norte-1", 7)
	here.Merge(start, "replica-lost", lost.Summary(start))
	now := start.Add(spread.DefaultSilence)
	here.Report(now, "a", "norte-1", 7)
	expect.Expect(here.Status(now)).To(gomega.Equal([]spread.DomainStatus{
		{Domain: "norte-1", Nodes: 1, Versions: []spread.VersionCount{{Number: 7, Nodes: 1}}},
	}))
}
