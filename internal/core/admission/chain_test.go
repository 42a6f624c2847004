package admission_test

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/naive"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	chainDepth = 4
	hopTime    = time.Millisecond
	allowance  = 3
)

type gate interface {
	Arrive(time.Time, request.Work, []admission.Notice) (admission.Decision, []admission.Notice)
	Finish(time.Time, request.CallID, admission.Sample, []admission.Notice) []admission.Notice
	Cancel(time.Time, request.CallID, []admission.Notice) []admission.Notice
	Tick(time.Time, []admission.Notice) []admission.Notice
	Level(request.KindName, time.Time) request.Level
}

type policy interface {
	Decide(time.Time, retry.Attempt, *retry.Account, *retry.Edge) retry.Decision
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	popped := (*a)[last]
	*a = (*a)[:last]
	return popped
}

// station is one target with its node.
type station struct {
	gate   gate
	levels *admission.Levels
	edge   retry.Edge
	slots  int
	busy   int
	queue  []*visit
	waits  map[request.CallID]*visit
}

// visit is one call at one station.
type visit struct {
	tree    *tree
	place   *station
	depth   int
	work    request.Work
	account retry.Account
	began   time.Time
	below   time.Duration
	working bool
	ended   bool
	reply   func(answer)
}

type answer struct {
	code    request.Code
	level   request.Level
	unspent retry.Allowance
}

// tree is one root request.
type tree struct {
	visits []*visit
	left   bool
	done   bool
	work   time.Duration
	spent  time.Duration
}

// chain is a model of services that call each other in a row, in virtual time.
type chain struct {
	now      time.Time
	events   agenda
	order    int
	random   *rand.Rand
	naive    bool
	policy   policy
	services [chainDepth][]*station
	times    [chainDepth]time.Duration
	calls    request.CallID
	attempts [chainDepth]int
}

func newChain(plain bool, seed uint64) *chain {
	model := &chain{now: epoch, naive: plain, random: rand.New(rand.NewPCG(seed, 7))}
	model.policy = &retry.Policy{Random: model.random}
	if plain {
		model.policy = naive.Policy{}
	}
	slots, connections := [chainDepth]int{50, 50, 50, 10}, [chainDepth]int{400, 400, 400, 160}
	for depth := range chainDepth {
		model.times[depth] = 10 * time.Millisecond
		for range 6 {
			made := &station{slots: slots[depth], levels: &admission.Levels{}, waits: map[request.CallID]*visit{}}
			made.gate = &admission.Gate{Slots: slots[depth], Warm: true, Below: made.levels}
			if plain {
				made.gate = &naive.Gate{Connections: connections[depth]}
			}
			model.services[depth] = append(model.services[depth], made)
			model.tick(made)
		}
	}
	model.times[chainDepth-1] = 20 * time.Millisecond
	return model
}

func (c *chain) after(wait time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now.Add(wait), order: c.order, run: run})
}

func (c *chain) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}

func (c *chain) tick(at *station) {
	c.tell(at, at.gate.Tick(c.now, nil))
	c.after(10*time.Millisecond, func() { c.tick(at) })
}

// pick chooses the less loaded of two stations; the naive version any.
func (c *chain) pick(depth int) *station {
	stations := c.services[depth]
	one, two := stations[c.random.IntN(len(stations))], stations[c.random.IntN(len(stations))]
	if !c.naive && two.busy+len(two.waits) < one.busy+len(one.waits) {
		return two
	}
	return one
}

// call sends a call to a station and reports its answer.
func (c *chain) call(root *tree, depth int, work request.Work, share retry.Allowance, reply func(answer)) {
	c.calls++
	c.attempts[depth]++
	work.Call, work.Spent = c.calls, root.spent
	at := c.pick(depth)
	sent := &visit{tree: root, place: at, depth: depth, work: work, account: retry.Account{Left: share}}
	sent.reply = func(result answer) {
		result.level, result.unspent = at.gate.Level(work.RootKind, c.now), sent.account.Close()
		c.after(hopTime, func() { reply(result) })
	}
	c.after(hopTime, func() { c.arrive(sent) })
}

