package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// render fills in a settings template in the way that the page on deployment describes.
func render(template string, fields map[string]any) (string, error) {
	return renderIn(template, []any{fields})
}

func renderIn(template string, scopes []any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("unclosed placeholder %q", rest)
		}
		template = after
		if tag[0] != '#' && tag[0] != '^' {
			out.WriteString(formatValue(lookUp(tag, scopes)))
			continue
		}
		end := "{{/" + tag[1:] + "}}"
		section, after, found := strings.Cut(template, end)
		if !found {
			return "", fmt.Errorf("section %s has no end", tag)
		}
		template = strings.TrimPrefix(after, "\n")
		section = strings.TrimPrefix(section, "\n")
		value := lookUp(tag[1:], scopes)
		if isSet(value) != (tag[0] == '#') {
			continue
		}
		text, err := renderIn(section, append(scopes[:len(scopes):len(scopes)], value))
		if err != nil {
			return "", err
		}
		out.WriteString(text)
	}
}

// lookUp returns the value of a placeholder such as a, a.b, a.0 or a dot.
func lookUp(path string, scopes []any) any {
	if path == "." {
		return scopes[len(scopes)-1]
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		value := scopes[i]
		for _, part := range strings.Split(path, ".") {
			value = member(value, part)
		}
		if value != nil {
			return value
		}
	}
	return nil
}

func member(value any, name string) any {
	switch v := value.(type) {
	case map[string]any:
		return v[name]
	case []string:
		if i, err := strconv.Atoi(name); err == nil && i < len(v) {
			return v[i]
		}
	}
	return nil
}

func isSet(value any) bool { return value != nil && value != false && value != "" }

func formatValue(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case []string:
		return strings.Join(v, ",")
	case map[string]any:
		text, _ := json.Marshal(v)
		return string(text)
	}
	return fmt.Sprint(value)
}
