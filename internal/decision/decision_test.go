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

// Lines over the rate limit are counted, and the next line carries the count.
func TestLinesOverRateAreCounted(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	output := &bytes.Buffer{}
	now := noon
	decisions := &decision.Log{
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: output}},
		Now:    func() time.Time { return now },
	}
	const offered = 500
	for number := range offered {
		decisions.Line(decision.CallRefused).Int("number", number).Msg("call: refused")
	}
	written := strings.Count(output.String(), "\n")
	expect(written).To(gomega.BeNumerically("<", offered/2))
	output.Reset()
	now = now.Add(time.Second)
	decisions.Line(decision.CallRefused).Msg("call: refused")
	expect(output.String()).To(gomega.ContainSubstring(fmt.Sprintf(`"left-out":%d`, offered-written)))
}

// An output that blocks does not block those who log.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	blocked, out := io.Pipe()
	writer := decision.NewWriter(out)
	logger := &log.Logger{Writer: writer}
	const lines = 5000
	for number := range lines {
		logger.Info().Int("number", number).Msg("an unread line")
	}
	expect(writer.Dropped()).To(gomega.BeNumerically(">", 0))
	expect(blocked.Close()).To(gomega.Succeed())
}
