package host

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/node"
)

// Guards against a node that parses each version twice, so that a large one is in force late
// where processor time is short (CONFIG).
func TestNodeParsesEachVersionOnce(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	var kinds strings.Builder
	for number := range 300 {
		fmt.Fprintf(&kinds, `"record-%d": {"method": "GET", "path": "/records/%d", "importance": "visit", "repeat": "repeatable", "deadline": "1s"},`, number, number)
	}
	text := fmt.Appendf(nil, `{"importances": ["visit"], "services": {"archive": {"slots": 1, "connections": 1, "kinds": {%s}}}}`, &kinds)
	plane := &dataPlane{
		host:     &Host{Logger: &log.Logger{Level: log.PanicLevel}, configuration: node.NewConfigurationHolder(node.NoConfiguration())},
		versions: make(chan configuration.Version, 1),
	}
	parsed := testing.AllocsPerRun(5, func() {
		_, err := configuration.Parse(text)
		expect(err).NotTo(gomega.HaveOccurred())
	})
	version := configuration.Version(0)
	activated := testing.AllocsPerRun(5, func() {
		version++
		expect(plane.checkConfiguration(text)).To(gomega.Succeed())
		plane.activate(version, text)
	})
	expect(activated).To(gomega.BeNumerically("<", 1.5*parsed))
	expect(plane.host.configuration.Current().Version).To(gomega.Equal(version))
	expect(plane.host.configuration.Current().Document.Services["archive"].Kinds).To(gomega.HaveLen(300))
}

// A text that was not checked just before is parsed when it is put in force.
func TestNodeActivatesTextThatItDidNotCheckLast(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	text := []byte(`{"importances": ["visit"], "services": {"archive": {"slots": 1, "connections": 1, "kinds": {"record": {"method": "GET", "path": "/records", "importance": "visit", "repeat": "repeatable", "deadline": "1s"}}}}}`)
	plane := &dataPlane{
		host:     &Host{Logger: &log.Logger{Level: log.PanicLevel}, configuration: node.NewConfigurationHolder(node.NoConfiguration())},
		versions: make(chan configuration.Version, 1),
	}
	other := []byte(strings.ReplaceAll(string(text), "archive", "agenda"))
	expect(plane.checkConfiguration(other)).To(gomega.Succeed())
	plane.activate(7, text)
	expect(plane.host.configuration.Current().Version).To(gomega.BeEquivalentTo(7))
	expect(plane.host.configuration.Current().Document.Services).To(gomega.HaveKey(gomega.BeEquivalentTo("archive")))
}
