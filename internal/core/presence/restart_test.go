package presence_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/presence"
)

// A process starts anew beside a target that runs on. What it is told first may be a
// late announcement from before the target drained or was withdrawn, which the process
// no longer knows. Times are those since the start of the process.
func TestAnnouncementAfterRestartNeedsConfirmation(t *testing.T) {
	before, after := presence.StartMillis(noon.Add(-time.Minute).UnixMilli()), presence.StartMillis(noon.Add(time.Second).UnixMilli())
	type arrival struct {
		at           time.Duration
		announcement presence.Announcement
	}
	tests := []struct {
		name     string
		arrivals []arrival
		confirms bool
		serving  bool
	}{
		{"run older than the process", []arrival{{time.Second, announcement("a", before, 7)}}, false, false},
		{"confirmed by the target", []arrival{{time.Second, announcement("a", before, 7)}}, true, true},
		{"run that started later", []arrival{{2 * time.Second, announcement("b", after, 1)}}, false, true},
		{"two late announcements", []arrival{{time.Second, announcement("a", before, 7)}, {2 * time.Second, announcement("a", before, 8)}}, false, false},
		{"announced when none can be late", []arrival{{time.Second, announcement("a", before, 7)}, {6 * time.Second, announcement("a", before, 11)}}, false, true},
		{"drains", []arrival{{time.Second, draining(announcement("a", before, 9))}, {2 * time.Second, announcement("a", before, 7)}}, true, false},
		{"drains after its confirmation", []arrival{{time.Second, announcement("a", before, 7)}, {2 * time.Second, draining(announcement("a", before, 9))}}, true, false},
		{"next run after an unconfirmed one", []arrival{{time.Second, announcement("a", before, 7)}, {2 * time.Second, announcement("b", after, 1)}}, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			local := &presence.Presence{StartedAt: noon}
			for _, arrival := range test.arrivals {
				local.Announce(noon.Add(arrival.at), arrival.announcement)
				if unconfirmed, ok := local.Unconfirmed(); ok && test.confirms {
					expect(local.Confirm(unconfirmed)).To(gomega.BeTrue())
				}
			}
			_, serving := local.Current()
			expect(serving).To(gomega.Equal(test.serving))
		})
	}
}

// A confirmation that comes after the run was withdrawn, or another one announced,
// changes nothing.
func TestLateConfirmationIsIgnored(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	local := &presence.Presence{StartedAt: noon}
	older := announcement("a", 1, 7)
	local.Announce(noon, older)
	local.Withdraw(noon, "a")
	expect(local.Confirm(older)).To(gomega.BeFalse())
	_, serving := local.Current()
	expect(serving).To(gomega.BeFalse())

	local = &presence.Presence{StartedAt: noon}
	local.Announce(noon, older)
	local.Announce(noon, announcement("b", 2, 1))
	expect(local.Confirm(older)).To(gomega.BeFalse())
	_, serving = local.Current()
	expect(serving).To(gomega.BeFalse())
}
