package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/wait"
)

// Guards against a check that misses an old version in force, or blames a process that is out
// of touch, or has no version yet.
func TestOldVersionInForceIsReported(t *testing.T) {
	cases := []struct {
		name           string
		version        int
		sinceAck, calm time.Duration
		during         bool
		reported       bool
	}{
		{name: "old", version: 6, sinceAck: 3 * time.Second, calm: time.Minute, reported: true},
		{name: "newest", version: 7, sinceAck: 3 * time.Second, calm: time.Minute},
		{name: "acknowledged just now", version: 6, sinceAck: time.Second, calm: time.Minute},
		{name: "soon after a fault", version: 6, sinceAck: 3 * time.Second, calm: time.Second},
		{name: "during a fault", version: 6, sinceAck: 3 * time.Second, calm: time.Minute, during: true},
		{name: "without a version", version: 0, sinceAck: 3 * time.Second, calm: time.Minute},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				execution := &execution{sender: newChangeSender(nil, 1)}
				execution.calm.begin()()
				wait.For(t.Context(), test.calm)
				execution.sender.changes = []change{{AcknowledgedVersion: 7, AcknowledgedAt: time.Now().Add(-test.sinceAck)}}
				if test.during {
					execution.calm.begin()
				}
				execution.checkInForce("agenda-norte-a", test.version, time.Now())
				gomega.NewWithT(t).Expect(execution.outdated).To(gomega.HaveLen(map[bool]int{true: 1}[test.reported]))
			})
		})
	}
}

// Guards against changes that build on kinds which are added too early, or never.
func TestChangesGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t).Expect
		sender := newChangeSender(nil, 1)
		sender.routes.Store(2)
		go sender.grow(t.Context(), []Growth{{At: time.Second, Routes: 3}, {At: 2 * time.Second, Routes: 4}})
		for _, expected := range []int64{2, 5, 9} {
			wait.For(t.Context(), 900*time.Millisecond)
			synctest.Wait()
			expect(sender.routes.Load()).To(gomega.Equal(expected))
		}
	})
}
