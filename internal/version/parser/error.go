package parser

import (
	"fmt"
	"strconv"
	"strings"
)

// Error is one error in a file, with its position.
type Error struct {
	file    string
	line    int
	key     string
	message string
}

// NewError returns an error at a key of a line, counted from 1. The key is empty
// if the error concerns the whole line, and the line is 0 if it concerns the
// whole file.
func NewError(file string, line int, key, message string) *Error {
	return &Error{file: file, line: line, key: key, message: message}
}

// Error returns "file:line: key: message".
func (e *Error) Error() string {
	s := e.file
	if e.line > 0 {
		s += ":" + itoa(e.line)
	}
	if e.key != "" {
		s += ": " + e.key
	}
	return s + ": " + e.message
}

// File returns the name of the file.
func (e *Error) File() string { return e.file }

// Line returns the number of the line, from 1, or 0 for the whole file.
func (e *Error) Line() int { return e.line }

// Key returns the name of the key or the section header; empty for a whole line
// or file.
func (e *Error) Key() string { return e.key }

// Message returns the description of the error, without its position.
func (e *Error) Message() string { return e.message }

// Errors lists all errors in one or more files.
type Errors []*Error

// Error returns one error per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors, so that errors.As finds the first.
func (e Errors) Unwrap() []error {
	list := make([]error, len(e))
	for i, one := range e {
		list[i] = one
	}
	return list
}

// UnknownMessage returns the error message for a name that is not among the valid
// ones. It states the kind of name and suggests the nearest valid one.
func UnknownMessage(kind, name string, valid []string) string {
	nearest := Nearest(name, valid)
	if nearest == "" {
		return fmt.Sprintf("unknown %s", kind)
	}
	return fmt.Sprintf("unknown %s (nearest valid %s: %s)", kind, kind, nearest)
}

// Nearest returns the valid name with the smallest edit distance to name. It
// returns the first of several, or "" if valid is empty.
func Nearest(name string, valid []string) string {
	nearest, minDistance := "", -1
	for _, candidate := range valid {
		if d := editDistance(name, candidate); minDistance < 0 || d < minDistance {
			nearest, minDistance = candidate, d
		}
	}
	return nearest
}

// editDistance returns the Levenshtein distance between a and b, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}

func itoa(n int) string { return strconv.Itoa(n) }
