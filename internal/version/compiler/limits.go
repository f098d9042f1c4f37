package compiler

import "time"

// Limits bound what a caller may send, and for how long it may be idle.
type Limits struct {
	// MaxHeaderBytes bounds the head of a request; 0 for the server's own bound.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request; 0 for no bound.
	MaxBodyBytes int
	// HeaderTimeout bounds how long the head of a request may take to arrive;
	// 0 for the server's own bound.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle; 0 for the
	// server's own bound.
	IdleTimeout time.Duration
}

// Bounds of the limits that an operator may set.
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
