// Package recoverer turns a panic into an error, so that one input that a part of the process
// cannot handle does not end each process that takes it.
//
// # Usage
//
//	err := recoverer.Call(func() error { return compile(doc) })
//	var panicErr *recoverer.PanicError
//	if errors.As(err, &panicErr) { ... } // panicErr.Stack() tells where.
//
// It is for goroutines other than those of net/http, which recovers from the panics of its
// handlers. What fn calls must release its locks by defer.
package recoverer

import (
	"fmt"
	"runtime/debug"
)

// PanicError is the error of a call that panicked.
type PanicError struct {
	value any
	stack []byte
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// Stack returns the stack of the goroutine at the panic, as text.
func (e *PanicError) Stack() string { return string(e.stack) }

// Call calls fn and returns its error, or a *PanicError if it panics.
func Call(fn func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{value: value, stack: debug.Stack()}
		}
	}()
	return fn()
}
