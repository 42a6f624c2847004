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

func (s *cycleSearch) visit(name request.ServiceName) {
	if s.done[name] {
		return
	}
	s.path = append(s.path, name)
	for i, callee := range s.checker.document.Services[name].Calls {
		start := slices.Index(s.path, callee)
		if start < 0 {
			s.visit(callee)
			continue
		}
		s.report(fmt.Sprintf("services.%s.calls[%d]", name, i), append(slices.Clone(s.path[start:]), callee))
	}
	s.path = s.path[:len(s.path)-1]
	s.done[name] = true
}

func (s *cycleSearch) report(field string, cycle []request.ServiceName) {
	words := make([]string, len(cycle))
	for i, name := range cycle {
		words[i] = string(name)
	}
	s.checker.fault(field, "take one of the calls off its list", "the services call each other in a cycle: %s", strings.Join(words, " -> "))
}
