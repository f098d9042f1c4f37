package requester

import (
	"io"
	"net/http"
	"strings"
)

// statusLinePrefix begins each status line of HTTP/1.
const statusLinePrefix = "HTTP/1."

// mismatched reports whether the echo header of a response does not prove that it belongs
// to the request. A request without the header has nothing to be echoed.
func (e *exchange) mismatched(resp *http.Response) bool {
	if e.cfg.EchoHeader == "" {
		return false
	}
	own := e.req.Header.Get(e.cfg.EchoHeader)
	values := resp.Header.Values(e.cfg.EchoHeader)
	for _, value := range values {
		if value != own {
			return true
		}
	}
	return own != "" && len(values) == 0
}

// discard reads and drops the body of a response that belongs to another request. A read
// error recurs when the next response is read.
func (e *exchange) discard(resp *http.Response) {
	e.sawMismatch = true
	_, _ = io.Copy(io.Discard, resp.Body)
}

// containsHead reports whether a line of the head of a response contains another status
// line: additional bytes of the server that ended within a line were followed by the head
// of its response.
func containsHead(resp *http.Response) bool {
	if containsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		for _, value := range values {
			if containsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

// containsStatusLine reports whether text contains a status line, such as HTTP/1.1 200 OK.
func containsStatusLine(text string) bool {
	i := strings.LastIndex(text, statusLinePrefix)
	if i < 0 {
		return false
	}
	_, rest, _ := strings.Cut(text[i:], " ")
	_, _, ok := http.ParseHTTPVersion(strings.TrimSuffix(text[i:len(text)-len(rest)], " "))
	code, _, _ := strings.Cut(rest, " ")
	return ok && len(code) == len("200") && strings.Trim(code, "0123456789") == ""
}
