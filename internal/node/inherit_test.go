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

// The calls that a target makes for one request are of one bucket and know what was
// spent on it, so that a full service takes all calls of a tree or none.
func TestACallOfTheTargetInheritsThePlaceOfItsRequest(t *testing.T) {
	now := time.Unix(1_000, 0)
	until := now.Add(500 * time.Millisecond)
	parent := &served{
		id:    "parent",
		work:  request.Work{Priority: request.NewPriority(2, 77), Spent: 30 * time.Millisecond},
		root:  &root{},
		begun: now.Add(-100 * time.Millisecond),
	}
	lookup := configuration.CompiledKind{Name: "route/lookup", Importance: 1, Routed: true}
	native := lookup
	native.Routed = false
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
		{"of its request", lookup, until, false, request.NewPriority(2, 77), 130 * time.Millisecond},
		{"of a higher rank by itself", important, until, false, request.NewPriority(3, 77), 130 * time.Millisecond},
		{"that ends at another time", lookup, until.Add(time.Second), false, request.NewPriority(1, 5), 0},
		{"of a kind that comes from outside", lookup, until, true, request.NewPriority(1, 5), 0},
		{"that names its trace", native, until, false, request.NewPriority(1, 5), 0},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			no := &Node{counters: newCounters()}
			no.served.Enter(until, parent)
			no.doors.enters = map[request.KindName]bool{lookup.Name: each.entering}
			og := &outgoing{kind: &each.kind, work: request.Work{Priority: request.NewPriority(min(each.kind.Importance, 1), 5)}}
			no.inherit(og, each.deadline, now)
			g.Expect(og.work.Priority).To(gomega.Equal(each.priority))
			g.Expect(og.work.Spent).To(gomega.Equal(each.spent))
			g.Expect(no.counters.tied.Get() == 1).To(gomega.Equal(each.spent > 0))
		})
	}
}

// While a target waits for a call, the time is not its own, also while the wait goes
// on. What the call ends with is not told to a request that was likely its parent.
func TestTheWaitForACallIsNoTimeOfItsTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000, 0)
	parent := &served{root: &root{}}
	og := &outgoing{root: &root{}, parent: parent}
	og.wait(now)
	below, _ := parent.root.waited(now.Add(30 * time.Millisecond))
	g.Expect(below).To(gomega.Equal(30 * time.Millisecond))
	later := now.Add(70 * time.Millisecond)
	og.resume(later, web.NewRefusal(request.Overloaded, ""))
	below, refused := parent.root.waited(later.Add(time.Second))
	g.Expect(below).To(gomega.Equal(70 * time.Millisecond))
	g.Expect(refused).To(gomega.BeFalse())
	g.Expect(parent.root.refusedBelow(http.StatusBadGateway)).To(gomega.BeNil())
	g.Expect(og.root.refusedBelow(http.StatusBadGateway).Code).To(gomega.Equal(request.OverloadedBelow))
}

// Callers above learn that a target is gone for an answer that broke off below:
// another target of their own does not help.
func TestABrokenAnswerBelowIsToldAsADeadTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	ro := &root{}
	ro.wait(time.Unix(1_000, 0))
	ro.resume(time.Unix(1_001, 0), web.NewRefusal(request.AnswerBroken, ""))
	told := ro.refusedBelow(http.StatusBadGateway)
	g.Expect(told.Code).To(gomega.Equal(request.TargetDied))
	g.Expect(told.Outcome).To(gomega.Equal(request.Unknown))
}
