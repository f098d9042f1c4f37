package parser

import (
	"cmp"
	"slices"
)

// Reader reads the keys of one section and collects all errors. Keys are read with
// Required and Optional.
type Reader struct {
	file      string
	section   *Section
	requested []string
	errs      Errors
}

// NewReader returns a reader of a section. The name of the file is used in errors.
func NewReader(file string, section *Section) *Reader {
	return &Reader{file: file, section: section}
}

// Errors returns all errors, sorted by line. Keys that were not requested with
// Required or Optional are reported as unknown.
func (r *Reader) Errors() Errors {
	requested := make(map[string]bool, len(r.requested))
	for _, name := range r.requested {
		requested[name] = true
	}
	errs := slices.Clone(r.errs)
	for _, key := range r.section.Keys() {
		if !requested[key.Name()] {
			errs = append(errs, NewError(r.file, key.Line(), key.Name(), UnknownMessage("key", key.Name(), r.requested)))
		}
	}
	slices.SortStableFunc(errs, func(a, b *Error) int { return cmp.Compare(a.line, b.line) })
	return errs
}

// AddError adds an error at any line of the file.
func (r *Reader) AddError(line int, key, message string) {
	r.errs = append(r.errs, NewError(r.file, line, key, message))
}

// AddKeyError adds an error at a key, or at the section header if the key is not set.
func (r *Reader) AddKeyError(key, message string) {
	line := r.section.Line()
	if k := r.section.Key(key); k != nil {
		line = k.Line()
	}
	r.AddError(line, key, message)
}

// AddSectionError adds an error at the section header. The keys of the section are no
// longer reported as unknown.
func (r *Reader) AddSectionError(message string) {
	r.AddError(r.section.Line(), r.section.Name(), message)
	for _, key := range r.section.Keys() {
		r.requested = append(r.requested, key.Name())
	}
}

// Required returns the parsed value of a key, and adds an error if the key is not
// set or its value is invalid.
func Required[T any](r *Reader, key string, parse func(string) (T, error)) T {
	if r.section.Key(key) == nil {
		r.AddKeyError(key, "the key is missing")
	}
	var zero T
	return Optional(r, key, zero, parse)
}

// Optional returns the parsed value of a key, or fallback if the key is not set. It
// also returns fallback, and adds an error, if the value is invalid.
func Optional[T any](r *Reader, key string, fallback T, parse func(string) (T, error)) T {
	r.requested = append(r.requested, key)
	k := r.section.Key(key)
	if k == nil {
		return fallback
	}
	value, err := parse(k.Value())
	if err != nil {
		r.AddKeyError(key, err.Error())
		return fallback
	}
	return value
}
