package compiler

import "time"

// Limits restricts the size of requests, and how long callers may take to send them
// or stay idle.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request's head; 0 for the server's
	// default.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request's body; 0 for no limit.
	MaxBodyBytes int
	// HeaderTimeout is the maximum time to receive a request's head; 0 for the
	// server's default.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a caller's connection may be idle; 0 for
	// the server's default.
	IdleTimeout time.Duration
}

// Maximum values that operators may set.
const (
	maxHeaderBytesLimit = 1 << 20
	maxBodyBytesLimit   = 1 << 40
)

// limitsSettings lists the keys of the section [limits].
var limitsSettings = []setting[Limits]{
	intSetting("max-header-bytes", 1, maxHeaderBytesLimit, func(l *Limits) *int { return &l.MaxHeaderBytes }),
	intSetting("max-body-bytes", 1, maxBodyBytesLimit, func(l *Limits) *int { return &l.MaxBodyBytes }),
	durationSetting("header-timeout", time.Millisecond, time.Hour, func(l *Limits) *time.Duration { return &l.HeaderTimeout }),
	durationSetting("idle-timeout", time.Millisecond, 24*time.Hour, func(l *Limits) *time.Duration { return &l.IdleTimeout }),
}

var limitsByKey = byKey(limitsSettings)
