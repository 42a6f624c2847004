package distribution_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/distribution"
)

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// newReplacedVersion returns a version whose patch is nearly as large as its text.
func newReplacedVersion(number, size int) distribution.Version {
	text := bytes.Repeat([]byte{byte('a' + number%20)}, size)
	return distribution.Version{Number: configuration.Version(number), Text: text, Patch: bytes.Clone(text[:size-10])}
}

// TestKeptPatchesAreBoundedInBytes guards against a publisher that grows by the size of the
// document with each change until the replica runs out of memory.
func TestKeptPatchesAreBoundedInBytes(t *testing.T) {
	for _, size := range []int{3_000, 100_000, 500_000} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			publisher := &distribution.Publisher{}
			before := heapBytes()
			for number := 1; number <= 1_000; number++ {
				expect(publisher.Publish(newReplacedVersion(number, size))).To(gomega.Succeed())
			}
			held := heapBytes() - before
			t.Logf("%d B held", held)
			expect(held).To(gomega.BeNumerically("<", 4*size+64<<10))
			update, ok := publisher.Offer(distribution.VersionID{Number: 998, Digest: distribution.DigestOf(newReplacedVersion(998, size).Text)}, true)
			expect(ok).To(gomega.BeTrue())
			expect(update.Text).To(gomega.HaveLen(size))
			runtime.KeepAlive(publisher)
		})
	}
}
