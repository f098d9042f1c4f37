package parser

import (
	"fmt"
	"strconv"
	"strings"
)

// Error is one fault of a file.
type Error struct {
	file    string
	line    int
	key     string
	message string
}

// NewError returns the fault of the given file, line from 1 and key. The key
// is empty if the fault concerns the whole line, and the line 0 if it concerns
// the whole file.
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

// Key returns the name of the key, the header, or nothing.
func (e *Error) Key() string { return e.key }

// Message returns what is wrong.
func (e *Error) Message() string { return e.message }

// Errors lists all faults of one or more files.
type Errors []*Error

// Error returns one fault per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.As finds the first.
func (e Errors) Unwrap() []error {
	list := make([]error, len(e))
	for i, one := range e {
		list[i] = one
	}
	return list
}

// Unknown returns the message for a name that is not among the valid ones:
// what kind of name it is, and the nearest valid one.
func Unknown(kind, name string, valid []string) string {
	nearest := Nearest(name, valid)
	if nearest == "" {
		return fmt.Sprintf("unknown %s", kind)
	}
	return fmt.Sprintf("unknown %s (nearest valid %s: %s)", kind, kind, nearest)
}

// Nearest returns the valid name with the smallest edit distance to name, the
// first of several, or "" if there is none.
func Nearest(name string, valid []string) string {
	nearest, least := "", -1
	for _, candidate := range valid {
		if d := distance(name, candidate); least < 0 || d < least {
			nearest, least = candidate, d
		}
	}
	return nearest
}

// distance returns the Levenshtein distance between a and b, in bytes.
func distance(a, b string) int {
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
