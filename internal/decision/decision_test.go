package decision_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/decision"
)

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// Lines over the rate are counted, and the count comes with the next line.
func TestLinesAreBoundedAndCounted(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	page := &bytes.Buffer{}
	now := noon
	decisions := &decision.Log{
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: page}},
		Now:    func() time.Time { return now },
	}
	const offered = 500
	for number := range offered {
		decisions.Line(decision.CallRefused).Int("number", number).Msg("call: refused")
	}
	written := strings.Count(page.String(), "\n")
	expect(written).To(gomega.BeNumerically("<", offered/2))
	page.Reset()
	now = now.Add(time.Second)
	decisions.Line(decision.CallRefused).Msg("call: refused")
	expect(page.String()).To(gomega.ContainSubstring(fmt.Sprintf(`"left-out":%d`, offered-written)))
}

// A reader that stalls holds up no writer.
func TestAStalledReaderHoldsUpNobody(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	reader, out := io.Pipe()
	writer := decision.NewWriter(out)
	logger := &log.Logger{Writer: writer}
	const lines = 5000
	for number := range lines {
		logger.Info().Int("number", number).Msg("a line that nobody reads")
	}
	expect(writer.Dropped()).To(gomega.BeNumerically(">", 0))
	expect(reader.Close()).To(gomega.Succeed())
}
