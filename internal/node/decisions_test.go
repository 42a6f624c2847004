package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/decision"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// A call that is refused before its deadline was read is logged like any other.
func TestARefusalWithoutADeadlineIsLogged(t *testing.T) {
	page := &bytes.Buffer{}
	no := &Node{
		Decisions: &decision.Log{Logger: &log.Logger{Writer: &log.IOWriter{Writer: page}}},
		traffic:   newTraffic(1),
	}
	ar := &arrival{node: no, inbound: &peer.Inbound{Header: &peerpb.CallHeader{RequestId: "r-1"}}}
	ar.logRefusal(web.NewRefusal(request.Draining, ""))
	gomega.NewWithT(t).Expect(page.String()).To(gomega.ContainSubstring(`"request":"r-1"`))
}

// A change of the headroom is one line, with what it was before.
func TestAChangedHeadroomIsLoggedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	page := &bytes.Buffer{}
	no := &Node{
		Decisions: &decision.Log{Logger: &log.Logger{Writer: &log.IOWriter{Writer: page}}},
		traffic:   newTraffic(20),
	}
	for range 3 {
		no.tend(time.Unix(1_000, 0))
	}
	g.Expect(strings.Count(page.String(), "\n")).To(gomega.Equal(1))
	g.Expect(page.String()).To(gomega.ContainSubstring(`"slots":20,"free":1,"free-before":0`))
}

// A call names its likely parent only where it has one.
func TestACallNamesItsLikelyParent(t *testing.T) {
	g := gomega.NewWithT(t)
	page := &bytes.Buffer{}
	no := &Node{Decisions: &decision.Log{Logger: &log.Logger{Writer: &log.IOWriter{Writer: page}}}}
	og := &outgoing{id: "r-2", kind: &configuration.CompiledKind{}}
	end := &attempt{refusal: web.NewRefusal(request.Overloaded, "")}
	no.logEnd(og, end)
	g.Expect(page.String()).NotTo(gomega.ContainSubstring("parent"))
	og.parent = &served{id: "r-1"}
	no.logEnd(og, end)
	g.Expect(page.String()).To(gomega.ContainSubstring(`"parent":"r-1"`))
}
