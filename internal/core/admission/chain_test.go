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
	chainDepth     = 4
	networkDelay   = time.Millisecond
	retryAllowance = 3
)

type gate interface {
	Arrive(time.Time, request.Work, []admission.Notice) (admission.Decision, []admission.Notice)
	Finish(time.Time, request.CallID, admission.Sample, []admission.Notice) []admission.Notice
	Cancel(time.Time, request.CallID, []admission.Notice) []admission.Notice
	Tick(time.Time, []admission.Notice) []admission.Notice
	Level(request.KindName, time.Time) request.Level
}

type retryPolicy interface {
	Decide(time.Time, retry.Attempt, *retry.Account, *retry.Budget) retry.Decision
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

// eventQueue is a heap of events in order of time.
type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	return queue[i].at.Before(queue[j].at) || queue[i].at.Equal(queue[j].at) && queue[i].sequence < queue[j].sequence
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)   { *queue = append(*queue, x.(event)) }
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	*queue = (*queue)[:last]
	return popped
}

// waitingCalls holds the callbacks that get the decisions on queued calls.
type waitingCalls map[request.CallID]func(admission.Decision)

// await passes a decision on, at once or when it comes.
func (waiting waitingCalls) await(call request.CallID, decision admission.Decision, onDecision func(admission.Decision)) {
	if decision.Verdict == admission.Wait {
		waiting[call] = onDecision
		return
	}
	onDecision(decision)
}

// deliver passes on the decisions that have come.
func (waiting waitingCalls) deliver(notices []admission.Notice) {
	for _, notice := range notices {
		onDecision := waiting[notice.Call]
		delete(waiting, notice.Call)
		onDecision(notice.Decision)
	}
}

// instance is one target with its node.
type instance struct {
	gate        gate
	levels      *admission.Levels
	retryBudget retry.Budget
	slots       int
	busy        int
	queue       []*instanceCall
	waiting     map[request.CallID]*instanceCall
}

// instanceCall is one call at one instance.
type instanceCall struct {
	tree           *callTree
	instance       *instance
	depth          int
	work           request.Work
	account        retry.Account
	admittedAt     time.Time
	downstreamTime time.Duration
	hasSlot        bool
	ended          bool
	reply          func(answer)
}

type answer struct {
	code    request.Code
	level   request.Level
	unspent retry.Allowance
}

// callTree is one root request with all calls made for it.
type callTree struct {
	calls     []*instanceCall
	abandoned bool
	succeeded bool
	work      time.Duration
	spent     time.Duration
}

// chain simulates services that call each other in a row, in virtual time.
type chain struct {
	now          time.Time
	events       eventQueue
	lastSequence int
	random       *rand.Rand
	naive        bool
	policy       retryPolicy
	services     [chainDepth][]*instance
	serviceTimes [chainDepth]time.Duration
	lastCall     request.CallID
	attempts     [chainDepth]int
}

// newChain builds a chain with the gates and the retry policy under test, or with
// those of package naive.
func newChain(useNaive bool, seed uint64) *chain {
	model := &chain{now: epoch, naive: useNaive, random: rand.New(rand.NewPCG(seed, 7))}
	model.policy = &retry.Policy{Random: model.random}
	if useNaive {
		model.policy = naive.RetryPolicy{}
	}
	slots, connections := [chainDepth]int{50, 50, 50, 10}, [chainDepth]int{400, 400, 400, 160}
	for depth := range chainDepth {
		model.serviceTimes[depth] = 10 * time.Millisecond
		for range 6 {
			added := &instance{slots: slots[depth], levels: &admission.Levels{}, waiting: map[request.CallID]*instanceCall{}}
			added.gate = &admission.Gate{Slots: slots[depth], Warm: true, Downstream: added.levels}
			if useNaive {
				added.gate = &naive.Gate{Connections: connections[depth]}
			}
			model.services[depth] = append(model.services[depth], added)
			model.tick(added)
		}
	}
	model.serviceTimes[chainDepth-1] = 20 * time.Millisecond
	return model
}

func (model *chain) schedule(delay time.Duration, run func()) {
	model.lastSequence++
	heap.Push(&model.events, event{at: model.now.Add(delay), sequence: model.lastSequence, run: run})
}

func (model *chain) runUntil(end time.Time) {
	for len(model.events) > 0 && model.events[0].at.Before(end) {
		next := heap.Pop(&model.events).(event)
		model.now = next.at
		next.run()
	}
}

func (model *chain) tick(target *instance) {
	model.applyNotices(target, target.gate.Tick(model.now, nil))
	model.schedule(10*time.Millisecond, func() { model.tick(target) })
}

// pick chooses the less loaded of two random instances. The naive version takes
// one at random.
func (model *chain) pick(depth int) *instance {
	instances := model.services[depth]
	one, two := instances[model.random.IntN(len(instances))], instances[model.random.IntN(len(instances))]
	if !model.naive && two.busy+len(two.waiting) < one.busy+len(one.waiting) {
		return two
	}
	return one
}

