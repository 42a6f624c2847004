package status

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

func TestDomainLine(t *testing.T) {
	domain := operator.DomainRow{InForce: 3, Nodes: 4, Reached: true}
	limited := operator.RestrictedRow{Node: "n-1", Limited: true, Limit: 1234.5, AgeSeconds: 0.52, Refused: 12}
	leaving := operator.RestrictedRow{Node: "n-2", Leaving: true}
	tests := []struct {
		name   string
		change func(*operator.DomainRow)
		want   string
	}{
		{"in force", func(*operator.DomainRow) {}, "in force on 3 of 4 nodes"},
		{"silent", func(row *operator.DomainRow) { row.Silent = []request.NodeID{"n-3"} }, "in force on 3 of 4 nodes, silent: [n-3]"},
		{"restricted", func(row *operator.DomainRow) { row.Restricted = []operator.RestrictedRow{limited, leaving} }, "in force on 3 of 4 nodes, n-1 limited to 1234.5/s (stated 0.5 s ago, 12 calls refused), n-2 leaving"},
		{"out of reach", func(row *operator.DomainRow) { row.Reached = false }, "in force on 3 of 4 nodes, out of reach: this is old"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			row := domain
			test.change(&row)
			gomega.NewWithT(t).Expect(describeDomain(row)).To(gomega.Equal(test.want))
		})
	}
}
