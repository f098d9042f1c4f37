package docs_test

import (
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// reasonConstant matches the value of a reason in package classifier.
var reasonConstant = regexp.MustCompile(`Reason\w+ +Reason = "([a-z-]+)"`)

// TestEachReasonHasALine checks that operators find each reason in their page.
func TestEachReasonHasALine(t *testing.T) {
	page := readText(t, "operators/reasons.md")
	reasons := reasonConstant.FindAllStringSubmatch(readText(t, "../pkg/classifier/reason.go"), -1)
	assert.Assert(t, len(reasons) > 0)
	for _, reason := range reasons {
		assert.Assert(t, strings.Contains(page, "| `"+reason[1]+"` |"), "%s is missing", reason[1])
	}
}
