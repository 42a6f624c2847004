package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// The calls that a target makes for one request get its bucket and the time spent on
// it, so that an overloaded service admits all calls of a tree or none.
func TestTargetCallInheritsPriorityOfLikelyParent(t *testing.T) {
	now := time.Unix(1_000, 0)
	until := now.Add(500 * time.Millisecond)
	parent := &activeRequest{
		id:      "parent",
		work:    request.Work{Priority: request.NewPriority(2, 77), Spent: 30 * time.Millisecond},
		root:    &root{},
		started: now.Add(-100 * time.Millisecond),
	}
	lookup := configuration.CompiledKind{Name: "route/lookup", Importance: 1, Routed: true}
	unrouted := lookup
	unrouted.Routed = false
	important := lookup
	important.Importance = 3
	cases := []struct {
		name     string
		kind     configuration.CompiledKind
		deadline time.Time
		entering bool
		priority request.Priority
		spent    time.Duration
	}{
		{"same deadline", lookup, until, false, request.NewPriority(2, 77), 130 * time.Millisecond},
		{"higher importance of its own", important, until, false, request.NewPriority(3, 77), 130 * time.Millisecond},
		{"other deadline", lookup, until.Add(time.Second), false, request.NewPriority(1, 5), 0},
		{"kind that enters from outside", lookup, until, true, request.NewPriority(1, 5), 0},
		{"call without a route, which names its trace", unrouted, until, false, request.NewPriority(1, 5), 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			node := &Node{counters: newCounters()}
			node.activeRequests.Enter(until, parent)
			node.entry.reportedEntryKinds = map[request.KindName]bool{lookup.Name: test.entering}
			outbound := &outboundCall{kind: &test.kind, work: request.Work{Priority: request.NewPriority(min(test.kind.Importance, 1), 5)}}
			node.inheritFromParent(configuration.Compile(&configuration.Document{Importances: []string{"0", "1", "2", "3"}}), outbound, test.deadline, now)
			g.Expect(outbound.work.Priority).To(gomega.Equal(test.priority))
			g.Expect(outbound.work.Spent).To(gomega.Equal(test.spent))
			g.Expect(node.counters.inheritedCalls.Get() == 1).To(gomega.Equal(test.spent > 0))
		})
	}
}

// The time that a target waits for a call is not counted as its own, even while the
// wait goes on. The call's refusal is not recorded in its likely parent.
func TestWaitForCallIsNotTargetTime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000, 0)
	parent := &activeRequest{root: &root{}}
	outbound := &outboundCall{root: &root{}, likelyParent: parent}
	outbound.beginWait(now)
	waited, _ := parent.root.waitedDownstream(now.Add(30 * time.Millisecond))
	g.Expect(waited).To(gomega.Equal(30 * time.Millisecond))
	later := now.Add(70 * time.Millisecond)
	outbound.endWait(later, web.NewRefusal(request.Overloaded, ""))
	waited, refused := parent.root.waitedDownstream(later.Add(time.Second))
	g.Expect(waited).To(gomega.Equal(70 * time.Millisecond))
	g.Expect(refused).To(gomega.BeFalse())
	g.Expect(parent.root.downstreamRefusal(http.StatusBadGateway)).To(gomega.BeNil())
	g.Expect(outbound.root.downstreamRefusal(http.StatusBadGateway).Code).To(gomega.Equal(request.OverloadedBelow))
}

// Callers upstream are told that the target died when an answer broke off downstream:
// another target of their own would not help.
func TestBrokenDownstreamAnswerIsReportedAsTargetDied(t *testing.T) {
	g := gomega.NewWithT(t)
	root := &root{}
	root.beginWait(time.Unix(1_000, 0))
	root.endWait(time.Unix(1_001, 0), web.NewRefusal(request.AnswerBroken, ""))
	refusal := root.downstreamRefusal(http.StatusBadGateway)
	g.Expect(refusal.Code).To(gomega.Equal(request.TargetDied))
	g.Expect(refusal.Outcome).To(gomega.Equal(request.Unknown))
}
