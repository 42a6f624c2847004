package admission_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/fairshare"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// customerLoad is a load of single calls of several customers on one target.
type customerLoad struct {
	*chain
	gate    *admission.Gate
	waiting waitingCalls
	// excess tells how far a call lies over the share of its customer, and divide is called
	// ten times a second. Nil means that customers are not told apart.
	excess   func(request.Work) request.Excess
	divide   func()
	lastCall request.CallID
	// held counts the calls of each customer at the gate and at the target.
	held          map[request.CustomerName]int
	asked, served map[request.CustomerName]int
}

const (
	customerSlots    = 20
	customerCallTime = 50 * time.Millisecond
	customerPatience = 300 * time.Millisecond
	customerDeadline = 2 * time.Second
	customerRunTime  = 20 * time.Second
	// customerWarmUp is not counted.
	customerWarmUp = 4 * time.Second
)

// customerCapacity is what the target serves, in calls per second.
var customerCapacity = customerSlots / customerCallTime.Seconds()

func newCustomerLoad() *customerLoad {
	load := &customerLoad{
		chain:   &chain{now: epoch, random: rand.New(rand.NewPCG(7, 9))},
		gate:    &admission.Gate{Slots: customerSlots, Warm: true},
		waiting: waitingCalls{},
		held:    map[request.CustomerName]int{},
		asked:   map[request.CustomerName]int{},
		served:  map[request.CustomerName]int{},
	}
	return load
}

// shareByDemand divides the rate of the target by the demand of customers.
func (load *customerLoad) shareByDemand() {
	shares := &fairshare.Shares{}
	load.excess = func(work request.Work) request.Excess {
		return shares.Record(fairshare.Request{Customer: work.Customer, Priority: work.Priority})
	}
	load.divide = func() { shares.Divide(load.now, fairshare.GuaranteedPart*load.gate.CallsPerSecond(load.now)) }
}

// shareByPlaces divides the slots of the target: a customer that holds more than its part of
// them, waiting calls included, is over its share.
func (load *customerLoad) shareByPlaces() {
	load.excess = func(work request.Work) request.Excess {
		active := 0
		for _, held := range load.held {
			if held > 0 {
				active++
			}
		}
		if load.held[work.Customer]*max(active, 1) > customerSlots {
			return request.MaxExcess
		}
		return 0
	}
}

// run sends calls of each customer at its rate, in calls per second.
func (load *customerLoad) run(rates map[request.CustomerName]float64) {
	var tick func()
	tick = func() {
		load.waiting.deliver(load.gate.Tick(load.now, nil))
		load.schedule(10*time.Millisecond, tick)
	}
	var divide func()
	divide = func() {
		if load.divide != nil {
			load.divide()
		}
		load.schedule(100*time.Millisecond, divide)
	}
	load.schedule(0, tick)
	load.schedule(0, divide)
	for _, customer := range sortedCustomers(rates) {
		load.schedule(load.gap(rates[customer]), func() { load.sendEach(customer, rates[customer]) })
	}
	load.runUntil(epoch.Add(customerRunTime))
}

func (load *customerLoad) gap(rate float64) time.Duration {
	return time.Duration(load.random.ExpFloat64() / rate * float64(time.Second))
}

func (load *customerLoad) sendEach(customer request.CustomerName, rate float64) {
	load.send(customer)
	load.schedule(load.gap(rate), func() { load.sendEach(customer, rate) })
}

func (load *customerLoad) send(customer request.CustomerName) {
	load.lastCall++
	work := request.Work{
		Call: load.lastCall, Customer: customer, Deadline: load.now.Add(customerDeadline), Patience: customerPatience,
		Priority: request.NewPriority(1, request.Bucket(load.random.IntN(request.BucketCount))),
	}
	counted := load.now.Sub(epoch) >= customerWarmUp
	if counted {
		load.asked[customer]++
	}
	if load.excess != nil {
		work.Excess = load.excess(work)
	}
	load.held[customer]++
	onDecision := func(decision admission.Decision) {
		if decision.Verdict != admission.Admit {
			load.held[customer]--
			return
		}
		latency := time.Duration(float64(customerCallTime) * (0.5 + load.random.Float64()))
		load.schedule(latency, func() {
			load.held[customer]--
			if counted {
				load.served[customer]++
			}
			load.waiting.deliver(load.gate.Finish(load.now, work.Call, admission.Sample{Latency: latency, Result: admission.Succeeded}, nil))
		})
	}
	decision, notices := load.gate.Arrive(load.now, work, nil)
	load.waiting.deliver(notices)
	load.waiting.await(work.Call, decision, onDecision)
}

