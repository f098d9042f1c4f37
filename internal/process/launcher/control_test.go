package launcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/process/configurer"
	"github.com/banyanscale/banyanscale/internal/process/launcher"
)

// TestDataFolderIsUnlocked checks that a control instance unlocks its data folder when it
// stops and when it cannot be assembled, here because its peer address is in use.
func TestDataFolderIsUnlocked(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	folder := t.TempDir()
	settings := loadControl(t, folder, occupied.Addr())
	socket, err := net.ListenPacket("udp", occupied.Addr().String())
	assert.NilError(t, err)
	_, err = launcher.NewControl(settings, io.Discard)
	assert.ErrorContains(t, err, "bind the peer address")
	assert.NilError(t, socket.Close())
	assert.NilError(t, occupied.Close())
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for range 2 {
		c, err := launcher.NewControl(settings, io.Discard)
		assert.NilError(t, err)
		assert.NilError(t, c.Run(canceled))
	}
}

// loadControl returns the settings of a control instance that is the only voter.
func loadControl(t *testing.T, folder string, address net.Addr) *configurer.Control {
	t.Helper()
	path := filepath.Join(t.TempDir(), "control.ini")
	text := fmt.Sprintf(`[control]
instance = control-1
site = oaxaca
region = sur
failure-domain = oax-centro
peer-address = %[1]s
data-folder = %[2]s
voters = %[1]s
`, address, folder)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	settings, err := configurer.LoadControl(path)
	assert.NilError(t, err)
	return settings
}
