package gossiper

import (
	"compress/gzip"
	"sync"

	"google.golang.org/protobuf/proto"
)

const (
	// maxCompression bounds how many times smaller a list of members becomes.
	maxCompression = 8
	// trim is the share kept, in tenths, beyond the proportional one when a list
	// does not fit.
	trim = 9
)

// counter counts what is written to it.
type counter struct{ bytes int }

// Write implements io.Writer.
func (c *counter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

var compressors = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// compressedSize returns the bytes of a message as calls send it, compressed
// and without headers.
func compressedSize(msg proto.Message) int {
	data, err := proto.Marshal(msg)
	if err != nil {
		return maxCallBytes
	}
	c := &counter{}
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	w.Reset(c)
	// Writes to a counter do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return c.bytes
}

// fit calls build with the largest part of n items, or close to it, for which
// the message that build makes has at most room bytes compressed, and returns
// the part and the size. It returns a size above room if not even the message
// without items fits.
func fit(n, room int, build func(n int) proto.Message) (part, size int) {
	for {
		size = compressedSize(build(n))
		if size <= room || n == 0 {
			return n, size
		}
		n = min(n-1, n*max(room, 0)/size*trim/10)
	}
}
