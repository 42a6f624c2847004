package decision_test

import (
	"os"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/decision"
)

// writeRefusal logs a typical line on a refused call, and returns false if it is over
// the rate.
func writeRefusal(decisions *decision.Log) bool {
	line := decisions.Line(decision.CallRefused)
	if line == nil {
		return false
	}
	line.Str("request", "9c41d07be2a35f68").Str("from", "10.1.0.39:33513").Str("kind", "route/r-wm7yi42").Str("service", "dese56a").
		Uint64("version", 23).Uint16("priority", 329).Dur("left", 799*time.Millisecond).Str("target", "sidecar-seoul-mapo-3").
		Str("code", "overloaded-below").Str("outcome", "not-run").Bool("handed", false).Int("moves", 0).Float64("share", 0.4).
		Dur("retry-after", 200*time.Millisecond).Str("detail", "").Dur("took", time.Millisecond).Msg("call: refused")
	return true
}

// BenchmarkLine logs lines within the rate limit.
func BenchmarkLine(b *testing.B) {
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	now := noon
	decisions := &decision.Log{Logger: &log.Logger{Writer: decision.NewWriter(out)}, Now: func() time.Time { return now }}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		if !writeRefusal(decisions) {
			b.Fatal("a line within the rate was left out")
		}
	}
}

// BenchmarkLeftOut asks for lines over the rate limit.
func BenchmarkLeftOut(b *testing.B) {
	decisions := &decision.Log{Logger: &log.Logger{Writer: decision.NewWriter(os.Stdout)}, Now: func() time.Time { return noon }}
	for decisions.Line(decision.CallRefused) != nil {
		continue
	}
	b.ReportAllocs()
	for b.Loop() {
		if writeRefusal(decisions) {
			b.Fatal("a line over the rate was written")
		}
	}
}
