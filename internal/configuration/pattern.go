package configuration

import (
	"errors"
	"fmt"
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

// patternsOverlap reports whether some path matches both patterns.
func patternsOverlap(left, right string) bool {
	leftSegments, leftErr := parsePathPattern(left)
	rightSegments, rightErr := parsePathPattern(right)
	if leftErr != nil || rightErr != nil || len(leftSegments) != len(rightSegments) {
		return false
	}
	for i, segment := range leftSegments {
		if !segment.wildcard && !rightSegments[i].wildcard && segment.literal != rightSegments[i].literal {
			return false
		}
	}
	return true
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
