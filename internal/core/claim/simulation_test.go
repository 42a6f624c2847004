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

// coordinator is implemented by [claim.Coordinator] and by its naive counterpart.
type coordinator interface {
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
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (queue eventQueue) Len() int      { return len(queue) }
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue eventQueue) Less(i, j int) bool {
	return queue[i].at.Before(queue[j].at) || queue[i].at.Equal(queue[j].at) && queue[i].sequence < queue[j].sequence
}
func (queue *eventQueue) Push(entry any) { *queue = append(*queue, entry.(event)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

type action struct {
	key  request.IdempotencyKey
	body byte
}

// simulation is one seeded history of callers, nodes with their targets, and a
// ledger. Messages between nodes and the ledger may be lost, duplicated or
// delayed.
type simulation struct {
	random         *rand.Rand
	now            time.Time
	sequence       int
	events         eventQueue
	newCoordinator func() coordinator
	nodes          []*node
	machine        *ledger.Machine
	index          uint64
	calls          map[request.CallID]*call
	keys           int

	runCounts  map[request.IdempotencyKey]int
	answers    map[action]string
	inProgress map[action]int
	// mayStayOpen holds the attempts whose claim may stay open or in doubt at the
	// end: those that were sent to a target, and those of nodes that restarted.
	mayStayOpen map[request.AttemptID]bool
	violations  []string
	counts      map[string]int
}

type node struct {
	coordinator       coordinator
	incarnation       int
	disconnectedUntil time.Time
	requests          map[request.AttemptID]claim.Request
}

type call struct {
	action      action
	node        int
	incarnation int
	ended       bool
	sendCount   int
}

const (
	faultPhase      = 2 * time.Minute
	quietPhase      = 2*time.Minute + 10*time.Second
	advanceInterval = 5 * time.Second
	callDeadline    = 4 * time.Second
	nodeCount       = 4
)

func newSimulation(seed uint64, newCoordinator func() coordinator) *simulation {
	sim := &simulation{
		random:         rand.New(rand.NewPCG(seed, 7)),
		now:            time.Unix(1_000_000, 0),
		newCoordinator: newCoordinator,
		machine:        ledger.New(),
		calls:          make(map[request.CallID]*call),
		runCounts:      make(map[request.IdempotencyKey]int),
		answers:        make(map[action]string),
		inProgress:     make(map[action]int),
		mayStayOpen:    make(map[request.AttemptID]bool),
		counts:         make(map[string]int),
	}
	for range nodeCount {
		sim.nodes = append(sim.nodes, &node{coordinator: newCoordinator(), requests: make(map[request.AttemptID]claim.Request)})
	}
	return sim
}

func (sim *simulation) chance(percent int) bool { return sim.random.IntN(100) < percent }

func (sim *simulation) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(longest)))
}

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now.Add(delay), sim.sequence, run})
}

func (sim *simulation) run() {
	end := sim.now.Add(faultPhase + quietPhase)
	for range 1 + sim.random.IntN(3) {
		sim.keys++
		requested := action{request.IdempotencyKey(fmt.Sprint("key-", sim.keys)), 1}
		sim.schedule(sim.randomDuration(20*time.Second), func() { sim.send(requested, 0) })
	}
	sim.schedule(0, sim.advance)
	for range sim.random.IntN(6) {
		sim.schedule(sim.randomDuration(time.Minute), sim.injectFault)
	}
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(event)
		if next.at.After(end) {
			break
		}
		sim.now = next.at
		next.run()
	}
	for _, open := range sim.machine.OpenClaims() {
		if !sim.mayStayOpen[open.Attempt] {
			sim.addViolation("the claim on %s is still held by an attempt that never ran", open.Key)
		}
	}
}

