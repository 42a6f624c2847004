package soak

import "sync"

// overlaps counts the faults of each kind that are in effect at a host, so that the end
// of one does not end another.
type overlaps struct {
	lock   sync.Mutex
	active map[overlap]int
}

// overlap is an effect that several faults can have on one host.
type overlap struct {
	effect effect
	host   int
}

type effect uint8

const (
	down effect = iota
	frozen
	limited
)

func (counts *overlaps) begin(effect effect, hosts ...int) {
	counts.lock.Lock()
	defer counts.lock.Unlock()
	if counts.active == nil {
		counts.active = make(map[overlap]int)
	}
	for _, host := range hosts {
		counts.active[overlap{effect, host}]++
	}
}

// end reports whether no other fault has the effect on the host any more.
func (counts *overlaps) end(effect effect, host int) bool {
	counts.lock.Lock()
	defer counts.lock.Unlock()
	counts.active[overlap{effect, host}]--
	return counts.active[overlap{effect, host}] == 0
}
