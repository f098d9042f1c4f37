// Package resumer continues an interrupted response at the byte where it broke off, with a
// range request for the same representation to another instance.
//
// # Usage
//
//	if resumer.Eligible(r, resp) {
//		resp.Body = resumer.New(resp, func(header http.Header) (*http.Response, error) {
//			return resend(header) // Adds the headers and sends the request to another instance.
//		})
//	}
//
// Only a response to a GET with a strong entity tag and a known length can be resumed. A
// partial response is used only if it provably belongs to the same representation: it has
// status 206, the same entity tag, and a Content-Range from that byte to the last one.
package resumer

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// errPartMismatch reports a partial response that does not continue the interrupted one.
var errPartMismatch = errors.New("partial response does not continue the interrupted response")

// Fetch sends the request again with additional headers. If it returns an error, the
// response cannot be resumed.
type Fetch func(header http.Header) (*http.Response, error)

// Body is a response body that is resumed if it is interrupted.
type Body struct {
	src         io.ReadCloser
	fetch       Fetch
	etag        string
	offset      int64
	length      int64
	resumptions int
}

// New returns the body of resp, which it resumes with responses from fetch. The response
// must be Eligible.
func New(resp *http.Response, fetch Fetch) *Body {
	return &Body{src: resp.Body, fetch: fetch, etag: resp.Header.Get("Etag"), length: resp.ContentLength}
}

// Eligible reports whether resp, a response to r, can be resumed.
func Eligible(r *http.Request, resp *http.Response) bool {
	etag := resp.Header.Get("Etag")
	return r.Method == http.MethodGet && r.Header.Get("Range") == "" &&
		resp.StatusCode == http.StatusOK && resp.ContentLength > 0 &&
		strings.HasPrefix(etag, `"`) && len(resp.Trailer) == 0
}

// Close closes the current source of the body.
func (b *Body) Close() error {
	if err := b.src.Close(); err != nil {
		return fmt.Errorf("close body: %w", err)
	}
	return nil
}

// Read reads the body. If the body is interrupted, Read resumes it; if that fails, it
// returns the error that interrupted the body.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	b.offset += int64(n)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if b.offset == b.length {
		return n, io.EOF // The body is complete; only the end of the exchange was lost.
	}
	if resumeErr := b.resume(); resumeErr != nil {
		return n, err
	}
	return n, nil
}

// Resumptions returns how many times the response was resumed.
func (b *Body) Resumptions() int { return b.resumptions }

// resume replaces the source of the body with a partial response from the current offset.
func (b *Body) resume() error {
	header := http.Header{
		"Range":    {fmt.Sprintf("bytes=%d-", b.offset)},
		"If-Range": {b.etag},
	}
	resp, err := b.fetch(header)
	if err != nil {
		return fmt.Errorf("fetch the remaining bytes: %w", err)
	}
	if err := b.verifyPart(resp); err != nil {
		resp.Body.Close()
		return err
	}
	b.src.Close()
	b.src = resp.Body
	b.resumptions++
	return nil
}

// verifyPart checks that resp holds exactly the rest of the representation.
func (b *Body) verifyPart(resp *http.Response) error {
	contentRange := fmt.Sprintf("bytes %d-%d/%d", b.offset, b.length-1, b.length)
	switch {
	case resp.StatusCode != http.StatusPartialContent:
		return errors.Wrapf(errPartMismatch, "status %d", resp.StatusCode)
	case resp.Header.Get("Etag") != b.etag:
		return errors.Wrapf(errPartMismatch, "entity tag %s", resp.Header.Get("Etag"))
	case resp.Header.Get("Content-Range") != contentRange:
		return errors.Wrapf(errPartMismatch, "range %q", resp.Header.Get("Content-Range"))
	case resp.ContentLength != b.length-b.offset:
		return errors.Wrapf(errPartMismatch, "length %d", resp.ContentLength)
	}
	return nil
}
