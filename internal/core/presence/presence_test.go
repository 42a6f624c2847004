package presence_test

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func announcement(instance request.InstanceID, startMillis presence.StartMillis, sequence presence.Sequence) presence.Announcement {
	return presence.Announcement{Instance: instance, StartMillis: startMillis, Sequence: sequence, Service: "agenda", Slots: 8}
}

func draining(announcement presence.Announcement) presence.Announcement {
	announcement.Draining = true
	return announcement
}

// Announcements of several runs arrive late, repeated or out of order, before and
// after a withdrawal. Each case lists them in the order of their arrival, with the
// instance that is current at the end and whether it takes work.
func TestLatestRunIsCurrent(t *testing.T) {
	tests := []struct {
		name      string
		arrivals  []presence.Announcement
		withdrawn request.InstanceID
		after     []presence.Announcement
		current   request.InstanceID
		serving   bool
	}{
		{name: "first", arrivals: []presence.Announcement{announcement("a", 10, 1)}, current: "a", serving: true},
		{name: "twice", arrivals: []presence.Announcement{announcement("a", 10, 1), announcement("a", 10, 1)}, current: "a", serving: true},
		{name: "late ready announcement of a draining run", arrivals: []presence.Announcement{draining(announcement("a", 10, 5)), announcement("a", 10, 4)}, current: "a"},
		{name: "draining run announces ready again", arrivals: []presence.Announcement{draining(announcement("a", 10, 5)), announcement("a", 10, 6)}, current: "a"},
		{name: "earlier run with a higher sequence", arrivals: []presence.Announcement{announcement("b", 20, 1), announcement("a", 10, 99)}, current: "b", serving: true},
		{name: "same instance starts again", arrivals: []presence.Announcement{announcement("a", 10, 40), announcement("a", 30, 1)}, current: "a", serving: true},
		{name: "late announcement from before the restart", arrivals: []presence.Announcement{announcement("a", 30, 1), draining(announcement("a", 10, 40))}, current: "a", serving: true},
		{name: "withdrawn", arrivals: []presence.Announcement{announcement("a", 10, 1)}, withdrawn: "a", current: "a"},
		{name: "late announcement after the withdrawal", arrivals: []presence.Announcement{announcement("a", 10, 1)}, withdrawn: "a", after: []presence.Announcement{announcement("a", 10, 2)}, current: "a"},
		{name: "withdrawn before the first announcement", withdrawn: "a", after: []presence.Announcement{announcement("a", 10, 2)}},
		{name: "another instance withdrawn", arrivals: []presence.Announcement{announcement("b", 20, 1)}, withdrawn: "a", current: "b", serving: true},
		{name: "new run after the withdrawn one", arrivals: []presence.Announcement{announcement("a", 10, 1)}, withdrawn: "a", after: []presence.Announcement{announcement("a", 11, 1)}, current: "a", serving: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			local := &presence.Presence{}
			for _, announcement := range test.arrivals {
				local.Announce(noon, announcement)
			}
			if test.withdrawn != "" {
				local.Withdraw(noon, test.withdrawn)
			}
			for _, announcement := range test.after {
				local.Announce(noon.Add(time.Second), announcement)
			}
			current, serving := local.Current()
			expect(current.Instance).To(gomega.Equal(test.current))
			expect(serving).To(gomega.Equal(test.serving))
		})
	}
}

// A run that said in an answer that it is leaving takes no work again, also if it still
// announces itself as ready. A later run does.
func TestRunThatLeavesTakesNoWorkAgain(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	local := &presence.Presence{}
	announcement := presence.Announcement{Instance: "i-1", StartMillis: 5, Sequence: 1, Service: "agenda", Slots: 4}
	local.Announce(time.Unix(10, 0), announcement)
	expect(local.Leave("i-1", 4)).To(gomega.BeFalse())
	expect(local.Leave("i-2", 5)).To(gomega.BeFalse())
	_, serving := local.Current()
	expect(serving).To(gomega.BeTrue())
	expect(local.Leave("i-1", 5)).To(gomega.BeTrue())
	announcement.Sequence++
	expect(local.Announce(time.Unix(11, 0), announcement)).To(gomega.Equal(presence.Accepted))
	_, serving = local.Current()
	expect(serving).To(gomega.BeFalse())
	announcement.StartMillis, announcement.Sequence = 6, 1
	local.Announce(time.Unix(12, 0), announcement)
	_, serving = local.Current()
	expect(serving).To(gomega.BeTrue())
}

