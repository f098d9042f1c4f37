// Package scripts_test checks the functions that the scripts share.
package scripts_test

import (
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"
)

// earlyStop starts processes and stops each at once, and then looks whether another
// one that the script started is still there.
const earlyStop = `
set -euo pipefail
dir=$1
bin=/bin/sleep
. lib/fleet.sh
trap fleet_stop EXIT
fleet_start bystander 20
bystander=$!
for n in $(seq 50); do
	fleet_start early 20
	kill -TERM $!
	wait $! 2>/dev/null || true
	fleet_forget $!
done
kill -0 $bystander
`

// TestStopBeforeTheStart checks that to stop a process that has just been started
// stops no other one.
func TestStopBeforeTheStart(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), "bash", "-c", earlyStop, "bash", t.TempDir())
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, "%s", out)
}
