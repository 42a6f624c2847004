package admission

import (
	"math"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	defaultHoldTime = 250 * time.Millisecond
	// levelTimeConstant is the time constant with which the levels of a
	// service's targets are averaged.
	levelTimeConstant = 10 * time.Millisecond
	// importanceReleaseTime is the time in which an unconfirmed level falls by
	// one importance.
	importanceReleaseTime = 50 * time.Millisecond
	// highestCacheTime is how long the highest level of all services is cached.
	highestCacheTime = 2 * time.Millisecond
)

// Levels stores the levels received from downstream services, by root kind. The
// levels of one service's targets are averaged over a short time; among services
// the highest counts.
type Levels struct {
	// HoldTime is how long a level stays in force without an answer that
	// confirms it, before it falls. Zero is 250 ms.
	HoldTime time.Duration

	byService  map[levelKey]*serviceLevel
	byRootKind map[request.KindName]*rootKindLevels
}

type levelKey struct {
	service  request.ServiceName
	rootKind request.KindName
}

// rootKindLevels holds the levels of all services for one root kind.
type rootKindLevels struct {
	services []*serviceLevel
	// highest is the highest level of all services, computed at highestAt.
	// highestSetAt is the setAt of that service.
	highest      float64
	highestAt    time.Time
	highestSetAt time.Time
}

type serviceLevel struct {
	level     float64
	updatedAt time.Time
	// setAt is when the target that set the level reported it, by the age in the
	// last answer.
	setAt time.Time
}

// LevelReport is a level that answers carry back from the target that set it.
type LevelReport struct {
	Level request.Level
	// Age is the time since that target reported the level.
	Age time.Duration
}

// RecordLevel records a level that a service reports as its own, with an age of
// zero.
func (levels *Levels) RecordLevel(service request.ServiceName, rootKind request.KindName, level request.Level, now time.Time) {
	levels.RecordReport(service, rootKind, LevelReport{Level: level}, now)
}

// RecordReport records the level in an answer of a service. The hold time starts when
// the target that set the level reported it, so that a level does not stay in
// force longer for each service that it passes through.
func (levels *Levels) RecordReport(service request.ServiceName, rootKind request.KindName, reported LevelReport, now time.Time) {
	setAt := now.Add(-reported.Age)
	known := levels.byService[levelKey{service, rootKind}]
	if known == nil {
		if reported.Level > 0 {
			levels.add(levelKey{service, rootKind}, &serviceLevel{level: float64(reported.Level), updatedAt: now, setAt: setAt})
		}
		return
	}
	current := levels.levelAt(known, now)
	weight := 1 - math.Exp(-now.Sub(known.updatedAt).Seconds()/levelTimeConstant.Seconds())
	known.level = current + weight*(float64(reported.Level)-current)
	known.updatedAt = now
	known.setAt = setAt
}

// OfService is the level of one service for a root kind, zero if none is known.
func (levels *Levels) OfService(service request.ServiceName, rootKind request.KindName, now time.Time) request.Level {
	known := levels.byService[levelKey{service, rootKind}]
	if known == nil {
		return 0
	}
	return request.Level(levels.levelAt(known, now))
}

// Highest is the highest level of all downstream services for a root kind, zero
// if none is known. It may be up to 2 ms old.
func (levels *Levels) Highest(rootKind request.KindName, now time.Time) request.Level {
	known := levels.byRootKind[rootKind]
	if known == nil {
		return 0
	}
	if now.Sub(known.highestAt) >= highestCacheTime {
		known.highestAt = now
		known.highest = 0
		for _, service := range known.services {
			if service.level <= known.highest {
				continue
			}
			if level := levels.levelAt(service, now); level > known.highest {
				known.highest, known.highestSetAt = level, service.setAt
			}
		}
	}
	return request.Level(known.highest)
}

// highestSetAt is when the target that set the highest level reported it, as of
// the last call of Highest.
func (levels *Levels) highestSetAt(rootKind request.KindName) time.Time {
	return levels.byRootKind[rootKind].highestSetAt
}

// Refuses tells whether a call that is about to be sent to a service would be
// refused there or further downstream.
func (levels *Levels) Refuses(service request.ServiceName, work request.Work, now time.Time) bool {
	return refusedAtLevel(work, levels.OfService(service, work.RootKind, now))
}

// refusedAtLevel tells whether the level refuses the work. Work on which time was
// already spent is refused only if it is a whole importance below: the level is
// older than the service's own decision, which may still admit the call.
func refusedAtLevel(work request.Work, level request.Level) bool {
	priority := work.Priority
	if work.Spent > 0 {
		priority += request.BucketCount
	}
	return priority < level
}

// levelAt is the level of a service at a time. It falls once the hold time is
// over.
func (levels *Levels) levelAt(known *serviceLevel, now time.Time) float64 {
	holdTime := levels.HoldTime
	if holdTime == 0 {
		holdTime = defaultHoldTime
	}
	unconfirmed := now.Sub(known.setAt) - holdTime
	if unconfirmed <= 0 {
		return known.level
	}
	return max(0, known.level-request.BucketCount*unconfirmed.Seconds()/importanceReleaseTime.Seconds())
}

func (levels *Levels) add(key levelKey, added *serviceLevel) {
	if levels.byRootKind == nil {
		levels.byService = make(map[levelKey]*serviceLevel)
		levels.byRootKind = make(map[request.KindName]*rootKindLevels)
	}
	known := levels.byRootKind[key.rootKind]
	if known == nil {
		known = &rootKindLevels{}
		levels.byRootKind[key.rootKind] = known
	}
	levels.byService[key] = added
	known.services = append(known.services, added)
	if added.level > known.highest {
		known.highest, known.highestSetAt = added.level, added.setAt
	}
}