// sortedCustomers makes the runs of a load alike.
func sortedCustomers(rates map[request.CustomerName]float64) []request.CustomerName {
	return slices.Sorted(maps.Keys(rates))
}

// fairParts divides the capacity of the target by progressive filling.
func fairParts(rates map[request.CustomerName]float64) map[request.CustomerName]float64 {
	names := sortedCustomers(rates)
	slices.SortStableFunc(names, func(one, other request.CustomerName) int { return cmp.Compare(rates[one], rates[other]) })
	parts, left := map[request.CustomerName]float64{}, customerCapacity
	for index, name := range names {
		parts[name] = min(rates[name], left/float64(len(names)-index))
		left -= parts[name]
	}
	return parts
}

// worstPart is the lowest served rate of a customer, relative to its fair part.
func (load *customerLoad) worstPart(rates map[request.CustomerName]float64) float64 {
	worst, seconds := 1.0, (customerRunTime - customerWarmUp).Seconds()
	for name, part := range fairParts(rates) {
		// A customer is not owed more than it asked for in this run.
		owed := min(part*seconds, float64(load.asked[name]))
		worst = min(worst, float64(load.served[name])/owed)
	}
	return worst
}

func (load *customerLoad) use() float64 {
	served := 0
	for _, count := range load.served {
		served += count
	}
	return float64(served) / (customerCapacity * (customerRunTime - customerWarmUp).Seconds())
}

// unevenCustomers are 78 customers of which the largest ask for most, as in the users' sheet.
func unevenCustomers(total float64) map[request.CustomerName]float64 {
	rates, weights := map[request.CustomerName]float64{}, 0.0
	for index := range 78 {
		weights += 1 / float64(index+1)
	}
	for index := range 78 {
		rates[request.CustomerName(fmt.Sprintf("customer-%02d", index))] = total / float64(index+1) / weights
	}
	return rates
}

// The patterns are a customer that asks for far more than the target has, beside small ones,
// and many customers of uneven size that together ask for too much. With shares by demand
// each gets most of what max-min fairness owes it, and the target stays full.
func TestCustomersGetTheirShares(t *testing.T) {
	loads := map[string]map[request.CustomerName]float64{
		"one asks for twice the capacity":  {"large": 2 * customerCapacity, "small-1": 20, "small-2": 20},
		"one asks for four times of it":    {"large": 4 * customerCapacity, "small-1": 20, "small-2": 20},
		"78 customers of uneven size":      unevenCustomers(1.5 * customerCapacity),
		"78 customers within the capacity": unevenCustomers(0.7 * customerCapacity),
	}
	for name, rates := range loads {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			standing, byPlaces, byDemand := newCustomerLoad(), newCustomerLoad(), newCustomerLoad()
			byPlaces.shareByPlaces()
			byDemand.shareByDemand()
			for _, load := range []*customerLoad{standing, byPlaces, byDemand} {
				load.run(rates)
			}
			t.Logf("worst part of the fair one, use of the target: %.2f, %.2f not told apart; %.2f, %.2f by places; %.2f, %.2f by demand",
				standing.worstPart(rates), standing.use(), byPlaces.worstPart(rates), byPlaces.use(), byDemand.worstPart(rates), byDemand.use())
			g.Expect(byDemand.worstPart(rates)).To(gomega.BeNumerically(">", 0.8))
			g.Expect(byDemand.use()).To(gomega.BeNumerically(">", standing.use()-0.03))
		})
	}
}
