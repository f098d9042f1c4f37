package relayer

import (
	"net/http"
	"net/textproto"
	"strings"
)

// nodeHeaderPrefix is the common prefix of the headers that nodes set.
const nodeHeaderPrefix = "Banyanscale-"

// isHopByHop reports whether a header applies to one connection only (RFC 9110, section
// 7.6.1). Trailer is set again by the node that writes trailers, and Expect is handled by
// the entry node.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// CopyRequestHeader returns the end-to-end headers of a request, including those that
// nodes set. The value slices are shared with src and must not be modified in place.
func CopyRequestHeader(src http.Header) http.Header {
	const addedHeaders = 6 // Capacity for the headers that a node adds.
	dst := make(http.Header, len(src)+addedHeaders)
	copyHeader(dst, src, func(string) bool { return true })
	return dst
}

// CopyResponseHeader copies the end-to-end headers of a response to dst, without those
// that only nodes may set: an upstream is not trusted to set them.
func CopyResponseHeader(dst, src http.Header) {
	copyHeader(dst, src, func(name string) bool { return !strings.HasPrefix(name, nodeHeaderPrefix) })
}

func copyHeader(dst, src http.Header, wanted func(string) bool) {
	listed := connectionHeaders(src)
	for name, values := range src {
		if isHopByHop(name) || listed[name] || !wanted(name) {
			continue
		}
		dst[name] = values
	}
}

// connectionHeaders returns the additional hop-by-hop headers listed in Connection.
func connectionHeaders(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	listed := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}
