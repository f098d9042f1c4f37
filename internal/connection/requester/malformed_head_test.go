package requester_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/connection/requester"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// assertNoResponse checks that a server's bytes are refused as malformed. %s in them is the id of the request.
func assertNoResponse(t *testing.T, response string) {
	t.Helper()
	addr, _ := startRawServer(t, func(w net.Conn, r *http.Request) {
		fmt.Fprintf(w, response, echoHeader+": "+r.Header.Get(echoHeader)+"\r\n")
	})
	body, err := getBody(t, newEchoPool(t), addr, "a", "X-End")
	var failure *requester.Error
	assert.Assert(t, errors.As(err, &failure), "passed as a response with the body %q", body)
	assert.Equal(t, failure.Outcome(), classifier.Unknown)
	assert.Equal(t, failure.Reason(), classifier.ReasonMalformed)
}

// TestImpossibleStatusIsNoResponse guards against a status below 100 that passes as an informational one, so that the
// body is read as the next response.
func TestImpossibleStatusIsNoResponse(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 001", "HTTP/1.1 -01 Odd", "HTTP/1.1 +20 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/3.7 200 OK"} {
		t.Run(line, func(t *testing.T) {
			inner := "HTTP/1.1 200 OK\r\n%[1]sContent-Length: 5\r\n\r\ninner"
			assertNoResponse(t, line+"\r\n%[1]sContent-Length: 5\r\n\r\n"+inner)
			assertNoResponse(t, line+"\r\n\r\n"+inner)
		})
	}
}

// TestFieldThatIsNoneIsNoResponse guards against a field whose name has a blank or a control byte, which is passed on or
// hides how the body is framed.
func TestFieldThatIsNoneIsNoResponse(t *testing.T) {
	for name, field := range map[string]string{
		"blank in the name":       "X Odd: 1",
		"blank after the name":    "X-Odd : 1",
		"hidden encoding":         "Transfer-Encoding : chunked",
		"hidden length":           "Content-Length : 5",
		"control byte":            "X-\x01Odd: 1",
		"tab after the name":      "X-Odd\t: 1",
		"NUL in the name":         "X\x00: 1",
		"no name":                 ": 1",
		"no colon":                "X-Odd",
		"byte above ASCII":        "X-\xe9: 1",
		"separator":               "X(Odd): 1",
		"control byte in a value": "X-Odd: 1\x012",
		"NUL in a value":          "X-Odd: 1\x002",
		"CR in a value":           "X-Odd: 1\r2",
		"name of a trailer":       "Trailer: X Odd\r\nTransfer-Encoding: chunked",
	} {
		t.Run(name, func(t *testing.T) {
			body := "Content-Length: 5\r\n\r\nwhole"
			if name == "name of a trailer" {
				body = "\r\n5\r\nwhole\r\n0\r\n\r\n"
			}
			assertNoResponse(t, "HTTP/1.1 200 OK\r\n%[1]s"+field+"\r\n"+body)
			assertNoResponse(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\nHTTP/1.1 200 OK\r\n%[1]s"+body)
		})
	}
	for name, field := range map[string]string{"blank": "X Odd: 1", "blank after": "X-Odd : 1", "control byte": "X-\x01Odd: 1", "value": "X-Odd: \x01"} {
		t.Run("trailer with "+name, func(t *testing.T) {
			assertNoResponse(t, "HTTP/1.1 200 OK\r\n%[1]sTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"+field+"\r\n\r\n")
		})
	}
}
