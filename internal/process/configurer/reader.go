package configurer

import (
	"fmt"

	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// reader reads the keys of one section and collects all faults.
type reader struct {
	file    string
	section *parser.Section
	known   []string
	errs    parser.Errors
}

func (r *reader) fail(line int, key, message string) {
	r.errs = append(r.errs, parser.NewError(r.file, line, key, message))
}

// failKey reports a fault of a key, or of the section where the key is not set.
func (r *reader) failKey(key, message string) {
	line := r.section.Line()
	if k := r.section.Key(key); k != nil {
		line = k.Line()
	}
	r.fail(line, key, message)
}

// err returns all faults, among them the keys that nobody asked for.
func (r *reader) err() error {
	if r.section != nil {
		r.checkKnown()
	}
	if len(r.errs) == 0 {
		return nil
	}
	return fmt.Errorf("check settings: %w", r.errs)
}

func (r *reader) checkKnown() {
	known := make(map[string]bool, len(r.known))
	for _, name := range r.known {
		known[name] = true
	}
	for _, key := range r.section.Keys() {
		if !known[key.Name()] {
			r.fail(key.Line(), key.Name(), parser.Unknown("key", key.Name(), r.known))
		}
	}
}

// required reads a key that must be set.
func required[T any](r *reader, key string, parse func(string) (T, error)) T {
	if r.section.Key(key) == nil {
		r.failKey(key, "the key is missing")
	}
	var zero T
	return optional(r, key, zero, parse)
}

// optional reads a key, or returns fallback if it is not set.
func optional[T any](r *reader, key string, fallback T, parse func(string) (T, error)) T {
	r.known = append(r.known, key)
	k := r.section.Key(key)
	if k == nil {
		return fallback
	}
	value, err := parse(k.Value())
	if err != nil {
		r.fail(k.Line(), key, err.Error())
		return fallback
	}
	return value
}
