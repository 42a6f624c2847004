package configuration

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// pathSegment is one part of a path between two slashes; a wildcard matches any
// text that is not empty.
type pathSegment struct {
	literal  string
	wildcard bool
}

// pathPattern is a parsed path such as "/visits/{id}/checklist".
type pathPattern []pathSegment

func parsePathPattern(text string) (pathPattern, error) {
	if !strings.HasPrefix(text, "/") {
		return nil, fmt.Errorf("the path %q does not start with a slash", text)
	}
	if strings.ContainsAny(text, "?#% ") {
		return nil, fmt.Errorf("the path %q contains one of the characters ?, #, %% or a space", text)
	}
	words := strings.Split(text[1:], "/")
	parsed := make(pathPattern, len(words))
	for i, word := range words {
		if word == "" && len(words) > 1 {
			return nil, fmt.Errorf("the path %q has an empty segment", text)
		}
		segment, err := parseSegment(word)
		if err != nil {
			return nil, err
		}
		parsed[i] = segment
	}
	return parsed, nil
}

func parseSegment(word string) (pathSegment, error) {
	if !strings.ContainsAny(word, "{}") {
		return pathSegment{literal: word}, nil
	}
	name, opened := strings.CutPrefix(word, "{")
	name, closed := strings.CutSuffix(name, "}")
	if !opened || !closed || name == "" || strings.ContainsAny(name, "{}") {
		return pathSegment{}, errors.New("the path segment " + word + " is neither plain text nor a name in braces")
	}
	return pathSegment{wildcard: true}, nil
}

// patternIndex holds patterns by their segments, so that a pattern is compared only with
// those whose first segments overlap its own.
type patternIndex struct {
	literals map[string]*patternIndex
	wildcard *patternIndex
	// names are those of the patterns that end here.
	names []string
}

func (index *patternIndex) add(pattern pathPattern, name string) {
	for _, segment := range pattern {
		index = index.child(segment)
	}
	index.names = append(index.names, name)
}

// child returns the index of what follows a segment, which it creates if it is missing.
func (index *patternIndex) child(segment pathSegment) *patternIndex {
	if segment.wildcard {
		if index.wildcard == nil {
			index.wildcard = &patternIndex{}
		}
		return index.wildcard
	}
	if index.literals[segment.literal] == nil {
		if index.literals == nil {
			index.literals = make(map[string]*patternIndex)
		}
		index.literals[segment.literal] = &patternIndex{}
	}
	return index.literals[segment.literal]
}

// overlapping returns the names of the patterns that match some path that this one matches
// as well, in no order.
func (index *patternIndex) overlapping(pattern pathPattern) []string {
	if index == nil {
		return nil
	}
	if len(pattern) == 0 {
		return index.names
	}
	names := slices.Clone(index.wildcard.overlapping(pattern[1:]))
	if !pattern[0].wildcard {
		return append(names, index.literals[pattern[0].literal].overlapping(pattern[1:])...)
	}
	for _, child := range index.literals {
		names = append(names, child.overlapping(pattern[1:])...)
	}
	return names
}

// kindIndex holds the kinds of a service by their methods and paths. Kinds whose paths cannot
// be read are left out.
type kindIndex map[string]*patternIndex

func (index kindIndex) add(name string, kind Kind) {
	pattern, err := parsePathPattern(kind.Path)
	if err != nil {
		return
	}
	if index[kind.Method] == nil {
		index[kind.Method] = &patternIndex{}
	}
	index[kind.Method].add(pattern, name)
}

// overlapping returns the names of the kinds that match some request that this one matches as
// well, in their order.
func (index kindIndex) overlapping(kind Kind) []string {
	pattern, err := parsePathPattern(kind.Path)
	if err != nil {
		return nil
	}
	names := index[kind.Method].overlapping(pattern)
	slices.Sort(names)
	return names
}

// matches reports whether a path without its query matches the pattern. It does
// not allocate.
func (pattern pathPattern) matches(path string) bool {
	for i, segment := range pattern {
		if path == "" || path[0] != '/' {
			return false
		}
		path = path[1:]
		end := strings.IndexByte(path, '/')
		if end < 0 {
			end = len(path)
		}
		word := path[:end]
		if segment.wildcard && word == "" || !segment.wildcard && segment.literal != word {
			return false
		}
		path = path[end:]
		if i == len(pattern)-1 {
			return path == ""
		}
	}
	return false
}
