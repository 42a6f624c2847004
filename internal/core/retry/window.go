package retry

import "time"

// windowSlots is the number of slots that one window is divided into, which sets
// its resolution.
const windowSlots = 10

// slidingWindow counts calls and retries in slots over the last two window
// lengths.
type slidingWindow struct {
	slots [2*windowSlots + 1]windowSlot
	// newest is the number of the latest slot, counted from the Unix epoch.
	newest int64
}

type windowSlot struct{ calls, retries float64 }

// advanceTo clears the slots that have expired and returns the slot of now.
func (window *slidingWindow) advanceTo(now time.Time, length time.Duration) *windowSlot {
	slotNumber := now.UnixNano() / int64(length/windowSlots)
	// If the clock went back, the newest slot is used.
	for steps := min(slotNumber-window.newest, int64(len(window.slots))); steps > 0; steps-- {
		window.slots[(slotNumber-steps+1)%int64(len(window.slots))] = windowSlot{}
	}
	window.newest = max(window.newest, slotNumber)
	return window.slotByAge(0)
}

// slotByAge returns the slot that lies age slots before the newest.
func (window *slidingWindow) slotByAge(age int) *windowSlot {
	return &window.slots[(window.newest-int64(age))%int64(len(window.slots))]
}

// recentRetries counts the retries of the last window. It includes one more
// slot, because the oldest slot lies only partly outside the window.
func (window *slidingWindow) recentRetries() float64 {
	sum := 0.0
	for age := range windowSlots + 1 {
		sum += window.slotByAge(age).retries
	}
	return sum
}

// budgetCalls returns the number of calls that the budget is based on: the
// highest count among the last window, the window half a length earlier, and the
// window one length earlier. During a fault few calls are made, so those of the
// time before it count as well.
func (window *slidingWindow) budgetCalls() float64 {
	maxCalls := 0.0
	for _, firstAge := range [...]int{0, windowSlots / 2, windowSlots} {
		sum := 0.0
		for age := range windowSlots {
			sum += window.slotByAge(firstAge + age).calls
		}
		maxCalls = max(maxCalls, sum)
	}
	return maxCalls
}
