package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// checkCycles reports cycles in the call graph of the services. In a cycle the
// depth of the calls is unbounded, and so is the work caused by one root request.
func (checker *documentChecker) checkCycles() {
	search := cycleSearch{checker: checker, visited: make(map[request.ServiceName]bool)}
	for _, name := range sortedKeys(checker.document.Services) {
		search.visit(name)
	}
}

// cycleSearch is a depth-first search of the call graph; path holds the services
// from the start of the search to the current one.
type cycleSearch struct {
	checker *documentChecker
	visited map[request.ServiceName]bool
	path    []request.ServiceName
}

func (search *cycleSearch) visit(name request.ServiceName) {
	if search.visited[name] {
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
	search.visited[name] = true
}

func (search *cycleSearch) report(field string, cycle []request.ServiceName) {
	names := make([]string, len(cycle))
	for i, name := range cycle {
		names[i] = string(name)
	}
	search.checker.addFault(field, "remove one of the calls", "the services call each other in a cycle: %s", strings.Join(names, " -> "))
}
