package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// fields are the values that the platform fills into a template of settings.
type fields map[string]any

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([a-z0-9.-]+)\}\}(.*?)\{\{/[a-z0-9.-]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)
)

// render fills the fields into a template. It supports what the templates of this
// project use: values, values as JSON, and sections that are not nested.
func render(template string, values fields) (string, error) {
	var failed error
	text := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		value, found := values.find(parts[2])
		present := found && value != false && value != nil
		if present == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	text = valuePattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		value, found := values.find(parts[1])
		if !found {
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			failed = err
		}
		return string(encoded)
	})
	return text, failed
}

// find returns the value at a path such as "internal-port-range.0".
func (values fields) find(path string) (any, bool) {
	var current any = values
	for name := range strings.SplitSeq(path, ".") {
		switch container := current.(type) {
		case fields:
			value, found := container[name]
			if !found {
				return nil, false
			}
			current = value
		case []int:
			index, err := strconv.Atoi(name)
			if err != nil || index >= len(container) {
				return nil, false
			}
			current = container[index]
		default:
			return nil, false
		}
	}
	return current, true
}
