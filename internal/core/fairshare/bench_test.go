package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/fairshare"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// BenchmarkRecord records requests of 78 customers, and divides a rate among them after each
// thousand.
func BenchmarkRecord(b *testing.B) {
	shares := &fairshare.Shares{}
	names := make([]request.CustomerName, 78)
	for index := range names {
		names[index] = request.CustomerName(fmt.Sprint("customer-", index))
	}
	b.ReportAllocs()
	for number := range b.N {
		shares.Record(fairshare.Request{Customer: names[number%len(names)], Weight: 1, Priority: request.NewPriority(1, request.Bucket(number%request.BucketCount))})
		if number%1000 == 0 {
			shares.Divide(noon.Add(time.Duration(number)*100*time.Microsecond), 400)
		}
	}
}
