package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// What a target says of itself holds for the run that says it: not for a later run under
// the same id, nor for another instance at its address, and a value that cannot be read
// leaves the earlier one in force.
func TestTargetStatusHoldsForItsRun(t *testing.T) {
	current := LocalTarget{Instance: "i-1", StartMillis: 2, Service: "agenda", Slots: 4, Serving: true}
	earlier := current
	earlier.StartMillis = 1
	limited := web.TargetStatus{Limited: true, Limit: 3}
	tests := []struct {
		name     string
		from     LocalTarget
		reported []web.TargetStatus
		limited  bool
		serving  bool
	}{
		{"limit", current, []web.TargetStatus{limited}, true, true},
		{"leaving", current, []web.TargetStatus{{Leaving: true}}, false, false},
		{"limit of an earlier run", earlier, []web.TargetStatus{limited}, false, true},
		{"an earlier run leaves", earlier, []web.TargetStatus{{Leaving: true}}, false, true},
		{"another instance answers", current, []web.TargetStatus{{OtherInstance: true, Leaving: true, Limited: true}}, false, true},
		{"another instance is named", current, []web.TargetStatus{{Instance: "i-2", Leaving: true, Limited: true}}, false, true},
		{"unreadable after a limit", current, []web.TargetStatus{limited, {Unreadable: "few"}}, true, true},
		{"an answer without the limit", current, []web.TargetStatus{limited, {}}, true, true},
		{"limit that ended", current, []web.TargetStatus{limited, {}, {}, {}, {}}, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			node := &Node{Configuration: NewConfigurationHolder(NoConfiguration()), Transport: &peer.Transport{}, Target: &web.TargetClient{}, TargetAnnouncesItself: true}
			node.Prepare()
			node.SetLocalTarget(current)
			for _, reported := range test.reported {
				node.applyTargetStatus(test.from, time.Now().Add(time.Hour), reported)
			}
			// An announcement of the same run changes nothing.
			node.SetLocalTarget(current)
			expect(node.admissionControl.state(time.Now(), "").rate.Limited).To(gomega.Equal(test.limited))
			expect(node.LocalTarget().Serving).To(gomega.Equal(test.serving))
			next := current
			next.StartMillis = 3
			node.SetLocalTarget(next)
			expect(node.admissionControl.state(time.Now(), "").rate.Limited).To(gomega.BeFalse())
			expect(node.LocalTarget().Serving).To(gomega.BeTrue())
		})
	}
}

// A call of the local target that the limited targets of a service refuse counts as a
// shortage of that service: requests that cannot end are then refused where they enter.
func TestCallsRefusedByRateAreAShortage(t *testing.T) {
	for _, code := range []request.Code{request.RateLimited, request.Overloaded, request.OK} {
		node := &Node{Configuration: NewConfigurationHolder(NoConfiguration()), Transport: &peer.Transport{}, Target: &web.TargetClient{}}
		node.Prepare()
		outbound := &outboundCall{kind: &configuration.CompiledKind{Name: "history", Routed: true}}
		node.noteFailure(outbound, web.NewRefusal(code, ""))
		// A time before the refusal, so that its effect cannot be over.
		gomega.NewWithT(t).Expect(node.entry.shortage.Active(time.Unix(0, 0))).To(gomega.Equal(code != request.OK), code.String())
	}
}
