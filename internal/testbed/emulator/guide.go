package emulator

import (
	"fmt"
	"io"
)

// guide is a body of size bytes, each of which depends only on its position.
type guide struct{ size int64 }

func (g guide) etag() string { return fmt.Sprintf("%q", fmt.Sprintf("guide-%d", g.size)) }

func (g guide) reader() io.ReadSeeker {
	return io.NewSectionReader(g, 0, g.size)
}

// ReadAt fills p with the guide's bytes starting at off.
func (g guide) ReadAt(p []byte, off int64) (int, error) {
	if off >= g.size {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), g.size-off))
	for i := range p[:n] {
		p[i] = GuideByte(off + int64(i))
	}
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// GuideByte returns the byte that every guide has at a position. Clients use it
// to verify a body.
func GuideByte(position int64) byte {
	return byte('a' + (position*7+position/251)%26)
}
