package limiter

import "time"

const (
	// defaultHeadBytes and defaultHeadTimeout apply while no configuration says otherwise.
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 10 * time.Second
	// maxHeadLines bounds the lines of a head. The shortest line with a line break has 4 bytes.
	maxHeadLines = 4096
)

// Limits bounds the head of one request.
type Limits struct {
	// Bytes is the maximum size in bytes. A head that is larger by less than one read buffer of
	// the connection may pass.
	Bytes int
	// Lines is the maximum number of lines, with the same tolerance.
	Lines int
	// Timeout is how long the head may take from its first bytes on.
	Timeout time.Duration
}

// DefaultLimits returns the limits that apply while no configuration says otherwise.
func DefaultLimits() Limits {
	return Limits{Bytes: defaultHeadBytes, Lines: maxHeadLines, Timeout: defaultHeadTimeout}
}

// With returns l with another size and timeout, unless these are 0.
func (l Limits) With(maxBytes int, timeout time.Duration) Limits {
	if maxBytes > 0 {
		l.Bytes = maxBytes
	}
	if timeout > 0 {
		l.Timeout = timeout
	}
	return l
}

// Wider returns l with more bytes and lines.
func (l Limits) Wider(moreBytes, moreLines int) Limits {
	l.Bytes += moreBytes
	l.Lines += moreLines
	return l
}
