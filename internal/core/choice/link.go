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
func (l *Links) SetCapacity(capacity Rate, share float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.Capacity = capacity
	l.SparingShare = share
}

// Count adds the bytes of one call to the link to a region.
func (l *Links) Count(now time.Time, region request.RegionName, bytes int64) {
	if l == nil || bytes <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	link := l.link(region)
	window := l.window()
	link.rate = link.current(now, window) + Rate(float64(bytes)/window.Seconds())
	if now.After(link.countedAt) {
		link.countedAt = now
	}
	link.total += bytes
}

// Others takes in what the other nodes of this region put on the link.
func (l *Links) Others(now time.Time, region request.RegionName, rate Rate) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	link := l.link(region)
	link.others = rate
	link.othersAt = now
}

// Flows gives what this node puts on the links of its region at present.
func (l *Links) Flows(now time.Time, from request.RegionName) []Flow {
	if l == nil {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []Flow
	for region, link := range l.meters {
		if rate := link.current(now, l.window()); rate >= 1 {
			list = append(list, Flow{From: from, To: region, Rate: rate})
		}
	}
	return list
}

// Full says whether the link has no room left for sparing calls.
func (l *Links) Full(now time.Time, region request.RegionName) bool {
	if l == nil {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.Capacity <= 0 {
		return false
	}
	link := l.link(region)
	used := link.current(now, l.window())
	if now.Sub(link.othersAt) < usageTime {
		used += link.others
	}
	return float64(used) > float64(l.Capacity)*l.SparingShare
}

// Used gives the node's own bytes on the link and their present rate.
func (l *Links) Used(now time.Time, region request.RegionName) (int64, Rate) {
	if l == nil {
		return 0, 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	link := l.link(region)
	return link.total, link.current(now, l.window())
}

func (l *Links) window() time.Duration {
	if l.Window > 0 {
		return l.Window
	}
	return DefaultLinkWindow
}

func (l *Links) link(region request.RegionName) *meter {
	if l.meters == nil {
		l.meters = map[request.RegionName]*meter{}
	}
	found := l.meters[region]
	if found == nil {
		found = &meter{}
		l.meters[region] = found
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
