package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// The platform fills in the templates of settings files and of environment variables as its page on the deploy
// file says. Only what the deploy file uses is implemented: values, values as JSON, and sections.

var (
	sectionPattern = regexp.MustCompile(`\{\{([#^])([^{}]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([^#^/{}][^{}]*)\}\}`)
)

// fill returns a template with its placeholders replaced by values of fields.
func fill(template string, fields map[string]any) (string, error) {
	for {
		at := sectionPattern.FindStringSubmatchIndex(template)
		if at == nil {
			break
		}
		kind, name := template[at[2]:at[3]], template[at[4]:at[5]]
		end := "{{/" + name + "}}"
		length := strings.Index(template[at[1]:], end)
		if length < 0 {
			return "", fmt.Errorf("section %s has no end", name)
		}
		inner := template[at[1] : at[1]+length]
		if present(lookup(fields, name)) != (kind == "#") {
			inner = ""
		}
		template = template[:at[0]] + inner + template[at[1]+length+len(end):]
	}
	var failure error
	filled := valuePattern.ReplaceAllStringFunc(template, func(placeholder string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(placeholder, "{}"), "|json")
		value := lookup(fields, name)
		if asJSON {
			text, err := json.Marshal(value)
			if err != nil {
				failure = err
			}
			return string(text)
		}
		return plain(value)
	})
	return filled, failure
}

// lookup returns the value of a name such as a.b or a.0, nil if there is none.
func lookup(fields map[string]any, name string) any {
	var value any = fields
	for part := range strings.SplitSeq(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

func present(value any) bool { return value != nil && value != false }

func plain(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		parts := make([]string, len(v))
		for i, element := range v {
			parts[i] = plain(element)
		}
		return strings.Join(parts, ",")
	case map[string]any:
		text, _ := json.Marshal(v)
		return string(text)
	}
	return fmt.Sprint(value)
}
