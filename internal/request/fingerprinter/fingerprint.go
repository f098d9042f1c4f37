package fingerprinter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Size is the length of a fingerprint in bytes.
const Size = 16

// ErrMalformed means that a text is not a fingerprint.
var ErrMalformed = errors.New("a fingerprint has 32 hexadecimal digits")

// callerHeaders lists the headers that identify the caller or decide how the body is read.
// Headers that differ from one attempt to the next are not among them.
var callerHeaders = [...]string{"Authorization", "Cookie", "Content-Type", "Content-Encoding"}

// Head is the digest of a request without its body.
type Head [Size / 2]byte

// Fingerprint is a digest that is equal for equal requests: a Head, and the digest of the body.
type Fingerprint [Size]byte

// Parse returns the fingerprint that String has returned as s.
func Parse(s string) (Fingerprint, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != Size {
		return Fingerprint{}, errors.Wrapf(ErrMalformed, "%q", s)
	}
	return Fingerprint(b), nil
}

// Head returns the digest of the request without its body.
func (f Fingerprint) Head() Head { return Head(f[:len(Head{})]) }

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// newFingerprint joins the digest of a request without its body and that of the body.
func newFingerprint(head Head, body []byte) Fingerprint {
	f := Fingerprint{}
	copy(f[:], head[:])
	copy(f[len(head):], body)
	return f
}

// HeadOf returns the digest of a request without its body.
func HeadOf(r *http.Request) Head {
	var text []byte
	for _, part := range [...]string{r.Method, hostname(r.Host), r.URL.EscapedPath(), r.URL.RawQuery} {
		text = appendPart(text, part)
	}
	for _, name := range callerHeaders {
		text = binary.AppendUvarint(text, uint64(len(r.Header[name])))
		for _, value := range r.Header[name] {
			text = appendPart(text, value)
		}
	}
	sum := sha256.Sum256(text)
	return Head(sum[:len(Head{})])
}

// appendPart appends a part with its length, so that the parts of two requests do not join to
// the same text.
func appendPart(text []byte, part string) []byte {
	text = binary.AppendUvarint(text, uint64(len(part)))
	return append(text, part...)
}

// hostname returns host without its port, in lower case.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