// advance lets the leader add the elapsed time to the ledger's age. Sometimes its
// clock jumps by up to an hour, or the command is duplicated.
func (sim *simulation) advance() {
	elapsed := advanceInterval
	if sim.chance(5) {
		elapsed = time.Duration(sim.random.IntN(7200)-3600) * time.Second
	}
	command := ledger.AdvanceCommand{From: sim.machine.Age(), Elapsed: elapsed}.Encode()
	sim.apply(command)
	if sim.chance(10) {
		sim.apply(command)
	}
	sim.schedule(advanceInterval, sim.advance)
}

func (sim *simulation) injectFault() {
	node := sim.random.IntN(len(sim.nodes))
	switch sim.random.IntN(5) {
	case 0:
		sim.disconnect(node)
	case 1:
		// Disconnects one region: the first two nodes form one, the others another.
		sim.disconnect(node / 2 * 2)
		sim.disconnect(node/2*2 + 1)
	case 2:
		sim.restartNode(node)
	case 3:
		sim.restartLedger()
	case 4:
		sim.restartLedger()
		for each := range sim.nodes {
			sim.restartNode(each)
		}
	}
}

func (sim *simulation) disconnect(node int) {
	sim.nodes[node].disconnectedUntil = sim.now.Add(sim.randomDuration(40 * time.Second))
}

func (sim *simulation) restartNode(number int) {
	node := sim.nodes[number]
	for attempt := range node.requests {
		sim.mayStayOpen[attempt] = true
	}
	node.coordinator = sim.newCoordinator()
	node.incarnation++
	node.requests = make(map[request.AttemptID]claim.Request)
}

func (sim *simulation) restartLedger() {
	restored := ledger.New()
	if err := restored.Restore(sim.machine.Snapshot()); err != nil {
		sim.addViolation("restore: %v", err)
	}
	sim.machine = restored
}

func (sim *simulation) addViolation(format string, values ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, values...))
}

func (sim *simulation) apply(command []byte) []byte {
	sim.index++
	result, err := sim.machine.Apply(sim.index, command)
	if err != nil {
		sim.addViolation("apply: %v", err)
	}
	return result
}

// send sends a request to a random node. The caller may disconnect, reuse the key
// with another body, duplicate the request, or send it again after it got no
// answer.
func (sim *simulation) send(requested action, sends int) {
	if sends > 7 {
		return
	}
	number := request.CallID(len(sim.calls) + 1)
	node := sim.random.IntN(len(sim.nodes))
	sent := &call{action: requested, node: node, incarnation: sim.nodes[node].incarnation, sendCount: sends}
	sim.calls[number] = sent
	arrived := claim.Request{
		Call: number, Attempt: sim.attemptID(), Kind: "tally/complete", Key: requested.key,
		Digest: ledger.BodyDigest{requested.body}, Deadline: sim.now.Add(callDeadline),
		MaxKeptAnswerBytes: 100, AnswerRetention: time.Hour, RecordRetention: 2 * time.Hour,
	}
	sim.nodes[node].requests[arrived.Attempt] = arrived
	sim.execute(node, sim.nodes[node].coordinator.Arrive(sim.now, arrived))
	if sim.chance(10) {
		sim.schedule(sim.randomDuration(2*time.Second), func() { sim.execute(node, sim.nodes[node].coordinator.CallerLeft(sim.now, number)) })
	}
	if sim.chance(10) {
		sim.schedule(sim.randomDuration(time.Second), func() { sim.send(action{requested.key, 2}, sends+1) })
	}
	if sim.chance(20) {
		sim.schedule(sim.randomDuration(200*time.Millisecond), func() { sim.send(requested, sends+1) })
	}
	sim.schedule(callDeadline+sim.randomDuration(10*time.Second), func() {
		if !sent.ended {
			sim.send(requested, sends+1)
		}
	})
}

func (sim *simulation) attemptID() request.AttemptID {
	var attemptID request.AttemptID
	binary.BigEndian.PutUint64(attemptID[:], sim.random.Uint64())
	binary.BigEndian.PutUint64(attemptID[8:], sim.random.Uint64())
	return attemptID
}
