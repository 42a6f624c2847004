package admission

import (
	"math"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	defaultHold = 250 * time.Millisecond
	// levelSmoothing is the time constant over which the levels of a service's
	// targets are averaged.
	levelSmoothing = 10 * time.Millisecond
	// releaseTime is the time in which an unconfirmed level falls by one
	// importance.
	releaseTime = 50 * time.Millisecond
	// highestInterval is the time for which the highest level of all services
	// is kept.
	highestInterval = 2 * time.Millisecond
)

// Levels keeps the levels that came back from services below, by root kind.
// The levels of one service's targets are averaged over a short time; among
// services the highest counts.
type Levels struct {
	// Hold is how long a level stands without an answer that confirms it;
	// then it falls. Zero is 250 ms.
	Hold time.Duration

	heard map[levelKey]*heardLevel
	rows  map[request.KindName]*levelRow
}

type levelKey struct {
	service  request.ServiceName
	rootKind request.KindName
}

// levelRow holds the levels of all services for one root kind.
type levelRow struct {
	services []*heardLevel
	// highest is of all services at highestAt; its own target set it at
	// highestSetAt.
	highest      float64
	highestAt    time.Time
	highestSetAt time.Time
}

type heardLevel struct {
	level   float64
	heardAt time.Time
	// setAt is when the target that the level comes from was at it.
	setAt time.Time
}

// LevelNotice is a level on its way back from the target that set it.
type LevelNotice struct {
	Level request.Level
	// Age is the time since its target was at that level.
	Age time.Duration
}

// Learn takes the level on an answer of a service that is itself at the level.
func (levels *Levels) Learn(service request.ServiceName, rootKind request.KindName, level request.Level, now time.Time) {
	levels.Hear(service, rootKind, LevelNotice{Level: level}, now)
}

// Hear takes the level on an answer of a service. It is held from the time at
// which its target was at it, so that it does not stand longer the more
// services it passes.
func (levels *Levels) Hear(service request.ServiceName, rootKind request.KindName, notice LevelNotice, now time.Time) {
	setAt := now.Add(-notice.Age)
	heard := levels.heard[levelKey{service, rootKind}]
	if heard == nil {
		if notice.Level > 0 {
			levels.add(levelKey{service, rootKind}, &heardLevel{level: float64(notice.Level), heardAt: now, setAt: setAt})
		}
		return
	}
	current := levels.current(heard, now)
	weight := 1 - math.Exp(-now.Sub(heard.heardAt).Seconds()/levelSmoothing.Seconds())
	heard.level = current + weight*(float64(notice.Level)-current)
	heard.heardAt = now
	heard.setAt = setAt
}

// Of gives the level of one service for a root kind.
func (levels *Levels) Of(service request.ServiceName, rootKind request.KindName, now time.Time) request.Level {
	heard := levels.heard[levelKey{service, rootKind}]
	if heard == nil {
		return 0
	}
	return request.Level(levels.current(heard, now))
}

// Below gives the highest level of all services below for a root kind. It may
// be some milliseconds old.
func (levels *Levels) Below(rootKind request.KindName, now time.Time) request.Level {
	row := levels.rows[rootKind]
	if row == nil {
		return 0
	}
	if now.Sub(row.highestAt) >= highestInterval {
		row.highestAt = now
		row.highest = 0
		for _, heard := range row.services {
			if heard.level <= row.highest {
				continue
			}
			if level := levels.current(heard, now); level > row.highest {
				row.highest, row.highestSetAt = level, heard.setAt
			}
		}
	}
	return request.Level(row.highest)
}

// setAt is when the target that the highest level comes from was at it, as of
// the last call of Below.
func (levels *Levels) setAt(rootKind request.KindName) time.Time {
	return levels.rows[rootKind].highestSetAt
}

// Refuses tells whether a call that is about to be sent to a service would be
// refused there or further down.
func (levels *Levels) Refuses(service request.ServiceName, work request.Work, now time.Time) bool {
	return doomed(work, levels.Of(service, work.RootKind, now))
}

// doomed tells whether the level refuses the work. Work on which something was
// spent is given up only for a whole importance: the level is older than the
// service's own decision, which may still take it.
func doomed(work request.Work, level request.Level) bool {
	priority := work.Priority
	if work.Spent > 0 {
		priority += request.BucketCount
	}
	return priority < level
}

func (levels *Levels) current(heard *heardLevel, now time.Time) float64 {
	hold := levels.Hold
	if hold == 0 {
		hold = defaultHold
	}
	unconfirmed := now.Sub(heard.setAt) - hold
	if unconfirmed <= 0 {
		return heard.level
	}
	return max(0, heard.level-request.BucketCount*unconfirmed.Seconds()/releaseTime.Seconds())
}

func (levels *Levels) add(key levelKey, heard *heardLevel) {
	if levels.rows == nil {
		levels.heard = make(map[levelKey]*heardLevel)
		levels.rows = make(map[request.KindName]*levelRow)
	}
	row := levels.rows[key.rootKind]
	if row == nil {
		row = &levelRow{}
		levels.rows[key.rootKind] = row
	}
	levels.heard[key] = heard
	row.services = append(row.services, heard)
	if heard.level > row.highest {
		row.highest, row.highestSetAt = heard.level, heard.setAt
	}
}
