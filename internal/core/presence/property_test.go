package presence_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// announcer is one life of a target beside the node; each begins later than the one
// before.
type announcer struct {
	instance request.InstanceID
	birth    presence.Birth
	said     []presence.Announcement
}

// Announcements of a row of lives arrive late, twice and out of order. What
// stands is the newest of what arrived, in the naive reading: the last life,
// within it the highest number. A life that said that it leaves, or was
// withdrawn, never works again.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	suite.Check(t, 5000, func(t *rapid.T) {
		expect := gomega.NewWithT(t).Expect
		lives := drawLives(t)
		told := &presence.Presence{}
		newest, left, withdrawn := presence.Announcement{}, map[presence.Birth]bool{}, map[presence.Birth]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "arrivals") {
			one := lives[rapid.IntRange(0, len(lives)-1).Draw(t, "life")]
			if rapid.IntRange(0, 9).Draw(t, "withdraws") == 0 && newest.Birth == one.birth {
				told.Withdraw(noon, one.instance)
				withdrawn[one.birth] = true
			} else {
				arrived := one.said[rapid.IntRange(0, len(one.said)-1).Draw(t, "announcement")]
				verdict := told.Announce(noon, arrived)
				newer := arrived.Birth > newest.Birth || arrived.Birth == newest.Birth && arrived.Sequence > newest.Sequence
				expect(verdict == presence.Taken).To(gomega.Equal(newer && !withdrawn[arrived.Birth]))
				if verdict == presence.Taken {
					newest = arrived
					left[arrived.Birth] = left[arrived.Birth] || arrived.Draining
				}
			}
			current, serving := told.Current()
			expect(current.Birth).To(gomega.Equal(newest.Birth))
			expect(current.Sequence).To(gomega.Equal(newest.Sequence))
			expect(serving).To(gomega.Equal(newest.Birth > 0 && !left[newest.Birth] && !withdrawn[newest.Birth]))
		}
	})
}

func drawLives(t *rapid.T) []announcer {
	var lives []announcer
	for index := range rapid.IntRange(1, 4).Draw(t, "lives") {
		one := announcer{
			// An instance may start again under the id that it had.
			instance: request.InstanceID(rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "instance")),
			birth:    presence.Birth(1000 * (index + 1)),
		}
		for sequence := range rapid.IntRange(1, 6).Draw(t, "announcements") {
			one.said = append(one.said, presence.Announcement{
				Instance: one.instance, Birth: one.birth, Sequence: presence.Sequence(sequence + 1), Service: "agenda", Slots: 4,
				Draining: rapid.IntRange(0, 3).Draw(t, "draining") == 0,
			})
		}
		lives = append(lives, one)
	}
	return lives
}
