// Package latency keeps how long recent calls took, by a key such as the kind of a call.
//
// Each key has a histogram of the calls of the current window and one of the previous
// window, so that an estimate covers the last 30 to 60 seconds. Buckets are a sixteenth of
// a power of two wide: an estimate is too long by 6 in 100 at most, and never too short
// below [Longest].
//
// # Usage
//
//	table := &latency.Table[request.KindName]{}
//	table.Record(now, "visits", took)              // when a call has ended
//	estimate := table.Estimate(now, "visits", 0.01) // what all but one in 100 took at most
//
// Values are safe for concurrent use, and read no clock.
package latency

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// window is the time after which a histogram becomes the previous one.
	window = 30 * time.Second
	// resolution is the unit in which latencies are counted; they are rounded up.
	resolution = time.Millisecond
	// Each power of two has 1<<bucketBits buckets.
	bucketBits  = 4
	maxBits     = 20
	bucketCount = (maxBits - bucketBits + 1) << bucketBits
)

// Longest is the longest latency that is told apart; longer ones count as this long.
const Longest = (1<<maxBits - 1) * resolution

// Estimate is what recent calls of one key tell of the next one.
type Estimate struct {
	// Calls is the number of recent calls.
	Calls int
	// Within is the time within which all of them ended but the share that was asked for.
	// It is zero without calls.
	Within time.Duration
}

// Table keeps the latencies of recent calls. The zero value is ready for use.
type Table[Key comparable] struct {
	lock    sync.Mutex
	entries map[Key]*entry
}

type entry struct {
	began             time.Time
	current, previous histogram
}

type histogram struct {
	calls   int
	buckets [bucketCount]uint32
}

// Record counts a call that took the given time.
func (table *Table[Key]) Record(now time.Time, key Key, took time.Duration) {
	table.lock.Lock()
	defer table.lock.Unlock()
	recorded, ok := table.entries[key]
	if !ok {
		table.removeExpired(now)
		recorded = &entry{began: now}
		table.entries[key] = recorded
	}
	recorded.advanceTo(now)
	recorded.current.calls++
	recorded.current.buckets[bucketOf(took)]++
}

// Estimate returns the time within which recent calls ended, but for the given share of
// them, which is below 1.
func (table *Table[Key]) Estimate(now time.Time, key Key, exceeding float64) Estimate {
	table.lock.Lock()
	defer table.lock.Unlock()
	recorded, ok := table.entries[key]
	if !ok {
		return Estimate{}
	}
	recorded.advanceTo(now)
	calls := recorded.current.calls + recorded.previous.calls
	longer := 0
	for bucket := bucketCount - 1; bucket >= 0; bucket-- {
		longer += int(recorded.current.buckets[bucket] + recorded.previous.buckets[bucket])
		if float64(longer) > exceeding*float64(calls) {
			return Estimate{Calls: calls, Within: upperBound(bucket)}
		}
	}
	return Estimate{}
}

// removeExpired removes the keys without recent calls, such as kinds that the
// configuration has no more.
func (table *Table[Key]) removeExpired(now time.Time) {
	if table.entries == nil {
		table.entries = make(map[Key]*entry)
	}
	for key, recorded := range table.entries {
		if now.Sub(recorded.began) >= 2*window {
			delete(table.entries, key)
		}
	}
}

// advanceTo begins a new window once the current one is over.
func (recorded *entry) advanceTo(now time.Time) {
	age := now.Sub(recorded.began)
	if age < window {
		return
	}
	recorded.previous = recorded.current
	if age >= 2*window {
		recorded.previous = histogram{}
	}
	recorded.current = histogram{}
	recorded.began = now
}

func bucketOf(took time.Duration) int {
	units := uint64(min(max((took+resolution-1)/resolution, 0), Longest/resolution))
	power := bits.Len64(units >> bucketBits)
	if power == 0 {
		return int(units)
	}
	return power<<bucketBits + int(units>>(power-1))&(1<<bucketBits-1)
}

// upperBound returns the longest latency of a bucket.
func upperBound(bucket int) time.Duration {
	power := bucket >> bucketBits
	if power == 0 {
		return time.Duration(bucket) * resolution
	}
	digits := 1<<bucketBits + bucket&(1<<bucketBits-1)
	return time.Duration((digits+1)<<(power-1)-1) * resolution
}
