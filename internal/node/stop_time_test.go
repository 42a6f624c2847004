package node

import (
	"context"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/drain"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Guards against calls that wait at their target until the stop of the node that sent them
// has no time left to run them (LOST).
func TestPatienceLeavesTimeToRunBeforeStop(t *testing.T) {
	now := time.Unix(1_000, 0)
	const objective, took = 3 * time.Second, time.Second
	stops := []struct {
		name      string
		stopAfter time.Duration
		deadline  time.Duration
		objective time.Duration
		patience  time.Duration
	}{
		{"not stopping", 0, time.Minute, objective, objective},
		{"enough time", 10 * time.Second, time.Minute, objective, objective},
		{"little time", 2500 * time.Millisecond, time.Minute, objective, 1500 * time.Millisecond},
		{"no objective", 2500 * time.Millisecond, time.Minute, 0, 1500 * time.Millisecond},
		{"no time", 500 * time.Millisecond, time.Minute, objective, minPatience},
		{"its deadline comes before the stop", 2500 * time.Millisecond, 2500 * time.Millisecond, objective, objective},
	}
	for _, test := range stops {
		t.Run(test.name, func(t *testing.T) {
			node := &Node{}
			outbound := &outboundCall{kind: &configuration.CompiledKind{Name: "visits", Repeat: request.Repeatable, Objective: test.objective}}
			outbound.readAt, outbound.work.Deadline = now, now.Add(test.deadline)
			node.recentCalls.Record(now, outbound.class(), took)
			if test.stopAfter > 0 {
				stop := now.Add(test.stopAfter)
				node.plannedStop.Store(&plannedStop{lateFrom: stop, end: stop})
			}
			// The latency is rounded up to the width of a bucket.
			gomega.NewWithT(t).Expect(node.patience(now, outbound)).To(gomega.And(
				gomega.BeNumerically("<=", test.patience), gomega.BeNumerically(">=", min(test.patience, test.patience-took/16+minPatience))))
		})
	}
}

// Guards against a stop that leaves calls in flight until the process is killed (LOST): the
// drain ends them when their time is over.
func TestDrainEndsCallsWhenTheirTimeIsOver(t *testing.T) {
	g := gomega.NewWithT(t)
	node := &Node{Grace: stopMargin, Drain: &drain.Drain{}}
	node.calls, node.endCalls = context.WithCancelCause(t.Context())
	stopped, stop := context.WithCancel(t.Context())
	stop()
	group := run.Group{}
	node.addDrain(stopped, &group)
	g.Expect(group.Run()).To(gomega.Succeed())
	g.Eventually(node.calls.Done()).WithTimeout(time.Minute).Should(gomega.BeClosed())
	g.Expect(context.Cause(node.calls)).To(gomega.MatchError(errStopped))
}
