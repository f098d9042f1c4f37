package parser

import (
	"cmp"
	"slices"
)

// Reader reads the keys of one section and collects all faults.
type Reader struct {
	file    string
	section *Section
	known   []string
	errs    Errors
}

// NewReader returns a reader of the given section of the named file.
func NewReader(file string, section *Section) *Reader {
	return &Reader{file: file, section: section}
}

// Errors returns all faults by their lines, among them the keys that nobody
// asked for.
func (r *Reader) Errors() Errors {
	known := make(map[string]bool, len(r.known))
	for _, name := range r.known {
		known[name] = true
	}
	errs := slices.Clone(r.errs)
	for _, key := range r.section.Keys() {
		if !known[key.Name()] {
			errs = append(errs, NewError(r.file, key.Line(), key.Name(), Unknown("key", key.Name(), r.known)))
		}
	}
	slices.SortStableFunc(errs, func(a, b *Error) int { return cmp.Compare(a.line, b.line) })
	return errs
}

// Fail reports a fault elsewhere in the file.
func (r *Reader) Fail(line int, key, message string) {
	r.errs = append(r.errs, NewError(r.file, line, key, message))
}

// FailKey reports a fault of a key, or of the section where the key is not set.
func (r *Reader) FailKey(key, message string) {
	line := r.section.Line()
	if k := r.section.Key(key); k != nil {
		line = k.Line()
	}
	r.Fail(line, key, message)
}

// FailSection reports a fault of the section as a whole. Its keys are not
// reported any more.
func (r *Reader) FailSection(message string) {
	r.Fail(r.section.Line(), r.section.Name(), message)
	for _, key := range r.section.Keys() {
		r.known = append(r.known, key.Name())
	}
}

// Required reads a key that must be set.
func Required[T any](r *Reader, key string, parse func(string) (T, error)) T {
	if r.section.Key(key) == nil {
		r.FailKey(key, "the key is missing")
	}
	var zero T
	return Optional(r, key, zero, parse)
}

// Optional reads a key, or returns fallback if it is not set.
func Optional[T any](r *Reader, key string, fallback T, parse func(string) (T, error)) T {
	r.known = append(r.known, key)
	k := r.section.Key(key)
	if k == nil {
		return fallback
	}
	value, err := parse(k.Value())
	if err != nil {
		r.FailKey(key, err.Error())
		return fallback
	}
	return value
}
