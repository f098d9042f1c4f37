package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([A-Za-z.]+)\}\}\n?(.*?)\{\{/([A-Za-z.]+)\}\}\n?`)
	fieldPattern   = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)
)

// renderTemplate fills in a template of the deploy file. The fields are flat: "Limits.MemoryMb".
// An empty value counts as none.
func renderTemplate(path string, fields map[string]string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read template: %w", err)
	}
	text := sectionPattern.ReplaceAllStringFunc(string(data), func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		present := fields[parts[2]] != "" && fields[parts[2]] != "false"
		if present != (parts[1] == "#") {
			return ""
		}
		return strings.ReplaceAll(parts[3], "{{.}}", fields[parts[2]])
	})
	return fieldPattern.ReplaceAllStringFunc(text, func(field string) string {
		return fields[strings.Trim(field, "{}")]
	}), nil
}
