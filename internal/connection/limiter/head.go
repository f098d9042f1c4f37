package limiter

import "bytes"

var lineBreak = []byte{'\n'}

// headEnds are the ends of a head.
var headEnds = [][]byte{[]byte("\r\n\r\n"), []byte("\n\n")}

// tailCost returns what may follow the first head that ends in a read costs as a part of the next
// head, in bytes. If none ends there, that is all of it.
func tailCost(read []byte) int {
	for _, end := range headEnds {
		if i := bytes.Index(read, end); i >= 0 {
			read = read[i+len(end):]
			break
		}
	}
	return headCost(len(read), bytes.Count(read, lineBreak))
}
