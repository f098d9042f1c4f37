package relayer

import (
	"net/http"
	"net/textproto"
	"strings"
)

// ownPrefix starts the names of the headers of nodes.
const ownPrefix = "Banyanscale-"

// hopByHop reports whether a header belongs to one connection (RFC 9110, 7.6.1).
// Trailer is set anew by the side that writes one; Expect is met at the entry.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// CopyRequestHeader returns the end-to-end headers of a request, with those of
// nodes. The values are shared with src: they may be replaced, not changed.
func CopyRequestHeader(src http.Header) http.Header {
	// Room for the headers that a node adds.
	const added = 6
	dst := make(http.Header, len(src)+added)
	copyHeader(dst, src, func(string) bool { return true })
	return dst
}

// CopyResponseHeader adds the end-to-end headers of an answer to dst, without
// those of nodes: an upstream is not trusted to set them.
func CopyResponseHeader(dst, src http.Header) {
	copyHeader(dst, src, func(name string) bool { return !strings.HasPrefix(name, ownPrefix) })
}

func copyHeader(dst, src http.Header, wanted func(string) bool) {
	listed := connectionHeaders(src)
	for name, values := range src {
		if hopByHop(name) || listed[name] || !wanted(name) {
			continue
		}
		dst[name] = values
	}
}

// connectionHeaders returns the further hop-by-hop headers that Connection names.
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
