package web_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
)

// A value that is no rate is reported as unreadable, and is neither a limit nor the
// absence of one.
func TestReadTargetStatus(t *testing.T) {
	tests := []struct {
		name    string
		limits  []string
		leaving []string
		want    web.TargetStatus
	}{
		{name: "nothing"},
		{name: "decimal", limits: []string{"7.4"}, want: web.TargetStatus{Limited: true, Limit: 7.4}},
		{name: "below one", limits: []string{"0.25"}, want: web.TargetStatus{Limited: true, Limit: 0.25}},
		{name: "zero", limits: []string{"0"}, want: web.TargetStatus{Limited: true}},
		{name: "huge", limits: []string{"1e300"}, want: web.TargetStatus{Limited: true, Limit: 1e300}},
		{name: "out of range", limits: []string{"1e400"}, want: web.TargetStatus{Unreadable: `"1e400"`}},
		{name: "infinite", limits: []string{"Inf"}, want: web.TargetStatus{Unreadable: `"Inf"`}},
		{name: "not a number", limits: []string{"NaN"}, want: web.TargetStatus{Unreadable: `"NaN"`}},
		{name: "negative", limits: []string{"-1"}, want: web.TargetStatus{Unreadable: `"-1"`}},
		{name: "empty", limits: []string{""}, want: web.TargetStatus{Unreadable: `""`}},
		{name: "text", limits: []string{"few"}, want: web.TargetStatus{Unreadable: `"few"`}},
		{name: "twice", limits: []string{"9", "3"}, want: web.TargetStatus{Limited: true, Limit: 3}},
		{name: "twice in one line", limits: []string{"3, 9"}, want: web.TargetStatus{Limited: true, Limit: 3}},
		{name: "one of two unreadable", limits: []string{"x", "3"}, want: web.TargetStatus{Limited: true, Limit: 3, Unreadable: `"x"`}},
		{name: "leaving", leaving: []string{"1"}, want: web.TargetStatus{Leaving: true}},
		{name: "not leaving", leaving: []string{"0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(web.ReadTargetStatus(test.limits, test.leaving)).To(gomega.Equal(test.want))
		})
	}
}
