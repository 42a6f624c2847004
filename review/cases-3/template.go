package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{([#^])([\w.\-]+)\}\}(.*?)\{\{/[\w.\-]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([\w.\-]+)(\|json)?\}\}`)
)

// fill fills in a template of settings as the platform does, as far as the templates of
// deploy/ need it.
func fill(template string, fields map[string]any) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		value := lookUp(fields, parts[2])
		present := value != nil && value != false
		if present == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	return placeholderPattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		parts := placeholderPattern.FindStringSubmatch(placeholder)
		value := lookUp(fields, parts[1])
		if parts[2] != "" {
			encoded, err := json.Marshal(value)
			if err != nil {
				panic(err)
			}
			return string(encoded)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func lookUp(value any, path string) any {
	for name := range strings.SplitSeq(path, ".") {
		switch holder := value.(type) {
		case map[string]any:
			value = holder[name]
		case []int:
			index, err := strconv.Atoi(name)
			if err != nil || index >= len(holder) {
				return nil
			}
			value = holder[index]
		default:
			return nil
		}
	}
	return value
}
