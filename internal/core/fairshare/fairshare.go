// Package fairshare divides the rate of a target among the customers that ask for more
// than it has.
//
// The division is max-min fair (Bertsekas and Gallager, Data Networks, 6.5.2): a customer
// that asks for no more than its part gets all of it, and what it leaves goes to the others.
// Customers may have weights. Each importance is divided by itself, after what those above
// it ask for.
//
// The demand of a customer is estimated from its recent requests. Which of its requests lie
// within its share, and how far others lie over it, follows from their buckets, so that all
// calls of a request tree are treated alike, at each service. What the division leaves goes
// to the requests that lie over their shares by least, so that it is fair as well.
//
// # Usage
//
//	shares := &fairshare.Shares{}
//	excess := shares.Record(fairshare.Request{Customer: "salto", Weight: 1, Priority: priority})
//	shares.Divide(now, callsPerSecond) // about ten times a second
//
// A [Shares] is not safe for concurrent use, and reads no clock.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// demandTimeConstant is the time constant of the estimates of demand.
	demandTimeConstant = time.Second
	// GuaranteedPart is the part of the rate of a target that is to be divided. If all of it
	// were, the requests within the shares would queue up as the others do.
	GuaranteedPart = 0.9
	// excessSteps is the number of steps of [request.Excess] for each doubling.
	excessSteps = 4
	// forgottenDemand is the demand, in requests per second, below which a customer is
	// forgotten.
	forgottenDemand = 0.01
	// maxCustomers bounds the customers of one importance that are known. Those that come
	// when it is reached count as within their share until others are forgotten.
	maxCustomers = 4096
)

// Weight is the part of a customer relative to others; zero counts as one.
type Weight float64

// Request is a request for the target.
type Request struct {
	Customer request.CustomerName
	Weight   Weight
	Priority request.Priority
}

// Shares tracks the demand of customers and their shares. The zero value is ready for use.
type Shares struct {
	// levels is indexed by importance.
	levels    []level
	dividedAt time.Time
}

// level holds the customers of one importance.
type level struct {
	customers map[request.CustomerName]*customer
	// unnamed is the demand of requests without a customer, which have no share.
	unnamed demand
}

type customer struct {
	name   request.CustomerName
	demand demand
	weight Weight
	// share is the part of the customer's requests that lies within its share.
	share float64
}

// demand estimates a rate by an average that forgets.
type demand struct {
	perSecond float64
	// arrived counts the requests since the last division.
	arrived float64
}

// close adds the requests of an interval.
func (demand *demand) close(interval time.Duration) {
	if interval <= 0 {
		return
	}
	keep := math.Exp(-interval.Seconds() / demandTimeConstant.Seconds())
	demand.perSecond = demand.perSecond*keep + demand.arrived/interval.Seconds()*(1-keep)
	demand.arrived = 0
}

// Record counts a request and returns how far it lies over the share of its customer. A
// request without a customer never does.
func (shares *Shares) Record(asked Request) request.Excess {
	importance := int(asked.Priority.Importance())
	if asked.Customer == "" && importance >= len(shares.levels) {
		// Nothing is kept where no customers are in use.
		return 0
	}
	for len(shares.levels) <= importance {
		shares.levels = append(shares.levels, level{customers: make(map[request.CustomerName]*customer)})
	}
	at := &shares.levels[importance]
	if asked.Customer == "" {
		at.unnamed.arrived++
		return 0
	}
	known := at.customers[asked.Customer]
	if known == nil {
		if len(at.customers) >= maxCustomers {
			return 0
		}
		known = &customer{name: asked.Customer, share: 1}
		at.customers[asked.Customer] = known
	}
	known.weight = asked.Weight
	known.demand.arrived++
	return known.excess(asked.Priority.Bucket())
}

// excess places a request by its bucket among all that its customer asks for, of which high
// buckets come first, in units of the share.
func (known *customer) excess(bucket request.Bucket) request.Excess {
	if known.share <= 0 {
		return request.MaxExcess
	}
	place := float64(request.BucketCount-1-bucket) / request.BucketCount / known.share
	if place <= 1 {
		return 0
	}
	return request.Excess(min(math.Ceil(math.Log2(place)*excessSteps), float64(request.MaxExcess)))
}

// DividedAt is when the shares were last divided.
func (shares *Shares) DividedAt() time.Time { return shares.dividedAt }

// Divide closes an interval and divides a rate of requests per second among the customers.
// A rate of zero is unknown and leaves each customer all that it asks for.
func (shares *Shares) Divide(now time.Time, perSecond float64) {
	interval := now.Sub(shares.dividedAt)
	first := shares.dividedAt.IsZero()
	shares.dividedAt = now
	if first {
		return
	}
	left := perSecond
	if perSecond <= 0 {
		left = math.Inf(1)
	}
	for index := len(shares.levels) - 1; index >= 0; index-- {
		left = shares.levels[index].divide(interval, left)
	}
}

// divide sets the shares of one importance, and returns the rate that it leaves.
func (level *level) divide(interval time.Duration, rate float64) float64 {
	level.unnamed.close(interval)
	rate = max(rate-level.unnamed.perSecond, 0)
	asking := make([]*customer, 0, len(level.customers))
	for name, known := range level.customers {
		known.demand.close(interval)
		if known.demand.perSecond < forgottenDemand {
			delete(level.customers, name)
			continue
		}
		asking = append(asking, known)
	}
	// Those that ask for least for their weight are satisfied first.
	slices.SortFunc(asking, func(one, other *customer) int {
		return cmp.Or(cmp.Compare(one.demandForWeight(), other.demandForWeight()), cmp.Compare(one.name, other.name))
	})
	weights := 0.0
	for _, known := range asking {
		weights += known.weightOrOne()
	}
	for _, known := range asking {
		part := rate * known.weightOrOne() / weights
		demand := known.demand.perSecond
		known.share = min(part/demand, 1)
		rate -= min(part, demand)
		weights -= known.weightOrOne()
	}
	return rate
}

func (known *customer) weightOrOne() float64 { return cmp.Or(float64(known.weight), 1) }

func (known *customer) demandForWeight() float64 {
	return known.demand.perSecond / known.weightOrOne()
}
