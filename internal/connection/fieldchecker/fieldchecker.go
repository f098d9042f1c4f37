// Package fieldchecker finds header fields that are none of HTTP/1 though net/http accepts them: it
// takes a name with a blank for that of a field, which hides what a field such as
// Transfer-Encoding says about the body.
//
// # Usage
//
//	req, err := http.ReadRequest(r)
//	...
//	if err := fieldchecker.Check(req.Header); err != nil {
//		return err // The message is malformed: where its body ends is unknown.
//	}
package fieldchecker

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that a name or a value of a header or a trailer is malformed (RFC 9110,
// section 5).
var ErrMalformed = errors.New("malformed header field")

// Check returns ErrMalformed if a name or a value of the fields is malformed.
func Check(fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "name %.64q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Wrapf(ErrMalformed, "value of %s", name)
			}
		}
	}
	return nil
}
