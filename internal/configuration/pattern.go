package configuration

import (
	"errors"
	"fmt"
	"strings"
)

// segment is one part of a path between two slashes.
type segment struct {
	literal  string
	wildcard bool
}

type pattern []segment

func parsePattern(text string) (pattern, error) {
	if !strings.HasPrefix(text, "/") {
		return nil, fmt.Errorf("the path %q does not start with a slash", text)
	}
	if strings.ContainsAny(text, "?#% ") {
		return nil, fmt.Errorf("the path %q holds one of the characters ?, #, %% or a space", text)
	}
	words := strings.Split(text[1:], "/")
	parsed := make(pattern, len(words))
	for i, word := range words {
		if word == "" && len(words) > 1 {
			return nil, fmt.Errorf("the path %q has an empty part", text)
		}
		part, err := parseSegment(word)
		if err != nil {
			return nil, err
		}
		parsed[i] = part
	}
	return parsed, nil
}

func parseSegment(word string) (segment, error) {
	if !strings.ContainsAny(word, "{}") {
		return segment{literal: word}, nil
	}
	name, opened := strings.CutPrefix(word, "{")
	name, closed := strings.CutSuffix(name, "}")
	if !opened || !closed || name == "" || strings.ContainsAny(name, "{}") {
		return segment{}, errors.New("the path part " + word + " is neither plain text nor one name in braces")
	}
	return segment{wildcard: true}, nil
}

func patternsOverlap(left, right string) bool {
	leftParts, leftErr := parsePattern(left)
	rightParts, rightErr := parsePattern(right)
	if leftErr != nil || rightErr != nil || len(leftParts) != len(rightParts) {
		return false
	}
	for i, part := range leftParts {
		if !part.wildcard && !rightParts[i].wildcard && part.literal != rightParts[i].literal {
			return false
		}
	}
	return true
}

// matches reports whether a path, without its query, fits the pattern.
func (p pattern) matches(path string) bool {
	for i, part := range p {
		if path == "" || path[0] != '/' {
			return false
		}
		path = path[1:]
		end := strings.IndexByte(path, '/')
		if end < 0 {
			end = len(path)
		}
		word := path[:end]
		if part.wildcard && word == "" || !part.wildcard && part.literal != word {
			return false
		}
		path = path[end:]
		if i == len(p)-1 {
			return path == ""
		}
	}
	return false
}
