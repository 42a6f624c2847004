package replica

import (
	"math"
	"slices"
)

// lossKind is one kind of loss in the histories.
type lossKind struct {
	name string
	run  func(*lossHistory)
}

var lossKinds = []lossKind{
	{"any disks", func(history *lossHistory) {
		count := history.anyCount()
		history.awaitTolerable(count)
		history.strike(history.pick(count), history.anyDown())
	}},
	{"the leader's disk and others", func(history *lossHistory) {
		count := history.anyCount()
		history.awaitTolerable(count)
		var preferred []string
		if leader := history.leader(); leader != nil {
			preferred = append(preferred, leader.Address)
		}
		history.strike(history.pick(count, preferred...), history.anyDown())
	}},
	{"disks of the seeds", func(history *lossHistory) {
		count := history.anyCount()
		history.awaitTolerable(count)
		history.strike(history.pick(count, history.seeds...), history.anyDown())
	}},
	{"disks right after an acknowledgement", func(history *lossHistory) {
		history.awaitTolerable(history.lostDisks)
		history.sendAndAwait()
		history.strike(history.pick(history.lostDisks), downTicks)
	}},
	{"one disk after the other", func(history *lossHistory) {
		for range 2 * history.lostDisks {
			history.awaitTolerable(1)
			history.strike(history.pick(1), history.anyDown())
			history.ticks(history.random.IntN(downTicks))
		}
	}},
	{"the same disks twice", func(history *lossHistory) {
		count := history.anyCount()
		history.awaitTolerable(count)
		picked := history.pick(count)
		down := history.anyDown()
		history.strike(picked, down)
		history.ticks(down + 1 + history.random.IntN(catchUpTicks-1))
		history.strike(picked, history.anyDown())
	}},
	{"a split, then disks", func(history *lossHistory) {
		history.awaitWhole()
		history.note("split in two")
		history.splitInTwo()
		history.split = true
		history.ticks(catchUpTicks)
		history.split = false
		clear(history.blocked)
		history.note("split healed")
		if history.random.IntN(2) == 0 {
			history.ticks(history.random.IntN(electionRounds))
		}
		history.slack = electionRounds
		history.strike(history.pick(history.lostDisks), downTicks)
	}},
	{"a host cut off", func(history *lossHistory) {
		history.disturb("cut off", func(address string) {
			for _, other := range history.order {
				history.blocked[[2]string{address, other}], history.blocked[[2]string{other, address}] = true, true
			}
		}, func(string) { clear(history.blocked) })
	}},
	{"a host frozen", func(history *lossHistory) {
		history.disturb("frozen", func(address string) { history.hosts[address].frozen = true },
			func(address string) { history.hosts[address].frozen = false })
	}},
	{"a host slowed", func(history *lossHistory) {
		history.disturb("slowed", func(address string) { history.links.end(address).slowness = 30 },
			func(address string) { history.links.end(address).slowness = 1 })
	}},
	{"a crash of the leader", func(history *lossHistory) {
		history.awaitTolerable(1)
		if leader := history.leader(); leader != nil && !slices.Contains(history.countedAsLost(), leader.Address) {
			history.note("%s crashes", leader.Address)
			history.recordLoss(leader.Address, history.anyDown())
			history.crash(leader.Address)
		}
	}},
	{"a crash of all", func(history *lossHistory) {
		if history.random.IntN(2) == 0 {
			history.awaitWhole()
		}
		history.crashOthers()
	}},
}

// disturb lets one host be lost with its disk for a while, the leader or any other.
func (history *lossHistory) disturb(what string, begin, end func(address string)) {
	history.awaitTolerable(1)
	var preferred []string
	if leader := history.leader(); leader != nil && history.random.IntN(2) == 0 {
		preferred = append(preferred, leader.Address)
	}
	address := history.pick(1, preferred...)[0]
	history.recordLoss(address, 0)
	delete(history.startTick, address)
	history.note("%s is %s", address, what)
	begin(address)
	if history.tolerable() > 0 && history.random.IntN(2) == 0 {
		history.strike(history.pick(1), history.anyDown())
	}
	history.ticks(electionRounds + history.random.IntN(catchUpTicks))
	end(address)
	history.note("%s is no longer %s", address, what)
	history.lostUntil[address] = history.links.now + catchUpTicks
}

// anyDown is how long a host is down that crashed.
func (history *lossHistory) anyDown() int {
	if history.random.IntN(2) == 0 {
		return downTicks
	}
	return 1 + history.random.IntN(2*downTicks)
}

// crashOthers crashes all hosts that are up; they keep their disks and are back
// within a second.
func (history *lossHistory) crashOthers() {
	history.note("all crash")
	history.slack = electionRounds
	if len(history.countedAsLost()) > 0 {
		history.slack = recoveryTicks - catchUpTicks
	}
	for _, address := range history.order {
		if history.hosts[address].up {
			history.crash(address)
			history.lostUntil[address] = math.MaxInt
			history.startTick[address] = history.links.now + 1 + history.random.IntN(downTicks)
		}
	}
}
