package docs_test

import (
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// reasonConstant matches the value of a reason in package classifier.
var reasonConstant = regexp.MustCompile(`Reason\w+ +Reason = "([a-z-]+)"`)

// TestEachReasonIsDocumented checks that the operators' page lists each reason.
func TestEachReasonIsDocumented(t *testing.T) {
	page := readFile(t, "operators/reasons.md")
	reasons := reasonConstant.FindAllStringSubmatch(readFile(t, "../pkg/classifier/reason.go"), -1)
	assert.Assert(t, len(reasons) > 0)
	for _, reason := range reasons {
		assert.Assert(t, strings.Contains(page, "| `"+reason[1]+"` |"), "%s is missing", reason[1])
	}
}
