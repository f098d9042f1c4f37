package deduplicator

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

// fingerprintSize is the number of bytes that a request's hash is truncated to.
const fingerprintSize = 16

// Fingerprint is a hash that distinguishes different requests with the same key.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request's method, URI and body.
func NewFingerprint(method, uri string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, uri} {
		h.Write([]byte(strconv.Itoa(len(part)) + " " + part))
	}
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintSize]))
}

// issueTime returns the timestamp in a key that is a UUID of version 7 (RFC 9562):
// its first 48 bits are milliseconds since the Unix epoch.
func issueTime(key string) (time.Time, bool) {
	const length, versionAt, variantAt = 36, 14, 19
	if len(key) != length || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	if key[versionAt] != '7' || !strings.ContainsRune("89abAB", rune(key[variantAt])) {
		return time.Time{}, false
	}
	ms, err := strconv.ParseInt(key[:8]+key[9:13], 16, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}
