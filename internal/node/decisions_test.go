package node

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
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
