package ledger

import (
	"slices"
	"time"
)

// calendarDay is the width of one slot of a calendar.
const calendarDay = Age(time.Minute)

// calendar gives back what was put in once its age has passed, in slots, so
// that an entry costs no more than its own size.
type calendar[T any] struct {
	next  int64
	slots map[int64][]T
}

func newCalendar[T any]() calendar[T] {
	return calendar[T]{slots: make(map[int64][]T)}
}

// add puts an entry into the slot after the one of its age. An entry is due
// when its whole slot has passed.
func (c *calendar[T]) add(at Age, entry T) {
	slot := max(c.next, int64(at/calendarDay)+1)
	c.slots[slot] = append(c.slots[slot], entry)
}

// due takes out what has passed, oldest slot first.
func (c *calendar[T]) due(age Age) []T {
	var passed []T
	for ; c.next <= int64(age/calendarDay); c.next++ {
		passed = slices.Concat(passed, c.slots[c.next])
		delete(c.slots, c.next)
	}
	return passed
}