func (c *chain) arrive(sent *visit) {
	if sent.tree.left && !c.naive {
		return
	}
	decision, notices := sent.place.gate.Arrive(c.now, sent.work, nil)
	if decision.Verdict == admission.Wait {
		sent.place.waits[sent.work.Call] = sent
		sent.tree.visits = append(sent.tree.visits, sent)
	} else {
		c.decide(sent, decision)
	}
	c.tell(sent.place, notices)
}

func (c *chain) tell(at *station, notices []admission.Notice) {
	for _, notice := range notices {
		waiting := at.waits[notice.Call]
		delete(at.waits, notice.Call)
		c.decide(waiting, notice.Decision)
	}
}

func (c *chain) decide(sent *visit, decision admission.Decision) {
	if decision.Verdict == admission.Refuse {
		sent.ended = true
		sent.reply(answer{code: decision.Code})
		return
	}
	sent.began = c.now
	sent.tree.visits = append(sent.tree.visits, sent)
	if sent.place.busy >= sent.place.slots {
		sent.place.queue = append(sent.place.queue, sent)
		return
	}
	c.work(sent)
}

// work holds a slot of the target for its own time and for the call below.
func (c *chain) work(sent *visit) {
	sent.working = true
	sent.place.busy++
	needed := time.Duration((0.5 + c.random.Float64()) * float64(c.times[sent.depth]))
	c.after(needed, func() {
		sent.tree.work += needed
		sent.tree.spent += needed
		if sent.ended {
			return
		}
		if sent.depth == chainDepth-1 {
			c.leave(sent, request.OK)
			return
		}
		c.callBelow(sent, 0)
	})
}

func (c *chain) callBelow(sent *visit, used int) {
	service := request.ServiceName(rune('a' + sent.depth + 1))
	if !c.naive && sent.place.levels.Refuses(service, sent.work, c.now) {
		c.leave(sent, request.OverloadedBelow)
		return
	}
	began, share := c.now, sent.account.HandOver()
	c.call(sent.tree, sent.depth+1, sent.work, share, func(result answer) {
		sent.place.levels.Learn(service, sent.work.RootKind, result.level, c.now)
		if sent.ended {
			return
		}
		sent.below += c.now.Sub(began)
		sent.account.Return(share, result.unspent)
		if result.code == request.OK {
			sent.place.edge.Success()
		}
		attempt := retry.Attempt{Retries: 3, Used: used, Code: result.code, Deadline: sent.work.Deadline}
		decision := c.policy.Decide(c.now, attempt, &sent.account, &sent.place.edge)
		if decision.Reason != retry.Allowed {
			c.leave(sent, result.code)
			return
		}
		c.after(decision.Backoff, func() {
			if !sent.ended {
				c.callBelow(sent, used+1)
			}
		})
	})
}

// leave ends a visit and gives its slot to the target's own queue.
func (c *chain) leave(sent *visit, code request.Code) {
	sample := admission.Sample{Latency: c.now.Sub(sent.began), Below: sent.below, Result: admission.Succeeded}
	if code != request.OK {
		sample.Result = admission.RefusedBelow
	}
	c.free(sent)
	c.tell(sent.place, sent.place.gate.Finish(c.now, sent.work.Call, sample, nil))
	if code != request.OK && code != request.OverloadedBelow && !c.naive {
		code = request.OverloadedBelow
	}
	sent.reply(answer{code: code})
}

func (c *chain) free(sent *visit) {
	sent.ended = true
	if !sent.working {
		return
	}
	sent.place.busy--
	if len(sent.place.queue) > 0 {
		next := sent.place.queue[0]
		sent.place.queue = sent.place.queue[1:]
		c.work(next)
	}
}

// abandon cancels what is left of a tree whose caller left.
func (c *chain) abandon(root *tree) {
	root.left = true
	for _, open := range root.visits {
		if open.ended || c.naive {
			continue
		}
		delete(open.place.waits, open.work.Call)
		c.free(open)
		c.tell(open.place, open.place.gate.Cancel(c.now, open.work.Call, nil))
	}
}

func rootID(bits uint64) (root request.RootID) {
	binary.BigEndian.PutUint64(root[8:], bits)
	return root
}
