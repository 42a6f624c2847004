package admission

import (
	"math"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// demandMemory is the least time constant of the estimated demand, and
	// demandSamples the calls that the target clears in it at least.
	demandMemory  = 500 * time.Millisecond
	demandSamples = 32
	// levelLag is the time after which calls admitted under an older level no
	// longer arrive.
	levelLag = 250 * time.Millisecond
	// openingMemory is the time constant with which demand that is shut out is
	// forgotten while the target has free slots.
	openingMemory = 200 * time.Millisecond
)

// flow estimates the arrivals of one importance. Buckets are even by
// construction, so one rate describes them all. It counts only the buckets
// that no caller shuts out, and weighs time by their share.
type flow struct {
	count  float64
	events float64
	span   float64
}

// rate is the estimated demand of all buckets, per second.
func (f *flow) rate() float64 {
	if f.span <= 0 {
		return 0
	}
	return f.events / f.span
}

// advance closes an interval in which the share of the buckets was open. The
// memory is in seconds.
func (f *flow) advance(interval time.Duration, share, memory float64) {
	seconds := interval.Seconds() * share
	keep := math.Exp(-seconds / memory)
	f.events = f.events*keep + f.count
	f.span = f.span*keep + seconds
	f.count = 0
}

// forget lowers the estimate of the buckets that are shut out.
func (f *flow) forget(interval time.Duration, share float64) {
	lost := 1 - math.Exp(-interval.Seconds()/openingMemory.Seconds())
	f.events *= 1 - lost*(1-share)
}

// demand estimates arrivals by importance, also of those that callers refuse
// on behalf of the target and that it therefore does not see.
type demand struct {
	flows []flow
	guard recentMax
}

// note counts an arrival. Arrivals below the highest recent level are left
// out, as only a part of them comes through.
func (d *demand) note(priority request.Priority) {
	importance := int(priority.Importance())
	for len(d.flows) <= importance {
		d.flows = append(d.flows, flow{})
	}
	if priority >= d.guard.value {
		d.flows[importance].count++
	}
}

// advance closes an interval that ran under the level, at a target that clears
// the rate per second.
func (d *demand) advance(now time.Time, interval time.Duration, level request.Level, rate float64, free bool) {
	memory := demandMemory.Seconds()
	if rate > 0 {
		memory = math.Max(memory, demandSamples/rate)
	}
	for index := range d.flows {
		share := openShare(request.Importance(index), d.guard.value)
		d.flows[index].advance(interval, share, memory)
		if free {
			d.flows[index].forget(interval, share)
		}
	}
	d.guard.add(now, level)
}

// levelFor is the lowest level at which the estimated demand stays within the
// rate, per second.
func (d *demand) levelFor(rate float64) request.Level {
	for index := len(d.flows) - 1; index >= 0; index-- {
		flowing := d.flows[index].rate()
		if flowing <= rate {
			rate -= flowing
			continue
		}
		open := math.Floor(math.Max(rate, 0) / flowing * request.BucketCount)
		return request.NewPriority(request.Importance(index), 0) + request.BucketCount - request.Level(open)
	}
	return 0
}

// openShare is the share of an importance's buckets at or above the level.
func openShare(importance request.Importance, level request.Level) float64 {
	switch first := request.NewPriority(importance, 0); {
	case level <= first:
		return 1
	case level >= first+request.BucketCount:
		return 0
	default:
		return float64(first+request.BucketCount-level) / request.BucketCount
	}
}

// recentMax is the highest level of about the last levelLag.
type recentMax struct {
	value    request.Level
	next     request.Level
	rollover time.Time
}

func (m *recentMax) add(now time.Time, level request.Level) {
	m.next = max(m.next, level)
	m.value = max(m.value, level)
	if now.Before(m.rollover) {
		return
	}
	m.value = m.next
	m.next = level
	m.rollover = now.Add(levelLag)
}
