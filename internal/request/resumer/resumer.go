// Package resumer continues an answer that broke off, from the byte that was
// reached, with the same representation from another instance.
//
// # Usage
//
//	if resumer.Eligible(r, resp) {
//		resp.Body = resumer.New(resp, func(header http.Header) (*http.Response, error) {
//			return sendElsewhere(header) // The request again, with these headers added.
//		})
//	}
//
// Only an answer to a GET with a strong entity tag and a known length can be
// continued. A part is taken only if it is proved to belong to the same
// representation: status 206, the same entity tag, and a Content-Range from
// the very byte to the very end.
package resumer

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// errOtherPart reports a part that does not continue the answer.
var errOtherPart = errors.New("part does not continue the answer")

// Fetch sends the request again with further headers. Its error means that
// the answer cannot be continued.
type Fetch func(header http.Header) (*http.Response, error)

// Body is the body of an answer that is continued if it breaks off.
type Body struct {
	src     io.ReadCloser
	fetch   Fetch
	etag    string
	offset  int64
	length  int64
	resumed int
}

// New returns the body of resp with continuations from fetch. The answer must
// be Eligible.
func New(resp *http.Response, fetch Fetch) *Body {
	return &Body{src: resp.Body, fetch: fetch, etag: resp.Header.Get("Etag"), length: resp.ContentLength}
}

// Eligible reports whether an answer to r can be continued.
func Eligible(r *http.Request, resp *http.Response) bool {
	etag := resp.Header.Get("Etag")
	return r.Method == http.MethodGet && r.Header.Get("Range") == "" &&
		resp.StatusCode == http.StatusOK && resp.ContentLength > 0 &&
		strings.HasPrefix(etag, `"`) && len(resp.Trailer) == 0
}

// Close ends the answer.
func (b *Body) Close() error {
	if err := b.src.Close(); err != nil {
		return fmt.Errorf("close body: %w", err)
	}
	return nil
}

// Read reads the body. If it breaks off, Read goes on with a continuation; if
// there is none, it returns the error with which the body broke off.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	b.offset += int64(n)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if b.offset == b.length {
		return n, io.EOF // Only the end of the exchange was lost.
	}
	if resumeErr := b.resume(); resumeErr != nil {
		return n, err
	}
	return n, nil
}

// Resumed returns how often the answer was continued.
func (b *Body) Resumed() int { return b.resumed }

// resume replaces the source by a continuation from the byte that was reached.
func (b *Body) resume() error {
	header := http.Header{
		"Range":    {fmt.Sprintf("bytes=%d-", b.offset)},
		"If-Range": {b.etag},
	}
	resp, err := b.fetch(header)
	if err != nil {
		return fmt.Errorf("fetch part: %w", err)
	}
	if err := b.verify(resp); err != nil {
		resp.Body.Close()
		return err
	}
	b.src.Close()
	b.src = resp.Body
	b.resumed++
	return nil
}

// verify checks that resp holds the rest of the answer and nothing else.
func (b *Body) verify(resp *http.Response) error {
	wanted := fmt.Sprintf("bytes %d-%d/%d", b.offset, b.length-1, b.length)
	switch {
	case resp.StatusCode != http.StatusPartialContent:
		return errors.Wrapf(errOtherPart, "status %d", resp.StatusCode)
	case resp.Header.Get("Etag") != b.etag:
		return errors.Wrapf(errOtherPart, "entity tag %s", resp.Header.Get("Etag"))
	case resp.Header.Get("Content-Range") != wanted:
		return errors.Wrapf(errOtherPart, "range %q", resp.Header.Get("Content-Range"))
	case resp.ContentLength != b.length-b.offset:
		return errors.Wrapf(errOtherPart, "length %d", resp.ContentLength)
	}
	return nil
}
