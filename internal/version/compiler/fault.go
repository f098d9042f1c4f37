package compiler

import (
	"slices"

	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// fault is what is wrong with one entry, section or layer.
type fault struct {
	id      entryID
	message string
}

// position is where an entry or the header of a section stands.
type position struct {
	file string
	line int
}

// faultsError returns the faults in canonical order, with their places in
// files where these are known, or nil if there are none.
func faultsError(faults []fault, positions map[entryID]position) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return compareIDs(a.id, b.id) })
	var errs parser.Errors
	for _, f := range faults {
		key := f.id.key
		if key == "" {
			key = f.id.section
		}
		if at, known := positions[f.id]; known {
			errs = append(errs, parser.NewError(at.file, at.line, key, f.message))
			continue
		}
		errs = append(errs, parser.NewError(describe(f.id), 0, f.id.key, f.message))
	}
	if positions != nil {
		slices.SortStableFunc(errs, compareErrors)
	}
	return errs
}

// describe names the layer and section of an entry where no file is known.
func describe(id entryID) string {
	s := "base"
	if id.layer != baseLayer {
		s = "site " + id.layer
	}
	if id.section != "" {
		s += " [" + id.section + "]"
	}
	return s
}
