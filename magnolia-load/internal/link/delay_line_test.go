package link

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// arrivals records how long after a moment each write came.
type arrivals struct {
	from  time.Time
	times []time.Duration
}

func (arrivals *arrivals) Write(data []byte) (int, error) {
	arrivals.times = append(arrivals.times, time.Since(arrivals.from))
	return len(data), nil
}

// Guards against a line on which data waits for the data before it to arrive, so that a
// long log takes a latency for each of its chunks.
func TestDataFollowsDataUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expect := gomega.NewWithT(t).Expect
		arrived := &arrivals{from: time.Now()}
		line := newDelayLine(t.Context(), arrived, 1000)
		for range 3 {
			expect(line.Write(make([]byte, 10), 20*time.Millisecond)).To(gomega.Succeed())
		}
		expect(line.Close()).To(gomega.Succeed())
		expect(arrived.times).To(gomega.Equal([]time.Duration{30 * time.Millisecond, 40 * time.Millisecond, 50 * time.Millisecond}))
	})
}