// Guards against an entry of another writer that takes the place of the local target: the
// target's own announcements would be outdated from then on, also that it drains (DRAIN).
func TestForeignAnnouncementChangesNothing(t *testing.T) {
	at := func(address presence.Address, startMillis presence.StartMillis) presence.Announcement {
		foreign := announcement("z", startMillis, 99)
		foreign.Address = address
		return foreign
	}
	now := presence.StartMillis(noon.UnixMilli())
	cases := []struct {
		name    string
		foreign presence.Announcement
	}{
		{"another address", at("10.0.0.9:8080", now)},
		{"an address that cannot be reached", at("nowhere:0", now)},
		{"a start in the future", at("10.0.0.8:8080", now+2*60_000)},
		{"a start after any other", at("10.0.0.8:8080", math.MaxInt64)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			local := &presence.Presence{Address: "10.0.0.8:8080"}
			own := announcement("a", now-1000, 1)
			own.Address = "10.0.0.8:8080"
			expect(local.Announce(noon, own)).To(gomega.Equal(presence.Accepted))
			expect(local.Announce(noon, test.foreign)).To(gomega.Equal(presence.Foreign))
			current, serving := local.Current()
			expect(current).To(gomega.Equal(own))
			expect(serving).To(gomega.BeTrue())
			own.Sequence++
			expect(local.Announce(noon, draining(own))).To(gomega.Equal(presence.Accepted))
			_, serving = local.Current()
			expect(serving).To(gomega.BeFalse())
		})
	}
}

// Guards against a target that is lost because the clock of its host was set back: its start
// lies in the future then, and so it did for a writer that made one up.
func TestStartInFutureOfOnlyRunCounts(t *testing.T) {
	future := presence.StartMillis(noon.Add(time.Hour).UnixMilli())
	past := presence.StartMillis(noon.Add(-time.Hour).UnixMilli())
	cases := []struct {
		name     string
		arrivals []presence.Announcement
		withdraw request.InstanceID
		last     presence.Announcement
		verdict  presence.Verdict
		current  request.InstanceID
	}{
		{"the only run", nil, "", announcement("a", future, 1), presence.Accepted, "a"},
		{"the same run goes on", []presence.Announcement{announcement("a", future, 1)}, "", announcement("a", future, 2), presence.Accepted, "a"},
		{"the next run", []presence.Announcement{announcement("a", future, 1)}, "", announcement("b", future+1, 1), presence.Accepted, "b"},
		{"after the run before was withdrawn", []presence.Announcement{announcement("a", past, 1)}, "a", announcement("b", future, 1), presence.Accepted, "b"},
		{"beside a run with a likely start", []presence.Announcement{announcement("a", past, 1)}, "", announcement("z", future, 1), presence.Foreign, "a"},
		{"before a run with a likely start", []presence.Announcement{announcement("z", future, 1)}, "", announcement("a", past, 1), presence.Accepted, "a"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			local := &presence.Presence{}
			for _, arrival := range test.arrivals {
				expect(local.Announce(noon, arrival)).To(gomega.Equal(presence.Accepted))
			}
			if test.withdraw != "" {
				local.Withdraw(noon, test.withdraw)
			}
			expect(local.Announce(noon, test.last)).To(gomega.Equal(test.verdict))
			current, serving := local.Current()
			expect(current.Instance).To(gomega.Equal(test.current))
			expect(serving).To(gomega.BeTrue())
		})
	}
}
