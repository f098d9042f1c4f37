package compiler

import (
	"slices"

	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// violation describes an invalid entry, section or layer of a document.
type violation struct {
	id      entryID
	message string
}

// position is the file and line of an entry or section header.
type position struct {
	file string
	line int
}

// toParserErrors converts violations into parser.Errors, or nil if there are none.
// An error names the file and line if positions has them, and else the layer and
// section. Errors are sorted by file and line, or without positions in canonical
// order.
func toParserErrors(violations []violation, positions map[entryID]position) error {
	if len(violations) == 0 {
		return nil
	}
	slices.SortStableFunc(violations, func(a, b violation) int { return compareIDs(a.id, b.id) })
	var errs parser.Errors
	for _, v := range violations {
		key := v.id.key
		if key == "" {
			key = v.id.section
		}
		if pos, known := positions[v.id]; known {
			errs = append(errs, parser.NewError(pos.file, pos.line, key, v.message))
			continue
		}
		errs = append(errs, parser.NewError(describeLocation(v.id), 0, v.id.key, v.message))
	}
	if positions != nil {
		slices.SortStableFunc(errs, compareErrors)
	}
	return errs
}

// describeLocation names the layer and section of an entry, for messages without a
// file.
func describeLocation(id entryID) string {
	s := "base"
	if id.layer != baseLayer {
		s = "site " + id.layer
	}
	if id.section != "" {
		s += " [" + id.section + "]"
	}
	return s
}
