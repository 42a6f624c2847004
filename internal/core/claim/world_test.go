package claim_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/claim"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// decider is what the claim core and its naive twin have in common.
type decider interface {
	Arrive(time.Time, claim.Request) []claim.Action
	Claimed(time.Time, request.AttemptID, ledger.ClaimResult) []claim.Action
	Recorded(time.Time, request.AttemptID, ledger.RecordState) []claim.Action
	Answered(time.Time, request.AttemptID, *claim.Answer) []claim.Action
	NotStarted(time.Time, request.AttemptID, request.Code) []claim.Action
	Lost(time.Time, request.AttemptID, request.Code) []claim.Action
	CallerLeft(time.Time, request.CallID) []claim.Action
	Tick(time.Time) []claim.Action
	NextWake() (time.Time, bool)
}

type event struct {
	at   time.Time
	rank int
	act  func()
}

type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].rank < q[j].rank
}
func (q *queue) Push(entry any) { *q = append(*q, entry.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type action struct {
	key  request.IdempotencyKey
	body byte
}

// world is one seeded history: callers, nodes with their targets, and a ledger
// behind a channel that loses, doubles and delays.
type world struct {
	random  *rand.Rand
	now     time.Time
	rank    int
	events  queue
	create  func() decider
	nodes   []*host
	machine *ledger.Machine
	index   uint64
	calls   map[request.CallID]*call
	keys    int

	ran    map[request.IdempotencyKey]int
	first  map[action]string
	handed map[action]int
	// excused holds the attempts that may leave a claim in doubt: those that
	// ran, and those of nodes that restarted.
	excused map[request.AttemptID]bool
	broken  []string
	tallies map[string]int
}

type host struct {
	core     decider
	lives    int
	cutUntil time.Time
	requests map[request.AttemptID]claim.Request
}

type call struct {
	action action
	node   int
	lives  int
	ended  bool
	sends  int
}

const (
	historyLength = 2 * time.Minute
	quietLength   = 2*time.Minute + 10*time.Second
	advanceEvery  = 5 * time.Second
	callDeadline  = 4 * time.Second
	nodeCount     = 4
)

func newWorld(seed uint64, create func() decider) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 7)),
		now:     time.Unix(1_000_000, 0),
		create:  create,
		machine: ledger.New(),
		calls:   make(map[request.CallID]*call),
		ran:     make(map[request.IdempotencyKey]int),
		first:   make(map[action]string),
		handed:  make(map[action]int),
		excused: make(map[request.AttemptID]bool),
		tallies: make(map[string]int),
	}
	for range nodeCount {
		w.nodes = append(w.nodes, &host{core: create(), requests: make(map[request.AttemptID]claim.Request)})
	}
	return w
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *world) upTo(longest time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(longest)))
}

func (w *world) after(delay time.Duration, act func()) {
	w.rank++
	heap.Push(&w.events, event{w.now.Add(delay), w.rank, act})
}

func (w *world) run() {
	end := w.now.Add(historyLength + quietLength)
	for range 1 + w.random.IntN(3) {
		w.keys++
		done := action{request.IdempotencyKey(fmt.Sprint("key-", w.keys)), 1}
		w.after(w.upTo(20*time.Second), func() { w.send(done, 0) })
	}
	w.after(0, w.advance)
	for range w.random.IntN(6) {
		w.after(w.upTo(time.Minute), w.disturb)
	}
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		if next.at.After(end) {
			break
		}
		w.now = next.at
		next.act()
	}
	for _, open := range w.machine.Open() {
		if !w.excused[open.Attempt] {
			w.breach("the claim on %s stays with an attempt that never ran", open.Key)
		}
	}
}

// advance is the leader's tick; its clock jumps at times.
func (w *world) advance() {
	elapsed := advanceEvery
	if w.chance(5) {
		elapsed = time.Duration(w.random.IntN(7200)-3600) * time.Second
	}
	command := ledger.AdvanceCommand{From: w.machine.Age(), Elapsed: elapsed}.Encode()
	w.apply(command)
	if w.chance(10) {
		w.apply(command)
	}
	w.after(advanceEvery, w.advance)
}

func (w *world) disturb() {
	node := w.random.IntN(len(w.nodes))
	switch w.random.IntN(5) {
	case 0:
		w.cut(node)
	case 1:
		// The first two nodes are one region, the others another.
		w.cut(node / 2 * 2)
		w.cut(node/2*2 + 1)
	case 2:
		w.restartNode(node)
	case 3:
		w.restartLedger()
	case 4:
		w.restartLedger()
		for every := range w.nodes {
			w.restartNode(every)
		}
	}
}

func (w *world) cut(node int) {
	w.nodes[node].cutUntil = w.now.Add(w.upTo(40 * time.Second))
}

func (w *world) restartNode(number int) {
	node := w.nodes[number]
	for attempt := range node.requests {
		w.excused[attempt] = true
	}
	node.core = w.create()
	node.lives++
	node.requests = make(map[request.AttemptID]claim.Request)
}

func (w *world) restartLedger() {
	restored := ledger.New()
	if err := restored.Restore(w.machine.Snapshot()); err != nil {
		w.breach("restore: %v", err)
	}
	w.machine = restored
}

func (w *world) breach(format string, values ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, values...))
}

func (w *world) apply(command []byte) []byte {
	w.index++
	result, err := w.machine.Apply(w.index, command)
	if err != nil {
		w.breach("apply: %v", err)
	}
	return result
}

// send is one attempt of a caller; it may double itself and be sent again.
func (w *world) send(done action, sends int) {
	if sends > 7 {
		return
	}
	number := request.CallID(len(w.calls) + 1)
	node := w.random.IntN(len(w.nodes))
	sent := &call{action: done, node: node, lives: w.nodes[node].lives, sends: sends}
	w.calls[number] = sent
	arrived := claim.Request{
		Call: number, Attempt: w.attemptID(), Kind: "tally/complete", Key: done.key,
		Digest: ledger.BodyDigest{done.body}, Deadline: w.now.Add(callDeadline),
		KeptAnswer: 100, KeepAnswer: time.Hour, KeepRecord: 2 * time.Hour,
	}
	w.nodes[node].requests[arrived.Attempt] = arrived
	w.do(node, w.nodes[node].core.Arrive(w.now, arrived))
	if w.chance(10) {
		w.after(w.upTo(2*time.Second), func() { w.do(node, w.nodes[node].core.CallerLeft(w.now, number)) })
	}
	if w.chance(10) {
		w.after(w.upTo(time.Second), func() { w.send(action{done.key, 2}, sends+1) })
	}
	if w.chance(20) {
		w.after(w.upTo(200*time.Millisecond), func() { w.send(done, sends+1) })
	}
	w.after(callDeadline+w.upTo(10*time.Second), func() {
		if !sent.ended {
			w.send(done, sends+1)
		}
	})
}

func (w *world) attemptID() request.AttemptID {
	var name request.AttemptID
	binary.BigEndian.PutUint64(name[:], w.random.Uint64())
	binary.BigEndian.PutUint64(name[8:], w.random.Uint64())
	return name
}
