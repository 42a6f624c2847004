package choice

import (
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// DefaultLinkWindow is the time over which the use of a link is averaged.
const DefaultLinkWindow = time.Second

// Rate is a flow of bytes in bytes per second.
type Rate float64

// Links meters what this node sends to and gets from other regions. A nil
// value meters nothing. The exported fields are set before the first use.
type Links struct {
	// Capacity is what one link carries.
	Capacity Rate
	// SparingShare is the share of a link that sparing calls may fill.
	SparingShare float64
	// Window is the time constant of the average.
	Window time.Duration

	mutex  sync.Mutex
	meters map[request.RegionName]*meter
}

type meter struct {
	total     int64
	rate      Rate
	countedAt time.Time
	others    Rate
	othersAt  time.Time
}

// SetCapacity sets what one link carries and which share of it sparing calls
// may fill.
func (links *Links) SetCapacity(capacity Rate, share float64) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	links.Capacity = capacity
	links.SparingShare = share
}

// Count adds the bytes of one call to the link to a region.
func (links *Links) Count(now time.Time, region request.RegionName, bytes int64) {
	if links == nil || bytes <= 0 {
		return
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	link := links.link(region)
	window := links.window()
	link.rate = link.current(now, window) + Rate(float64(bytes)/window.Seconds())
	if now.After(link.countedAt) {
		link.countedAt = now
	}
	link.total += bytes
}

// Others takes in what the other nodes of this region put on the link.
func (links *Links) Others(now time.Time, region request.RegionName, rate Rate) {
	if links == nil {
		return
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	link := links.link(region)
	link.others = rate
	link.othersAt = now
}

// Flows gives what this node puts on the links of its region at present.
func (links *Links) Flows(now time.Time, from request.RegionName) []Flow {
	if links == nil {
		return nil
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	var list []Flow
	for region, link := range links.meters {
		if rate := link.current(now, links.window()); rate >= 1 {
			list = append(list, Flow{From: from, To: region, Rate: rate})
		}
	}
	return list
}

// Full says whether the link has no room left for sparing calls.
func (links *Links) Full(now time.Time, region request.RegionName) bool {
	if links == nil {
		return false
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.Capacity <= 0 {
		return false
	}
	link := links.link(region)
	used := link.current(now, links.window())
	if now.Sub(link.othersAt) < usageTime {
		used += link.others
	}
	return float64(used) > float64(links.Capacity)*links.SparingShare
}

// Used gives the node's own bytes on the link and their present rate.
func (links *Links) Used(now time.Time, region request.RegionName) (int64, Rate) {
	if links == nil {
		return 0, 0
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	link := links.link(region)
	return link.total, link.current(now, links.window())
}

func (links *Links) window() time.Duration {
	if links.Window > 0 {
		return links.Window
	}
	return DefaultLinkWindow
}

func (links *Links) link(region request.RegionName) *meter {
	if links.meters == nil {
		links.meters = map[request.RegionName]*meter{}
	}
	found := links.meters[region]
	if found == nil {
		found = &meter{}
		links.meters[region] = found
	}
	return found
}

// current is the rate after the time that passed since the last count.
func (m *meter) current(now time.Time, window time.Duration) Rate {
	return m.rate * Rate(decay(now.Sub(m.countedAt), window))
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
