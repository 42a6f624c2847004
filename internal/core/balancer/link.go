package balancer

import (
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// DefaultLinkWindow is the default of [Links.Window].
const DefaultLinkWindow = time.Second

// Rate is a data rate in bytes per second.
type Rate float64

// Links meters the traffic between this node and other regions, on one link per
// region. Its exported fields must be set before the first use. All methods are
// safe for concurrent use, and all but SetCapacity accept a nil receiver, which
// meters nothing.
type Links struct {
	// Capacity is the capacity of each link.
	Capacity Rate
	// UnimportantShare is the share of the capacity above which unimportant calls
	// are refused.
	UnimportantShare float64
	// Window is the time constant of the moving average. Zero means
	// DefaultLinkWindow.
	Window time.Duration

	mutex  sync.Mutex
	meters map[request.RegionName]*linkMeter
}

// linkMeter meters the traffic on one link.
type linkMeter struct {
	// totalBytes counts the bytes of this node since its start.
	totalBytes       int64
	rate             Rate
	updatedAt        time.Time
	othersRate       Rate
	othersReportedAt time.Time
}

// SetCapacity sets the capacity of each link and the share of it above which
// unimportant calls are refused. It may be called at any time.
func (links *Links) SetCapacity(capacity Rate, share float64) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	links.Capacity = capacity
	links.UnimportantShare = share
}

// AddBytes adds the bytes of a call to the link to a region.
func (links *Links) AddBytes(now time.Time, region request.RegionName, bytes int64) {
	if links == nil || bytes <= 0 {
		return
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	meter := links.meterOf(region)
	window := links.averagingTime()
	meter.rate = meter.rateAt(now, window) + Rate(float64(bytes)/window.Seconds())
	if now.After(meter.updatedAt) {
		meter.updatedAt = now
	}
	meter.totalBytes += bytes
}

// SetOthersRate records the rate that the other nodes of this region cause on the
// link.
func (links *Links) SetOthersRate(now time.Time, region request.RegionName, rate Rate) {
	if links == nil {
		return
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	meter := links.meterOf(region)
	meter.othersRate = rate
	meter.othersReportedAt = now
}

// Flows returns the present rate of this node on each link of its region,
// which is given as from. It leaves out rates below 1 byte per second.
func (links *Links) Flows(now time.Time, from request.RegionName) []Flow {
	if links == nil {
		return nil
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	var list []Flow
	for region, meter := range links.meters {
		if rate := meter.rateAt(now, links.averagingTime()); rate >= 1 {
			list = append(list, Flow{From: from, To: region, Rate: rate})
		}
	}
	return list
}

// Full reports whether the share of the link for unimportant calls is used up.
func (links *Links) Full(now time.Time, region request.RegionName) bool {
	if links == nil {
		return false
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.Capacity <= 0 {
		return false
	}
	meter := links.meterOf(region)
	used := meter.rateAt(now, links.averagingTime())
	if now.Sub(meter.othersReportedAt) < flowReportMaxAge {
		used += meter.othersRate
	}
	return float64(used) > float64(links.Capacity)*links.UnimportantShare
}

// Traffic returns the total bytes of this node on the link and their present rate.
func (links *Links) Traffic(now time.Time, region request.RegionName) (int64, Rate) {
	if links == nil {
		return 0, 0
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	meter := links.meterOf(region)
	return meter.totalBytes, meter.rateAt(now, links.averagingTime())
}

func (links *Links) averagingTime() time.Duration {
	if links.Window > 0 {
		return links.Window
	}
	return DefaultLinkWindow
}

func (links *Links) meterOf(region request.RegionName) *linkMeter {
	if links.meters == nil {
		links.meters = map[request.RegionName]*linkMeter{}
	}
	found := links.meters[region]
	if found == nil {
		found = &linkMeter{}
		links.meters[region] = found
	}
	return found
}

// rateAt is the average rate, decayed since the last count.
func (meter *linkMeter) rateAt(now time.Time, window time.Duration) Rate {
	return meter.rate * Rate(decay(now.Sub(meter.updatedAt), window))
}

// decay approximates exp(-age/window).
func decay(age, window time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	if age >= 8*window {
		return 0
	}
	left := 1 - float64(age)/float64(8*window)
	left *= left
	left *= left
	return left * left
}
