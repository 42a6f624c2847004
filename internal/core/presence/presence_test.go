package presence_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func life(instance request.InstanceID, birth presence.Birth, sequence presence.Sequence) presence.Announcement {
	return presence.Announcement{Instance: instance, Birth: birth, Sequence: sequence, Service: "agenda", Slots: 8}
}

func draining(told presence.Announcement) presence.Announcement {
	told.Draining = true
	return told
}

// Each row lists announcements in the order of their arrival, the instance that
// stands at the end, and whether it may be given work.
func TestTheLatestLifeStands(t *testing.T) {
	rows := []struct {
		name      string
		arrivals  []presence.Announcement
		withdrawn request.InstanceID
		after     []presence.Announcement
		stands    request.InstanceID
		serving   bool
	}{
		{name: "first", arrivals: []presence.Announcement{life("a", 10, 1)}, stands: "a", serving: true},
		{name: "twice", arrivals: []presence.Announcement{life("a", 10, 1), life("a", 10, 1)}, stands: "a", serving: true},
		{name: "late ready after draining", arrivals: []presence.Announcement{draining(life("a", 10, 5)), life("a", 10, 4)}, stands: "a"},
		{name: "ready again after draining", arrivals: []presence.Announcement{draining(life("a", 10, 5)), life("a", 10, 6)}, stands: "a"},
		{name: "an earlier life from behind a cut", arrivals: []presence.Announcement{life("b", 20, 1), life("a", 10, 99)}, stands: "b", serving: true},
		{name: "the same id starts anew", arrivals: []presence.Announcement{life("a", 10, 40), life("a", 30, 1)}, stands: "a", serving: true},
		{name: "late from before the new start", arrivals: []presence.Announcement{life("a", 30, 1), draining(life("a", 10, 40))}, stands: "a", serving: true},
		{name: "withdrawn", arrivals: []presence.Announcement{life("a", 10, 1)}, withdrawn: "a", stands: "a"},
		{name: "late after it was withdrawn", arrivals: []presence.Announcement{life("a", 10, 1)}, withdrawn: "a", after: []presence.Announcement{life("a", 10, 2)}, stands: "a"},
		{name: "withdrawn before it was known", withdrawn: "a", after: []presence.Announcement{life("a", 10, 2)}},
		{name: "another life withdrawn", arrivals: []presence.Announcement{life("b", 20, 1)}, withdrawn: "a", stands: "b", serving: true},
		{name: "a new life after the withdrawn one", arrivals: []presence.Announcement{life("a", 10, 1)}, withdrawn: "a", after: []presence.Announcement{life("a", 11, 1)}, stands: "a", serving: true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			local := &presence.Presence{}
			for _, told := range row.arrivals {
				local.Announce(noon, told)
			}
			if row.withdrawn != "" {
				local.Withdraw(noon, row.withdrawn)
			}
			for _, told := range row.after {
				local.Announce(noon.Add(time.Second), told)
			}
			current, serving := local.Current()
			expect(current.Instance).To(gomega.Equal(row.stands))
			expect(serving).To(gomega.Equal(row.serving))
		})
	}
}
