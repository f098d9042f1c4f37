// Package timekeeper reads a clock that also counts the time in which the machine was suspended.
//
// # Usage
//
//	sentAt := timekeeper.Now()
//	...
//	if timekeeper.Now()-sentAt < lease { ... }
//
// Go's monotonic time stands still while the machine is suspended, so that a lease would seem to
// last after others take it as ended.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the origin of the monotonic time, if there is no other clock.
var start = time.Now()

// Now returns the time since the machine started or, without such a clock, since the process
// did. Only differences between two values of one process mean something.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
