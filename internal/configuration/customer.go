package configuration

import (
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	maxCustomerNameBytes = 255
	maxCustomerKeyBytes  = 255
	maxCustomerRate      = 1e9
	maxPriorityLevels    = 255
)

// CustomerKey is the secret by which a call proves for which customer it is made.
type CustomerKey string

// String hides the key, so that formatting a document does not print it.
func (CustomerKey) String() string { return "(hidden)" }

// GoString hides the key like String.
func (CustomerKey) GoString() string { return "(hidden)" }

// Customer is a customer on whose behalf callers send requests.
type Customer struct {
	// Keys are the keys that callers may use. A customer without any cannot call.
	Keys []CustomerKey `json:"keys"`
	// Importance goes before the importance of the route or kind; empty means the least
	// important of those that customers have.
	Importance string `json:"importance,omitempty"`
	// Rate is the number of requests per second that all nodes together admit, and Burst
	// how many more may come at once. A zero rate means no limit.
	Rate  request.Rate `json:"rate,omitempty"`
	Burst float64      `json:"burst,omitempty"`
}

func (checker *documentChecker) checkCustomers() {
	owners := make(map[CustomerKey]request.CustomerName)
	for _, name := range sortedKeys(checker.document.Customers) {
		customer := checker.document.Customers[name]
		field := "customers." + string(name)
		if name == "" || len(name) > maxCustomerNameBytes || !isHeaderValue(string(name)) {
			checker.addFault(field, "use visible ASCII characters", "the name of a customer is empty, too long or not fit for a header")
		}
		if customer.Importance != "" && !slices.Contains(checker.document.Importances, customer.Importance) {
			checker.addFault(field+".importance", "use one of: "+strings.Join(checker.document.Importances, ", "), "the importance %q is not in the list of importances", customer.Importance)
		}
		checkRange(checker, field+".rate", customer.Rate, 0, maxCustomerRate)
		checkRange(checker, field+".burst", customer.Burst, 0, maxCustomerRate)
		checker.checkCustomerKeys(field+".keys", name, owners)
	}
	checker.checkPriorityLevels()
}

// checkCustomerKeys names customers in its faults, never a key.
func (checker *documentChecker) checkCustomerKeys(field string, name request.CustomerName, owners map[CustomerKey]request.CustomerName) {
	for _, key := range checker.document.Customers[name].Keys {
		if key == "" || len(key) > maxCustomerKeyBytes || !isHeaderValue(string(key)) {
			checker.addFault(field, "use visible ASCII characters", "a key is empty, too long or not fit for a header")
			continue
		}
		if owner, taken := owners[key]; taken && owner != name {
			checker.addFault(field, "give each customer keys of its own", "the customer %q has one of the keys as well", owner)
		}
		owners[key] = name
	}
}

// checkPriorityLevels bounds the combinations of the importances of customers and of
// routes, each of which is a level of its own.
func (checker *documentChecker) checkPriorityLevels() {
	ranks := compileCustomerRanks(checker.document)
	if levels := ranks.levels() * len(checker.document.Importances); levels > maxPriorityLevels {
		checker.addFault("customers", "use fewer importances", "%d combinations of importances of customers and routes; at most %d are allowed", levels, maxPriorityLevels)
	}
}

// isHeaderValue reports whether the text consists of visible ASCII characters without a
// space, so that it is the same after it was sent as a header.
func isHeaderValue(text string) bool {
	return !strings.ContainsFunc(text, func(char rune) bool { return char <= ' ' || char > '~' })
}

// customerRanks orders the importances that customers have.
type customerRanks struct {
	// rankByName has the rank of each importance that a customer has, from zero.
	rankByName map[string]request.Importance
	// routeLevels is the number of importances of routes and kinds.
	routeLevels request.Importance
}

func compileCustomerRanks(document *Document) customerRanks {
	ranks := customerRanks{rankByName: make(map[string]request.Importance), routeLevels: request.Importance(len(document.Importances))}
	used := make(map[string]bool)
	for _, customer := range document.Customers {
		used[customer.Importance] = true
	}
	for _, name := range document.Importances {
		if used[name] {
			ranks.rankByName[name] = request.Importance(len(ranks.rankByName))
		}
	}
	return ranks
}

// levels returns the number of ranks of customers, at least one.
func (ranks customerRanks) levels() int { return max(len(ranks.rankByName), 1) }

// combine returns the importance of a call: that of the customer first, then that of the
// route or kind.
func (ranks customerRanks) combine(customer, route request.Importance) request.Importance {
	return customer*ranks.routeLevels + route
}

// CompiledCustomer is a customer with the names of the document resolved.
type CompiledCustomer struct {
	Name  request.CustomerName
	Rate  request.Rate
	Burst float64

	rank request.Importance
}

// keyDigest is the SHA-256 of a key. Comparing digests takes the same time whatever part
// of a key was guessed.
type keyDigest [sha256.Size]byte

// customerTable finds customers by their keys.
type customerTable struct {
	ranks customerRanks
	byKey map[keyDigest]*CompiledCustomer
	// required says that calls need a key, even if no customer has one.
	required bool
}

func compileCustomers(document *Document) customerTable {
	table := customerTable{
		ranks:    compileCustomerRanks(document),
		byKey:    make(map[keyDigest]*CompiledCustomer),
		required: document.Customers != nil,
	}
	for name, customer := range document.Customers {
		compiled := &CompiledCustomer{Name: name, Rate: customer.Rate, Burst: customer.Burst, rank: table.ranks.rankByName[customer.Importance]}
		for _, key := range customer.Keys {
			table.byKey[digestOfKey(string(key))] = compiled
		}
	}
	return table
}

// digestOfKey hashes a key without allocating.
func digestOfKey(key string) keyDigest {
	buffer := [maxCustomerKeyBytes]byte{}
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// RequiresKeys reports whether calls need the key of a customer, unless their route or
// kind is public.
func (matcher *Matcher) RequiresKeys() bool { return matcher.customers.required }

// Customer returns the customer that has the key, or nil.
func (matcher *Matcher) Customer(key string) *CompiledCustomer {
	if len(key) > maxCustomerKeyBytes {
		return nil
	}
	return matcher.customers.byKey[digestOfKey(key)]
}

// Importance returns the importance of a call for a customer, which is nil for calls
// without one, such as those of targets. These belong to trees that have begun and have
// the highest importance that a customer has.
func (matcher *Matcher) Importance(kind *CompiledKind, customer *CompiledCustomer) request.Importance {
	ranks := matcher.customers.ranks
	rank := request.Importance(ranks.levels() - 1)
	if customer != nil {
		rank = customer.rank
	}
	return ranks.combine(rank, kind.Importance)
}

// InheritedImportance returns the importance of a call that is made for a request of the
// parent importance: that of its customer, and the higher one of its route and the kind.
func (matcher *Matcher) InheritedImportance(parent request.Importance, kind *CompiledKind) request.Importance {
	ranks := matcher.customers.ranks
	if ranks.routeLevels == 0 {
		return max(parent, kind.Importance)
	}
	// The parent's node may have a version with more levels in force.
	rank := min(parent/ranks.routeLevels, request.Importance(ranks.levels()-1))
	return ranks.combine(rank, max(parent%ranks.routeLevels, kind.Importance))
}

// ImportanceLevels returns the number of values of [Matcher.Importance].
func (matcher *Matcher) ImportanceLevels() int {
	return matcher.customers.ranks.levels() * int(matcher.customers.ranks.routeLevels)
}
