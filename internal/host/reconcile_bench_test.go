package host

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
)

// replacedDocument is a document that differs at its front and its end between versions.
type replacedDocument struct {
	routes  string
	machine *ledger.Machine
	index   uint64
}

func newReplacedDocument(routes int) *replacedDocument {
	text := strings.Builder{}
	for route := range routes {
		fmt.Fprintf(&text, `"r-%06d":{"path-prefix":"/added-%d/",%s},`, route, route, strings.Repeat(`"field":"of a route",`, 12))
	}
	return &replacedDocument{routes: text.String(), machine: ledger.New()}
}

func (document *replacedDocument) replace(b *testing.B) {
	document.index++
	base, before := document.machine.CurrentVersion()
	text := fmt.Appendf(nil, `{"label":%d,"routes":{%s"last":{"timeout":"%ds"}}}`, document.index, document.routes, document.index)
	digest := sha256.Sum256(text)
	command, err := proto.Marshal(&ledgerpb.Command{Body: &ledgerpb.Command_Patch{Patch: &ledgerpb.Patch{
		Id: fmt.Sprint("replace-", base), Base: uint64(base), Operator: "ines", TextDigest: digest[:],
		Splice: &ledgerpb.Splice{Removed: uint64(len(before)), Inserted: text},
	}}})
	if err == nil {
		_, err = document.machine.Apply(document.index, command)
	}
	if err != nil {
		b.Fatal(err)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkReplacedDocument measures the memory that the state and the publisher hold after
// b.N replacements of the document, and the size of the snapshot.
func BenchmarkReplacedDocument(b *testing.B) {
	for _, routes := range []int{10, 350, 1_750} {
		b.Run(fmt.Sprint(routes, "-routes"), func(b *testing.B) {
			document, publisher := newReplacedDocument(routes), &distribution.Publisher{}
			published := pendingVersions{}
			before := heapBytes()
			for range b.N {
				document.replace(b)
				pending := pendingVersions{base: published.base, baseText: published.baseText}
				pending.collect(document.machine)
				for _, version := range pending.versions {
					if err := publisher.Publish(version); err != nil {
						b.Fatal(err)
					}
					published.base, published.baseText = version.Number, version.Text
				}
			}
			b.ReportMetric((heapBytes()-before)/1e6, "held-MB")
			b.ReportMetric(float64(len(document.machine.Snapshot()))/1e6, "snapshot-MB")
			runtime.KeepAlive(publisher)
		})
	}
}

// BenchmarkCollectReplacedDocuments measures how long a replica that is the most versions
// behind that are published one by one occupies the goroutine of its state.
func BenchmarkCollectReplacedDocuments(b *testing.B) {
	document := newReplacedDocument(1_750)
	for range maxVersionSteps {
		document.replace(b)
	}
	_, first := document.machine.CurrentVersion()
	for range maxVersionSteps {
		document.replace(b)
	}
	b.ReportAllocs()
	for b.Loop() {
		behind := pendingVersions{base: maxVersionSteps, baseText: first}
		behind.collect(document.machine)
	}
}
