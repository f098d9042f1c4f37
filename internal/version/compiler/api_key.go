package compiler

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// displayedDigestBytes is the length of the digests that are displayed instead of API keys.
const displayedDigestBytes = 4

// displayValue returns the value of a key as it may be displayed and kept: without API keys, but
// so that one can tell which are the same.
func displayValue(key, value string) string {
	if key != keyAPIKeys || value == "" || value == noAPIKeys {
		return value
	}
	var digests []string
	for apiKey := range strings.SplitSeq(value, ",") {
		digest := sha256.Sum256([]byte(strings.TrimSpace(apiKey)))
		digests = append(digests, "sha256:"+hex.EncodeToString(digest[:displayedDigestBytes]))
	}
	return strings.Join(digests, ", ")
}
