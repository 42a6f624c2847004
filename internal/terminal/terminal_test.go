package terminal_test

import (
	"bytes"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/suite"
	"github.com/magnoliawall/magnoliawall/internal/terminal"
)

func TestTerminal(t *testing.T) { suite.Run(t, "terminal") }

type row struct {
	Node    string   `json:"node"`
	Calls   int      `json:"calls"`
	Regions []string `json:"regions,omitempty"`
	Hidden  string   `json:"-"`
}

var _ = ginkgo.Describe("Table", func() {
	var out *bytes.Buffer
	var streams *terminal.Streams

	ginkgo.BeforeEach(func() {
		out = &bytes.Buffer{}
		streams = &terminal.Streams{Out: out, Width: 20}
	})

	renderTable := func() error {
		table := terminal.Table{Streams: streams, Header: []string{"NODE", "STATE"}}
		table.Add("a", "up\nsince\tnoon")
		table.Add("consumo-1", "a text that is too long")
		return table.Render()
	}

	ginkgo.It("writes tabs and neither header nor colour if the output is not a terminal", func() {
		gomega.Expect(renderTable()).To(gomega.Succeed())
		gomega.Expect(out.String()).To(gomega.Equal(
			"a\tup since noon\nconsumo-1\ta text that is too long\n"))
	})

	ginkgo.It("aligns the columns and truncates the last one on a terminal", func() {
		streams.OutTerminal = true
		gomega.Expect(renderTable()).To(gomega.Succeed())
		gomega.Expect(out.String()).To(gomega.Equal(
			"NODE       STATE\na          up since…\nconsumo-1  a text t…\n"))
	})

	ginkgo.It("prints the header in bold if colour is enabled", func() {
		streams.OutTerminal, streams.Color = true, true
		gomega.Expect(renderTable()).To(gomega.Succeed())
		gomega.Expect(out.String()).To(gomega.HavePrefix("\x1b[1mNODE\x1b[0m     "))
	})
})

var _ = ginkgo.Describe("WriteFields", func() {
	rows := []row{{Node: "a<b", Calls: 3, Regions: []string{"sur"}}, {Node: "c"}}

	ginkgo.It("writes the requested fields in the given order", func() {
		var out bytes.Buffer
		gomega.Expect(terminal.WriteFields(&out, rows, []string{"regions", "node"})).To(gomega.Succeed())
		gomega.Expect(out.String()).To(gomega.MatchJSON(
			`[{"regions":["sur"],"node":"a<b"},{"regions":null,"node":"c"}]`))
		gomega.Expect(out.String()).To(gomega.ContainSubstring("a<b"))
	})

	ginkgo.It("returns an error with the known fields and writes nothing for an unknown one", func() {
		var out bytes.Buffer
		err := terminal.WriteFields(&out, rows, []string{"node", "Hidden"})
		gomega.Expect(err).To(gomega.MatchError(`unknown JSON field "Hidden"; choose from: node, calls, regions`))
		gomega.Expect(out.Len()).To(gomega.BeZero())
	})

	ginkgo.It("writes an empty array for no rows", func() {
		var out bytes.Buffer
		gomega.Expect(terminal.WriteFields[row](&out, nil, []string{"node"})).To(gomega.Succeed())
		gomega.Expect(out.String()).To(gomega.Equal("[]\n"))
	})
})
