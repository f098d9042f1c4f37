package server

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// TestNestedRequestIsOneThatAnotherMade checks which requests count as calls of running ones.
func TestNestedRequestIsOneThatAnotherMade(t *testing.T) {
	for depth, nested := range map[string]bool{"": false, "1": false, "2": true, "8": true} {
		h := http.Header{}
		h.Set(classifier.HeaderDepth, depth)
		assert.Equal(t, isNested(h), nested, depth)
	}
}
