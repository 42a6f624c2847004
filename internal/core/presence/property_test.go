package presence_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/core/presence"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// targetRun is one run of the local target. Each run starts later than the one
// before.
type targetRun struct {
	instance      request.InstanceID
	startMillis   presence.StartMillis
	announcements []presence.Announcement
}

// Announcements of successive runs arrive late, repeated and out of order. The
// current one must be the newest that arrived: of the last run, the one with the
// highest sequence number. A run that announced draining, or was withdrawn, never
// takes work again.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	suite.Check(t, 5000, func(t *rapid.T) {
		expect := gomega.NewWithT(t).Expect
		runs := drawRuns(t)
		local := &presence.Presence{}
		newest, drained, withdrawn := presence.Announcement{}, map[presence.StartMillis]bool{}, map[presence.StartMillis]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "arrivals") {
			run := runs[rapid.IntRange(0, len(runs)-1).Draw(t, "run")]
			if rapid.IntRange(0, 9).Draw(t, "withdraws") == 0 && newest.StartMillis == run.startMillis {
				local.Withdraw(noon, run.instance)
				withdrawn[run.startMillis] = true
			} else {
				arrived := run.announcements[rapid.IntRange(0, len(run.announcements)-1).Draw(t, "announcement")]
				verdict := local.Announce(noon, arrived)
				newer := arrived.StartMillis > newest.StartMillis || arrived.StartMillis == newest.StartMillis && arrived.Sequence > newest.Sequence
				expect(verdict == presence.Accepted).To(gomega.Equal(newer && !withdrawn[arrived.StartMillis]))
				if verdict == presence.Accepted {
					newest = arrived
					drained[arrived.StartMillis] = drained[arrived.StartMillis] || arrived.Draining
				}
			}
			current, serving := local.Current()
			expect(current.StartMillis).To(gomega.Equal(newest.StartMillis))
			expect(current.Sequence).To(gomega.Equal(newest.Sequence))
			expect(serving).To(gomega.Equal(newest.StartMillis > 0 && !drained[newest.StartMillis] && !withdrawn[newest.StartMillis]))
		}
	})
}

func drawRuns(t *rapid.T) []targetRun {
	var runs []targetRun
	for index := range rapid.IntRange(1, 4).Draw(t, "runs") {
		run := targetRun{
			// A restarted instance may keep its id.
			instance:    request.InstanceID(rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "instance")),
			startMillis: presence.StartMillis(1000 * (index + 1)),
		}
		for sequence := range rapid.IntRange(1, 6).Draw(t, "announcements") {
			run.announcements = append(run.announcements, presence.Announcement{
				Instance: run.instance, StartMillis: run.startMillis, Sequence: presence.Sequence(sequence + 1), Service: "agenda", Slots: 4,
				Draining: rapid.IntRange(0, 3).Draw(t, "draining") == 0,
			})
		}
		runs = append(runs, run)
	}
	return runs
}