// send sends a call to an instance and passes its answer to reply.
func (model *chain) send(tree *callTree, depth int, work request.Work, share retry.Allowance, reply func(answer)) {
	model.lastCall++
	model.attempts[depth]++
	work.Call, work.Spent = model.lastCall, tree.spent
	target := model.pick(depth)
	call := &instanceCall{tree: tree, instance: target, depth: depth, work: work, account: retry.Account{Remaining: share}}
	call.reply = func(result answer) {
		result.level, result.unspent = target.gate.Level(work.RootKind, model.now), call.account.Close()
		model.schedule(networkDelay, func() { reply(result) })
	}
	model.schedule(networkDelay, func() { model.arrive(call) })
}

func (model *chain) arrive(call *instanceCall) {
	if call.tree.abandoned && !model.naive {
		return
	}
	decision, notices := call.instance.gate.Arrive(model.now, call.work, nil)
	if decision.Verdict == admission.Wait {
		call.instance.waiting[call.work.Call] = call
		call.tree.calls = append(call.tree.calls, call)
	} else {
		model.applyDecision(call, decision)
	}
	model.applyNotices(call.instance, notices)
}

func (model *chain) applyNotices(target *instance, notices []admission.Notice) {
	for _, notice := range notices {
		call := target.waiting[notice.Call]
		delete(target.waiting, notice.Call)
		model.applyDecision(call, notice.Decision)
	}
}

func (model *chain) applyDecision(call *instanceCall, decision admission.Decision) {
	if decision.Verdict == admission.Refuse {
		call.ended = true
		call.reply(answer{code: decision.Code})
		return
	}
	call.admittedAt = model.now
	call.tree.calls = append(call.tree.calls, call)
	if call.instance.busy >= call.instance.slots {
		call.instance.queue = append(call.instance.queue, call)
		return
	}
	model.serve(call)
}

// serve lets the call hold a slot of the instance for the processing time of the
// instance and for the downstream call.
func (model *chain) serve(call *instanceCall) {
	call.hasSlot = true
	call.instance.busy++
	ownTime := time.Duration((0.5 + model.random.Float64()) * float64(model.serviceTimes[call.depth]))
	model.schedule(ownTime, func() {
		call.tree.work += ownTime
		call.tree.spent += ownTime
		if call.ended {
			return
		}
		if call.depth == chainDepth-1 {
			model.finish(call, request.OK)
			return
		}
		model.callDownstream(call, 0)
	})
}

func (model *chain) callDownstream(call *instanceCall, retries int) {
	service := request.ServiceName(rune('a' + call.depth + 1))
	if !model.naive && call.instance.levels.Refuses(service, call.work, model.now) {
		model.finish(call, request.OverloadedBelow)
		return
	}
	sentAt, share := model.now, call.account.TakeShare()
	model.send(call.tree, call.depth+1, call.work, share, func(result answer) {
		call.instance.levels.RecordLevel(service, call.work.RootKind, result.level, model.now)
		if call.ended {
			return
		}
		call.downstreamTime += model.now.Sub(sentAt)
		call.account.Return(share, result.unspent)
		if result.code == request.OK {
			call.instance.retryBudget.RecordSuccess()
		}
		attempt := retry.Attempt{MaxRetries: 3, UsedRetries: retries, Code: result.code, Deadline: call.work.Deadline}
		decision := model.policy.Decide(model.now, attempt, &call.account, &call.instance.retryBudget)
		if decision.Reason != retry.Allowed {
			model.finish(call, result.code)
			return
		}
		model.schedule(decision.Backoff, func() {
			if !call.ended {
				model.callDownstream(call, retries+1)
			}
		})
	})
}

// finish ends a call and gives its slot to the next call in the instance's own
// queue.
func (model *chain) finish(call *instanceCall, code request.Code) {
	sample := admission.Sample{Latency: model.now.Sub(call.admittedAt), DownstreamTime: call.downstreamTime, Result: admission.Succeeded}
	if code != request.OK {
		sample.Result = admission.RefusedDownstream
	}
	model.release(call)
	model.applyNotices(call.instance, call.instance.gate.Finish(model.now, call.work.Call, sample, nil))
	if code != request.OK && code != request.OverloadedBelow && !model.naive {
		code = request.OverloadedBelow
	}
	call.reply(answer{code: code})
}

// release frees the slot of a call, if it has one.
func (model *chain) release(call *instanceCall) {
	call.ended = true
	if !call.hasSlot {
		return
	}
	call.instance.busy--
	if len(call.instance.queue) > 0 {
		next := call.instance.queue[0]
		call.instance.queue = call.instance.queue[1:]
		model.serve(next)
	}
}

// abandon cancels the unfinished calls of a tree whose caller gave up. In the
// naive version they go on.
func (model *chain) abandon(tree *callTree) {
	tree.abandoned = true
	for _, call := range tree.calls {
		if call.ended || model.naive {
			continue
		}
		delete(call.instance.waiting, call.work.Call)
		model.release(call)
		model.applyNotices(call.instance, call.instance.gate.Cancel(model.now, call.work.Call, nil))
	}
}

func rootID(bits uint64) (root request.RootID) {
	binary.BigEndian.PutUint64(root[8:], bits)
	return root
}
