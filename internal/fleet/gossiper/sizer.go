package gossiper

import (
	"compress/gzip"
	"sync"

	"google.golang.org/protobuf/proto"
)

const (
	// maxCompressionRatio is the upper bound assumed for the compression ratio of a list
	// of members.
	maxCompressionRatio = 8
	// fitEstimateTenths is the share, in tenths, that fitCompressed tries next of the
	// number of items that would fit if the size were proportional to that number.
	fitEstimateTenths = 9
)

// byteCounter counts the bytes written to it.
type byteCounter struct{ bytes int }

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// compressedSize returns the compressed size of a message in a call, without headers.
func compressedSize(msg proto.Message) int {
	data, err := proto.Marshal(msg)
	if err != nil {
		return maxCallBytes
	}
	c := &byteCounter{}
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(c)
	// Writes to a byteCounter do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return c.bytes
}

// fitCompressed calls build with decreasing numbers of items, starting with n, until the
// message that build returns has at most maxBytes when compressed. It returns the number
// of items, which is close to the largest possible, and the size. The size exceeds
// maxBytes if not even the message without items fits.
func fitCompressed(n, maxBytes int, build func(n int) proto.Message) (fitted, size int) {
	for {
		size = compressedSize(build(n))
		if size <= maxBytes || n == 0 {
			return n, size
		}
		n = min(n-1, n*max(maxBytes, 0)/size*fitEstimateTenths/10)
	}
}
