package retry

import "time"

// windowSlots is how many slots a window is counted in; a window is known to one
// slot.
const windowSlots = 10

// window counts calls and retries over the last two windows, in slots.
type window struct {
	slots [2*windowSlots + 1]windowSlot
	// newest is the number of the newest slot, counted from the zero time.
	newest int64
}

type windowSlot struct{ calls, retries float64 }

// at gives the slot of the moment, after the slots that are over were cleared.
func (win *window) at(now time.Time, length time.Duration) *windowSlot {
	number := now.UnixNano() / int64(length/windowSlots)
	// A clock that went back counts into the newest slot.
	for steps := min(number-win.newest, int64(len(win.slots))); steps > 0; steps-- {
		win.slots[(number-steps+1)%int64(len(win.slots))] = windowSlot{}
	}
	win.newest = max(win.newest, number)
	return win.slot(0)
}

// slot gives the slot that is so many before the newest.
func (win *window) slot(age int) *windowSlot {
	return &win.slots[(win.newest-int64(age))%int64(len(win.slots))]
}

// retries counts the retries of the last window. It looks back one slot
// further, since the oldest one is over in part.
func (win *window) retries() float64 {
	sum := 0.0
	for age := range windowSlots + 1 {
		sum += win.slot(age).retries
	}
	return sum
}

// calls counts the calls of the last window, the one before it or the one half
// a window before it, whichever has most: after a time of trouble few calls
// are made, but those of the time before count for the budget as well.
func (win *window) calls() float64 {
	most := 0.0
	for _, first := range [...]int{0, windowSlots / 2, windowSlots} {
		sum := 0.0
		for age := range windowSlots {
			sum += win.slot(first + age).calls
		}
		most = max(most, sum)
	}
	return most
}
