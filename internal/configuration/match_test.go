package configuration_test

import (
	"os"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

func readExample(tb testing.TB, name string) []byte {
	tb.Helper()
	text, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

func compileExample(tb testing.TB, name string) *configuration.Matcher {
	tb.Helper()
	document, err := configuration.Parse(readExample(tb, name))
	if err != nil {
		tb.Fatal(err)
	}
	return configuration.Compile(document)
}

func TestMatch(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	matcher := compileExample(t, "gota-justa.jsonc")
	for _, row := range []struct {
		service      request.ServiceName
		method, path string
		want         request.KindName
	}{
		{"agenda", "GET", "/visits/17/checklist", "agenda/checklist"},
		{"agenda", "POST", "/visits", "agenda/book"},
		{"evidencia", "PUT", "/claims/8/photos/meter.jpg", "evidencia/photo"},
		{"agenda", "GET", "/visits//checklist", ""},
		{"agenda", "GET", "/visits/17/checklist/", ""},
		{"agenda", "GET", "/visits/17", ""},
		{"agenda", "PUT", "/visits/17/checklist", ""},
		{"nowhere", "GET", "/visits/17/checklist", ""},
		{"agenda", "GET", "", ""},
		{"agenda", "GET", "visits/17/checklist", ""},
	} {
		name, _, ok := matcher.Match(row.service, row.method, row.path)
		expect(name).To(gomega.Equal(row.want), "%s %s", row.method, row.path)
		expect(ok).To(gomega.Equal(row.want != ""))
	}
	_, kind, _ := matcher.Match("subsidios", "POST", "/requests")
	expect(kind.Repeat).To(gomega.Equal(request.Once))
	expect(kind.Importance).To(gomega.Equal(request.Importance(4)))
	allocations := testing.AllocsPerRun(100, func() { matcher.Match("agenda", "GET", "/visits/17/checklist") })
	expect(allocations).To(gomega.BeZero())
}

func BenchmarkMatch(b *testing.B) {
	matcher := compileExample(b, "gota-justa.jsonc")
	b.ReportAllocs()
	for b.Loop() {
		matcher.Match("evidencia", "GET", "/claims/8/photos/meter.jpg")
	}
}
