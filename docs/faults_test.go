package docs_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gopkg.in/ini.v1"
	"gotest.tools/v3/assert"
)

const (
	faultsPage = "FAULTS.md"
	guardsFile = "../scripts/guards.ini"
	// updateVariable makes the test write the page instead of comparing it.
	updateVariable = "UPDATE_GOLDEN"
)

// faultSection is one part of the fault matrix: what a test wrote to its
// golden file, and which promises of the brief it is about.
type faultSection struct {
	title, promises, command, golden, columns, note string
}

var faultSections = []faultSection{
	{
		title:    "Steps of a request",
		promises: "a non-repeatable request runs at most once; `not-run` is the truth; whole answers; an upstream that is leaving",
		command:  "go test -run TestFaults ./internal/request/forwarder",
		golden:   "../internal/request/forwarder/testdata/faults.golden",
		columns:  "| step | fault | where | method | the caller is told | runs | after |\n|---|---|---|---|---|---|---|\n",
		note: "Each fault hits the first attempt; a second instance is sound. `runs` counts what the upstreams ran. " +
			"The test fails if a POST runs more than once, or if `not-run` was told and anything ran.",
	},
	{
		title:    "Two faults in one request",
		promises: "as above",
		command:  "go test -run TestFaultPairs ./internal/request/forwarder",
		golden:   "../internal/request/forwarder/testdata/fault-pairs.golden",
		columns:  "| step | fault | where | method | the caller is told, with 30 faults of the second attempt |\n|---|---|---|---|---|\n",
		note: "The first attempt meets the fault of the row, the second one each fault of each step at its serving node and at its upstream. " +
			"Each of the 1,800 cases is checked as above. A request that may have run at the first attempt is tried again only if it may be repeated.",
	},
	{
		title:    "Steps of a change of configuration",
		promises: "an accepted configuration never reverts; racing operators; resent changes; lost disks",
		command:  "go test -run TestFaultMatrix ./internal/process/voter",
		golden:   "../internal/process/voter/testdata/faults.golden",
		note: "Operator a submits while the fault strikes at the step, then operator b submits on the same version, " +
			"then a sends the same change again.",
	},
	{
		title:    "A fault that comes twice in one change",
		promises: "as above",
		command:  "go test -run TestFaultTwice ./internal/process/voter",
		golden:   "../internal/process/voter/testdata/faults-twice.golden",
		note:     "The fault begins at the step when operator a submits, and again at the same step when a sends the change again.",
	},
	{
		title:    "A second loss right after a repair",
		promises: "as above",
		command:  "go test -run TestSecondLoss ./internal/process/voter",
		golden:   "../internal/process/voter/testdata/second-loss.golden",
		note:     "One voter loses its disk at the step, and another one at the moment when the group is repaired.",
	},
	{
		title:    "Steps of membership and distribution",
		promises: "an upstream that is leaving receives no new work after a few seconds; a configuration is in force within seconds and never reverts",
		command:  "go test -run TestFaultMatrix ./internal/process/gossiper",
		golden:   "../internal/process/gossiper/testdata/faults.golden",
		note:     "The times are bounds that the test asserts, in fake time.",
	},
}

// TestFaultsPageIsWhatTheTestsFound compares the page with the golden files.
func TestFaultsPageIsWhatTheTestsFound(t *testing.T) {
	want := faultsText(t)
	if os.Getenv(updateVariable) != "" {
		assert.NilError(t, os.WriteFile(faultsPage, []byte(want), 0o644))
	}
	got, err := os.ReadFile(faultsPage)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, "run the tests with %s=1", updateVariable)
}

func faultsText(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	b.WriteString(readText(t, "testdata/faults-head.md"))
	for _, s := range faultSections {
		rows := strings.TrimSpace(readText(t, s.golden))
		b.WriteString("\n## " + s.title + "\n\nPromises: " + s.promises + ".\n\nTest: `" + s.command + "`\n\n" + s.note + "\n\n")
		b.WriteString(s.columns + rows + "\n")
	}
	b.WriteString(guardsText(t))
	b.WriteString("\n" + readText(t, "testdata/faults-tail.md"))
	return b.String()
}

// guardsText returns the table of guarding lines. It fails the test if one of
// them is not in its file any more.
func guardsText(t *testing.T) string {
	t.Helper()
	list, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, PreserveSurroundedQuote: true}, guardsFile)
	assert.NilError(t, err)
	var b strings.Builder
	b.WriteString(readText(t, "testdata/guards-head.md"))
	for _, guard := range list.Sections()[1:] {
		file, line := guard.Key("file").String(), guard.Key("line").String()
		assert.Check(t, strings.Contains(readText(t, "../"+file), "\t"+line+"\n"), "%s: %q is not in %s", guard.Name(), line, file)
		fmt.Fprintf(&b, "| %s | %s | `%s` | `%s` |\n", guard.Name(), guard.Key("promise"), file, strings.ReplaceAll(line, "|", `\|`))
	}
	return b.String()
}

func readText(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(data)
}
