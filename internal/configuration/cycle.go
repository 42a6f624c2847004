package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// cycles finds services that call themselves through others: the depth of such
// calls has no bound, and neither has the work behind one root request.
func (c *checker) cycles() {
	search := cycleSearch{checker: c, done: make(map[request.ServiceName]bool)}
	for _, name := range sortedNames(c.document.Services) {
		search.visit(name)
	}
}

type cycleSearch struct {
	checker *checker
	done    map[request.ServiceName]bool
	path    []request.ServiceName
}

func (search *cycleSearch) visit(name request.ServiceName) {
	if search.done[name] {
		return
	}
	search.path = append(search.path, name)
	for i, callee := range search.checker.document.Services[name].Calls {
		start := slices.Index(search.path, callee)
		if start < 0 {
			search.visit(callee)
			continue
		}
		search.report(fmt.Sprintf("services.%s.calls[%d]", name, i), append(slices.Clone(search.path[start:]), callee))
	}
	search.path = search.path[:len(search.path)-1]
	search.done[name] = true
}

func (search *cycleSearch) report(field string, cycle []request.ServiceName) {
	words := make([]string, len(cycle))
	for i, name := range cycle {
		words[i] = string(name)
	}
	search.checker.fault(field, "take one of the calls off its list", "the services call each other in a cycle: %s", strings.Join(words, " -> "))
}
