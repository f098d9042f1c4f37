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
	// updateVariable is the environment variable that makes the test write the page
	// before comparing it.
	updateVariable = "UPDATE_GOLDEN"
)

// faultSection is one section of the fault matrix: the golden file of a test, and
// the promises that the test covers.
type faultSection struct {
	title, promises, command, goldenFile, columns, note string
}

var faultSections = []faultSection{
	{
		title:      "Steps of a request",
		promises:   "a non-repeatable request runs at most once; the outcome `not-run` is correct; responses are complete; upstreams that are leaving",
		command:    "go test -run TestFaults ./internal/request/forwarder",
		goldenFile: "../internal/request/forwarder/testdata/faults.golden",
		columns:    "| step | fault | where | method | the caller receives | runs | after |\n|---|---|---|---|---|---|---|\n",
		note: "Each fault affects the first attempt; a second instance has no fault. `runs` counts the executions at the upstreams. " +
			"The test fails if a POST is executed more than once, or if a request with the outcome `not-run` was executed.",
	},
	{
		title:      "Two faults in one request",
		promises:   "as above",
		command:    "go test -run TestFaultPairs ./internal/request/forwarder",
		goldenFile: "../internal/request/forwarder/testdata/fault-pairs.golden",
		columns:    "| step | fault | where | method | the caller receives, with 30 faults of the second attempt |\n|---|---|---|---|---|\n",
		note: "The first attempt meets the fault of the row, the second one each fault of each step at its serving node and at its upstream. " +
			"Each of the 1,800 cases is checked as above. A request that may have run at the first attempt is retried only if it is repeatable.",
	},
	{
		title:      "Steps of a change of configuration",
		promises:   "an accepted configuration never reverts; racing operators; resent changes; lost disks",
		command:    "go test -run TestFaultMatrix ./internal/agreement/voter",
		goldenFile: "../internal/agreement/voter/testdata/faults.golden",
		note: "Operator a submits a change, during which the fault occurs at the step. Then operator b submits a change of the same version, " +
			"and a resends its change.",
	},
	{
		title:      "A fault that comes twice in one change",
		promises:   "as above",
		command:    "go test -run TestFaultTwice ./internal/agreement/voter",
		goldenFile: "../internal/agreement/voter/testdata/faults-twice.golden",
		note:       "The fault begins at the step when operator a submits a change, and again at the same step when a resends it.",
	},
	{
		title:      "A second loss right after a repair",
		promises:   "as above",
		command:    "go test -run TestSecondLoss ./internal/agreement/voter",
		goldenFile: "../internal/agreement/voter/testdata/second-loss.golden",
		note:       "One voter loses its disk at the step, and another one as soon as the group is repaired.",
	},
	{
		title:      "Steps of membership and distribution",
		promises:   "an upstream that is leaving receives no new requests after a few seconds; a configuration is in force within seconds and never reverts",
		command:    "go test -run TestMembershipFaultMatrix ./internal/fleet/gossiper",
		goldenFile: "../internal/fleet/gossiper/testdata/faults.golden",
		note:       "The times are bounds that the test asserts, in fake time.",
	},
	{
		title:      "Endpoints that lag or lie",
		promises:   "health and load endpoints may lag or mislead; no request is refused because of it",
		command:    "go test -run TestLyingEndpoint ./internal/request/picker",
		goldenFile: "../internal/request/picker/testdata/endpoints.golden",
		columns:    "| health endpoint of one of six | upstream | sent to it | requests that failed |\n|---|---|---|---|\n",
		note: "The real picker, sampler, prober and admitter in fake time, load 0.6 or 0.002 of the capacity; the endpoint is read each second. " +
			"The test fails if any request is refused.",
	},
}

// TestFaultsPageMatchesGoldenFiles checks that the page shows the contents of the
// golden files and the guards.
func TestFaultsPageMatchesGoldenFiles(t *testing.T) {
	want := renderFaults(t)
	if os.Getenv(updateVariable) != "" {
		assert.NilError(t, os.WriteFile(faultsPage, []byte(want), 0o644))
	}
	got, err := os.ReadFile(faultsPage)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, "run the tests with %s=1", updateVariable)
}

func renderFaults(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	b.WriteString(readFile(t, "testdata/faults-head.md"))
	for _, s := range faultSections {
		rows := strings.TrimSpace(readFile(t, s.goldenFile))
		b.WriteString("\n## " + s.title + "\n\nPromises: " + s.promises + ".\n\nTest: `" + s.command + "`\n\n" + s.note + "\n\n")
		b.WriteString(s.columns + rows + "\n")
	}
	b.WriteString(renderGuards(t))
	b.WriteString("\n" + readFile(t, "testdata/faults-tail.md"))
	return b.String()
}

// renderGuards returns the table of guards. It fails the test if the line of a
// guard is no longer in its file.
func renderGuards(t *testing.T) string {
	t.Helper()
	list, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, PreserveSurroundedQuote: true}, guardsFile)
	assert.NilError(t, err)
	var b strings.Builder
	b.WriteString(readFile(t, "testdata/guards-head.md"))
	for _, guard := range list.Sections()[1:] {
		file, line := guard.Key("file").String(), guard.Key("line").String()
		assert.Check(t, strings.Contains(readFile(t, "../"+file), "\t"+line+"\n"), "%s: %q is not in %s", guard.Name(), line, file)
		fmt.Fprintf(&b, "| %s | %s | `%s` | `%s` |\n", guard.Name(), guard.Key("promise"), file, strings.ReplaceAll(line, "|", `\|`))
	}
	return b.String()
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(data)
}
